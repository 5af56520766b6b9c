//! Model checking of the control state: three controllers, every order of deliveries, timers and faults within bounds,
//! breadth first, each state once. A checker states the CONFIG and LOST guarantees; flawed variants show that it can
//! fail.
//!
//! Messages from one sender to one receiver keep their order; any may be lost, within the bounds. `Status` messages are
//! lost except for as many as the bounds allow: they determine what relays receive, and otherwise only speed up
//! recovery. `MODEL_STATES` sets how many states a scenario may expand; the default keeps the run short.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Durable, ElectorId, Incarnation, Message, Operation, Outcome};
use onyxstile_system::controller::{Controller, Effect, Input};
use onyxstile_system::tolerance::Location;
use support::search::{self, Model, SearchResult};
use support::{ONE_MACHINE, address};

const MACHINES: usize = 3;
/// Time between two ticks: every timer except the longest is due.
const TICK_MS: u64 = 450;
const STATES: usize = 4_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    /// The head counts a write as stored by all members once it has sent it.
    HeadAcknowledges,
    /// Persisted data is lost when the process is killed.
    UnsyncedVotes,
    /// A machine reports one more write than its disk holds.
    OverstatesWrites,
}

/// Events that may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Bounds {
    ticks: u8,
    kills: u8,
    wipes: u8,
    losses: u8,
    suspicions: u8,
    /// Status messages that are not lost.
    statuses: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Deliver(usize, usize),
    Lose(usize, usize),
    Tick(usize),
    Kill(usize),
    Wipe(usize),
    Suspect(usize),
}

#[derive(Debug, Clone)]
struct State {
    controllers: Vec<Controller>,
    incarnations: Vec<Incarnation>,
    disks: Vec<Durable>,
    channels: BTreeMap<(usize, usize), VecDeque<Message>>,
    suspected: Option<usize>,
    now: u64,
    remaining: Bounds,
    /// Revisions of acknowledged changes.
    acknowledged: Vec<u64>,
    /// The revision in force after each write that any machine reported as committed.
    committed: BTreeMap<u64, u64>,
    /// The view in which a change was first acknowledged.
    acknowledged_in: Option<u64>,
    /// The newest sequence that any machine reported to relays in each view.
    reported: BTreeMap<u64, u64>,
    /// The debug text of the view with each number.
    views: BTreeMap<u64, String>,
    violation: Option<String>,
}

/// Start of the search, in ms: after the grace period for restarted electors.
const SEARCH_START_MS: u64 = 10_000;

