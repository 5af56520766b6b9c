//! Model checking of turn quorums during changes of the storage plan: four storage machines, of which one leaves or
//! joins, and one record. Explores every order of deliveries, copies, plan changes, one wipe, one restart, one network
//! cut and its end, breadth first, each state once. The statements that a machine may make are decided by the code
//! under test (`Progress`, `StoragePlan`, `Quorum`).
//!
//! In each state it is checked that no quorum reports an acknowledged record as absent, under any plan that a relay may
//! still use, and that some machine stores it. Not modelled, because they make no difference here: the contents of a
//! record, other keys (each has its own group, which here contains all three members), and message loss (equivalent to
//! a message that is not delivered). `MODEL_STATES` sets how many states a scenario may expand; the default keeps the
//! run short.

mod support;

use std::time::Duration;

use onyxstile_system::clock::Instant;
use onyxstile_system::program::{CopiedChanges, Progress, Quorum};
use onyxstile_system::storage_plan::{Observed, StorageNode, StoragePlan};
use support::search::{self, Model, SearchResult};
use support::{ONE_MACHINE, address, plan, storage};

const STATES: usize = 8_000;
/// All are members and 1 leaves, or 2 to 4 are members and 1 joins.
const MACHINES: [u8; 4] = [1, 2, 3, 4];
const ALL: [usize; 4] = [0, 1, 2, 3];
const LEAVES: u8 = 1;
/// Epoch of the last plan that is explored.
const EPOCHS: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A wiped machine is complete at once.
    AnswersWhileEmpty,
    /// A restarted machine forgets the epoch that it has applied.
    ForgetsEpoch,
    /// The change ends as soon as all machines have applied the plan.
    EndsAtOnce,
    /// A write is acknowledged under the plan with which it started.
    NoEpochRecheck,
}

#[derive(Debug, Clone)]
struct Store {
    disk: u64,
    /// On its disk.
    has_record: bool,
    is_complete: bool,
    synced: u64,
    epoch: u64,
    /// In its memory.
    incarnation: u64,
    plan: u64,
    progress: Progress,
    /// Whether a write has not reached its disk yet.
    is_writing: bool,
    is_cut: bool,
    is_gone: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Send,
    Arrive(usize),
    Write(usize),
    Learn(usize),
    Copy(usize, usize),
    Agree,
    Wipe(usize),
    Restart(usize),
    Cut(usize),
    Heal(usize),
    Wait,
}

#[derive(Debug, Clone)]
struct State {
    stores: Vec<Store>,
    /// All plans so far, the newest last.
    plans: Vec<StoragePlan>,
    agreed: u64,
    /// Whether 1 has been asked to leave.
    is_retired: bool,
    /// The relay's epoch when it sent the record.
    sent_by: u64,
    acknowledged: Vec<bool>,
    is_acknowledged: bool,
    now: u64,
    wipes: u8,
    restarts: u8,
    cuts: u8,
    waits: u8,
    violation: Option<String>,
}

/// A key whose group among all four machines includes machine 1.
fn key() -> String {
    let holds = |key: &String| group(key).contains(&0);
    (0..100).map(|number| format!("t{number}")).find(holds).expect("one of a hundred")
}

/// The group of a key among all four machines.
fn group(key: &str) -> Vec<usize> {
    let members = Quorum::new(&plan(1, &MACHINES, &[]), key, ONE_MACHINE).members();
    ALL.into_iter().filter(|index| members.contains(&address(MACHINES[*index]))).collect()
}

impl State {
    fn start(joins: bool, wipes: u8, restarts: u8, cuts: u8) -> State {
        let store = |number: u8| Store {
            disk: 1,
            has_record: false,
            is_complete: !joins || number != LEAVES,
            synced: 0,
            epoch: 0,
            incarnation: 1,
            plan: 0,
            progress: Progress::default(),
            is_writing: false,
            is_cut: false,
            is_gone: false,
        };
        let mut state = State {
            stores: MACHINES.iter().map(|number| store(*number)).collect(),
            plans: vec![
                StoragePlan::default(),
                if joins { plan(1, &[2, 3, 4], &[]) } else { plan(1, &MACHINES, &[]) },
            ],
            agreed: 1,
            is_retired: joins,
            sent_by: 0,
            acknowledged: vec![false; MACHINES.len()],
            is_acknowledged: false,
            now: 0,
            wipes,
            restarts,
            cuts,
            waits: cuts,
            violation: None,
        };
        ALL.into_iter().for_each(|index| state.learn(index, Fault::None));
        state
    }

