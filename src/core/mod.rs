//! The relay's core: which flows are open, and what has to be done for them.
//!
//! It does no input or output and reads no clock; a caller steps it with the clock and carries out the
//! effects in order. The decisions are the module's ([`Controller`]): the core keeps each flow's payload, its
//! attempts and whether one is out, and turns the module's actions into effects that name the payload. It
//! knows no wire; what a payload is and how a real server is called is the business of the fronts.

mod terms;
pub mod vigil;
pub mod wakes;

use crate::Controller;
use crate::api::{Action, AttemptEnd, DestinationId, Event, LimitReport, NewMessage, Past, Proposer};
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
struct Bare {
    destination: DestinationId,
    attempts: u32,
    out: Option<u32>,
}

/// What another process needs to go on with a core: the payloads, which outlive a process anyway, are not in it.
#[derive(Debug, Serialize)]
pub struct Written<'a> {
    module: &'a Controller,
    flows: BTreeMap<FlowNo, Bare>,
}

/// The same, as it was read.
#[derive(Debug, Deserialize)]
pub struct Read {
    module: Controller,
    flows: BTreeMap<FlowNo, Bare>,
}

/// The open flows, and the module that decides about them.
#[derive(Debug)]
pub struct Core<P> {
    module: Controller,
    flows: BTreeMap<FlowNo, Flow<P>>,
    most_held: usize,
    events: Vec<Event>,
    /// Flows handed in since the last step by someone who waits for the answer.
    fresh: Vec<FlowNo>,
    /// Flows that an event since the last step has ended.
    ended: Vec<(FlowNo, End)>,
    /// Destinations that told a wait since the last step.
    told: BTreeSet<DestinationId>,
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
            most_held: settings.max_held,
            module: Controller::new(settings, seed, now)?,
            flows: BTreeMap::new(),
            events: Vec::new(),
            fresh: Vec::new(),
            ended: Vec::new(),
            told: BTreeSet::new(),
            closing: false,
        })
    }

    /// What another process needs to go on; none while something has come in that was not decided on, or where no
    /// call may go out any more, of which the module knows nothing.
    pub fn written(&self) -> Option<Written<'_>> {
        let settled = self.events.is_empty() && self.fresh.is_empty() && self.ended.is_empty();
        let bare = |f: &Flow<P>| Bare { destination: f.destination, attempts: f.attempts, out: f.out };
        let flows = || self.flows.iter().map(|(no, f)| (*no, bare(f))).collect();
        (settled && !self.closing).then(|| Written { module: &self.module, flows: flows() })
    }

    /// The core that another process had, with the payloads of its flows. None if a flow has none.
    pub fn from_read(
        read: Read, most_held: usize, mut payload: impl FnMut(FlowNo) -> Option<P>,
    ) -> Option<Self> {
        let with = |(no, Bare { destination, attempts, out })| {
            Some((no, Flow { payload: payload(no)?, destination, attempts, out }))
        };
        let flows = read.flows.into_iter().map(with).collect::<Option<_>>()?;
        let (events, fresh, ended, told) = (Vec::new(), Vec::new(), Vec::new(), BTreeSet::new());
        Some(Core { module: read.module, flows, most_held, events, fresh, ended, told, closing: false })
    }

    /// The flows that are open.
    pub fn flows(&self) -> impl Iterator<Item = FlowNo> {
        self.flows.keys().copied()
    }

    /// From now on the module asks the proposer first (see [`Proposer`]).
    pub fn set_proposer(&mut self, proposer: Box<dyn Proposer>) {
        self.module.set_proposer(proposer);
    }

    /// Whether so many more flows may be held.
    pub fn has_room(&self, flows: usize) -> bool {
        self.flows.len() + flows <= self.most_held
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
        self.module.avoided().collect()
    }

    /// Endpoints that a process which begins anew has to meet with care.
    pub fn ailing(&self) -> impl Iterator<Item = ServerNo> {
        self.module.ailing()
    }

    /// What the module has seen of each listed real server: its health, when it was last heard, and its told limit.
    pub fn seen(&self) -> impl Iterator<Item = (ServerNo, crate::api::Health, Duration, f64)> {
        self.module.seen()
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
    pub fn offer(&mut self, flow: FlowNo, terms: FlowTerms, payload: P) {
        self.offer_again(flow, terms, Past::default(), payload);
    }

    /// The same for one that was sent before, as another flow.
    pub fn offer_again(&mut self, flow: FlowNo, terms: FlowTerms, past: Past, payload: P) {
        self.fresh.push(flow);
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
            self.fresh.retain(|f| *f != flow);
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
                self.told.insert(f.destination);
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
    pub fn take_entries(&mut self, entries: Vec<ServiceEntry>, all: bool) {
        self.events.push(if all { Event::ListReplaced(entries) } else { Event::ListUpdate(entries) });
    }

    /// A timer is due.
    pub fn wake(&mut self) {
        self.events.push(Event::Wake(0));
    }

    /// Lets the module decide on all that has come in and appends what has to be done.
    pub fn step(&mut self, now: Duration, effects: &mut Vec<Effect<P>>) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events);
        self.module.step(now, &events, &mut actions);
        for (flow, end) in std::mem::take(&mut self.ended) {
            if let Some(f) = self.flows.remove(&flow) {
                effects.push(Effect::Ended(flow, f.payload, end));
            }
        }
        // Guards the promise that no call of a flow begins before whoever handed it in can be told: what is
        // taken comes before all calls, and what ends in its first step was never taken.
        let over = |a: &Action| match a {
            Action::Refuse { id, .. } | Action::Fail(id) => Some(*id),
            _ => None,
        };
        let over: BTreeSet<FlowNo> = actions.iter().filter_map(over).collect();
        let fresh: BTreeSet<FlowNo> = std::mem::take(&mut self.fresh).into_iter().collect();
        for flow in fresh.iter().filter(|f| !over.contains(f)) {
            if let Some(f) = self.flows.get(flow) {
                effects.push(Effect::Taken(*flow, f.payload.clone()));
            }
        }
        effects.extend(std::mem::take(&mut self.told).into_iter().map(Effect::HoldUnsent));
        for action in actions {
            self.carry(action, &fresh, effects);
        }
    }

    fn carry(&mut self, action: Action, fresh: &BTreeSet<FlowNo>, effects: &mut Vec<Effect<P>>) {
        match action {
            Action::Send { id, endpoint, give_up_at } => {
                let Some(f) = self.flows.get_mut(&id) else { return };
                let attempt = f.attempts;
                f.attempts += 1;
                // Guards the attempts of flows that wait for the next process: told that its call did not go
                // out, the module would try again and again until the flow had none left. It never hears.
                if self.closing {
                    return;
                }
                // Guards against two calls of one flow side by side, whatever the module asks for.
                if f.out.is_some() {
                    let (outcome, elapsed) = (Outcome::Void, Duration::ZERO);
                    let end =
                        AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal: false, limit: None };
                    self.events.push(Event::Outcome(end));
                    return;
                }
                f.out = Some(attempt);
                let payload = f.payload.clone();
                effects.push(Effect::Call { flow: id, attempt, server: endpoint, give_up_at, payload });
            }
            Action::Refuse { id, wait } => self.finish(id, End::Returned(wait), fresh, effects),
            Action::Fail(id) => self.finish(id, End::Failed, fresh, effects),
            Action::Cancel { id, attempt } => effects.push(Effect::StopCall(id, attempt)),
            Action::Wake { after, .. } => effects.push(Effect::Wake(after)),
            Action::Release(server) => effects.push(Effect::Release(server)),
            Action::Probe(server) => effects.push(Effect::Probe(server)),
            // Every list comes unasked here: discovery keeps a watch of its own.
            Action::Subscribe => {}
            Action::Log(line) => effects.push(Effect::Log(line)),
            Action::Note(note) => effects.push(Effect::Note(note)),
        }
    }

    fn finish(&mut self, id: FlowNo, end: End, fresh: &BTreeSet<FlowNo>, effects: &mut Vec<Effect<P>>) {
        let Some(f) = self.flows.remove(&id) else { return };
        effects.push(if fresh.contains(&id) {
            Effect::TurnedDown(id, f.payload, end)
        } else {
            Effect::Ended(id, f.payload, end)
        });
    }
}

#[cfg(test)]
mod tests;
