//! The relay's core: the open flows and the effects to carry out for them.
//!
//! It does no input or output and reads no clock; the caller steps it with the clock and carries out the
//! effects in order. Decisions are made by the module ([`Controller`]): the core keeps each flow's payload, its
//! attempts and whether a call is in flight, and turns the module's actions into effects that include the
//! payload. It is independent of any protocol: the front ends define payloads and how a real server is called.

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

/// A flow without its payload.
#[derive(Debug, Serialize, Deserialize)]
struct FlowState {
    destination: DestinationId,
    attempts: u32,
    out: Option<u32>,
}

/// Serialised form of a core for the next process. Payloads are not included: they are stored elsewhere anyway.
#[derive(Debug, Serialize)]
pub struct CoreSnapshot<'a> {
    #[serde(rename = "module")]
    controller: &'a Controller,
    flows: BTreeMap<FlowNo, FlowState>,
}

/// The deserialised counterpart of [`CoreSnapshot`].
#[derive(Debug, Deserialize)]
pub struct RestoredCore {
    #[serde(rename = "module")]
    controller: Controller,
    flows: BTreeMap<FlowNo, FlowState>,
}

/// The open flows and the module that decides about them.
#[derive(Debug)]
pub struct Core<P> {
    controller: Controller,
    flows: BTreeMap<FlowNo, Flow<P>>,
    max_held: usize,
    events: Vec<Event>,
    /// Flows submitted since the last step by a client that waits for the answer.
    submitted: Vec<FlowNo>,
    /// Flows ended by an event since the last step.
    ended: Vec<(FlowNo, End)>,
    /// Destinations that reported a wait since the last step.
    new_waits: BTreeSet<DestinationId>,
    /// No further calls may be sent.
    closing: bool,
}

impl<P: Clone> Core<P> {
    /// Creates a core without flows.
    ///
    /// # Errors
    ///
    /// Invalid settings.
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

    /// The state for the next process; `None` while events are pending, or after [`Core::close`], which the
    /// module has no record of.
    pub fn snapshot(&self) -> Option<CoreSnapshot<'_>> {
        let settled = self.events.is_empty() && self.submitted.is_empty() && self.ended.is_empty();
        let state = |f: &Flow<P>| FlowState { destination: f.destination, attempts: f.attempts, out: f.out };
        let flows = || self.flows.iter().map(|(no, f)| (*no, state(f))).collect();
        (settled && !self.closing).then(|| CoreSnapshot { controller: &self.controller, flows: flows() })
    }

    /// Restores the core of another process with the payloads of its flows; `None` if a payload is missing.
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

    /// The open flows.
    pub fn flows(&self) -> impl Iterator<Item = FlowNo> {
        self.flows.keys().copied()
    }

    /// Sets the proposer that the module asks first from now on (see [`Proposer`]).
    pub fn set_proposer(&mut self, proposer: Box<dyn Proposer>) {
        self.controller.set_proposer(proposer);
    }

    /// Whether `flows` more flows can be held.
    pub fn has_capacity(&self, flows: usize) -> bool {
        self.flows.len() + flows <= self.max_held
    }

    /// Number of open flows.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of calls in flight.
    pub fn open_calls(&self) -> usize {
        self.flows.values().filter(|f| f.out.is_some()).count()
    }

    /// Listed real servers that receive no calls now by the module's decision.
    pub fn avoided(&self) -> BTreeSet<ServerNo> {
        self.controller.avoided().collect()
    }

    /// Endpoints that a restarted process must treat as cold.
    pub fn unhealthy_endpoints(&self) -> impl Iterator<Item = ServerNo> {
        self.controller.unhealthy_endpoints()
    }

    /// Health record of each listed real server: its health, the time of its last answer, and its reported
    /// limit.
    pub fn health_records(&self) -> impl Iterator<Item = (ServerNo, crate::api::Health, Duration, f64)> {
        self.controller.health_records()
    }

    /// Whether events are pending for the next step.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Stops sending calls from now on.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Submits a flow; the next step accepts or rejects it.
    pub fn submit(&mut self, flow: FlowNo, terms: FlowTerms, payload: P) {
        self.resubmit(flow, terms, Past::default(), payload);
    }

    /// Submits a flow that was sent before under another number.
    pub fn resubmit(&mut self, flow: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        self.submitted.push(flow);
        self.insert(flow, terms, past, payload);
    }

    /// Takes over a flow that an earlier process had accepted.
    pub fn recover(&mut self, flow: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        self.insert(flow, terms, past, payload);
    }

    fn insert(&mut self, id: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        let FlowTerms { class, tenant, destination, remaining } = terms;
        self.flows.insert(id, Flow { payload, destination, attempts: past.attempts, out: None });
        let message = NewMessage { id, class, tenant, key: None, destination, remaining, past };
        self.events.push(Event::Message(message));
    }

    /// Withdraws a flow: it needs no answer any more.
    pub fn withdraw(&mut self, flow: FlowNo) {
        if self.flows.remove(&flow).is_some() {
            self.submitted.retain(|f| *f != flow);
            self.events.push(Event::Withdrawn(flow));
        }
    }

    /// Reports the end of a call.
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

    /// Reports the end of a probe.
    pub fn probe_ended(&mut self, server: ServerNo, outcome: Outcome, limit: Option<LimitReport>) {
        self.events.push(Event::Probed { endpoint: server, outcome, limit });
    }

    /// Updates service entries: the complete list if `all`, else the changed entries.
    pub fn update_entries(&mut self, entries: Vec<ServiceEntry>, all: bool) {
        self.events.push(if all { Event::ListReplaced(entries) } else { Event::ListUpdate(entries) });
    }

    /// Marks an endpoint as cold, by reporting it to the module as listed again after a drain.
    pub fn mark_cold(&mut self, entry: ServiceEntry) {
        let draining = ServiceEntry { state: ListState::Draining, ..entry.clone() };
        self.update_entries(vec![draining], false);
        self.update_entries(vec![entry], false);
    }

    /// The limits that endpoints reported, in calls per second.
    pub fn reported_limits(&self) -> impl Iterator<Item = (ServerNo, f64)> {
        self.controller
            .health_records()
            .filter(|(_, _, _, limit)| *limit > 0.0)
            .map(|(no, _, _, limit)| (no, limit))
    }

    /// Restores a limit that an endpoint reported to an earlier process, as a probe without any other result.
    pub fn restore_limit(&mut self, server: ServerNo, rate: f64) {
        self.probe_ended(server, Outcome::Void, Some(LimitReport { left: 0.0, rate }));
    }

    /// Reports that a timer is due.
    pub fn wake(&mut self) {
        self.events.push(Event::Wake(0));
    }
}

#[cfg(test)]
mod tests;
