//! A recorded day again: the same flows at the same times, to stand-ins that behave as the trace says, through a
//! relay by another configuration.
//!
//! Of each real server the trace tells, second by second, how many calls it answered, how fast, and whether it
//! turned calls away, answered none, or could not be reached. A stand-in does the same at the same second. Where a
//! second was quiet it keeps what it did before; what it would have done under more load than the day had, no trace
//! can tell: a limit shows only where it was met.

use crate::Failed;
use crate::http::Wire;
use crate::partner::{Ability, Mood, Partner};
use crate::relay::{Folder, Relay};
use onyxstile_trace::Reader;
use onyxstile_trace::events::event::What;
use onyxstile_trace::events::{Listed, Outcome};
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::merge::merge;
use onyxstile_trace::summary::{Counts, Summary};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What a real server did in a second.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Second {
    answered: u64,
    answer_us: u64,
    refused: u64,
    silent: u64,
    unreachable: u64,
    errors: u64,
    /// The longest wait that it told, microseconds.
    wait_us: u64,
}

/// A flow as it was handed in.
#[derive(Debug, Clone)]
struct Offer {
    at_us: u64,
    class: String,
    customer: String,
    destination: String,
    id: String,
    life_us: u64,
    size: u32,
}

/// A recorded day.
#[derive(Debug, Default)]
pub struct Day {
    offers: Vec<Offer>,
    /// Real servers: destination, and what each did by second.
    servers: BTreeMap<String, (String, BTreeMap<u64, Second>)>,
    counts: Counts,
}

/// Flows of a day that are replayed, at most: they are all in memory.
const OFFERS_MAX: usize = 2_000_000;

impl Day {
    /// Reads a day from a trace.
    ///
    /// # Errors
    /// It cannot be read, or has too many flows.
    pub fn read(path: &Path) -> Result<Day, Failed> {
        let mut reader = Reader::open(File::open(path)?)?;
        let (mut day, mut began) = (Day::default(), None);
        let mut summary = Summary::new(u64::MAX, 1, reader.header().sampled);
        each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
            summary.add(event.at_us, &event);
            let at = event.at_us - *began.get_or_insert(event.at_us);
            match event.what {
                Some(What::Offered(e)) if day.offers.len() < OFFERS_MAX => {
                    let flow = e.flow.unwrap_or_default();
                    day.offers.push(Offer {
                        at_us: at,
                        class: flow.class,
                        customer: flow.customer,
                        destination: flow.destination,
                        id: e.id,
                        life_us: e.life_us,
                        size: e.size,
                    });
                }
                Some(What::ListChanged(e)) if e.state == Listed::Up as i32 => {
                    day.servers.entry(e.server).or_default().0 = e.destination;
                }
                Some(What::AttemptEnded(e)) => {
                    let destination = e.flow.unwrap_or_default().destination;
                    let (of, seconds) = day.servers.entry(e.server).or_default();
                    *of = destination;
                    // A call belongs to the second in which it was sent.
                    let sent = at.saturating_sub(e.elapsed_us) / 1_000_000;
                    let second = seconds.entry(sent).or_default();
                    match Outcome::try_from(e.outcome) {
                        Ok(Outcome::Success) => {
                            second.answered += 1;
                            second.answer_us += e.elapsed_us;
                        }
                        Ok(Outcome::Overloaded) => second.refused += 1,
                        Ok(Outcome::TimedOut) => second.silent += 1,
                        Ok(Outcome::Unreachable | Outcome::Broken) => second.unreachable += 1,
                        Ok(Outcome::Failure) => second.errors += 1,
                        _ => {}
                    }
                }
                Some(What::WaitTold(e)) => {
                    let (_, seconds) = day.servers.entry(e.server).or_default();
                    let second = seconds.entry(at / 1_000_000).or_default();
                    second.wait_us = second.wait_us.max(e.wait_us);
                }
                _ => {}
            }
            Ok(())
        })?;
        summary.close();
        day.counts = summary.all;
        if day.offers.len() >= OFFERS_MAX {
            return Err(format!("over {OFFERS_MAX} flows; cut a piece first").into());
        }
        Ok(day)
    }

    /// How long it is.
    pub fn length(&self) -> Duration {
        Duration::from_micros(self.offers.last().map_or(0, |o| o.at_us))
    }
}

/// How a stand-in behaves in a second of which the trace tells something.
pub fn behaviour(s: &Second) -> (Ability, Mood) {
    let pace = Duration::from_micros(s.answer_us / s.answered.max(1)).max(Duration::from_millis(1));
    let mood = match s {
        _ if s.answered > 0 => Mood::Well,
        _ if s.silent > 0 => Mood::Hangs,
        _ if s.unreachable > 0 => Mood::Gone,
        _ if s.errors > 0 => Mood::Fails,
        _ if s.refused > 0 => Mood::Refuses((s.wait_us > 0).then(|| Duration::from_micros(s.wait_us))),
        _ => Mood::Well,
    };
    // A limit shows where it was met: it let through what was answered.
    let limit = (s.refused > 0 && s.answered > 0).then_some((s.answered as usize, Duration::from_secs(1)));
    (Ability { pace, limit, tells: s.wait_us > 0, cold: None }, mood)
}

