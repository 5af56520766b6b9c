//! What the records add up to.

use super::record::{Owed, Progress, Record, Started, TakenFlow};
use crate::core::FlowNo;
use onyxstile_peers::Fate;
use onyxstile_peers::book::id_digest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Flows that are over and still known by their ids, at most, and for how long: a client that hands one in again does so
/// within its time. Without a bound the file would grow with all that was ever delivered.
const OVER_MOST: usize = 1024;
const OVER_MEMORY: Duration = Duration::from_secs(120);
/// Bytes of such a record, and of one of a wait, an illness or a limit, beside its name.
const OVER_BYTES: u64 = 26;
const WAIT_BYTES: u64 = 21;
/// Bytes of a start's record and of the times in a rewritten file, at most.
const START_BYTES: u64 = 200;

/// What the records add up to.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The open flows.
    pub open: BTreeMap<FlowNo, (TakenFlow, Progress)>,
    /// What is owed for flows that are over.
    pub owed: BTreeMap<FlowNo, Owed>,
    /// Real servers that operators have banned.
    pub bans: BTreeSet<String>,
    /// Endpoints that were down or cold when that was last written down.
    pub ill: BTreeSet<String>,
    /// Limits that endpoints told, calls a second.
    pub limits: BTreeMap<String, f64>,
    /// The number of the next flow.
    pub next: u64,
    /// The latest start of a process, where starts are written down.
    pub started: Option<Started>,
    /// The last process ended in order.
    pub closed: bool,
    /// The latest time that was written down.
    pub moment: Duration,
    /// When the open flows were taken on, at the earliest; only where times are written down.
    pub taken: BTreeMap<FlowNo, Duration>,
    /// Waits that real servers told, by lasting name; only where times are written down.
    pub waits: BTreeMap<String, Duration>,
    /// Flows that are over, by the digest of their ids, the oldest first; only where times are written down.
    pub over: VecDeque<(u64, Fate, Duration)>,
    /// From when on none of those is missing.
    pub over_from: Duration,
}

