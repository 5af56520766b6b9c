//! Stories of links, lists, and clients that come again.

use super::*;

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
    world.start_all();
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
    // Also where more are handed in than may be asked about at a time: who is gone answers none of it.
    let taken = std::thread::scope(|s| {
        let one = |n: u64| {
            let world = &world;
            s.spawn(move || {
                sleep(ms(6 * n));
                held(world)
            })
        };
        let all: Vec<_> = (0..24).map(one).collect();
        all.into_iter().filter_map(|h| h.join().unwrap()).filter(|status| *status == 202).count()
    });
    assert!(taken >= 20, "{taken} of 24");
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
