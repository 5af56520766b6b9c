//! Endpoints and clients that write down, message by message, what they answered and were answered.

use crate::peers::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a message lives where its client says nothing else.
pub const LIFE: Duration = Duration::from_millis(10_000);
/// How long before the end of a message's time an answer may be written and still be read too late to count: the relay
/// allows 20 ms, the rest is for threads that are kept from running.
const LAST_MOMENT: Duration = Duration::from_millis(1000);

/// A refusing endpoint refuses one of this many calls.
pub const CALLS_PER_REFUSAL: usize = 4;

/// What an endpoint answered: to which message, with what, and when.
pub type Answers = Arc<Mutex<Vec<(String, u16, Instant)>>>;

/// An endpoint whose answers are `answer`'s, by how many calls it received before and the time that the call has left.
pub fn endpoint(answer: impl Fn(usize, Duration) -> u16 + Send + Sync + 'static) -> (SocketAddr, Answers) {
    let answers = Answers::default();
    let to = answers.clone();
    // Counted on receipt: calls that run at the same time would otherwise share a number and skip others.
    let received = AtomicUsize::new(0);
    let address = listen(move |mut talk| {
        while let Some(_first) = talk.line() {
            let (mut length, mut id, mut left) = (0, String::new(), 0);
            while let Some(line) = talk.line().filter(|l| !l.is_empty()) {
                match line.split_once(": ") {
                    Some(("Content-Length", value)) => length = value.parse().unwrap(),
                    Some(("X-Correlation-Id", value)) => id = value.to_string(),
                    Some(("X-Time-Left-Ms", value)) => left = value.parse().unwrap(),
                    _ => {}
                }
            }
            talk.exact(length);
            let before = received.fetch_add(1, Relaxed);
            let status = answer(before, Duration::from_millis(left));
            let more = if status == 429 { "Wait-Ms: 30\r\n" } else { "" };
            to.lock().unwrap().push((id, status, Instant::now()));
            talk.write(&format!("HTTP/1.1 {status} .\r\n{more}Content-Length: 0\r\n\r\n"));
        }
    });
    (address, answers)
}

/// One that turns every fourth call away (`CALLS_PER_REFUSAL`), with a wait, and takes some time for each.
pub fn refusing() -> (SocketAddr, Answers) {
    endpoint(|before, _| {
        thread::sleep(Duration::from_millis(8));
        if before % CALLS_PER_REFUSAL == CALLS_PER_REFUSAL - 1 { 429 } else { 200 }
    })
}

/// How many answers had this status.
pub fn answered(answers: &Answers, status: u16) -> u64 {
    answers.lock().unwrap().iter().filter(|a| a.1 == status).count() as u64
}

/// What a client was answered, by its message, and when the message was handed in.
pub type Handed = BTreeMap<String, (u16, Instant)>;

pub fn count(handed: &Handed, status: u16) -> u64 {
    handed.values().filter(|h| h.0 == status).count() as u64
}

/// The messages that were taken on.
pub fn taken(handed: &Handed) -> BTreeSet<String> {
    handed.iter().filter(|(_, h)| h.0 == 202).map(|(id, _)| id.clone()).collect()
}

/// The messages that some endpoint took.
pub fn delivered(endpoints: &[&Answers]) -> BTreeSet<String> {
    let its = |a: &&Answers| a.lock().unwrap().clone();
    endpoints.iter().flat_map(its).filter(|a| a.1 == 200).map(|a| a.0).collect()
}

/// What the log says of a flow that was not delivered, where nobody else is told.
const UNDELIVERED: &str = "undelivered: ";

/// Ends that were told, by message.
pub fn told(relay: &Relay) -> BTreeMap<String, String> {
    let of = |line: &String| {
        let (_, notice) = line.split_once(UNDELIVERED).unwrap();
        let notice: serde_json::Value = serde_json::from_str(notice).unwrap();
        let field = |name: &str| notice[name].as_str().unwrap().to_string();
        (field("id"), field("state"))
    };
    relay.lines(UNDELIVERED).iter().map(of).collect()
}

/// Messages that an endpoint took in the last moment of their time, whose end was told as a failure: to the one the message
/// has come, to the other it was over. Any other message that was delivered and told is a fault.
pub fn crossed(
    handed: &Handed, endpoints: &[&Answers], told: &BTreeMap<String, String>, life: Duration,
) -> BTreeSet<String> {
    let all = endpoints.iter().flat_map(|a| a.lock().unwrap().clone()).filter(|a| a.1 == 200);
    let both = all.filter(|(id, ..)| told.contains_key(id));
    both.map(|(id, _, at)| {
        assert_eq!(told[&id], "failed", "{id} was delivered");
        let early = (handed[&id].1 + life).saturating_duration_since(at);
        assert!(early < LAST_MOMENT, "{id} was delivered {early:?} before its end, and told");
        id
    })
    .collect()
}

static RUNS: AtomicUsize = AtomicUsize::new(0);

/// A load of some clients at once; what each message was answered.
pub fn load(at: SocketAddr, clients: usize, each: usize, life: Duration) -> Handed {
    let run = RUNS.fetch_add(1, Relaxed);
    let client = move |n| {
        thread::spawn(move || {
            let mut talk = Talk::to(at);
            let mut answers = Vec::new();
            for m in 0..each {
                thread::sleep(Duration::from_millis(10));
                let (id, sent) = (format!("{run}-{n}-{m}"), Instant::now());
                let left = life.as_millis();
                talk.write(&format!(
                    "POST /messages HTTP/1.1\r\nHost: a\r\nEnvelope: dest=7\r\nX-Time-Left-Ms: {left}\r\n\
                     X-Correlation-Id: {id}\r\nContent-Length: 2\r\n\r\nab"
                ));
                let Some(line) = talk.line() else { break };
                answers.push((id, (line.split(' ').nth(1).unwrap().parse::<u16>().unwrap(), sent)));
                let mut length = 0;
                while let Some(line) = talk.line().filter(|l| !l.is_empty()) {
                    length = line
                        .to_ascii_lowercase()
                        .strip_prefix("content-length: ")
                        .map_or(length, |l| l.parse().unwrap());
                }
                talk.exact(length);
            }
            answers
        })
    };
    let clients: Vec<_> = (0..clients).map(client).collect();
    clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
}
