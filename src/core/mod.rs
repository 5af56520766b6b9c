//! The relay's core: which flows are open, and what has to be done for them.
//!
//! It does no input or output and reads no clock; a caller steps it with the clock and carries out the
//! effects in order. The decisions are the module's ([`Controller`]): the core keeps each flow's payload, its
//! attempts and whether one is out, and turns the module's actions into effects that name the payload. It
//! knows no wire; what a payload is and how a real server is called is the business of the fronts.

pub mod vigil;
pub mod wakes;

use crate::Controller;
use crate::api::{
    Action, AttemptEnd, ClassId, DestinationId, Event, LimitReport, NewMessage, Note, Past, Proposer,
    TenantId,
};
pub use crate::api::{
    EndpointId as ServerNo, EndpointInfo as ServiceEntry, MessageId as FlowNo, Outcome, Settings,
    SettingsError,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the core has to know of a flow that is handed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowTerms {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Time until it is given up.
    pub remaining: Duration,
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Given up, with no promise about its effect.
    Failed,
    /// Handed back: coming again is harmless, after this time.
    Returned(Duration),
    /// Over without us: withdrawn, or its time up elsewhere. Nothing is owed.
    Over,
}

/// The end of a call, as a front saw it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEnd {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// The real server.
    pub server: ServerNo,
    /// How it ended.
    pub outcome: Outcome,
    /// The front knows that the flow is over by this, whatever the outcome says.
    pub finished: Option<End>,
    /// Time since the call was ordered.
    pub elapsed: Duration,
    /// What the answer told of a limit.
    pub limit: Option<LimitReport>,
}

/// What a caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect<P> {
    /// The flow is held from now on: make it lasting, then tell whoever handed it in.
    Taken(FlowNo, P),
    /// The flow was not taken: it ended in the step that brought it.
    TurnedDown(FlowNo, P, End),
    /// Call the real server; report its end once by [`Core::call_ended`].
    Call {
        /// The flow.
        flow: FlowNo,
        /// Number of the attempt.
        attempt: u32,
        /// The real server.
        server: ServerNo,
        /// Clock time at which to stop waiting.
        give_up_at: Duration,
        /// What to send.
        payload: P,
    },
    /// Stop waiting for a call; its end still has to be reported.
    StopCall(FlowNo, u32),
    /// A call to this destination that has not begun to go out must not go out any more.
    HoldUnsent(DestinationId),
    /// The flow is over.
    Ended(FlowNo, P, End),
    /// Close idle connections to the real server.
    Release(ServerNo),
    /// Call [`Core::wake`] and step once this time has passed.
    Wake(Duration),
    /// Check whether the real server answers, if that can be done.
    Probe(ServerNo),
    /// A line for the log.
    Log(String),
    /// Something that happened inside the module.
    Note(Note),
}

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
mod tests {
    use super::*;
    use crate::api::{ClassSettings, KindSettings, LateWorth, ListState, RateSource};

    pub(super) const NOW: Duration = Duration::from_secs(1_000_000);
    const TO: DestinationId = DestinationId(7);

