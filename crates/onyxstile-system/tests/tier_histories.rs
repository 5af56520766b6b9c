//! The whole of control and state under the worst days, in one world: LOST, BUDGET, DRAIN, CONFIG and the return of service.
//! `HISTORIES` and `FIRST` set how many histories are played, and from which seed on.

mod support;

use support::control_simulation::CATCH_UP;
use support::store_world::StoreFault;
use support::tier_simulation::{COPIES_ONE_IN, TierSimulation};
use support::variable;

/// One history; what the checkers found, or `Err` where service does not return.
fn run_history(seed: u64, flaw: StoreFault) -> (TierSimulation, Result<(), String>) {
    let stores = 3 + (seed % 3) as u8;
    let mut tier = TierSimulation::new(stores, seed, flaw);
    tier.run(1500);
    for _ in 0..40 {
        run_operations(&mut tier);
        if tier.random_below(3) == 0 {
            inject_fault(&mut tier);
        }
        if tier.random_below(8) == 0 {
            tier.heal(300);
            tier.run(CATCH_UP + 1000);
        }
        let pause = 50 + u64::from(tier.random_below(400));
        tier.run(pause);
    }
    tier.heal(300);
    tier.run(CATCH_UP + 4000);
    let serves = tier.is_serving() || tier.is_serving() || tier.is_serving();
    let lost = tier.lost_turns();
    if !lost.is_empty() {
        tier.violations.push(format!("nobody holds {lost:?}"));
    }
    let returned = if serves { Ok(()) } else { Err(tier.describe()) };
    (tier, returned)
}

fn run_operations(tier: &mut TierSimulation) {
    for _ in 0..2 + tier.random_below(4) {
        match tier.random_below(8) {
            0 | 1 => tier.store_turn(),
            2 | 6 | 7 => tier.read_turn(),
            3 | 4 => tier.claim_turn(),
            _ => {
                let base = tier.control.newest_committed();
                let to = tier.control.random_machine();
                tier.control.put(to, base, base + 1);
            }
        }
    }
    if tier.random_below(4) == 0 {
        tier.drain();
    }
    if tier.random_below(4) == 0 {
        tier.start_relay();
    }
    let reader = tier.control.random_machine();
    tier.control.read(reader);
}

fn inject_fault(tier: &mut TierSimulation) {
    let time = match tier.random_below(4) {
        0 => 20_000,
        1 => 100 + u64::from(tier.random_below(3500)),
        _ => 20 + u64::from(tier.random_below(400)),
    };
    let may_lose = tier.disks_lost() < 1;
    let store = tier.pick_store();
    let core = tier.control.random_machine();
    let until = tier.now() + time;
    match tier.random_below(22) {
        0 => tier.kill_store(store, time),
        1 => tier.stores.get_mut(&store).expect("a machine").frozen_until = until,
        2 => tier.stores.get_mut(&store).expect("a machine").cut_until = until,
        3 => tier.stores.get_mut(&store).expect("a machine").isolated_until = until,
        4..=6 if may_lose => tier.wipe_store(store, time),
        7 if may_lose => tier.replace_store(store),
        8 => {
            tier.add_store(false);
        }
        9 => (0..3).for_each(|_| {
            tier.add_store(false);
        }),
        10 | 11 => tier.retire(store),
        12 if may_lose => tier.control.wipe(core, time),
        13 if may_lose => tier.control.replace(core),
        14 => tier.control.kill(core, time),
        15 => tier.control.cut(core, time),
        16 => tier.control.freeze(core, time),
        17 => {
            tier.control.kill_all(300);
            tier.members().into_iter().for_each(|ip| tier.kill_store(ip, 300));
        }
        18 | 19 => lose_disk_after_missed_turns(tier),
        20 => retire_then_wipe(tier),
        21 => restart_without_plan(tier),
        _ => tier.kill_store(store, time),
    }
}

/// Storage machines in a random order.
fn shuffled(tier: &mut TierSimulation) -> Vec<std::net::Ipv4Addr> {
    let mut members = tier.members();
    for end in (1..members.len()).rev() {
        members.swap(end, tier.random_below(end as u32 + 1) as usize);
    }
    members
}

/// Turns run while one machine is away; others follow on them.
fn store_turns_without(tier: &mut TierSimulation, away: std::net::Ipv4Addr) {
    let until = tier.now() + 700;
    tier.stores.get_mut(&away).expect("a machine").isolated_until = until;
    for _ in 0..6 {
        tier.store_turn();
        tier.claim_turn();
        tier.run(100);
    }
    tier.run(100);
}

