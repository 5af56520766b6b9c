//! The relay's core: which flows are open, and what has to be done for them.
//!
//! It does no input or output and reads no clock; a caller steps it with the clock and carries out the
//! effects in order. The decisions are the module's ([`Controller`]): the core keeps each flow's payload, its
//! attempts and whether one is out, and turns the module's actions into effects that name the payload. It
//! knows no wire; what a payload is and how a real server is called is the business of the fronts.

mod step;
mod terms;
pub mod wakes;
pub mod watchdog;

use crate::Controller;
use crate::api::{AttemptEnd, DestinationId, Event, LimitReport, ListState, NewMessage, Past, Proposer};
pub use crate::api::{
    EndpointId as ServerNo, EndpointInfo as ServiceEntry, MessageId as FlowNo, Outcome, Settings,
    SettingsError,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
pub use terms::{CallEnd, Effect, End, FlowTerms};

#[derive(Debug)]
struct Flow<P> {
    payload: P,
    destination: DestinationId,
    attempts: u32,
    out: Option<u32>,
}

/// A flow, but for its payload.
#[derive(Debug, Serialize, Deserialize)]
struct FlowState {
    destination: DestinationId,
    attempts: u32,
    out: Option<u32>,
}

/// What another process needs to go on with a core: the payloads, which outlive a process anyway, are not in it.
#[derive(Debug, Serialize)]
pub struct CoreSnapshot<'a> {
    #[serde(rename = "module")]
    controller: &'a Controller,
    flows: BTreeMap<FlowNo, FlowState>,
}

/// The same, as it was read.
#[derive(Debug, Deserialize)]
pub struct RestoredCore {
    #[serde(rename = "module")]
    controller: Controller,
    flows: BTreeMap<FlowNo, FlowState>,
}

/// The open flows, and the module that decides about them.
#[derive(Debug)]
pub struct Core<P> {
    controller: Controller,
    flows: BTreeMap<FlowNo, Flow<P>>,
    max_held: usize,
    events: Vec<Event>,
    /// Flows handed in since the last step by someone who waits for the answer.
    submitted: Vec<FlowNo>,
    /// Flows that an event since the last step has ended.
    ended: Vec<(FlowNo, End)>,
    /// Destinations that told a wait since the last step.
    new_waits: BTreeSet<DestinationId>,
    /// No new call may go out any more.
    closing: bool,
}