fn index(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

fn ip(machine: usize) -> Ipv4Addr {
    address(machine as u8 + 1)
}

fn location(machine: usize) -> Location {
    support::place("r", &format!("z{machine}"))
}

fn body(revision: u64) -> Rc<Vec<u8>> {
    Rc::new(format!("{{\"revision\":{revision},\"routes\":[],\"services\":[]}}").into_bytes())
}

impl State {
    fn start(remaining: Bounds) -> State {
        let seeds: Vec<Ipv4Addr> = (0..MACHINES).map(ip).collect();
        let disks: Vec<Durable> = seeds.iter().map(|seed| Controller::bootstrap(*seed, &seeds)).collect();
        let controllers = (0..MACHINES).map(|machine| boot(machine, &disks[machine], 1)).collect();
        State {
            controllers,
            incarnations: vec![1; MACHINES],
            disks,
            channels: BTreeMap::new(),
            suspected: None,
            now: SEARCH_START_MS,
            remaining,
            acknowledged: Vec::new(),
            committed: BTreeMap::new(),
            acknowledged_in: None,
            reported: BTreeMap::new(),
            views: BTreeMap::new(),
            violation: None,
        }
    }

    /// An operator sends a machine a change of the first version.
    fn put(mut self, machine: usize, revision: u64, flaw: Flaw) -> State {
        let operation = Operation::PutConfiguration { base: Some(0), body: body(revision) };
        self.step(machine, Input::Operation { number: revision, operation }, flaw);
        self
    }

    fn take(&mut self, from: usize, to: usize) -> Option<Message> {
        self.channels.get_mut(&(from, to)).and_then(VecDeque::pop_front)
    }

    fn live(&self, own: usize) -> Vec<(ElectorId, Location)> {
        let is_live = |machine: &usize| *machine != own && self.suspected != Some(*machine);
        let id = |machine: usize| ElectorId { ip: ip(machine).octets(), disk: self.disks[machine].disk };
        (0..MACHINES).filter(is_live).map(|machine| (id(machine), location(machine))).collect()
    }

    /// Messages in transit to the machine are lost with its connections.
    fn restart(&mut self, machine: usize) {
        self.channels.retain(|(_, to), _| *to != machine);
        self.incarnations[machine] += 1;
        self.controllers[machine] = boot(machine, &self.disks[machine], self.incarnations[machine]);
    }

    fn step(&mut self, machine: usize, input: Input, flaw: Flaw) {
        let effects = self.controllers[machine].step(Instant::from_millis(self.now), input);
        for effect in effects {
            match effect {
                Effect::Persist(durable) if flaw != Flaw::UnsyncedVotes => {
                    self.disks[machine] = (*durable).clone()
                }
                Effect::Append { write, .. } if flaw != Flaw::UnsyncedVotes => {
                    assert!(
                        self.disks[machine].state.apply(&write),
                        "the write must be based on the state on disk"
                    );
                }
                Effect::Persist(_) | Effect::Append { .. } => {}
                Effect::Send { message: Message::Status { .. }, .. } if self.remaining.statuses == 0 => {}
                Effect::Send { to, message } => self.send(machine, index(to), message, flaw),
                Effect::Reply { number, outcome: Outcome::Done } => self.record_acknowledged(machine, number),
                Effect::Reply { .. } => {}
            }
        }
    }

    /// The machine that received the request replies to the operator. It may have a newer view than the head had;
    /// `reported` covers that case.
    fn record_acknowledged(&mut self, machine: usize, revision: u64) {
        self.acknowledged.push(revision);
        self.acknowledged_in.get_or_insert(self.controllers[machine].installed());
    }

    fn send(&mut self, from: usize, to: usize, mut message: Message, flaw: Flaw) {
        if let Message::Status { written, .. } = &mut message {
            self.remaining.statuses -= 1;
            if flaw == Flaw::OverstatesWrites {
                *written += 1;
            }
        }
        if let (Message::Apply { view, written }, Flaw::HeadAcknowledges) = (&message, flaw) {
            let forged = Message::Applied { view: *view, sequence: written.sequence() };
            self.channels.entry((to, from)).or_default().push_back(forged);
        }
        self.channels.entry((from, to)).or_default().push_back(message);
    }

    fn check(&mut self) {
        if self.acknowledged.len() > 1 && self.acknowledged[0] != self.acknowledged[1] {
            self.violation =
                Some(format!("two changes of one version were accepted: {:?}", self.acknowledged));
        }
        for machine in 0..MACHINES {
            self.check_machine(machine);
        }
    }

    fn check_machine(&mut self, machine: usize) {
        let controller = &self.controllers[machine];
        if let Some(state) = controller.committed_state() {
            let revision = state.revision();
            let held = *self.committed.entry(state.sequence).or_insert(revision);
            if held != revision {
                self.violation =
                    Some(format!("write {} has revisions {held} and {revision}", state.sequence));
            }
        }
        let Some(view) = controller.view() else { return };
        if let Some(state) = controller.committed_state() {
            let newest = self.reported.entry(view.number).or_default();
            *newest = state.sequence.max(*newest);
        }
        let reported_before = self.reported.range(..view.number).map(|(_, sequence)| *sequence).max();
        if reported_before.is_some_and(|reported| reported > view.state.sequence) {
            self.violation = Some(format!("view {} lacks state reported to relays before", view.number));
        }
        let reported = format!("{view:?}");
        let held = self.views.entry(view.number).or_insert_with(|| reported.clone());
        if *held != reported {
            self.violation = Some(format!("two different views with number {}", view.number));
        }
        let is_later = |acknowledged: &u64| view.number > *acknowledged && view.state.sequence == 0;
        if self.acknowledged_in.is_some_and(|view| is_later(&view)) {
            self.violation = Some(format!("view {} begins without an acknowledged change", view.number));
        }
    }
}

/// A controller that started long ago. The grace period for restarted electors would only remove event orders from the
/// search, and no guarantee depends on it.
fn boot(machine: usize, disk: &Durable, incarnation: Incarnation) -> Controller {
    Controller::new(ip(machine), disk.clone(), ONE_MACHINE, incarnation, Instant::default())
        .with_location(location(machine))
}

impl Model for State {
    type Action = Action;
    type Fault = Flaw;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for ((from, to), messages) in &self.channels {
            if !messages.is_empty() {
                actions.push(Action::Deliver(*from, *to));
                if self.remaining.losses > 0 {
                    actions.push(Action::Lose(*from, *to));
                }
            }
        }
        for machine in 0..MACHINES {
            if self.remaining.ticks > 0 {
                actions.push(Action::Tick(machine));
            }
            if self.remaining.kills > 0 {
                actions.push(Action::Kill(machine));
            }
            if self.remaining.wipes > 0 {
                actions.push(Action::Wipe(machine));
            }
            if self.remaining.suspicions > 0 && self.suspected != Some(machine) {
                actions.push(Action::Suspect(machine));
            }
        }
        actions
    }

    fn after(&self, action: Action, flaw: Flaw) -> State {
        let mut next = self.clone();
        match action {
            Action::Deliver(from, to) => {
                if let Some(message) = next.take(from, to) {
                    next.step(to, Input::Message { from: ip(from), message }, flaw);
                }
            }
            Action::Lose(from, to) => {
                next.remaining.losses -= 1;
                next.take(from, to);
            }
            Action::Tick(machine) => {
                next.remaining.ticks -= 1;
                next.now += TICK_MS;
                let live = next.live(machine);
                next.step(machine, Input::Live(live), flaw);
                next.step(machine, Input::Tick, flaw);
            }
            Action::Kill(machine) => {
                next.remaining.kills -= 1;
                next.restart(machine);
            }
            Action::Wipe(machine) => {
                next.remaining.wipes -= 1;
                next.disks[machine] = Controller::empty(1_000 + machine as u64);
                next.restart(machine);
            }
            Action::Suspect(machine) => {
                next.remaining.suspicions -= 1;
                next.suspected = Some(machine);
            }
        }
        next.check();
        next
    }

    fn digest(&self) -> u128 {
        xxhash_rust::xxh3::xxh3_128(format!("{self:?}").as_bytes())
    }

    fn violation(&self) -> Option<&String> {
        self.violation.as_ref()
    }
}

