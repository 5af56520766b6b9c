//! Stories: each hard case by its name.

use crate::check::{Cold, Promise, must_hold};
use crate::world::{ORDER_LIFE, World};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn kept() -> Promise {
    Promise { none_lost: true, waits: true, cold: Vec::new() }
}

/// Hands in messages of both classes at all relays, as fast as it can, for so long.
fn traffic(world: &World, time: Duration, relays: &[usize]) {
    let end = Instant::now() + time;
    let mut n = 0;
    while Instant::now() < end {
        let class = if n % 3 == 0 { "notices" } else { "orders" };
        world.hand(relays[n % relays.len()], class, n % world.partners.len());
        n += 1;
        sleep(ms(4));
    }
}

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
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
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
        (0..3).for_each(|i| world.start(i));
        (0..3).for_each(|i| world.serving(i));
        traffic(&world, ms(900), &[0, 1, 2]);
        world.power_cut();
    }
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
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

/// One relay's folder is lost: the others tell it apart from a restart, and what they know helps it.
#[test]
fn one_folder_is_lost() {
    let mut world = World::new("lost", 3, 2, 14);
    world.start_all();
    traffic(&world, ms(300), &[0, 1, 2]);
    let (old, _) = world.hand(2, "orders", 0);
    world.ran(&old);
    world.kill(2);
    std::fs::remove_dir_all(world.members[2].folder.join("state")).unwrap();
    world.start(2);
    world.serving(2);
    let judged = world.process(2).last("folder judged").unwrap();
    assert!(judged["loss"].as_str().unwrap().contains("Folder"), "{judged}");
    crate::process::until("word of the lost folder", || {
        let came = world.process(0).last("a relay came")?;
        came["comeback"].as_str().filter(|c| c.contains("LostFolder")).map(|_| ())
    });
    // It knows nothing of what it took on, and says so; the message was run, and is not run again anywhere.
    for relay in 0..3 {
        let status = world.hand_again(relay, "orders", 0, &old, true);
        assert_eq!(status, Some(429), "relay {relay}");
    }
    must_hold(&world, &Promise { none_lost: false, ..kept() });
    assert_eq!(world.effects(&old), 1);
}

/// A journal garbled in its middle: what is behind the gap is read, and nothing that may have run is sent again.
#[test]
fn one_folder_is_garbled_in_the_middle() {
    let mut world = World::new("garbled", 3, 2, 15);
    world.start_all();
    world.partners[0].mute.store(true, Relaxed);
    traffic(&world, ms(500), &[0, 1, 2]);
    sleep(ms(100));
    world.kill(1);
    let mut bytes = std::fs::read(world.journal(1)).unwrap();
    let (from, to) = (bytes.len() / 2, bytes.len() / 2 + 200);
    bytes[from..to].iter_mut().for_each(|b| *b ^= 0x5a);
    std::fs::write(world.journal(1), bytes).unwrap();
    world.partners[0].mute.store(false, Relaxed);
    world.start(1);
    world.serving(1);
    let judged = world.process(1).last("folder judged").unwrap();
    assert!(judged["loss"].as_str().unwrap().contains("Records"), "{judged}");
    must_hold(&world, &Promise { none_lost: false, ..kept() });
}

/// A folder from before: its incarnation is behind what the others know. It is given up; nothing that it shows is sent.
#[test]
fn one_folder_is_an_old_copy() {
    let mut world = World::new("copy", 3, 2, 16);
    world.start_all();
    // Its calls have ended before they were out: the folder shows flows that may go at any time.
    world.gates[2].iter().for_each(|g| g.there.store(true, Relaxed));
    let ids: Vec<_> = (0..6).map(|_| world.hand(2, "orders", 0).0).collect();
    sleep(ms(100));
    world.kill(2);
    let copy = std::fs::read(world.journal(2)).unwrap();
    world.gates[2].iter().for_each(|g| g.there.store(false, Relaxed));
    world.start(2);
    world.serving(2);
    sleep(ms(300));
    world.kill(2);
    let before: Vec<_> = ids.iter().map(|id| world.effects(id)).collect();
    std::fs::write(world.journal(2), copy).unwrap();
    let calls = world.partners[0].calls.lock().unwrap().len();
    world.start(2);
    world.serving(2);
    sleep(ms(500));
    assert_eq!(world.process(2).count("the folder is given up"), 1);
    assert_eq!(ids.iter().map(|id| world.effects(id)).collect::<Vec<_>>(), before);
    assert_eq!(world.partners[0].calls.lock().unwrap().len(), calls, "nothing of it was sent");
    // What the newer folder held is gone with it.
    must_hold(&world, &Promise { none_lost: false, ..kept() });
    let (id, status) = world.hand(2, "orders", 0);
    assert_eq!(status, Some(202), "as another life it serves");
    must_hold(&world, &Promise { none_lost: false, ..kept() });
    assert_eq!(world.effects(&id), 1);
}