impl<P: Clone> Core<P> {
    /// A core with no flows.
    ///
    /// # Errors
    /// Settings that cannot work.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        Ok(Core {
            max_held: settings.max_held,
            controller: Controller::new(settings, seed, now)?,
            flows: BTreeMap::new(),
            events: Vec::new(),
            submitted: Vec::new(),
            ended: Vec::new(),
            new_waits: BTreeSet::new(),
            closing: false,
        })
    }

    /// What another process needs to go on; none while something has come in that was not decided on, or where no
    /// call may go out any more, of which the module knows nothing.
    pub fn snapshot(&self) -> Option<CoreSnapshot<'_>> {
        let settled = self.events.is_empty() && self.submitted.is_empty() && self.ended.is_empty();
        let state = |f: &Flow<P>| FlowState { destination: f.destination, attempts: f.attempts, out: f.out };
        let flows = || self.flows.iter().map(|(no, f)| (*no, state(f))).collect();
        (settled && !self.closing).then(|| CoreSnapshot { controller: &self.controller, flows: flows() })
    }

    /// The core that another process had, with the payloads of its flows. None if a flow has none.
    pub fn restore(
        saved: RestoredCore, max_held: usize, mut payload: impl FnMut(FlowNo) -> Option<P>,
    ) -> Option<Self> {
        let with = |(no, FlowState { destination, attempts, out })| {
            Some((no, Flow { payload: payload(no)?, destination, attempts, out }))
        };
        let flows = saved.flows.into_iter().map(with).collect::<Option<_>>()?;
        let (events, submitted, ended, new_waits) = (Vec::new(), Vec::new(), Vec::new(), BTreeSet::new());
        Some(Core {
            controller: saved.controller,
            flows,
            max_held,
            events,
            submitted,
            ended,
            new_waits,
            closing: false,
        })
    }

    /// The flows that are open.
    pub fn flows(&self) -> impl Iterator<Item = FlowNo> {
        self.flows.keys().copied()
    }

    /// From now on the module asks the proposer first (see [`Proposer`]).
    pub fn set_proposer(&mut self, proposer: Box<dyn Proposer>) {
        self.controller.set_proposer(proposer);
    }

    /// Whether so many more flows may be held.
    pub fn has_capacity(&self, flows: usize) -> bool {
        self.flows.len() + flows <= self.max_held
    }

    /// How many flows are open.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// How many calls are out.
    pub fn open_calls(&self) -> usize {
        self.flows.values().filter(|f| f.out.is_some()).count()
    }

    /// Real servers that are listed and get nothing now, by the module's choice.
    pub fn avoided(&self) -> BTreeSet<ServerNo> {
        self.controller.avoided().collect()
    }

    /// Endpoints that a process which begins anew has to meet with care.
    pub fn unhealthy_endpoints(&self) -> impl Iterator<Item = ServerNo> {
        self.controller.unhealthy_endpoints()
    }

    /// What the module has seen of each listed real server: its health, when it was last heard, and its told limit.
    pub fn health_records(&self) -> impl Iterator<Item = (ServerNo, crate::api::Health, Duration, f64)> {
        self.controller.health_records()
    }

    /// Whether a step has something to work on.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// From now on no call goes out.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// A flow was handed in; the next step says whether it is taken.
    pub fn submit(&mut self, flow: FlowNo, terms: FlowTerms, payload: P) {
        self.resubmit(flow, terms, Past::default(), payload);
    }

    /// The same for one that was sent before, as another flow.
    pub fn resubmit(&mut self, flow: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        self.submitted.push(flow);
        self.insert(flow, terms, past, payload);
    }

    /// A flow that an earlier process had taken.
    pub fn recover(&mut self, flow: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        self.insert(flow, terms, past, payload);
    }

    fn insert(&mut self, id: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        let FlowTerms { class, tenant, destination, remaining } = terms;
        self.flows.insert(id, Flow { payload, destination, attempts: past.attempts, out: None });
        let message = NewMessage { id, class, tenant, key: None, destination, remaining, past };
        self.events.push(Event::Message(message));
    }

    /// Nobody wants the flow any more, and nothing is owed for it.
    pub fn withdraw(&mut self, flow: FlowNo) {
        if self.flows.remove(&flow).is_some() {
            self.submitted.retain(|f| *f != flow);
            self.events.push(Event::Withdrawn(flow));
        }
    }

    /// A call ended.
    pub fn call_ended(&mut self, end: CallEnd) {
        let CallEnd { flow, attempt, server, outcome, finished, elapsed, limit } = end;
        let mut terminal = true;
        if let Some(f) = self.flows.get_mut(&flow) {
            f.out = f.out.filter(|a| *a != attempt);
            let end = finished.or((outcome == Outcome::Success).then_some(End::Delivered));
            terminal = end.is_some();
            if matches!(outcome, Outcome::Overloaded { wait: Some(_) }) {
                self.new_waits.insert(f.destination);
            }
            self.ended.extend(end.map(|end| (flow, end)));
        }
        let end = AttemptEnd { id: flow, attempt, endpoint: server, outcome, elapsed, terminal, limit };
        self.events.push(Event::Outcome(end));
    }

    /// A probe ended.
    pub fn probe_ended(&mut self, server: ServerNo, outcome: Outcome, limit: Option<LimitReport>) {
        self.events.push(Event::Probed { endpoint: server, outcome, limit });
    }

    /// Service entries came: all there are, or those that changed.
    pub fn update_entries(&mut self, entries: Vec<ServiceEntry>, all: bool) {
        self.events.push(if all { Event::ListReplaced(entries) } else { Event::ListUpdate(entries) });
    }

    /// An endpoint is cold: what has been put back after a drain is, and that is what the module is told.
    pub fn mark_cold(&mut self, entry: ServiceEntry) {
        let drains = ServiceEntry { state: ListState::Draining, ..entry.clone() };
        self.update_entries(vec![drains], false);
        self.update_entries(vec![entry], false);
    }

    /// The limits that endpoints told, calls a second.
    pub fn reported_limits(&self) -> impl Iterator<Item = (ServerNo, f64)> {
        self.controller
            .health_records()
            .filter(|(_, _, _, limit)| *limit > 0.0)
            .map(|(no, _, _, limit)| (no, limit))
    }

    /// An endpoint told this limit before this process began: what a probe would have found that says nothing else.
    pub fn restore_limit(&mut self, server: ServerNo, rate: f64) {
        self.probe_ended(server, Outcome::Void, Some(LimitReport { left: 0.0, rate }));
    }

    /// A timer is due.
    pub fn wake(&mut self) {
        self.events.push(Event::Wake(0));
    }
}

#[cfg(test)]
mod tests;
