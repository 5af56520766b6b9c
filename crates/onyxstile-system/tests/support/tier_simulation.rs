//! Seeded simulation of controllers, drains, the storage plan, storage machines, turns and claims. Views and plans
//! change, disks are lost, and machines are cut off from each other. Checkers verify LOST, BUDGET, DRAIN and the return
//! of service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::control::{Operation, Outcome};
use onyxstile_system::program::{
    BudgetDecision, ClaimEntry, ClaimSummary, Quorum, Record, Source, Turn, admit, fits_budget, merge_claims,
};
use onyxstile_system::registry::{DrainSync, replicas_needed};
use onyxstile_system::storage_plan::{Observed, StoragePlan};
use onyxstile_system::tolerance::Tolerance;

use super::control_simulation::{CATCH_UP, ControlSimulation, Flaw};
use super::storage;
use super::store_world::{Changes, Store, StoreFault};
use requests::PendingRequest;

mod copies;
mod drains;
mod plans;
mod requests;

/// Time per step in ms.
const STEP: u64 = 25;
/// How long a relay waits for a quorum, in ms.
const QUORUM_TIMEOUT: u64 = 3000;
/// A machine is considered dead after this time without contact, in ms.
const DETECTION: u64 = 1000;
/// A member that has not been seen since all controllers were restarted is considered dead after this time, in ms.
const UNSEEN_AFTER: u64 = 2000;
/// How long the report of a storage machine is valid, in ms.
const REPORT_LIFETIME: u64 = 2000;
/// Number of relays. All but the first one receive a newer plan only rarely.
const RELAYS: usize = 3;
const LATE_UPDATE_ONE_IN: u32 = 400;
/// A storage machine requests changes from another one in one of this many steps, by default.
pub const COPIES_ONE_IN: u32 = 3;
/// Number of the first storage machine.
const FIRST_STORE: u8 = 101;
/// The budget of each program in tokens.
const BUDGET: u64 = 400;

struct PendingCopy {
    at: u64,
    to: Ipv4Addr,
    from: Ipv4Addr,
    /// Incarnation of the requesting process.
    incarnation: u64,
    before: Source,
    changes: Changes,
}

/// The drains that one controller holds.
#[derive(Default)]
struct Drains {
    disk: u64,
    held: BTreeSet<u32>,
    copies: DrainSync,
}

/// All simulated machines.
pub struct TierSimulation {
    pub control: ControlSimulation,
    pub stores: BTreeMap<Ipv4Addr, Store>,
    pub violations: Vec<String>,
    tolerance: Tolerance,
    flaw: StoreFault,
    /// The plan that each relay uses. Some receive changes late.
    relays: Vec<Rc<StoragePlan>>,
    reports: BTreeMap<Ipv4Addr, (u64, u64)>,
    dead_since: BTreeMap<Ipv4Addr, u64>,
    /// Storage machines that the controllers have seen since all of them were restarted, and when that was.
    seen: BTreeSet<Ipv4Addr>,
    restarted_at: u64,
    pending: Vec<PendingRequest>,
    pending_copies: Vec<PendingCopy>,
    drains: BTreeMap<Ipv4Addr, Drains>,
    acknowledged_drains: BTreeSet<u32>,
    next_drain: u32,
    stored_turns: BTreeSet<String>,
    pub received: BTreeMap<String, u64>,
    retirement_polls: BTreeMap<u64, String>,
    last_turn: u64,
    next_store: u8,
    last_incarnation: u64,
    last_planned_at: u64,
    stable_since: u64,
    /// A storage machine requests changes from another one in one of this many steps.
    pub copies_one_in: u32,
    /// Counts of events, so that a test can require them.
    pub event_counts: BTreeMap<&'static str, u64>,
}

fn turn(id: &str) -> Rc<Turn> {
    Rc::new(Turn {
        id: id.into(),
        ancestors: Vec::new(),
        input: Vec::new(),
        output: Vec::new(),
        retention_ms: 3_600_000,
        ended_ms: 0,
    })
}

