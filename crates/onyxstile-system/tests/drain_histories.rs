//! DRAIN over seeded histories: a drain that was acknowledged reaches every relay in its time, whichever controllers forget it
//! right after, and no relay goes back behind it.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxstile_system::clock::Instant;
use onyxstile_system::registry::{DrainSync, Instance, Registry, Stage, replicas_needed};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

const HEARTBEAT: u64 = 1000;
const POLL: u64 = 200;
const DRAIN_BOUND: u64 = 2000;
/// A controller that was lost counts as lost until it has been back for this long.
const CATCH_UP: u64 = 2000;

fn instance(stage: Stage, sequence: u64) -> Instance {
    Instance {
        id: "i".into(),
        service: "s".into(),
        address: ([10, 0, 0, 9], 80),
        zone: "z".into(),
        capacity: 8,
        stage,
        warmup_left_ms: 0,
        sequence,
        is_silent: false,
    }
}

struct Controller {
    registry: Registry,
    /// What its disk holds, some moments old.
    persisted: Vec<Instance>,
    down_until: u64,
    lost_until: u64,
}

/// What one relay has heard: the newest change of each controller's life, and the furthest stage.
#[derive(Default)]
struct Relay {
    seen: BTreeMap<usize, (u64, u64)>,
    stage: Option<Stage>,
}

struct World {
    now: u64,
    rng: Pcg64Mcg,
    controllers: Vec<Controller>,
    relays: Vec<Relay>,
    tolerated: usize,
    last_incarnation: u64,
    violations: Vec<String>,
    /// Whether controllers pull drains from each other.
    exchanges_records: bool,
}

impl World {
    fn new(count: usize, tolerated: usize, seed: u64) -> World {
        let controller = |incarnation| Controller {
            registry: Registry::new(incarnation, Duration::from_millis(HEARTBEAT)),
            persisted: Vec::new(),
            down_until: 0,
            lost_until: 0,
        };
        World {
            now: 0,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            controllers: (1..=count as u64).map(controller).collect(),
            relays: (0..5).map(|_| Relay::default()).collect(),
            tolerated,
            last_incarnation: 100,
            violations: Vec::new(),
            exchanges_records: true,
        }
    }

    fn random_below(&mut self, sides: usize) -> usize {
        self.rng.next_u32() as usize % sides
    }

    fn is_up(&self, index: usize) -> bool {
        self.controllers[index].down_until <= self.now
    }

    fn random_running(&mut self) -> usize {
        loop {
            let index = self.random_below(self.controllers.len());
            if self.is_up(index) {
                return index;
            }
        }
    }

    /// A heartbeat to one controller; `leaves` has it held by as many others as may be lost before it is acknowledged.
    fn heartbeat(&mut self, stage: Stage, sequence: u64, is_replicated: bool) {
        let first = self.random_running();
        let now = Instant::from_millis(self.now);
        self.controllers[first].registry.merge(now, instance(stage, sequence));
        if stage == Stage::Ready || !is_replicated {
            return;
        }
        let others: Vec<usize> =
            (0..self.controllers.len()).filter(|index| *index != first && self.is_up(*index)).collect();
        let needed = replicas_needed(self.controllers.len(), self.tolerated);
        for index in others.into_iter().take(needed).chain([first]) {
            let controller = &mut self.controllers[index];
            controller.registry.merge(now, instance(stage, sequence));
            // A drain is on the disk before it is acknowledged.
            controller.persisted = controller.registry.records();
        }
    }

    /// Each controller that is up pulls the records of one other.
    fn exchange(&mut self) {
        let now = Instant::from_millis(self.now);
        for index in 0..self.controllers.len() {
            let from = self.random_below(self.controllers.len());
            if from == index || !self.is_up(index) || !self.is_up(from) || self.random_below(5) == 0 {
                continue;
            }
            let update = self.controllers[from].registry.updates_since(0, 0);
            update.into_iter().for_each(|update| {
                self.controllers[index].registry.merge_update(now, update);
            });
        }
    }