    fn plan(&self, epoch: u64) -> StoragePlan {
        self.plans[epoch as usize].clone()
    }

    fn node(&self, index: usize) -> StorageNode {
        StorageNode { disk: self.stores[index].disk, ..storage(MACHINES[index]) }
    }

    fn is_up(&self, index: usize) -> bool {
        !self.stores[index].is_cut && !self.stores[index].is_gone
    }

    /// Copies that may affect a rule. Others only distribute the record further, and additional holders violate no
    /// rule: copies to a machine that is complete and outside the change or leaving, and copies from a new member that
    /// is not synced.
    fn copies(&self, to: usize) -> Vec<Action> {
        let store = &self.stores[to];
        let plan = self.plan(store.plan);
        if store.is_complete && (!plan.is_changing() || !plan.current.contains(&self.node(to))) {
            return Vec::new();
        }
        let members = plan.all();
        let is_asked = |from: &usize| {
            let source = &self.stores[*from];
            *from != to
                && self.is_up(*from)
                && (source.is_complete || source.synced > 0)
                && members.iter().any(|node| node.address() == address(MACHINES[*from]))
        };
        (0..MACHINES.len()).filter(is_asked).map(|from| Action::Copy(to, from)).collect()
    }

    fn restart(&mut self, index: usize) {
        let store = &mut self.stores[index];
        store.incarnation += 1;
        store.plan = 0;
        store.progress = Progress::default();
        store.is_writing = false;
    }

    /// A write is checked when it arrives and again once it is on the disk.
    fn arrive(&mut self, index: usize) {
        let store = &mut self.stores[index];
        store.is_writing = store.epoch.max(store.plan) <= self.sent_by;
    }

    fn write(&mut self, index: usize, fault: Fault) {
        let store = &mut self.stores[index];
        store.is_writing = false;
        store.has_record = true;
        if store.epoch.max(store.plan) > self.sent_by && fault != Fault::NoEpochRecheck {
            return;
        }
        self.acknowledged[index] = true;
        let mut quorum = Quorum::new(&self.plan(self.sent_by), &key(), ONE_MACHINE);
        let acknowledged = (0..MACHINES.len()).filter(|index| self.acknowledged[*index]);
        self.is_acknowledged |= acknowledged.fold(false, |_, index| quorum.count(address(MACHINES[index])));
    }

    fn learn(&mut self, index: usize, fault: Fault) {
        let plan = self.plan(self.agreed);
        let before = self.plan(self.stores[index].plan);
        let store = &mut self.stores[index];
        store.plan = self.agreed;
        if fault != Fault::ForgetsEpoch {
            store.epoch = store.epoch.max(self.agreed);
        }
        store.progress.apply_plan(address(MACHINES[index]), &before, &plan);
    }

    fn copy(&mut self, to: usize, from: usize) {
        let source = self.stores[from].clone();
        let before = self.stores[to].progress.source(address(MACHINES[from]));
        let now = Instant::from_millis(self.now);
        let own_plan = self.stores[to].plan;
        let copied = CopiedChanges {
            origin: source.incarnation,
            counter: u64::from(source.has_record),
            is_last: true,
            epoch: source.plan,
            is_complete: source.is_complete,
            synced_epoch: source.synced,
            evaluated_epoch: own_plan,
        };
        let store = &mut self.stores[to];
        store.has_record |= source.has_record;
        store.progress.note(now, address(MACHINES[from]), before, copied, own_plan);
    }

    /// Updates the assessment of each machine.
    fn review(&mut self) {
        let now = Instant::from_millis(self.now);
        let plans = self.plans.clone();
        for (index, store) in self.stores.iter_mut().enumerate() {
            let plan = &plans[store.plan as usize];
            let own = (address(MACHINES[index]), store.disk);
            let assessment = store.progress.assess(now, own, plan, store.is_complete, ONE_MACHINE);
            store.is_complete = assessment.is_complete;
            if assessment.is_synced {
                store.synced = store.synced.max(store.plan);
            }
        }
    }

    /// The head of the chain writes the next plan, if there is one: first that 1 leaves or joins, then the plans that
    /// the code under test derives.
    fn agree(&mut self, fault: Fault) {
        let newest = self.plan(self.agreed);
        if !self.is_retired
            && let Ok(Some(next)) = newest.retire("storage-1", ONE_MACHINE, &[])
        {
            self.is_retired = true;
            self.take(next);
            return;
        }
        let observe = |(index, store): (usize, &Store)| Observed {
            node: self.node(index),
            dead_for: (store.is_cut || store.is_gone).then_some(Duration::from_secs(1)),
            synced_epoch: if fault == Fault::EndsAtOnce { store.plan } else { store.synced },
        };
        let observed: Vec<Observed> = self.stores.iter().enumerate().map(observe).collect();
        if let Some(next) = newest.next(&observed, ONE_MACHINE) {
            self.take(next);
        }
    }