impl TierSimulation {
    pub fn new(stores: u8, seed: u64, flaw: StoreFault) -> TierSimulation {
        let tolerance = Tolerance::of_machines(1);
        let mut tier = TierSimulation {
            control: ControlSimulation::new(3, 1, seed, Flaw::None),
            stores: BTreeMap::new(),
            violations: Vec::new(),
            tolerance,
            flaw,
            relays: vec![Rc::default(); RELAYS],
            reports: BTreeMap::new(),
            dead_since: BTreeMap::new(),
            seen: BTreeSet::new(),
            restarted_at: 0,
            pending: Vec::new(),
            pending_copies: Vec::new(),
            drains: BTreeMap::new(),
            acknowledged_drains: BTreeSet::new(),
            next_drain: 0,
            stored_turns: BTreeSet::new(),
            received: BTreeMap::new(),
            retirement_polls: BTreeMap::new(),
            last_turn: 0,
            next_store: FIRST_STORE,
            last_incarnation: 0,
            last_planned_at: 0,
            stable_since: 0,
            copies_one_in: COPIES_ONE_IN,
            event_counts: BTreeMap::new(),
        };
        for _ in 0..stores {
            tier.add_store(true);
        }
        tier
    }

    pub fn now(&self) -> u64 {
        self.control.now
    }

    pub fn random_below(&mut self, sides: u32) -> u32 {
        self.control.random_below(sides)
    }

    fn count_event(&mut self, what: &'static str) {
        *self.event_counts.entry(what).or_default() += 1;
    }

    fn new_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    /// Adds an empty storage machine.
    pub fn add_store(&mut self, is_first_start: bool) -> Ipv4Addr {
        let node = storage(self.next_store);
        self.next_store += 1;
        let (incarnation, now) = (self.new_incarnation(), self.now());
        let ip = node.address();
        self.stores.insert(ip, Store::new(node, incarnation, now, is_first_start));
        ip
    }

    pub fn members(&self) -> Vec<Ipv4Addr> {
        self.stores.iter().filter(|(_, store)| !store.is_gone).map(|(ip, _)| *ip).collect()
    }

    pub fn pick_store(&mut self) -> Ipv4Addr {
        let members = self.members();
        members[self.random_below(members.len() as u32) as usize]
    }

    /// Number of disks that count as lost.
    pub fn disks_lost(&self) -> usize {
        self.stores.values().filter(|store| store.is_disk_lost).count() + self.control.disks_lost()
    }

    pub fn kill_store(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now() + for_ms;
        if let Some(store) = self.stores.get_mut(&ip) {
            store.down_until = Some(until);
        }
    }

    pub fn wipe_store(&mut self, ip: Ipv4Addr, for_ms: u64) {
        if let Some(store) = self.stores.get_mut(&ip) {
            store.lose_disk();
        }
        self.stable_since = self.now();
        self.kill_store(ip, for_ms);
    }

    /// Removes a storage machine permanently and adds an empty one at another address.
    pub fn replace_store(&mut self, ip: Ipv4Addr) {
        if let Some(store) = self.stores.get_mut(&ip) {
            store.is_gone = true;
            store.is_disk_lost = true;
        }
        self.add_store(false);
        self.stable_since = self.now();
    }

    /// Retires a storage machine at the operator's request.
    pub fn retire(&mut self, ip: Ipv4Addr) {
        let name = self.stores[&ip].node.name.clone();
        let to = self.control.random_machine();
        self.control.submit(to, Operation::Retire(name));
    }

    fn poll_retirement(&mut self) {
        let retired = self.relays[0].retired.clone();
        let waiting = retired
            .into_iter()
            .find(|name| self.stores.values().any(|store| store.node.name == *name && !store.is_gone));
        if let Some(name) = waiting {
            let to = self.control.random_machine();
            let order = self.control.submit(to, Operation::GetRetire(name.clone()));
            self.retirement_polls.insert(order, name);
        }
    }

    fn take_outcomes(&mut self) {
        for (order, outcome) in self.control.take_outcomes() {
            let Some(name) = self.retirement_polls.remove(&order) else { continue };
            if outcome == Outcome::Retirement(true) {
                self.count_event("machines removed with their disks after retirement");
                let store = self.stores.values_mut().find(|store| store.node.name == name);
                store.into_iter().for_each(|store| store.is_gone = true);
            }
        }
    }