fn read_and_claim_turns(tier: &mut TierSimulation) {
    for _ in 0..30 {
        tier.read_turn();
        tier.claim_turn();
        tier.run(400);
    }
}

/// One machine misses turns; as it returns, one of those that have them is away for long and the other loses its disk.
fn lose_disk_after_missed_turns(tier: &mut TierSimulation) {
    let members = shuffled(tier);
    if members.len() < 3 {
        return;
    }
    store_turns_without(tier, members[0]);
    if tier.disks_lost() < 1 {
        let until = tier.now() + 20_000;
        tier.stores.get_mut(&members[1]).expect("a machine").isolated_until = until;
        tier.wipe_store(members[2], 100);
    }
    read_and_claim_turns(tier);
}

/// One machine misses turns; another is emptied and taken away, and a third loses its disk right after.
fn retire_then_wipe(tier: &mut TierSimulation) {
    let members = shuffled(tier);
    if members.len() < 4 {
        return;
    }
    tier.copies_one_in = 300;
    store_turns_without(tier, members[0]);
    tier.retire(members[1]);
    for _ in 0..60 {
        tier.run(50);
        if tier.stores[&members[1]].is_gone {
            break;
        }
    }
    if tier.disks_lost() < 1 {
        tier.wipe_store(members[2], 100);
    }
    tier.copies_one_in = COPIES_ONE_IN;
    read_and_claim_turns(tier);
}

/// The plan has changed; then all storage machines and controllers are killed, the latter stay away for longer, and relays
/// that are behind go on.
fn restart_without_plan(tier: &mut TierSimulation) {
    tier.add_store(false);
    tier.add_store(false);
    tier.run(3000);
    tier.control.kill_all(2500);
    tier.members().into_iter().for_each(|ip| tier.kill_store(ip, 100));
    for _ in 0..20 {
        tier.store_turn();
        tier.claim_turn();
        tier.read_turn();
        tier.read_turn();
        tier.run(150);
    }
}

#[test]
fn whatever_crosses_nothing_acknowledged_is_lost_and_service_returns() {
    let first = variable("FIRST", 0);
    let mut seen = std::collections::BTreeMap::new();
    for seed in first..first + variable("HISTORIES", 20) {
        let (tier, returned) = run_history(seed, StoreFault::None);
        assert!(tier.violations.is_empty(), "seed {seed}: {:?}", tier.violations);
        assert!(returned.is_ok(), "seed {seed}: turns are not kept, or a change does not end\n{returned:?}");
        for (what, count) in tier.event_counts {
            *seen.entry(what).or_insert(0) += count;
        }
    }
    println!("{seen:?}");
    for what in [
        "turns kept",
        "turns let in",
        "turns refused by their budget",
        "plan changes ended",
        "drains acknowledged",
    ] {
        assert!(seen.get(what).is_some_and(|count| *count > 0), "{what}: {seen:?}");
    }
}

fn is_flaw_caught(flaw: StoreFault) -> bool {
    let caught = (0..400).find(|seed| !run_history(*seed, flaw).0.violations.is_empty());
    println!("{flaw:?}: caught by seed {caught:?}");
    caught.is_some()
}

#[test]
fn the_checkers_catch_a_copy_that_time_makes() {
    assert!(is_flaw_caught(StoreFault::Timeout));
}

#[test]
fn the_checkers_catch_a_machine_that_answers_before_it_has_copied() {
    assert!(is_flaw_caught(StoreFault::AnswersWhileEmpty));
}

#[test]
fn the_checkers_catch_a_change_that_ends_before_the_copies_are_made() {
    assert!(is_flaw_caught(StoreFault::EndsAtOnce));
}

/// By argument first: a machine that was restarted knew no plan and let relays that were behind write and look where nobody
/// looks any more.
#[test]
fn the_checkers_catch_a_machine_that_forgets_which_plans_it_has_gone_by() {
    assert!(is_flaw_caught(StoreFault::ForgetsEpoch));
}

#[test]
fn the_checkers_catch_newcomers_that_wait_for_each_other() {
    assert!((0..200).any(|seed| run_history(seed, StoreFault::WaitsForNewcomers).1.is_err()));
}
