//! A relay without sockets: module, core and journal, connected as in the owner, and a partner that counts its
//! calls. Clock and random numbers are controlled by the test.
#![allow(dead_code, missing_docs)]

mod fleet;
pub mod rng;

use crate::common::ms;
pub use fleet::{Fleet, OUTAGE_KINDS, OutageKind, Partner};
use onyxstile::api::*;
use onyxstile::core::wakes::Wakes;
use onyxstile::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms, ServerNo};
use onyxstile::net::journal::{Journal, Owed, Record, SentTo, TakenFlow};
use onyxstile::net::parcel::Parcel;
use onyxstile::net::upgrade::state;
use onyxstile_recovery::Durability;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

pub type RelayEffect = Effect<Rc<Parcel>>;

/// Start of every clock.
pub const START: Duration = Duration::from_secs(1_000_000);

/// Where in a step the process is killed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kill {
    /// Before any of it was written.
    Unwritten,
    /// With this many bytes missing at the end of the file.
    Torn(u64),
    /// After everything was written, before any effect.
    Written,
}

/// A relay's process and its persistent folder.
pub struct Relay {
    pub core: Core<Rc<Parcel>>,
    pub journal: Journal,
    pub wakes: Wakes,
    folder: PathBuf,
    settings: Settings,
    seed: u64,
    limit: u64,
    waiting: Vec<(FlowNo, TakenFlow)>,
    unwritten: Vec<Record>,
    next: u64,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Relay {
    pub fn new(settings: &Settings, seed: u64, limit: u64, now: Duration) -> Relay {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let name = format!("onyxstile-cluster-{}-{}", std::process::id(), LAST.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        let (journal, core) = (
            Journal::open(&folder, limit, Durability::Process).unwrap(),
            Core::new(settings.clone(), seed, now).unwrap(),
        );
        let (settings, waiting, unwritten) = (settings.clone(), Vec::new(), Vec::new());
        Relay {
            core,
            journal,
            wakes: Wakes::default(),
            folder,
            settings,
            seed,
            limit,
            waiting,
            unwritten,
            next: 1,
        }
    }

    /// Submits a flow, if there is capacity.
    pub fn submit(
        &mut self, class: usize, destination: DestinationId, deadline: Duration, now: Duration,
    ) -> Option<FlowNo> {
        if !self.core.has_capacity(1) || !self.journal.has_room(1, 1024) {
            return None;
        }
        let no = FlowNo(self.next);
        self.next += 1;
        let parcel = Rc::new(Parcel {
            id: format!("f{}", no.0),
            key: None,
            mail: None,
            routed: None,
            body: [7; 8][..].into(),
        });
        let (class_name, destination_no) = (class.to_string(), destination.0);
        let flow = TakenFlow {
            deadline,
            class: class_name,
            tenant: None,
            destination: destination_no,
            parcel: parcel.clone(),
            resend_of: None,
        };
        self.waiting.push((no, flow));
        self.core.submit(no, terms(class, destination, deadline.saturating_sub(now)), parcel);
        Some(no)
    }

    /// The client cancels the flow.
    pub fn cancel(&mut self, flow: FlowNo) {
        self.core.withdraw(flow);
        self.waiting.retain(|(no, _)| *no != flow);
        if self.journal.ledger().open.contains_key(&flow) {
            self.unwritten.push(Record::Ended(flow, None));
        }
    }

    pub fn call_ended(&mut self, end: CallEnd) {
        self.unwritten.push(Record::CallEnded(end.flow, end.outcome.never_ran()));
        self.core.call_ended(end);
    }

    pub fn notice_delivered(&mut self, flow: FlowNo) {
        self.unwritten.push(Record::Noticed(flow));
    }

    /// Steps until no events are left; records are written to the journal before effects are returned. `None` if
    /// killed.
    pub fn step(&mut self, now: Duration, kill: Option<Kill>) -> Option<Vec<RelayEffect>> {
        if self.wakes.take_due(now) {
            self.core.wake();
        }
        let mut all = Vec::new();
        loop {
            let mut effects = Vec::new();
            self.core.step(now, &mut effects);
            let mut records = std::mem::take(&mut self.unwritten);
            for effect in &effects {
                match effect {
                    Effect::Accepted(no, _) => {
                        let flow = self.waiting.iter().find(|w| w.0 == *no).unwrap().1.clone();
                        records.push(Record::Taken(*no, flow));
                    }
                    Effect::Call { flow, server, .. } => {
                        records.push(Record::Sent(*flow, SentTo { at: now, server: server.0.to_string() }));
                    }
                    Effect::Ended(no, parcel, end) => {
                        records.push(Record::Ended(*no, Owed::of(&parcel.id, *end)));
                    }
                    Effect::Wake(after) => self.wakes.add(now + *after),
                    _ => {}
                }
            }
            self.waiting.clear();
            if kill == Some(Kill::Unwritten) {
                return None;
            }
            let path = self.folder.join("journal");
            let before = std::fs::metadata(&path).unwrap().len();
            self.journal.write(&records).unwrap();
            if let Some(Kill::Torn(bytes)) = kill {
                let length = std::fs::metadata(&path).unwrap().len();
                let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
                // Data from before the step cannot be torn by it.
                let least = if length > before { before } else { length };
                file.set_len(length.saturating_sub(bytes).max(least)).unwrap();
            }
            if kill.is_some() {
                return None;
            }
            self.write_health_records();
            all.append(&mut effects);
            if !self.core.has_events() {
                return Some(all);
            }
        }
    }

    /// Records which endpoints are down or cold, and the reported limits, like `net::owner::endpoint_records`.
    fn write_health_records(&mut self) {
        let unhealthy = self.core.unhealthy_endpoints().map(|no| no.0.to_string()).collect();
        let limits = self.core.reported_limits().map(|(no, rate)| (no.0.to_string(), rate)).collect();
        let records = self.journal.ledger().sights(&unhealthy, &limits);
        self.journal.write(&records).unwrap();
    }

    /// The next process takes over with the core as written by this one and the same journal. False while events
    /// are pending.
    pub fn upgrade(&mut self) -> bool {
        let Some(written) = self.core.snapshot().filter(|_| self.unwritten.is_empty()) else { return false };
        let bytes = state::write(&written).unwrap();
        let journal = Journal::beside(&self.folder, self.limit, self.journal.length()).unwrap();
        let parcel = |no: FlowNo| journal.ledger().open.get(&no).map(|(f, _)| f.parcel.clone());
        self.core = Core::restore(state::read(&bytes).unwrap(), self.settings.max_held, parcel).unwrap();
        self.journal = journal;
        true
    }

    /// The next process continues from the journal, like `net::owner::recovery`.
    pub fn restart(&mut self, entries: Vec<EndpointInfo>, now: Duration) {
        self.seed += 1;
        self.core = Core::new(self.settings.clone(), self.seed, now).unwrap();
        self.journal = Journal::open(&self.folder, self.limit, Durability::Process).unwrap();
        (self.wakes, self.next) = (Wakes::default(), self.journal.ledger().next.max(self.next));
        self.wakes.add(now);
        self.waiting.clear();
        self.unwritten.clear();
        self.core.update_entries(entries.clone(), true);
        // Endpoints that were down or cold are treated as cold.
        let unhealthy = |e: &&EndpointInfo| self.journal.ledger().ill.contains(&e.id.0.to_string());
        for entry in entries.iter().filter(unhealthy) {
            self.core.mark_cold(entry.clone());
        }
        for entry in &entries {
            if let Some(rate) = self.journal.ledger().limits.get(&entry.id.0.to_string()) {
                self.core.restore_limit(entry.id, *rate);
            }
        }
        let open: Vec<_> = self.journal.ledger().open.iter().map(|(no, f)| (*no, f.clone())).collect();
        for (no, (flow, progress)) in open {
            let past = progress.past(now, |server| ServerNo(server.parse().unwrap()));
            let terms = terms(
                flow.class.parse().unwrap(),
                DestinationId(flow.destination),
                flow.deadline.saturating_sub(now),
            );
            self.core.recover(no, terms, past, flow.parcel.clone());
        }
    }
}

fn terms(class: usize, destination: DestinationId, remaining: Duration) -> FlowTerms {
    FlowTerms { class: ClassId(class), tenant: None, destination, remaining }
}

pub fn end(flow: FlowNo, attempt: u32, server: ServerNo, outcome: Outcome, elapsed: Duration) -> CallEnd {
    CallEnd { flow, attempt, server, outcome, finished: None, elapsed, limit: None }
}