    /// Loses a controller's memory if one more loss is borne; what its disk holds may come back.
    fn lose_if_tolerated(&mut self, index: usize) {
        let lost = self.controllers.iter().filter(|controller| controller.lost_until > self.now).count();
        if lost >= self.tolerated || self.controllers[index].lost_until > self.now {
            return;
        }
        let is_wiped = self.random_below(3) == 0;
        self.stop(index, is_wiped);
    }

    /// Ends a controller's process for a while, its disk lost or not.
    fn stop(&mut self, index: usize, is_wiped: bool) {
        let down = 200 + self.random_below(1500) as u64;
        self.last_incarnation += 1;
        let now = self.now;
        let controller = &mut self.controllers[index];
        controller.registry = Registry::new(self.last_incarnation, Duration::from_millis(HEARTBEAT));
        if is_wiped {
            controller.persisted.clear();
        }
        controller.registry.restore(Instant::from_millis(now + down), controller.persisted.clone());
        controller.down_until = now + down;
        controller.lost_until = now + down + CATCH_UP;
    }

    fn poll(&mut self, number: usize) {
        for index in 0..self.controllers.len() {
            if !self.is_up(index) || self.random_below(5) == 0 {
                continue;
            }
            let registry = &self.controllers[index].registry;
            let relay = &mut self.relays[number];
            let (incarnation, counter) = relay.seen.get(&index).copied().unwrap_or_default();
            for seen in registry.since(incarnation, counter) {
                relay.stage = relay.stage.max(Some(seen.stage));
            }
            relay.seen.insert(index, (registry.origin(), registry.counter()));
        }
    }

    /// Plays one endpoint's life; true replication or none.
    fn run_lifecycle(&mut self, is_replicated: bool) {
        let drains_at = 3000 + self.random_below(3000) as u64;
        let mut acknowledged: Option<u64> = None;
        for sequence in 1.. {
            let at = sequence * HEARTBEAT / 20 * 20;
            if at > drains_at + 6000 {
                break;
            }
            while self.now < at.min(drains_at + 6000) {
                self.step(acknowledged);
            }
            if self.now >= drains_at {
                // Later heartbeats repeat it, where they arrive.
                if acknowledged.is_none() || self.random_below(2) == 0 {
                    self.heartbeat(Stage::Draining, sequence, is_replicated);
                    acknowledged.get_or_insert(self.now);
                }
            } else {
                self.heartbeat(Stage::Ready, sequence, is_replicated);
            }
        }
    }

    fn step(&mut self, acknowledged: Option<u64>) {
        self.now += 20;
        // Losses come mostly right after the acknowledgement.
        let is_just_acknowledged = acknowledged.is_some_and(|at| self.now <= at + 60);
        if self.random_below(if is_just_acknowledged { 2 } else { 60 }) == 0 {
            let index = self.random_below(self.controllers.len());
            self.lose_if_tolerated(index);
        }
        self.run_periodic_work();
        if self.random_below(150) == 0 {
            // A relay that starts anew is ready only once it has heard a majority.
            let number = self.random_below(self.relays.len());
            self.restart_relay(number);
        }
        if acknowledged.is_some_and(|at| self.now > at + DRAIN_BOUND) {
            let behind = self.relays.iter().filter(|relay| relay.stage == Some(Stage::Ready)).count();
            if behind > 0 {
                self.violations.push(format!("{behind} relays still send at {} ms", self.now));
            }
        }
    }

    fn restart_relay(&mut self, number: usize) {
        self.relays[number] = Relay::default();
        (0..4).for_each(|_| self.poll(number));
    }

    /// What happens all the while: records go to disks, relays poll, controllers pull.
    fn run_periodic_work(&mut self) {
        if self.now.is_multiple_of(240) {
            let index = self.random_below(self.controllers.len());
            self.controllers[index].persisted = self.controllers[index].registry.records();
        }
        if self.now.is_multiple_of(POLL) {
            (0..self.relays.len()).for_each(|number| self.poll(number));
        }
        if self.exchanges_records && self.now.is_multiple_of(100) {
            self.exchange();
        }
    }

    fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 20 {
            self.now += 20;
            self.run_periodic_work();
        }
    }
}