    pub(super) fn core(most_held: usize) -> Core<&'static str> {
        let ms = Duration::from_millis;
        let (aim, deadline, worth, late_worth) = (ms(1000), ms(9000), 1.0, 0.5);
        let class = |effect| ClassSettings { aim, deadline, worth, late_worth, effect, ordered: false };
        let settings = Settings {
            classes: vec![class(crate::api::Effect::Once), class(crate::api::Effect::Repeatable)],
            kinds: vec![KindSettings { per_call: 1, routes_apart: false }],
            tenants: vec![],
            over_share_worth: 1.0,
            late: LateWorth::Line,
            rate_source: RateSource::None,
            senders: 1,
            handshake_cost: 0.0,
            max_calls: 8,
            max_held: most_held,
            max_attempts: 4,
            probes: false,
            cancelling: true,
            ask_for_list: false,
            must_ask_within: ms(10_000),
            max_client_wait: ms(500),
            tick: ms(5),
            connect_timeout: ms(500),
            keepalive: ms(5000),
            start_capacity: 1.0,
            cold_time: ms(500),
            overload_factor: 2.0,
            overload_span: ms(100),
            key_rest: ms(0),
        };
        let mut core = Core::new(settings, 1, NOW).unwrap();
        let state = ListState::Live;
        core.take_entries(vec![ServiceEntry { destination: TO, state, ..ServiceEntry::default() }], true);
        core
    }

    pub(super) fn terms(class: usize) -> FlowTerms {
        let remaining = Duration::from_secs(9);
        FlowTerms { class: ClassId(class), tenant: None, destination: TO, remaining }
    }

    /// What a step asks for, but for timers and log lines.
    fn step(core: &mut Core<&'static str>, after_ms: u64) -> Vec<Effect<&'static str>> {
        let mut effects = Vec::new();
        core.step(NOW + Duration::from_millis(after_ms), &mut effects);
        effects.retain(|e| {
            !matches!(e, Effect::Wake(_) | Effect::Log(_) | Effect::Note(_) | Effect::Release(_))
        });
        effects
    }

    fn end(flow: u64, outcome: Outcome) -> CallEnd {
        let (server, elapsed) = (ServerNo(0), Duration::from_millis(10));
        CallEnd { flow: FlowNo(flow), attempt: 0, server, outcome, finished: None, elapsed, limit: None }
    }

    #[test]
    fn what_is_taken_comes_before_any_call_and_what_ends_at_once_was_never_taken() {
        let mut core = core(4);
        for flow in 1..=4 {
            assert!(core.has_room(1));
            core.offer(FlowNo(flow), terms(0), "p");
        }
        assert!(!core.has_room(1));
        let effects = step(&mut core, 0);
        let taken = effects.iter().filter(|e| matches!(e, Effect::Taken(..))).count();
        assert_eq!(taken, 3, "{effects:?}");
        assert!(effects[..3].iter().all(|e| matches!(e, Effect::Taken(..))), "{effects:?}");
        let wait = Duration::from_millis(500);
        assert!(
            effects.iter().any(|e| matches!(e, Effect::TurnedDown(_, "p", End::Returned(w)) if *w == wait))
        );
        assert_eq!(core.open_flows(), 3);
    }

    #[test]
    fn ends_are_told_once_and_a_told_wait_holds_what_is_not_yet_out() {
        let mut core = core(50);
        (1..=3).for_each(|flow| core.offer(FlowNo(flow), terms(0), "p"));
        assert_eq!(core.open_calls() + step(&mut core, 0).len(), 6);
        core.call_ended(end(1, Outcome::Success));
        core.call_ended(end(2, Outcome::Overloaded { wait: Some(Duration::from_secs(1)) }));
        core.call_ended(CallEnd { finished: Some(End::Failed), ..end(3, Outcome::Success) });
        let effects = step(&mut core, 20);
        let expected = [
            Effect::Ended(FlowNo(1), "p", End::Delivered),
            Effect::Ended(FlowNo(3), "p", End::Failed),
            Effect::HoldUnsent(TO),
        ];
        assert_eq!(effects, expected);
        core.call_ended(end(1, Outcome::Success));
        assert_eq!(step(&mut core, 40), []);
        assert_eq!((core.open_flows(), core.open_calls()), (1, 0));
    }

    #[test]
    fn a_flow_from_before_a_restart_keeps_its_attempts_and_its_risk() {
        let mut core = core(50);
        let risk = Some((Duration::from_secs(1), ServerNo(0)));
        core.recover(FlowNo(1), terms(0), Past { held: true, attempts: 1, risk }, "may have run");
        core.recover(FlowNo(2), terms(0), Past { held: true, attempts: 2, risk: None }, "never ran");
        core.recover(FlowNo(3), terms(1), Past { held: true, attempts: 1, risk }, "may run again");
        let effects = step(&mut core, 0);
        assert_eq!(effects, [Effect::Ended(FlowNo(1), "may have run", End::Failed)]);
        // The others go by their timers: each at its own moment, and not all at once.
        core.wake();
        let effects = step(&mut core, 800);
        let calls = effects.iter().filter_map(|e| match e {
            Effect::Call { flow, attempt, .. } => Some((flow.0, *attempt)),
            _ => None,
        });
        assert_eq!(calls.collect::<Vec<_>>(), [(2, 2), (3, 1)]);
        // Told to close, it lets no call out, and the flow stays open.
        core.call_ended(CallEnd { attempt: 2, ..end(2, Outcome::Unreachable) });
        core.close();
        for ms in (900..3800).step_by(50) {
            core.wake();
            let effects = step(&mut core, ms);
            assert!(!effects.iter().any(|e| matches!(e, Effect::Call { .. })), "{effects:?}");
        }
        assert_eq!(core.open_flows(), 2);
    }

    /// While its record is being written a flow may be out of time, or the write may fail: nothing of it is left, and
    /// the end of the call that never went out tells nothing.
    #[test]
    fn a_flow_that_could_not_be_written_down_or_ran_out_meanwhile_ends_once_and_frees_its_place() {
        for written in [false, true] {
            let mut core = core(50);
            core.offer(FlowNo(1), terms(0), "p");
            let effects = step(&mut core, 0);
            assert!(matches!(effects[..], [Effect::Taken(..), Effect::Call { .. }]), "{effects:?}");
            if !written {
                core.withdraw(FlowNo(1));
            }
            // The write took longer than the flow had; the call was not dialled any more.
            core.call_ended(end(1, if written { Outcome::Unreachable } else { Outcome::Void }));
            let effects = step(&mut core, 9000);
            let ended = [Effect::Ended(FlowNo(1), "p", End::Failed)];
            assert_eq!(effects, if written { &ended[..] } else { &[] });
            assert_eq!((core.open_flows(), core.open_calls()), (0, 0));
            core.call_ended(end(1, Outcome::Success));
            assert_eq!(step(&mut core, 9100), []);
        }
    }
}
