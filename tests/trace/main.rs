//! What a relay records is what clients and endpoints wrote down themselves.
#![allow(missing_docs)]

#[path = "../peers/mod.rs"]
mod peers;
mod stage;

use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::merge::merge;
use onyxstile_trace::summary::Summary;
use onyxstile_trace::verify::verify;
use onyxstile_trace::{FileHeader, Reader};
use peers::*;
use stage::*;
use std::collections::BTreeMap;
use std::io::Cursor;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

fn file(servers: &[SocketAddr], trace: &str) -> String {
    let server = |a: &SocketAddr| {
        format!("[[server]]\nuid = \"{a}\"\naddress = \"{a}\"\nprotocol = \"http\"\ndestination = 7\n")
    };
    let servers: String = servers.iter().map(server).collect();
    format!(
        r#"{servers}
[relay]
name = "tbilisi-1"
state = "state"
[http]
listen = "127.0.0.1:0"
[trace]
folder = "traces"
{trace}
[settings]
siblings = 1
models = []
zones = []
tickMs = 5
[[settings.classes]]
name = "messages"
aimMs = 500
deadlineMs = 10000
effect = "once"
worth = 1
[settings.extra]
maxCalls = 8
[settings.invariants]
startCapacity = 1
coldMs = 300
overloadFactor = 2
overloadForMs = 100
[settings.limits]
dialTimeoutMs = 300
keepaliveMs = 5000
maxAttempts = 60
maxRetryAfterMs = 500
maxStreams = 1
mostHeld = 12
probes = false
cancelling = true
[settings.tariffs]
"#
    )
}

/// All traces of the folder as one.
fn recorded(folder: &Folder) -> (Vec<PathBuf>, Vec<u8>) {
    let entries = std::fs::read_dir(folder.0.join("traces")).unwrap();
    let mut paths: Vec<_> = entries.map(|e| e.unwrap().path()).collect();
    paths.sort();
    let mut merged = Vec::new();
    merge(&paths, &BTreeMap::new(), &mut merged, &mut |_, _| {}).unwrap();
    (paths, merged)
}

fn summary(bytes: &[u8]) -> (Summary, FileHeader) {
    let mut reader = Reader::open(Cursor::new(bytes)).unwrap();
    let header = reader.header().clone();
    let mut summary = Summary::new(1_000_000, 100, header.sampled);
    each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
        summary.add(header.start_us + event.at_us, &event);
        Ok(())
    })
    .unwrap();
    summary.close();
    (summary, header)
}

#[test]
fn a_trace_counts_what_clients_and_servers_counted_also_over_a_kill() {
    let folder = Folder::new("trace");
    let ((a, at_a), (b, at_b)) = (refusing(), refusing());
    let text = file(&[a, b], "flush_ms = 50\nfile_mb = 0.01\ntotal_mb = 4\nblock_kb = 2\ncodec = \"none\"");
    let mut relay = Relay::start(&folder, &text);
    let mut clients = load(relay.address("HTTP"), 24, 25, LIFE);
    let over = |clients: &Handed, told: &BTreeMap<String, String>| {
        let delivered = delivered(&[&at_a, &at_b]);
        taken(clients).iter().all(|id| delivered.contains(id) || told.contains_key(id)).then_some(())
    };
    until("all of it", || over(&clients, &told(&relay)));
    // Once the flush interval is over, a kill costs nothing of this.
    thread::sleep(Duration::from_millis(200));
    let before = told(&relay);
    relay.kill();
    relay = Relay::start(&folder, &text);
    clients.append(&mut load(relay.address("HTTP"), 24, 25, LIFE));
    let all_told = |relay: &Relay| before.clone().into_iter().chain(told(relay)).collect::<BTreeMap<_, _>>();
    until("the rest", || over(&clients, &all_told(&relay)));
    relay.signal("TERM");
    assert!(relay.ended());

    let (paths, bytes) = recorded(&folder);
    assert!(paths.len() > 4, "files follow one another: {paths:?}");
    let (s, header) = summary(&bytes);
    assert_eq!(header.relay, "tbilisi-1");
    assert_eq!(header.sources.len(), 2, "two processes");
    assert_eq!(s.dropped, 0);
    let taken = count(&clients, 202);
    assert_eq!((s.all.offered, clients.len()), (1200, 1200));
    assert_eq!(s.all.taken, taken);
    assert_eq!(s.all.turned_down, 1200 - taken);
    assert!(s.all.turned_down > 0, "there is room for twelve");
    let told = all_told(&relay);
    let crossed = |of: &[&Answers]| crossed(&clients, of, &told, LIFE).len() as u64;
    let delivered = delivered(&[&at_a, &at_b]).len() as u64;
    assert_eq!(s.all.delivered + crossed(&[&at_a, &at_b]), delivered);
    let told = told.len() as u64;
    assert_eq!((s.all.failed + s.all.returned, s.all.delivered + told), (told, s.all.taken));
    for (address, answers) in [(a, &at_a), (b, &at_b)] {
        let counted = &s.servers[&address.to_string()];
        assert_eq!(counted.attempts, answers.lock().unwrap().len() as u64);
        assert_eq!(answered(answers, 429), counted.attempts / CALLS_PER_REFUSAL as u64);
        // One that crossed may have been read as a success or as out of time; any other was read as what it was.
        let (taken, late) = (answered(answers, 200), crossed(&[answers]));
        assert!((taken - late..=taken).contains(&counted.succeeded), "{} of {taken}", counted.succeeded);
        assert_eq!(counted.refused, answered(answers, 429));
        assert!(counted.refused > 1);
    }
    assert_eq!(s.destinations["7"].attempts, s.all.attempts);
    assert!(s.all.waits == s.all.refused && s.all.timers > 0);
    let verdict = verify(&mut Reader::open(Cursor::new(&bytes[..])).unwrap(), &mut |_, _| {}).unwrap();
    assert!(verdict.broken == 0, "{:?}", verdict.told);
    assert_eq!((verdict.flows, verdict.open), (s.all.taken, 0));
}