/// One direction of the links to one relay is dead. Nobody waits for it, and a claim of which it may know is not settled.
#[test]
fn a_link_that_works_one_way() {
    let mut world = World::new("oneway", 3, 2, 17);
    world.start_all();
    (0..2).for_each(|i| world.ways[2][i].cut.store(true, Relaxed));
    let (id, _) = world.hand(2, "orders", 0);
    assert_eq!(world.hand_again(0, "orders", 0, &id, true), Some(429));
    let began = Instant::now();
    world.kill(0);
    world.start(0);
    world.serving(0);
    assert!(began.elapsed() < ms(5000), "{:?}", began.elapsed());
    (0..2).for_each(|i| world.ways[2][i].cut.store(false, Relaxed));
    let status = world.hand_until(1, "orders", 0, &id, &[202], ms(4000));
    assert_eq!(status, Some(202), "known as delivered");
    must_hold(&world, &kept());
    assert_eq!(world.effects(&id), 1);
}

/// A drain that the others know is kept by a relay whose list is behind, until its list says so itself.
#[test]
fn the_list_is_back_last_and_in_an_older_version() {
    let mut world = World::new("list", 3, 2, 18);
    world.start_all();
    let old = world.members[2].list.now.lock().unwrap().clone();
    world.draining[0] = true;
    world.publish(&[0, 1, 2]);
    sleep(ms(400));
    world.power_cut();
    // Relay 2's agent lost the version, and says nothing for a while.
    *world.members[2].list.now.lock().unwrap() = old;
    world.members[2].list.down.store(true, Relaxed);
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
    let calls =
        |world: &World| world.partners[0].calls.lock().unwrap().iter().filter(|c| c.relay == 2).count();
    let before = calls(&world);
    let (id, _) = world.hand(2, "notices", 0);
    sleep(ms(300));
    world.members[2].list.down.store(false, Relaxed);
    sleep(ms(1500));
    assert_eq!(calls(&world), before, "the others know that it drains");
    world.draining[0] = false;
    world.publish(&[0, 1, 2]);
    must_hold(&world, &kept());
    assert_eq!(world.effects(&id), 1, "the newer list has it up again");
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
    (0..5).for_each(|i| world.start(i));
    (0..5).for_each(|i| world.serving(i));
    must_hold(&world, &Promise { cold: vec![cold], ..kept() });
}

/// The same keyed and the same once-only message at another relay: known there it is not run again.
#[test]
fn a_client_hands_the_same_message_in_again_at_another_relay() {
    let mut world = World::new("again", 3, 2, 20);
    world.start_all();
    let ids: Vec<_> = ["orders", "notices"].map(|class| (class, world.hand(0, class, 0).0)).into();
    ids.iter().for_each(|(_, id)| world.ran(id));
    for (class, id) in &ids {
        assert_eq!(world.hand_again(1, class, 0, id, true), Some(202), "{class}");
    }
    // The relay that had them restarts: it knows what became of them by its folder.
    world.kill(0);
    world.start(0);
    world.serving(0);
    for (class, id) in &ids {
        assert_eq!(world.hand_again(2, class, 0, id, true), Some(202), "{class}");
    }
    // It is gone: nobody can tell, for as long as such a message may live.
    world.kill(0);
    for (class, id) in &ids {
        assert_eq!(world.hand_again(2, class, 0, id, true), Some(429), "{class}");
    }
    // A new message is taken on all the same, marked as it may be once nobody else can have had it.
    assert_eq!(world.hand(2, "orders", 1).1, Some(202));
    must_hold(&world, &kept());
    assert!(ids.iter().all(|(_, id)| world.effects(id) == 1));
}

