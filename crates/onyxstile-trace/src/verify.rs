//! Whether what a trace tells keeps the relay's rules.
//!
//! Flows are told apart by relay and number. Memory goes with the flows that are open, and a bounded number of those
//! that ended lately. Where events are missing nothing can be proved: a flow that was open then is let go.

use crate::Error;
use crate::events::event::What;
use crate::events::{Effect, End, Event, Flow, Listed, Outcome};
use crate::input::{Progress, Selection, each};
use crate::reader::{Reader, Trouble};
use crate::text::time;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{Read, Seek};

/// Flows that ended lately, remembered for each relay.
const ENDED_MAX: usize = 100_000;
/// Broken rules that are told one by one.
const TOLD_MAX: usize = 100;
/// How long after the list says so a real server may still get something new (PROTOCOL's rule).
const DRAIN_GRACE: u64 = 2_000_000;
/// How late a flow's end may come after its time.
const END_GRACE: u64 = 300_000;

/// A rule that is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Number of the event by which it shows.
    pub event: u64,
    /// Wall time, microseconds since 1970.
    pub at: u64,
    /// What happened.
    pub what: String,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Events seen.
    pub events: u64,
    /// Flows that were taken on or up.
    pub flows: u64,
    /// Of these, ended.
    pub ended: u64,
    /// Still open at the end.
    pub open: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Events that the trace itself says are not in it.
    pub dropped: u64,
    /// Rules broken: how many, and the first of them.
    pub broken: u64,
    /// The first of them.
    pub told: Vec<Broken>,
    /// What is wrong with the file's structure.
    pub structure: Vec<String>,
}

impl Verdict {
    /// No rule is broken and the file is whole.
    pub fn is_good(&self) -> bool {
        self.broken == 0 && self.structure.is_empty()
    }
}

#[derive(Debug, Default)]
struct Open {
    taken: bool,
    out: Option<u32>,
    /// An attempt that may have run.
    risk: bool,
    effect: i32,
    until: Option<u64>,
    /// Its beginning is not in the trace.
    partly: bool,
}

#[derive(Debug, Default)]
struct RelayState {
    open: HashMap<u64, Open>,
    ended: BTreeSet<u64>,
    ended_order: VecDeque<u64>,
    /// Until when nothing may go: by destination, and by real server.
    waits: BTreeMap<String, u64>,
    server_waits: BTreeMap<String, u64>,
    leaving: BTreeMap<String, u64>,
    /// Events are missing: what is not known may have been there.
    partly: bool,
}

/// Holds events against the rules, one after the other.
#[derive(Debug, Default)]
pub struct Rules {
    relays: BTreeMap<String, RelayState>,
    verdict: Verdict,
}

impl Rules {
    /// From here on events of a relay are incomplete.
    pub fn gap(&mut self, relay: &str) {
        let state = self.relays.entry(relay.to_string()).or_default();
        state.partly = true;
        state.open.clear();
        state.waits.clear();
        state.server_waits.clear();
    }

    fn tell(&mut self, event: u64, at: u64, what: String) {
        self.verdict.broken += 1;
        if self.verdict.told.len() < TOLD_MAX {
            self.verdict.told.push(Broken { event, at, what });
        }
    }