impl Ledger {
    pub(super) fn apply(&mut self, record: &Record) {
        self.closed = matches!(record, Record::Closed(_));
        match record {
            Record::Taken(no, flow) => {
                self.next = self.next.max(no.0 + 1);
                self.open.insert(*no, (flow.clone(), Progress::default()));
                if !self.moment.is_zero() {
                    self.taken.insert(*no, self.moment);
                }
            }
            Record::Sent(no, to) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    p.attempts += 1;
                    // Guards keyed flows after a second kill: a call whose end was never written down was out when
                    // a process died, and may have run, whatever becomes of this one.
                    let lost = p.out.replace(to.clone());
                    p.risk = p.risk.take().or(lost);
                }
            }
            Record::CallEnded(no, never_ran) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    let out = p.out.take().filter(|_| !never_ran);
                    p.risk = p.risk.take().or(out);
                }
            }
            Record::Ended(no, owed) => {
                self.taken.remove(no);
                if let Some((flow, _)) = self.open.remove(no) {
                    let fate = match owed {
                        None => Fate::Delivered,
                        Some(Owed { returned_after: Some(_), .. }) => Fate::Returned,
                        Some(_) => Fate::Ended,
                    };
                    self.remember(id_digest(&flow.parcel.id), fate, self.moment);
                }
                if let Some(owed) = owed {
                    self.owed.insert(*no, owed.clone());
                }
                self.next = self.next.max(no.0 + 1);
            }
            Record::Bounced(no, new, flow) => {
                self.apply(&Record::Ended(*no, None));
                self.apply(&Record::Taken(*new, flow.clone()));
            }
            Record::Noticed(no) => {
                self.owed.remove(no);
            }
            Record::Progress(no, progress) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    *p = progress.clone();
                }
            }
            Record::Banned(uid, true) => {
                self.bans.insert(uid.clone());
            }
            Record::Banned(uid, false) => {
                self.bans.remove(uid);
            }
            Record::Ill(uid, true) => {
                self.ill.insert(uid.clone());
            }
            Record::Ill(uid, false) => {
                self.ill.remove(uid);
            }
            Record::Limit(uid, rate) if *rate > 0.0 => {
                self.limits.insert(uid.clone(), *rate);
            }
            Record::Limit(uid, _) => {
                self.limits.remove(uid);
            }
            Record::Next(no) => self.next = self.next.max(no.0),
            Record::Started(started) => {
                self.moment = self.moment.max(started.at);
                if self.started.replace(started.clone()).is_none() {
                    self.over_from = started.at;
                }
            }
            // As it stands: in a rewritten file times of older flows come after the latest one.
            Record::Moment(at) | Record::Closed(at) => self.moment = *at,
            Record::Wait(uid, until) => {
                let now = self.moment;
                self.waits.retain(|_, until| *until > now);
                self.waits.insert(uid.clone(), *until);
            }
            Record::Over(digest, fate, at) => self.remember(*digest, *fate, *at),
            Record::OverFrom(at) => self.over_from = *at,
        }
    }

    /// The records that make these the endpoints that are down or cold, and these the limits that endpoints tell.
    pub fn sights(&self, ill: &BTreeSet<String>, told: &BTreeMap<String, f64>) -> Vec<Record> {
        let fell = ill.difference(&self.ill).map(|uid| Record::Ill(uid.clone(), true));
        let rose = self.ill.difference(ill).map(|uid| Record::Ill(uid.clone(), false));
        let new = told.iter().filter(|(uid, rate)| self.limits.get(*uid) != Some(rate));
        let new = new.map(|(uid, rate)| Record::Limit(uid.clone(), *rate));
        let gone = self.limits.keys().filter(|uid| !told.contains_key(*uid));
        let gone = gone.map(|uid| Record::Limit(uid.clone(), 0.0));
        fell.chain(rose).chain(new).chain(gone).collect()
    }

    fn remember(&mut self, digest: u64, fate: Fate, at: Duration) {
        if at.is_zero() {
            return;
        }
        self.over.push_back((digest, fate, at));
        let old = |o: &(u64, Fate, Duration)| o.2 + OVER_MEMORY < at;
        while self.over.len() > OVER_MOST || self.over.front().is_some_and(old) {
            if let Some((_, _, at)) = self.over.pop_front() {
                self.over_from = self.over_from.max(at);
            }
        }
    }

    /// Bytes in a new file beside flows, what is owed and bans.
    pub(super) fn more_bytes(&self) -> u64 {
        let waits: u64 = self.waits.keys().map(|uid| uid.len() as u64 + WAIT_BYTES).sum();
        let start = if self.started.is_some() { START_BYTES } else { 0 };
        let known = self.ill.iter().chain(self.limits.keys());
        let known: u64 = known.map(|uid| uid.len() as u64 + WAIT_BYTES).sum();
        start + waits + known + self.over.len() as u64 * OVER_BYTES
    }

    /// The shortest list of records that adds up to this.
    pub(super) fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let started = self.started.iter().cloned().map(Record::Started);
        let over = self.over.iter().map(|(digest, fate, at)| Record::Over(*digest, *fate, *at));
        let from = self.started.iter().map(|_| Record::OverFrom(self.over_from));
        let waits = self.waits.iter().map(|(uid, until)| Record::Wait(uid.clone(), *until));
        let open = self.open.iter().flat_map(|(no, (flow, progress))| {
            let taken = self.taken.get(no).map(|at| Record::Moment(*at));
            let flow = [Record::Taken(*no, flow.clone()), Record::Progress(*no, progress.clone())];
            taken.into_iter().chain(flow)
        });
        let owed = self.owed.iter().map(|(no, owed)| Record::Ended(*no, Some(owed.clone())));
        let bans = self.bans.iter().map(|uid| Record::Banned(uid.clone(), true));
        let ill = self.ill.iter().map(|uid| Record::Ill(uid.clone(), true));
        let last = Some(self.moment).filter(|at| !at.is_zero()).map(Record::Moment);
        let before = started.chain(over).chain(from);
        let now = before.chain([Record::Next(FlowNo(self.next))]).chain(bans).chain(open).chain(owed);
        let limits = self.limits.iter().map(|(uid, rate)| Record::Limit(uid.clone(), *rate));
        now.chain(ill).chain(limits).chain(last).chain(waits)
    }
}