    fn take(&mut self, next: StoragePlan) {
        self.agreed = next.epoch;
        // A retired machine is removed with its disk once the change has ended.
        if next.is_retirement_complete("storage-1") == Some(true) {
            self.stores[usize::from(LEAVES) - 1].is_gone = true;
        }
        self.plans.push(next);
    }

    fn check(&mut self) {
        if !self.is_acknowledged {
            return;
        }
        if !self.stores.iter().any(|store| store.has_record && !store.is_gone) {
            self.violation = Some("an acknowledged record is lost".into());
        }
        for epoch in 1..=self.agreed {
            let mut quorum = Quorum::new(&self.plan(epoch), &key(), ONE_MACHINE);
            let reports_absent = |index: &usize| {
                let store = &self.stores[*index];
                // A machine that is cut off from the others still answers relays.
                !store.is_gone
                    && store.is_complete
                    && !store.has_record
                    && store.epoch.max(store.plan) <= epoch
            };
            let absent = (0..MACHINES.len()).filter(reports_absent);
            if absent.fold(false, |_, index| quorum.count(address(MACHINES[index]))) {
                self.violation =
                    Some(format!("a quorum under plan {epoch} reports an acknowledged record as absent"));
            }
        }
    }

    /// Members of each plan.
    fn members(&self) -> Vec<[Vec<(usize, u64)>; 2]> {
        let members = |nodes: &[StorageNode]| {
            let mut members: Vec<(usize, u64)> =
                nodes.iter().map(|node| (usize::from(node.ip[3]), node.disk)).collect();
            members.sort_unstable();
            members
        };
        self.plans.iter().map(|plan| [members(&plan.current), members(&plan.previous)]).collect()
    }
}

impl Model for State {
    type Action = Action;
    type Fault = Fault;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.sent_by == 0 {
            actions.push(Action::Send);
        }
        if self.agreed < EPOCHS {
            actions.push(Action::Agree);
        }
        if self.waits > 0 {
            actions.push(Action::Wait);
        }
        for (index, store) in self.stores.iter().enumerate().filter(|(_, store)| !store.is_gone) {
            if store.is_cut {
                actions.push(Action::Heal(index));
                continue;
            }
            if self.sent_by > 0 && !self.acknowledged[index] && !store.is_writing {
                actions.push(Action::Arrive(index));
            }
            if store.is_writing {
                actions.push(Action::Write(index));
            }
            if store.plan < self.agreed {
                actions.push(Action::Learn(index));
            }
            actions.extend(self.copies(index));
            if self.wipes > 0 {
                actions.push(Action::Wipe(index));
            }
            if self.restarts > 0 {
                actions.push(Action::Restart(index));
            }
            if self.cuts > 0 {
                actions.push(Action::Cut(index));
            }
        }
        actions
    }

    fn after(&self, action: Action, fault: Fault) -> State {
        let mut next = self.clone();
        match action {
            Action::Send => next.sent_by = next.agreed,
            Action::Arrive(index) => next.arrive(index),
            Action::Write(index) => next.write(index, fault),
            Action::Learn(index) => next.learn(index, fault),
            Action::Copy(to, from) => next.copy(to, from),
            Action::Agree => next.agree(fault),
            Action::Wipe(index) => {
                next.wipes -= 1;
                let is_complete = fault == Fault::AnswersWhileEmpty;
                let store = &mut next.stores[index];
                store.disk += 1;
                (store.has_record, store.is_complete, store.synced, store.epoch) = (false, is_complete, 0, 0);
                next.restart(index);
            }
            Action::Restart(index) => {
                next.restarts -= 1;
                next.restart(index);
            }
            Action::Cut(index) => {
                next.cuts -= 1;
                next.stores[index].is_cut = true;
            }
            Action::Heal(index) => next.stores[index].is_cut = false,
            Action::Wait => {
                next.waits -= 1;
                next.now += 1000;
            }
        }
        next.review();
        next.check();
        next
    }

    fn digest(&self) -> u128 {
        let mut text = format!(
            "{} {} {} {} {} {} {} {} {:?} {}",
            self.agreed,
            self.sent_by,
            self.is_acknowledged,
            self.now,
            self.wipes,
            self.restarts,
            self.cuts,
            self.waits,
            self.members(),
            self.is_retired
        );
        for index in ALL {
            let store = &self.stores[index];
            let Store {
                disk, has_record, is_complete, synced, epoch, plan, is_writing, is_cut, is_gone, ..
            } = store;
            text += &format!(
                " / {disk} {has_record} {is_complete} {synced} {epoch} {plan} {is_writing} {is_cut} {is_gone} {}",
                self.acknowledged[index]
            );
            for other in ALL {
                let mut source = store.progress.source(address(MACHINES[other]));
                // Only equality of incarnations matters.
                source.origin = u64::from(source.origin == self.stores[other].incarnation);
                text += &format!(" {source:?}");
            }
        }
        xxhash_rust::xxh3::xxh3_128(text.as_bytes())
    }

    fn violation(&self) -> Option<&String> {
        self.violation.as_ref()
    }
}