    /// The next event: its number, the relay that it comes from, its wall time.
    pub fn take(&mut self, number: u64, relay: &str, at: u64, event: &Event) {
        self.verdict.events += 1;
        if !self.relays.contains_key(relay) {
            self.relays.insert(relay.to_string(), RelayState::default());
        }
        let Some(state) = self.relays.get_mut(relay) else { return };
        let mut wrong: Vec<String> = Vec::new();
        let no = |flow: &Option<Flow>| flow.as_ref().map_or(0, |f| f.number);
        match &event.what {
            Some(What::Offered(e)) => {
                let until = Some(at + e.life_us);
                let open = Open { effect: e.effect, until, ..Open::default() };
                // A number that was turned down may be given again; one that ended may not.
                state.open.insert(no(&e.flow), open);
            }
            Some(What::TurnedDown(e)) => {
                let taken = state.open.remove(&no(&e.flow)).is_some_and(|o| o.taken);
                wrong
                    .extend(taken.then(|| format!("flow {} was taken on and then turned down", no(&e.flow))));
            }
            Some(What::Taken(e)) => {
                self.verdict.flows += 1;
                let flow = no(&e.flow);
                if state.ended.remove(&flow) {
                    wrong.push(format!("flow {flow} was taken on again after its end"));
                }
                let partly = !state.open.contains_key(&flow);
                let open = state.open.entry(flow).or_default();
                if open.taken {
                    wrong.push(format!("flow {flow} was taken on twice"));
                }
                (open.taken, open.partly) = (true, partly);
            }
            Some(What::Recovered(e)) => {
                let flow = no(&e.flow);
                self.verdict.flows += u64::from(!state.open.contains_key(&flow));
                if state.ended.contains(&flow) {
                    wrong.push(format!("flow {flow} was taken up after its end"));
                }
                // Its time counts on from the first process; what ran out meanwhile ends at once.
                let until = Some((at + e.life_us).max(at + 1_200_000));
                let (risk, effect) = (e.may_have_run, e.effect);
                state.open.insert(flow, Open { taken: true, out: None, risk, effect, until, partly: false });
            }
            Some(What::Sent(e)) => {
                self.verdict.attempts += 1;
                let flow = no(&e.flow);
                let destination = e.flow.as_ref().map_or("", |f| &f.destination);
                if state.ended.contains(&flow) {
                    wrong.push(format!("flow {flow} was sent after its end"));
                }
                let unknown = Open { taken: true, partly: true, ..Open::default() };
                let open = state.open.entry(flow).or_insert(unknown);
                if !open.taken {
                    wrong.push(format!("flow {flow} was sent before it was taken on"));
                }
                if let Some(other) = open.out {
                    wrong.push(format!("flow {flow}: attempt {} beside attempt {other}", e.attempt));
                }
                if open.risk && open.effect == Effect::Once as i32 {
                    wrong.push(format!("flow {flow} takes effect once, may have run, and was sent again"));
                }
                if open.until.is_some_and(|until| at > until) {
                    wrong.push(format!("flow {flow} was sent after its time"));
                }
                open.out = Some(e.attempt);
                let waits = [state.waits.get(destination), state.server_waits.get(&e.server)];
                if let Some(until) = waits.into_iter().flatten().find(|until| at < **until) {
                    wrong.push(format!(
                        "flow {flow} was sent to {} of destination {destination} {} us before a told wait ended",
                        e.server,
                        until - at
                    ));
                }
                if state.leaving.get(&e.server).is_some_and(|since| at > since + DRAIN_GRACE) {
                    wrong.push(format!("flow {flow} was sent to {}, which drains or is gone", e.server));
                }
            }
            Some(What::AttemptEnded(e)) => {
                let flow = no(&e.flow);
                let ran = !matches!(
                    Outcome::try_from(e.outcome),
                    Ok(Outcome::Overloaded | Outcome::Unreachable | Outcome::Void)
                );
                if let Some(open) = state.open.get_mut(&flow) {
                    if open.out != Some(e.attempt) && !open.partly {
                        wrong.push(format!("flow {flow}: attempt {} ended and was not out", e.attempt));
                    }
                    open.out = None;
                    open.risk |= ran && e.outcome != Outcome::Success as i32;
                }
            }
            Some(What::WaitTold(e)) => {
                let (map, key) = match e.server_alone {
                    true => (&mut state.server_waits, &e.server),
                    false => (&mut state.waits, &e.destination),
                };
                let until = map.entry(key.clone()).or_default();
                *until = (*until).max(at + e.wait_us);
            }
            Some(What::WaitEnded(e)) => {
                state.waits.remove(&e.destination);
                state.server_waits.remove(&e.server);
            }
            Some(What::ListChanged(e)) => match Listed::try_from(e.state) {
                Ok(Listed::Draining | Listed::Removed) => {
                    state.leaving.entry(e.server.clone()).or_insert(at);
                }
                _ => {
                    state.leaving.remove(&e.server);
                }
            },
            Some(What::Ended(e)) => {
                let flow = no(&e.flow);
                match state.open.remove(&flow) {
                    Some(open) => {
                        self.verdict.ended += 1;
                        if open.out.is_some() && e.end == End::Returned as i32 {
                            wrong.push(format!("flow {flow} was handed back with an attempt out"));
                        }
                        if open.until.is_some_and(|until| at > until + END_GRACE) {
                            wrong.push(format!("flow {flow} ended after its time"));
                        }
                    }
                    None if state.ended.contains(&flow) => wrong.push(format!("flow {flow} ended twice")),
                    None if state.partly => self.verdict.ended += 1,
                    None => wrong.push(format!("flow {flow} ended and was never taken on")),
                }
                if state.ended.insert(flow) {
                    state.ended_order.push_back(flow);
                }
                if state.ended_order.len() > ENDED_MAX
                    && let Some(old) = state.ended_order.pop_front()
                {
                    state.ended.remove(&old);
                }
            }
            Some(What::Dropped(e)) => {
                self.verdict.dropped += e.events;
                self.gap(relay);
            }
            _ => {}
        }
        wrong.into_iter().for_each(|what| self.tell(number, at, what));
    }