/// An endpoint says once that it has left; then controllers lose their disks in turn, each after the one before has caught
/// up. What a relay that starts after that takes the endpoint for.
fn stage_after_successive_wipes(seed: u64, exchanges_records: bool) -> Option<Stage> {
    let mut world = World { exchanges_records, ..World::new(3, 1, seed) };
    for sequence in 1..=8 {
        world.advance(200);
        world.heartbeat(Stage::Ready, sequence, true);
    }
    world.heartbeat(Stage::Gone, 9, true);
    let first = world.random_below(3);
    for index in [first, (first + 1) % 3] {
        world.stop(index, true);
        world.advance(1700 + CATCH_UP);
    }
    world.restart_relay(0);
    world.relays[0].stage
}

fn find_violations(count: usize, tolerated: usize, is_replicated: bool, seeds: u64) -> Vec<String> {
    let run_lifecycle = |seed| {
        let mut world = World::new(count, tolerated, seed);
        world.run_lifecycle(is_replicated);
        world.violations.first().map(|violation| format!("seed {seed}: {violation}"))
    };
    (0..seeds).filter_map(run_lifecycle).collect()
}

#[test]
fn an_acknowledged_drain_survives_the_tolerated_number_of_losses() {
    assert_eq!(find_violations(3, 1, true, 400), Vec::<String>::new());
    assert_eq!(find_violations(5, 2, true, 400), Vec::<String>::new());
}

#[test]
fn the_checker_detects_a_drain_held_by_only_one_controller() {
    assert!(!find_violations(3, 1, false, 400).is_empty());
}

#[test]
fn a_drain_survives_the_wipe_of_one_holder_and_then_of_the_other() {
    for seed in 0..400 {
        let stage = stage_after_successive_wipes(seed, true);
        assert!(stage.is_none_or(|stage| stage == Stage::Gone), "seed {seed}: {stage:?}");
    }
}

#[test]
fn the_checker_detects_controllers_that_do_not_exchange_records() {
    assert!((0..400).any(|seed| stage_after_successive_wipes(seed, false) == Some(Stage::Ready)));
}

const ELECTORS: [[u8; 4]; 6] =
    [[10, 0, 0, 1], [10, 0, 0, 2], [10, 0, 0, 3], [10, 0, 0, 4], [10, 0, 0, 5], [10, 0, 0, 6]];

#[test]
fn a_controller_that_lost_its_disk_is_complete_after_pulling_from_both_others() {
    let electors = &ELECTORS[..3];
    let mut sync = DrainSync::new(false);
    assert!(!sync.check_complete(ELECTORS[0], electors));
    sync.record_pull(ELECTORS[1], true);
    assert!(!sync.check_complete(ELECTORS[0], electors), "the other may hold the only copy");
    sync.record_pull(ELECTORS[2], true);
    assert!(sync.check_complete(ELECTORS[0], electors));
    assert!(sync.is_complete());
}

#[test]
fn controllers_that_join_together_do_not_wait_for_each_other() {
    let mut sync = DrainSync::new(false);
    ELECTORS[3..5].iter().for_each(|newcomer| sync.record_pull(*newcomer, false));
    sync.record_pull(ELECTORS[0], true);
    assert!(!sync.check_complete(ELECTORS[5], &ELECTORS));
    sync.record_pull(ELECTORS[1], true);
    sync.record_pull(ELECTORS[2], true);
    assert!(sync.check_complete(ELECTORS[5], &ELECTORS));
    assert!(
        !DrainSync::new(false).check_complete([9, 9, 9, 9], &ELECTORS),
        "whoever is no elector holds nothing yet"
    );
}

/// Whoever hears a majority of the electors hears one that holds the drain, as many lost as may be.
#[test]
fn every_majority_includes_a_holder() {
    for electors in 1..=9usize {
        for losses in 0..=electors / 2 {
            let holders = 1 + replicas_needed(electors, losses);
            let majority = electors / 2 + 1;
            assert!(holders + majority > electors, "{electors} electors");
            assert!(holders > losses);
        }
    }
}
