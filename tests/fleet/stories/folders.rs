//! Stories of folders that are lost, old, garbled or full, and of clocks.

use super::*;

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
    world.start_all();
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
