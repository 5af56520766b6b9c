//! Stories of what losses of power leave, and of the ends of processes.

use super::*;

/// All lose power, and again while they return; what was answered 202 has its end, and nothing runs twice.
#[test]
fn power_lost_twice_the_second_time_while_service_returns() {
    let mut world = World::new("twice", 3, 3, 11);
    world.start_all();
    world.partners[0].delay_ms.store(150, Relaxed);
    traffic(&world, ms(700), &[0, 1, 2]);
    world.power_cut();
    (0..3).for_each(|i| world.start(i));
    sleep(ms(30));
    world.power_cut();
    world.start_all();
    let (id, _) = world.hand(0, "orders", 1);
    must_hold(&world, &kept());
    assert_eq!(world.effects(&id), 1, "it serves again");
    assert!(world.process(0).last("folder judged").unwrap()["loss"].as_str().unwrap().contains("Unsynced"));
}

/// The journal is rewritten all the time, and power goes in the midst of that, again and again.
#[test]
fn power_lost_while_the_journal_is_rewritten() {
    let mut world = World::new("rewrite", 3, 2, 12);
    world.members.iter_mut().for_each(|m| m.disk_mb = 0.06);
    for _ in 0..3 {
        world.start_all();
        traffic(&world, ms(900), &[0, 1, 2]);
        world.power_cut();
    }
    world.start_all();
    must_hold(&world, &kept());
}

/// One of five comes back when all that it held is over: the flows that it holds fail by notice, none is sent late.
#[test]
fn one_of_five_is_back_when_its_flows_are_over() {
    let mut world = World::new("late", 5, 2, 13);
    world.start_all();
    world.partners[0].mute.store(true, Relaxed);
    let ids: Vec<_> = (0..5).map(|_| world.hand(4, "orders", 0).0).collect();
    let keyed = world.hand(4, "notices", 0).0;
    sleep(ms(100));
    world.power_cut();
    world.partners[0].mute.store(false, Relaxed);
    (0..4).for_each(|i| world.start(i));
    (0..4).for_each(|i| world.serving(i));
    // Its client comes again elsewhere: while relay 4 may hold it nobody takes it on.
    assert_eq!(world.hand_again(1, "orders", 0, &ids[0], true), Some(429));
    sleep(ms(5600));
    world.start(4);
    world.serving(4);
    must_hold(&world, &kept());
    assert!(ids.iter().chain([&keyed]).all(|id| world.effects(id) <= 1));
}

/// All come back at once, each with messages that it holds for a partner that comes back cold at the same moment; the
/// rule's budget holds, counted over all of them.
#[test]
fn a_partner_comes_back_cold_at_the_same_moment() {
    let mut world = World::new("cold", 5, 1, 19);
    // So small that the law, the slots and the spread of the timers do not keep the budget by themselves.
    let bears = 3;
    world.partners[0].limit.store(bears, Relaxed);
    world.start_all();
    world.partners[0].shut.store(true, Relaxed);
    for n in 0..125 {
        world.hand(n % 5, "notices", 0);
    }
    world.power_cut();
    world.partners[0].shut.store(false, Relaxed);
    let cold = Cold { partner: 0, at: Instant::now(), capacity: bears as f64 };
    world.start_all();
    must_hold(&world, &Promise { cold: vec![cold], ..kept() });
}

/// SIGHUP and SIGTERM while service returns: the one changes nothing, after the other the next process goes on.
#[test]
fn told_to_end_while_service_returns() {
    let mut world = World::new("term", 3, 2, 23);
    world.start_all();
    world.partners[0].mute.store(true, Relaxed);
    traffic(&world, ms(300), &[0, 1, 2]);
    world.power_cut();
    world.partners[0].mute.store(false, Relaxed);
    (0..2).for_each(|i| world.start(i));
    world.process(0).signal("HUP");
    world.process(1).signal("TERM");
    assert!(world.members[1].process.as_mut().unwrap().ended(), "it ends in order");
    world.start(1);
    world.start(2);
    (0..3).for_each(|i| world.serving(i));
    assert_eq!(world.process(0).count("the configuration was read again"), 1);
    must_hold(&world, &kept());
}