    /// Kills all controllers. Their processes forget which storage machines they have seen.
    pub fn kill_controllers(&mut self, for_ms: u64) {
        self.control.kill_all(for_ms);
        self.seen.clear();
        self.dead_since.clear();
        self.restarted_at = self.now() + for_ms;
    }

    /// Ends all lasting faults.
    pub fn end_faults(&mut self, within: u64) {
        self.control.heal(within);
        let now = self.now();
        for store in self.stores.values_mut() {
            store.frozen_until = store.frozen_until.min(now);
            store.cut_until = store.cut_until.min(now);
            store.isolated_until = store.isolated_until.min(now);
            store.down_until = store.down_until.map(|until| until.min(now + within));
        }
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / STEP {
            self.control.run(STEP);
            self.start_stores();
            self.distribute_plans();
            self.write_plans();
            self.copy();
            self.process_requests();
            self.exchange_drains();
            self.take_outcomes();
            if self.now().is_multiple_of(400) {
                self.poll_retirement();
            }
            self.track_stability();
        }
        let found = std::mem::take(&mut self.control.violations);
        self.violations.extend(found);
    }

    fn start_stores(&mut self) {
        let now = self.now();
        let due: Vec<Ipv4Addr> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_gone && store.down_until.is_some_and(|until| until <= now))
            .map(|(ip, _)| *ip)
            .collect();
        for ip in due {
            let incarnation = self.new_incarnation();
            if let Some(store) = self.stores.get_mut(&ip) {
                store.start(incarnation, now);
            }
        }
    }

    /// Whether a storage machine can communicate with controllers and other storage machines.
    fn is_reachable(&self, ip: Ipv4Addr) -> bool {
        let now = self.now();
        self.stores
            .get(&ip)
            .is_some_and(|store| store.is_up(now) && store.cut_until.max(store.isolated_until) <= now)
    }

    /// Whether relays can reach a storage machine.
    fn is_reachable_by_relays(&self, ip: Ipv4Addr) -> bool {
        let now = self.now();
        self.stores.get(&ip).is_some_and(|store| store.is_up(now) && store.isolated_until <= now)
    }

    fn track_stability(&mut self) {
        let now = self.now();
        // Machines that copy this slowly do not count as returned.
        let is_slow = self.copies_one_in > COPIES_ONE_IN;
        if is_slow || !self.stores.values().all(|store| store.is_reachable(now)) {
            self.stable_since = now;
        }
        // Disks count as lost until all machines have been in contact for the time that restart recovery takes.
        if now >= self.stable_since + CATCH_UP && self.control.is_recovered() {
            self.stores.values_mut().for_each(|store| store.is_disk_lost = false);
        }
    }

    /// Whether turns are stored again and no change of the plan is in progress.
    pub fn is_serving(&mut self) -> bool {
        let before = self.event_counts.get("turns stored").copied().unwrap_or(0);
        let newest = self.relays[0].clone();
        self.relays.fill(newest);
        for _ in 0..8 {
            self.store_turn();
            self.run(100);
        }
        self.run(1000);
        let after = self.event_counts.get("turns stored").copied().unwrap_or(0);
        after >= before + 2 && !self.relays[0].is_changing()
    }

    /// Turns that were stored and that no machine holds any more.
    pub fn lost_turns(&self) -> Vec<String> {
        let is_held = |id: &String| self.stores.values().any(|store| !store.is_gone && store.holds_turn(id));
        self.stored_turns.iter().filter(|id| !is_held(id)).cloned().collect()
    }

    /// Describes the state of each storage machine, for the report of a failed history.
    pub fn describe(&self) -> String {
        let stores = self.stores.values().map(|store| {
            format!(
                "{} gone {} up {} disk lost {} complete {} plan {} synced {}",
                store.node.name,
                store.is_gone,
                store.is_up(self.now()),
                store.is_disk_lost,
                store.is_complete(),
                store.plan.epoch,
                store.synced_epoch()
            )
        });
        let names = |nodes: &[onyxstile_system::storage_plan::StorageNode]| {
            nodes.iter().map(|node| node.name.clone()).collect::<Vec<_>>().join(" ")
        };
        let plan = &self.relays[0];
        let plan =
            format!("plan {} now [{}] before [{}]", plan.epoch, names(&plan.current), names(&plan.previous));
        stores.chain([plan]).collect::<Vec<_>>().join("\n")
    }
}