/// An answer that is written as its message's time ends: to the endpoint the message has come, to its client it was over.
/// The two cross each time, for the endpoint answers 8 ms before that end.
#[test]
fn what_is_delivered_in_its_last_moment_is_told_as_failed_and_recorded_so() {
    let life = Duration::from_millis(900);
    let folder = Folder::new("trace-last");
    let (a, at_a) = endpoint(|_, left| {
        thread::sleep(left.saturating_sub(Duration::from_millis(8)));
        200
    });
    let mut relay = Relay::start(&folder, &file(&[a], "flush_ms = 10"));
    let clients = load(relay.address("HTTP"), 3, 1, life);
    assert_eq!(count(&clients, 202), 3);
    until("their ends", || (told(&relay).len() == 3).then_some(()));
    until("their answers", || (answered(&at_a, 200) == 3).then_some(()));
    relay.signal("TERM");
    assert!(relay.ended());
    assert_eq!(crossed(&clients, &[&at_a], &told(&relay), life), taken(&clients));
    let (_, bytes) = recorded(&folder);
    let (s, _) = summary(&bytes);
    assert_eq!((s.all.taken, s.all.failed, s.all.delivered, s.all.returned), (3, 3, 0, 0));
    assert_eq!((s.all.attempts, s.all.succeeded + s.all.timed_out), (3, 3));
    let verdict = verify(&mut Reader::open(Cursor::new(&bytes[..])).unwrap(), &mut |_, _| {}).unwrap();
    assert!(verdict.broken == 0, "{:?}", verdict.told);
    assert_eq!((verdict.flows, verdict.open), (3, 0));
}

#[test]
fn a_flow_that_a_kill_interrupts_is_told_in_both_processes_and_a_folder_that_fails_costs_no_flow() {
    let folder = Folder::new("trace-kill");
    // Nobody is there yet: the flow waits.
    let nobody: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let relay = Relay::start(&folder, &file(&[nobody], "flush_ms = 10"));
    assert_eq!(count(&load(relay.address("HTTP"), 1, 1, LIFE), 202), 1);
    thread::sleep(Duration::from_millis(300));
    relay.kill();
    // The next one's folder goes from under it: it records nothing, and delivers.
    let (a, at_a) = refusing();
    let mut relay = Relay::start(&folder, &file(&[a], "flush_ms = 10"));
    until("its delivery", || (answered(&at_a, 200) == 1).then_some(()));
    thread::sleep(Duration::from_millis(200));
    let (_, bytes) = recorded(&folder);
    std::fs::remove_dir_all(folder.0.join("traces")).unwrap();
    std::fs::write(folder.0.join("traces"), "in the way").unwrap();
    assert_eq!(count(&load(relay.address("HTTP"), 1, 3, LIFE), 202), 3);
    until("all", || (answered(&at_a, 200) == 4).then_some(()));
    relay.signal("TERM");
    assert!(relay.ended());
    let mut kinds = Vec::new();
    let mut reader = Reader::open(Cursor::new(&bytes[..])).unwrap();
    each(
        &mut reader,
        &Selection { flow: Some(1), ..Selection::default() },
        &mut |_, _| {},
        &mut |_, _, event| {
            kinds.push((event.source, onyxstile_trace::about::name(&event)));
            Ok(())
        },
    )
    .unwrap();
    let first = kinds.iter().position(|k| k.1 == "recovered").expect("taken up again");
    assert!(
        kinds[..first].iter().all(|k| k.0 == kinds[0].0) && kinds[first..].iter().all(|k| k.0 != kinds[0].0)
    );
    assert_eq!(kinds[..2].iter().map(|k| k.1).collect::<Vec<_>>(), ["offered", "taken"]);
    assert_eq!(kinds.last().unwrap().1, "ended");
}