/// Clocks apart by two seconds, and one set back by the outage: a keyed message's window is not taken for open.
#[test]
fn clocks_differ_and_one_was_set_back() {
    let mut world = World::new("clocks", 3, 2, 21);
    world.members[1].shift = 2.0;
    world.start_all();
    world.partners[0].mute.store(true, Relaxed);
    let ids: Vec<_> = (0..3).map(|i| world.hand(i, "notices", 0).0).collect();
    ids.iter().for_each(|id| world.ran(id));
    (0..3).for_each(|i| world.kill(i));
    sleep(ms(3300));
    world.partners[0].mute.store(false, Relaxed);
    world.members[2].shift = -2.5;
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
    // Each has had its effect already: what tells is what becomes of the flow that is still open.
    let over = |id: &String| !world.notices(id).is_empty() || world.effects(id) > 1;
    crate::process::until("the end of each flow", || ids.iter().all(over).then_some(()));
    must_hold(&world, &kept());
    assert!(ids.iter().all(|id| world.effects(id) == 1));
}

/// No record can be written after the start: nothing is taken on, nothing is sent, and once there is room all goes on.
#[test]
fn the_disk_is_full_at_the_first_record_after_the_start() {
    let mut world = World::new("full", 3, 2, 22);
    world.start_all();
    traffic(&world, ms(200), &[0, 1, 2]);
    world.kill(1);
    world.members[1].disk_mb = 0.001;
    world.start(1);
    sleep(ms(700));
    assert!(world.process(1).states().is_empty(), "{:?}", world.process(1).states());
    let status = world.hand(1, "orders", 0).1;
    assert!(matches!(status, Some(429 | 503)), "{status:?}");
    assert!(!world.members[1].process.as_mut().unwrap().is_over());
    world.kill(1);
    world.members[1].disk_mb = 1.0;
    world.start(1);
    world.serving(1);
    must_hold(&world, &kept());
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
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
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

/// A relay is gone with what it held. What it may have run is run by nobody else, whatever an operator says; what is handed
/// in later than a message's life after the word that it is gone for good is no longer held back. Should it come back, its
/// own word counts again.
#[test]
fn a_relay_that_is_gone_for_good_holds_no_message_back_for_ever() {
    let mut world = World::new("gone", 3, 2, 27);
    world.start_all();
    // From here on each knows all that it took on in the life of a message.
    sleep(ORDER_LIFE + ms(1200));
    let (old, status) = world.hand(2, "orders", 0);
    assert_eq!(status, Some(202));
    world.ran(&old);
    world.kill(2);
    let held = |world: &World| world.hand_again(0, "orders", 0, &world.new_id(), true);
    assert_eq!(held(&world), Some(429), "relay 2 may have had it");
    world.members[0].gone = vec![2];
    world.write_config(0);
    world.process(0).signal("HUP");
    crate::process::until("the word", || {
        (world.process(0).count("relays that are gone for good") == 1).then_some(())
    });
    assert_eq!(world.hand_again(0, "orders", 0, &old, true), Some(429), "it ran at relay 2");
    sleep(ORDER_LIFE + ms(1200));
    assert_eq!(held(&world), Some(202));
    // A relay without the word is none the wiser.
    assert_eq!(world.hand_again(1, "orders", 0, &world.new_id(), true), Some(429));
    // It comes back all the same, and takes one on before the others hear of it again.
    (0..2).for_each(|i| world.ways[2][i].cut.store(true, Relaxed));
    world.start(2);
    world.serving(2);
    let (new, status) = world.hand(2, "orders", 0);
    assert_eq!(status, Some(202));
    world.ran(&new);
    (0..2).for_each(|i| world.ways[2][i].cut.store(false, Relaxed));
    crate::process::until("its return", || {
        let came = world.process(0).last("a relay came").filter(|l| l["node"] == 2)?;
        came["comeback"].as_str().filter(|c| c.contains("Restarted")).map(|_| ())
    });
    let status = world.hand_until(0, "orders", 0, &new, &[202], ms(4000));
    assert_eq!(status, Some(202), "known as delivered");
    must_hold(&world, &kept());
    assert_eq!((world.effects(&old), world.effects(&new)), (1, 1));
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
    (0..3).for_each(|i| world.start(i));
    (0..3).for_each(|i| world.serving(i));
    must_hold(&world, &kept());
}