/// A wait that was told outlasts the loss of power of the relay that was told it.
#[test]
fn a_told_wait_outlasts_a_loss_of_power() {
    let mut world = World::new("wait", 3, 1, 24);
    world.start_all();
    world.partners[0].wait_ms.store(6000, Relaxed);
    world.partners[0].shut.store(true, Relaxed);
    (0..3).for_each(|i| drop(world.hand(i, "notices", 0)));
    let told = |i: usize| world.partners[0].told.lock().unwrap().iter().any(|(relay, ..)| *relay == i);
    crate::process::until("the waits", || (0..3).all(told).then_some(()));
    sleep(ms(400));
    world.power_cut();
    world.partners[0].shut.store(false, Relaxed);
    world.start_all();
    traffic(&world, ms(1000), &[0, 1, 2]);
    must_hold(&world, &kept());
}

/// Writes that are not synced: after a loss of power a once-only flow without a call in the journal fails. The process that
/// found that out is killed before it has acted on it; the next one, on the same machine, must not know less.
#[test]
fn what_a_first_start_could_not_know_holds_for_the_second() {
    let mut world = World::new("second", 3, 1, 25);
    world.members.iter_mut().for_each(|m| m.durability = "process");
    world.start_all();
    world.partners[0].wait_ms.store(1500, Relaxed);
    world.partners[0].shut.store(true, Relaxed);
    let ids: Vec<_> = (0..4).map(|_| world.hand(0, "orders", 0).0).collect();
    sleep(ms(300));
    world.kill(0);
    world.new_boot();
    world.start(0);
    crate::process::until("the first state", || (!world.process(0).states().is_empty()).then_some(()));
    world.kill(0);
    world.partners[0].shut.store(false, Relaxed);
    world.start(0);
    world.serving(0);
    let judged = world.process(0).last("folder judged").unwrap();
    assert!(judged["loss"].as_str().unwrap().contains("Nothing"), "{judged}");
    must_hold(&world, &kept());
    assert!(ids.iter().all(|id| world.effects(id) == 0), "one was sent after all");
}

/// A keyed call does not wait for its record's sync, and the record is lost with the power: its window is not taken for
/// open, though nothing shows that it was ever sent.
#[test]
fn a_keyed_call_of_which_no_record_is_left() {
    let mut world = World::new("keyed", 1, 1, 26);
    world.start_all();
    world.partners[0].shut.store(true, Relaxed);
    let ids: Vec<_> = (0..8).map(|_| world.hand(0, "notices", 0).0).collect();
    sleep(ms(200));
    world.partners[0].mute.store(true, Relaxed);
    world.partners[0].shut.store(false, Relaxed);
    // Where all refused a moment ago calls come singly.
    crate::process::until("an effect", || ids.iter().any(|id| world.effects(id) > 0).then_some(()));
    world.power_cut();
    world.partners[0].mute.store(false, Relaxed);
    sleep(ms(3300));
    world.start(0);
    world.serving(0);
    must_hold(&world, &kept());
}

/// Killed, started again, and power is lost before that process has synced anything: what the one before had synced is on the
/// disk. (A rig that forgot that cut promised messages away, and blamed the program for it.)
#[test]
fn power_lost_before_a_process_has_synced_anything() {
    let mut world = World::new("unsynced", 3, 2, 28);
    world.start_all();
    world.gates.iter().flatten().for_each(|g| g.there.store(true, Relaxed));
    let ids: Vec<_> = (0..12).map(|n| world.hand(n % 3, "orders", n % 2)).collect();
    assert!(ids.iter().all(|(_, status)| *status == Some(202)));
    (0..3).for_each(|i| world.kill(i));
    for i in 0..3 {
        let process = world.begin(i);
        process.signal("STOP");
        println!("relay {i} had synced: {}", process.last("journal synced").is_some());
        world.members[i].process = Some(process);
    }
    world.power_cut();
    world.gates.iter().flatten().for_each(|g| g.there.store(false, Relaxed));
    world.start_all();
    must_hold(&world, &kept());
}