fn search(state: State, flaw: Flaw) -> SearchResult {
    search::search(state, flaw, STATES)
}

const NO_EVENTS: Bounds = Bounds { ticks: 0, kills: 0, wipes: 0, losses: 0, suspicions: 0, statuses: 0 };

#[test]
fn two_writers_of_one_version_are_never_both_acknowledged() {
    let bounds = Bounds { losses: 1, ticks: 1, ..NO_EVENTS };
    let start = State::start(bounds).put(0, 1, Flaw::None).put(1, 2, Flaw::None);
    let searched = search(start, Flaw::None);
    searched.report("two writers");
    assert_eq!(searched.violation, None);
    assert!(searched.depth >= 5, "depth {}", searched.depth);
}

#[test]
fn a_change_survives_a_view_change_with_a_kill_or_a_wipe() {
    for (name, faults) in
        [("kill", Bounds { kills: 1, ..NO_EVENTS }), ("wipe", Bounds { wipes: 1, ..NO_EVENTS })]
    {
        let bounds = Bounds { ticks: 3, suspicions: 1, ..faults };
        let searched = search(State::start(bounds).put(0, 1, Flaw::None), Flaw::None);
        searched.report(name);
        assert_eq!(searched.violation, None, "{name}");
        assert!(searched.depth >= 4, "depth {}", searched.depth);
    }
}

/// A write is on its way down the chain when machines send their status; then the head becomes silent, and a view
/// without it is decided. That view must contain everything reported to relays until then.
fn search_reports_during_view_change(flaw: Flaw) -> SearchResult {
    use Action::{Deliver, Suspect, Tick};
    let bounds = Bounds { ticks: 4, suspicions: 1, statuses: 4, ..NO_EVENTS };
    let start = State::start(bounds).put(0, 1, flaw);
    let steps = [Tick(1), Deliver(1, 0), Suspect(0), Tick(1)];
    search(steps.into_iter().fold(start, |state, step| state.after(step, flaw)), flaw)
}

#[test]
fn state_reported_on_majority_evidence_is_in_every_later_view() {
    let searched = search_reports_during_view_change(Flaw::None);
    searched.report("state reported on majority evidence");
    assert_eq!(searched.violation, None);
    assert!(searched.depth >= 4, "depth {}", searched.depth);
}

#[test]
fn a_machine_that_overstates_its_writes_is_detected() {
    let searched = search_reports_during_view_change(Flaw::OverstatesWrites);
    searched.report("a machine that overstates its writes");
    assert!(
        searched.violation.expect("the flaw is detected").contains("lacks state reported to relays before")
    );
}

#[test]
fn a_head_that_acknowledges_alone_is_detected() {
    let bounds = Bounds { ticks: 2, suspicions: 1, ..NO_EVENTS };
    let start = State::start(bounds).put(0, 1, Flaw::HeadAcknowledges);
    let searched = search(start, Flaw::HeadAcknowledges);
    searched.report("a head that acknowledges alone");
    assert!(searched.violation.expect("the flaw is detected").contains("without an acknowledged change"));
}

/// One controller decides a view with another one, which is then killed; next, the killed one and the third must
/// decide.
fn state_after_decision_and_kill(flaw: Flaw) -> State {
    use Action::{Deliver, Kill, Suspect, Tick};
    let steps = [
        Suspect(2),
        Tick(0),
        Tick(0),
        // A promise, then the acceptance: machine 0 has decided view 2.
        Deliver(0, 1),
        Deliver(1, 0),
        Deliver(0, 1),
        Deliver(1, 0),
        Kill(1),
        Suspect(0),
        Tick(1),
        Tick(1),
    ];
    let bounds = Bounds { ticks: 4, kills: 1, suspicions: 2, ..NO_EVENTS };
    let state = steps.into_iter().fold(State::start(bounds), |state, step| state.after(step, flaw));
    assert_eq!(state.violation, None);
    assert_eq!(state.controllers[0].view().expect("a view").number, 2);
    state
}

#[test]
fn a_decided_view_stays_decided_and_unsynced_votes_are_detected() {
    let searched = search(state_after_decision_and_kill(Flaw::None), Flaw::None);
    searched.report("a second decision");
    assert_eq!(searched.violation, None);
    let searched = search(state_after_decision_and_kill(Flaw::UnsyncedVotes), Flaw::UnsyncedVotes);
    searched.report("unsynced votes");
    assert!(searched.violation.expect("the flaw is detected").contains("two different views with number 2"));
}
