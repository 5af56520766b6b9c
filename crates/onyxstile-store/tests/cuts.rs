//! Each file of a working store cut at every byte, and with every byte changed.
#![allow(missing_docs)]

use onyxstile_store::disk::Disk;
use onyxstile_store::sim::SimDisk;
use onyxstile_store::{Change, Options, Report, Store, Sync};
use std::collections::{BTreeMap, BTreeSet};

type Contents = BTreeMap<u64, Vec<u8>>;

fn options(verify: bool) -> Options {
    Options { limit: 64 * 1024, segment: 4096, commit: 1 << 20, verify }
}

/// A store with all the states that it went through, oldest first.
fn worked(commits: u64) -> (SimDisk, Vec<Contents>) {
    let disk = SimDisk::default();
    let (mut store, _) = Store::<SimDisk, 1>::open(disk.clone(), options(true)).unwrap();
    let mut states = vec![Contents::new()];
    for n in 0..commits {
        let mut now = states.last().unwrap().clone();
        let key = n * 7 % 40;
        let value = vec![n as u8; 40 + (n * 31 % 150) as usize];
        let mut changes = vec![Change::Put { key, facets: Some([n % 3]), value: value.clone() }];
        now.insert(key, value);
        if n % 3 == 1 {
            changes.push(Change::Delete(n * 11 % 40));
            now.remove(&(n * 11 % 40));
        }
        store.commit(&changes, Sync::Written).unwrap();
        states.push(now);
    }
    (disk, states)
}

/// What is found; a value that cannot be read is left out and counted.
fn found(disk: SimDisk, verify: bool) -> Option<(Contents, Report, usize)> {
    let (store, report) = Store::<SimDisk, 1>::open(disk, options(verify)).ok()?;
    let (mut contents, mut unread) = (Contents::new(), 0);
    for key in store.keys(0..=u64::MAX) {
        match store.get(key) {
            Ok(value) => drop(contents.insert(key, value.unwrap())),
            Err(_) => unread += 1,
        }
    }
    Some((contents, report, unread))
}

/// Every `step`-th byte of every file.
fn hurt(disk: &SimDisk, step: usize, check: impl Fn(&str, &str, bool, (Contents, Report, usize))) -> usize {
    let names = disk.list().unwrap();
    let last = names.iter().filter(|n| n.ends_with(".seg")).max().unwrap().clone();
    let mut cuts = 0;
    for name in &names {
        let bytes = disk.bytes(name).unwrap();
        for at in (0..bytes.len()).step_by(step) {
            for verify in [true, false] {
                let copy = disk.copy();
                copy.set(name, bytes[..at].to_vec());
                check(&format!("{name} cut at {at}"), name, *name == last, found(copy, verify).unwrap());
                let copy = disk.copy();
                let mut spoilt = bytes.clone();
                spoilt[at] ^= 1 << (at % 8);
                copy.set(name, spoilt);
                // A head that is whole and says another version is not opened at all.
                let opened = found(copy, verify);
                check(&format!("{name} spoilt at {at}"), name, *name == last, opened.unwrap());
            }
            cuts += 1;
        }
    }
    cuts
}

#[test]
fn a_log_that_is_cut_or_spoilt_anywhere_gives_a_state_that_there_was() {
    let (disk, states) = worked(72);
    let all: BTreeSet<&Contents> = states.iter().collect();
    let whole = states.last().unwrap();
    let ever: BTreeSet<(u64, &Vec<u8>)> = states.iter().flatten().map(|(k, v)| (*k, v)).collect();
    assert!(disk.list().unwrap().contains(&"000000000001.seg".to_string()), "nothing was compacted yet");
    let cuts = hurt(&disk, 1, |what, name, last, (contents, report, unread)| {
        if name.ends_with(".idx") {
            assert!(contents == *whole && !report.damaged && unread == 0, "{what}: {report:?}");
            return;
        }
        // Where closed segments are taken by their index, a spoilt value shows when it is read; never a wrong one.
        assert!(contents.iter().all(|(k, v)| ever.contains(&(*k, v))), "{what}");
        if unread > 0 {
            assert!(what.contains("spoilt") && report.by_index > 0, "{what}: {report:?}");
            assert!(contents.iter().all(|(k, v)| whole.get(k) == Some(v)), "{what}");
            return;
        }
        assert!(all.contains(&contents), "{what}: {report:?}");
        // What is missing is said, but where only the newest segment's end is: that is how a killed process looks.
        assert!(contents == *whole || report.damaged || last, "{what}: {report:?}");
    });
    println!("{cuts} places cut and {cuts} spoilt, each opened by the log and by the indexes");
    assert!(cuts > 10_000);
}