    /// What came of it.
    pub fn done(mut self) -> Verdict {
        self.verdict.open =
            self.relays.values().flat_map(|r| r.open.values()).filter(|o| o.taken).count() as u64;
        self.verdict
    }
}

/// Reads a file and holds it against the rules.
///
/// # Errors
/// The file cannot be read.
pub fn verify<R: Read + Seek>(reader: &mut Reader<R>, progress: Progress<'_>) -> Result<Verdict, Error> {
    let header = reader.header().clone();
    let mut rules = Rules::default();
    let relay = |event: &Event| {
        header.sources.get(event.source as usize).map_or(header.relay.as_str(), |s| s.relay.as_str())
    };
    // A piece, or a file that is not a process's first, begins in the middle.
    if header.sequence > 0 || header.piece.as_ref().is_some_and(|p| p.from > 0) {
        rules.gap(&header.relay);
    }
    let mut next = None;
    each(reader, &Selection::default(), progress, &mut |n, _, event| {
        if next.is_some_and(|next| n > next) {
            rules.gap(relay(&event));
        }
        next = Some(n + 1);
        rules.take(n, relay(&event), header.start_us + event.at_us, &event);
        Ok(())
    })?;
    let mut verdict = rules.done();
    verdict.structure = reader.troubles().iter().map(Trouble::to_string).collect();
    if !reader.troubles().contains(&Trouble::NoIndex)
        && let Some(wrong) = check_index(reader)?
    {
        verdict.structure.push(wrong);
    }
    if let Some(counted) = reader.counted()?
        && counted != verdict.events
    {
        verdict.structure.push(format!("the index counts {counted} events; there are {}", verdict.events));
    }
    Ok(verdict)
}

/// Holds the index against the blocks; what is wrong with it.
fn check_index<R: Read + Seek>(reader: &mut Reader<R>) -> Result<Option<String>, Error> {
    let Some((entries, _)) = reader.index(true)? else {
        return Ok(Some("the index cannot be read".into()));
    };
    for entry in &entries {
        let Some(block) = reader.block(entry)? else {
            return Ok(Some(Trouble::WrongIndex(entry.offset).to_string()));
        };
        let times = block.events().map(|(_, e)| e.at_us);
        let span = times.fold((u64::MAX, 0), |(a, b), t| (a.min(t), b.max(t)));
        if span != entry.times {
            let start = reader.header().start_us;
            return Ok(Some(format!(
                "the index says that the block at byte {} is of {}; it is of {}",
                entry.offset,
                time(start + entry.times.0),
                time(start + span.0)
            )));
        }
    }
    Ok(None)
}