/// What came of it: as recorded, and now.
#[derive(Debug, Serialize)]
pub struct Replayed {
    /// By the trace.
    pub recorded: Counts,
    /// By the trace of the new run.
    pub now: Counts,
}

/// Plays a day through a relay. `config`: an operator's file without real servers, which are the stand-ins'.
/// `seconds`: so much of the day, from its beginning.
///
/// # Errors
/// Something does not start.
pub async fn replay(binary: &Path, day: &Day, config: &str, seconds: u64) -> Result<Replayed, Failed> {
    let folder = Folder::new("replay")?;
    let mut text =
        format!("{config}\n[trace]\nfolder = \"traces\"\ntotal_mb = 1000\nfile_mb = 64\nbuffer = 100000\n");
    let began = Rc::new(std::cell::Cell::new(None::<Instant>));
    for (name, (destination, seconds)) in &day.servers {
        let first = seconds.values().find(|s| s.answered > 0).map(behaviour);
        let partner = Partner::start(first.map_or_else(Ability::default, |f| f.0)).await?;
        let number: u64 =
            destination.parse().map_err(|_| format!("destination `{destination}` is no number"))?;
        let quoted = serde_json::to_string(name)?;
        text += &format!(
            "[[server]]\nuid = {quoted}\naddress = \"{}\"\nprotocol = \"http\"\ndestination = {number}\n",
            partner.address
        );
        let (script, began) = (seconds.clone(), began.clone());
        spawn_local(async move {
            let start = loop {
                match began.get() {
                    Some(start) => break start,
                    None => sleep(Duration::from_millis(5)).await,
                }
            };
            for (at, second) in script {
                sleep_until(start + Duration::from_secs(at)).await;
                let (ability, mood) = behaviour(&second);
                partner.able(ability);
                partner.set(mood);
            }
            // It stays as it was in its last second, for as long as the relay runs.
            std::future::pending::<()>().await;
        });
    }
    let mut relay = Relay::start(binary, &folder.0, &text).await?;
    let start = Instant::now();
    began.set(Some(start));
    let address = relay.address;
    let kept: Rc<std::cell::RefCell<Vec<Wire>>> = Rc::default();
    let mut clients = Vec::new();
    let mut longest = Duration::ZERO;
    for offer in day.offers.iter().filter(|o| o.at_us < seconds.saturating_mul(1_000_000)) {
        sleep_until(start + Duration::from_micros(offer.at_us)).await;
        longest = longest.max(Duration::from_micros(offer.life_us));
        let (offer, kept) = (offer.clone(), kept.clone());
        clients.push(spawn_local(async move {
            let account = match offer.customer.as_str() {
                "" => String::new(),
                name => format!("X-Account: {name}\r\n"),
            };
            let request = format!(
                "POST /{} HTTP/1.1\r\nHost: replay\r\nX-Correlation-Id: {}\r\nEnvelope: dest={}\r\n\
                 X-Time-Left-Ms: {}\r\nIdempotency-Key: {}\r\n{account}Content-Length: {}\r\n\r\n{}",
                offer.class,
                offer.id,
                offer.destination,
                offer.life_us / 1000,
                offer.id,
                offer.size,
                "x".repeat(offer.size as usize)
            );
            let wire = kept.borrow_mut().pop();
            let wire = match wire {
                Some(wire) => Ok(wire),
                None => Wire::to(address, None).await,
            };
            if let Ok(mut wire) = wire
                && wire.ask(&request).await.is_ok()
                && kept.borrow().len() < 128
            {
                kept.borrow_mut().push(wire);
            }
        }));
    }
    for client in clients {
        client.await?;
    }
    // Flows that were taken on end by their time at the latest.
    sleep(longest.min(Duration::from_secs(60)) + Duration::from_secs(1)).await;
    relay.stop().await?;
    let entries = std::fs::read_dir(folder.0.join("traces"))?;
    let mut paths: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.sort();
    let merged = folder.0.join("merged.trace");
    merge(&paths, &BTreeMap::new(), std::io::BufWriter::new(File::create(&merged)?), &mut |_, _| {})?;
    let now = Day::read(&merged)?.counts;
    Ok(Replayed { recorded: day.counts.clone(), now })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_is_played_as_it_was() {
        let second = Second::default();
        let played = |s: Second| behaviour(&s);
        let (ability, mood) = played(Second { answered: 10, answer_us: 50_000, ..second.clone() });
        assert_eq!(
            (ability.pace, ability.limit.is_none(), mood),
            (Duration::from_millis(5), true, Mood::Well)
        );
        let (ability, _) =
            played(Second { answered: 10, answer_us: 50_000, refused: 3, wait_us: 9, ..second.clone() });
        assert_eq!((ability.limit, ability.tells), (Some((10, Duration::from_secs(1))), true));
        assert_eq!(played(Second { silent: 2, ..second.clone() }).1, Mood::Hangs);
        assert_eq!(played(Second { unreachable: 2, ..second.clone() }).1, Mood::Gone);
        assert_eq!(played(Second { refused: 2, ..second.clone() }).1, Mood::Refuses(None));
        assert_eq!(played(Second { errors: 2, ..second }).1, Mood::Fails);
    }
}