#[test]
fn after_compaction_nothing_older_is_given_out_without_saying_so() {
    let (disk, states) = worked(700);
    let whole = states.last().unwrap();
    let ever: BTreeSet<(u64, &Vec<u8>)> = states.iter().flatten().map(|(k, v)| (*k, v)).collect();
    assert!(!disk.list().unwrap().contains(&"000000000001.seg".to_string()), "it was compacted");
    hurt(&disk, 5, |what, name, last, (contents, report, unread)| {
        assert!(contents.iter().all(|(k, v)| ever.contains(&(*k, v))), "{what}");
        let same = contents == *whole;
        assert!(same || report.damaged || last || unread > 0, "{what}: {report:?}");
        assert!(!name.ends_with(".idx") || same, "{what}");
    });
}

#[test]
fn damage_is_told_until_it_is_accepted_and_the_store_goes_on() {
    let (disk, states) = worked(72);
    let bytes = disk.bytes("000000000002.seg").unwrap();
    disk.set("000000000002.seg", bytes[..2000].to_vec());
    for _ in 0..2 {
        let (contents, report, _) = found(disk.clone(), true).unwrap();
        assert!(report.damaged && states.contains(&contents), "{report:?}");
    }
    assert!(disk.list().unwrap().iter().any(|n| n.ends_with(".lost")));
    let (mut store, _) = Store::<SimDisk, 1>::open(disk.clone(), options(true)).unwrap();
    store.accept_damage().unwrap();
    let put = |key| Change::Put { key, facets: Some([1]), value: vec![7; 100] };
    store.commit(&[put(1000), put(1001)], Sync::Written).unwrap();
    let before: Vec<u64> = store.keys(0..=u64::MAX).collect();
    drop(store);
    let (store, report) = Store::<SimDisk, 1>::open(disk, options(false)).unwrap();
    assert!(!report.damaged, "{report:?}");
    assert!(store.keys(0..=u64::MAX).eq(before) && store.get(1001).unwrap() == Some(vec![7; 100]));
}

#[test]
fn a_full_store_says_so_takes_deletions_and_stays_within_its_limit() {
    let disk = SimDisk::default();
    let (mut store, _) = Store::<SimDisk, 1>::open(disk.clone(), options(true)).unwrap();
    let put = |key, n: u8| Change::Put { key, facets: Some([key]), value: vec![n; 500] };
    let mut key = 0;
    while store.commit(&[put(key, 1)], Sync::Written).is_ok() {
        key += 1;
    }
    assert!(key > 30 && !store.has_room(1, 500), "{key}");
    // Over and over, in a store that stays full.
    for round in 0..3000u64 {
        store.commit(&[put((round * round * 7 + round / 3) % key, round as u8)], Sync::Written).unwrap();
        assert!(store.used_bytes() <= 64 * 1024, "round {round}: {}", store.used_bytes());
    }
    assert!(store.copied_bytes() > 0);
    for n in 0..key / 2 {
        store.commit(&[Change::Delete(n)], Sync::Written).unwrap();
    }
    store.commit(&[put(key, 9)], Sync::Written).unwrap();
    let disk_bytes: usize = disk.list().unwrap().iter().map(|n| disk.bytes(n).unwrap().len()).sum();
    assert_eq!(disk_bytes as u64, store.used_bytes());
}

#[test]
fn a_snapshot_stays_as_it_was_while_records_change_and_move() {
    let (disk, _) = worked(60);
    let (mut store, _) = Store::<SimDisk, 1>::open(disk, options(true)).unwrap();
    let keys: Vec<u64> = store.keys(0..=u64::MAX).collect();
    let was: Vec<_> = keys.iter().map(|k| (*k, store.get(*k).unwrap().unwrap())).collect();
    let snapshot = store.snapshot(keys.iter().copied());
    for key in &keys {
        store.commit(&[Change::Delete(*key)], Sync::Written).unwrap();
    }
    for n in 0..20 {
        store.commit(&[Change::Put { key: n, facets: None, value: vec![1; 300] }], Sync::Written).unwrap();
        let _ = store.work().unwrap();
    }
    let now: Vec<_> = (0..snapshot.len()).map(|n| snapshot.read(&store, n).unwrap().unwrap()).collect();
    assert_eq!(now, was);
    let used = store.used_bytes();
    drop(snapshot);
    while store.wants_work() && store.work().unwrap() {}
    assert!(store.used_bytes() <= used);
}