fn search(state: State, fault: Fault) -> SearchResult {
    search::search(state, fault, STATES)
}

#[test]
fn an_acknowledged_record_is_never_reported_absent() {
    for (name, start) in [
        ("one leaves, a wipe", State::start(false, 1, 0, 0)),
        ("one leaves, a cut", State::start(false, 0, 0, 1)),
        ("one leaves, a restart", State::start(false, 0, 1, 0)),
        ("one leaves, a wipe and a cut", State::start(false, 1, 0, 1)),
        ("one joins, a wipe", State::start(true, 1, 0, 0)),
        ("one joins, a wipe and a cut", State::start(true, 1, 0, 1)),
    ] {
        let result = search(start, Fault::None);
        result.report(name);
        assert_eq!(result.violation, None, "{name}");
        assert!(result.is_exhaustive || result.depth >= 4, "{name}: depth {}", result.depth);
    }
}

/// Violation on the path through the given steps, if any.
fn violation_after(fault: Fault, steps: &[Action]) -> Option<String> {
    let mut state = State::start(false, 1, 1, 1);
    for step in steps {
        assert!(state.actions().contains(step), "{step:?} is possible");
        state = state.after(*step, fault);
        if state.violation.is_some() {
            return state.violation;
        }
    }
    None
}

#[test]
fn each_fault_is_detected() {
    use Action::{Agree, Arrive, Copy, Cut, Heal, Learn, Restart, Send, Wipe, Write};
    let written = |index| [Arrive(index), Write(index)];
    // The group under the first plan is 1, `one` and `other`; `outside` is not part of it.
    let group = group(&key());
    let (one, other) = (group[1], group[2]);
    let outside = ALL.into_iter().find(|index| !group.contains(index)).expect("a fourth");
    let learn = [Learn(one), Learn(other), Learn(outside)];
    let copies: Vec<Action> = [one, other, outside]
        .into_iter()
        .flat_map(|to| ALL.into_iter().filter(move |from| *from != to).map(move |from| Copy(to, from)))
        .collect();
    // 1 and `one` store the record, `other` missed it; then `one` loses its disk.
    let kept = [&[Send][..], &written(0), &written(one)].concat();
    let wiped = [&kept[..], &[Wipe(one), Learn(one)]].concat();
    assert!(violation_after(Fault::AnswersWhileEmpty, &wiped).is_some());
    assert_eq!(violation_after(Fault::None, &wiped), None);
    // The change ends and 1 is removed; then `one` loses its disk.
    let ended = [&kept[..], &[Agree], &learn, &[Agree, Wipe(one)]].concat();
    assert!(violation_after(Fault::EndsAtOnce, &ended).is_some());
    // 1 is cut off and receives nothing while the others copy; then `one` is restarted, and both store the record under
    // the first plan.
    let copies_without_first: Vec<Action> =
        copies.iter().copied().filter(|copy| !matches!(copy, Copy(_, 0))).collect();
    let behind = [
        &[Send, Agree][..],
        &learn,
        &[Cut(0)],
        &copies_without_first,
        &[Restart(one)],
        &written(one),
        &[Heal(0)],
        &written(0),
        &[Agree],
    ]
    .concat();
    assert!(violation_after(Fault::ForgetsEpoch, &behind).is_some());
    // The record arrives before the plan and reaches the disks after the copies.
    let late = [
        &[Send, Arrive(0), Arrive(one), Agree, Learn(0)][..],
        &learn,
        &copies,
        &[Write(0), Write(one), Agree],
    ]
    .concat();
    assert!(violation_after(Fault::NoEpochRecheck, &late).is_some());
    assert_eq!(violation_after(Fault::None, &late), None);
}
