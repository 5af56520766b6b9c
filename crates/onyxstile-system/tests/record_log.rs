//! The record log under power failures, kills, refused calls, a full disk and corrupt files.

use std::collections::{BTreeMap, BTreeSet};

use onyxstile_store::sim::{Fault, SimDisk};
use onyxstile_system::disk::{OpenedLog, RECORD_MAX, RecordLog};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

const LIMIT: u64 = 1024 * 1024;

type Contents = BTreeMap<u64, Vec<u8>>;

fn open(disk: &SimDisk, limit: u64) -> (OpenedLog<SimDisk>, Contents) {
    let mut contents = Contents::new();
    let opened = RecordLog::open(disk.clone(), limit, |number, bytes| {
        contents.insert(number, bytes.to_vec());
    });
    (opened.expect("opens"), contents)
}

fn value(number: u64) -> Vec<u8> {
    vec![number as u8; 20 + (number as usize * 37) % 3_000]
}

/// How the process of a history ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Killed,
    PowerLost,
}

/// Runs one history and returns whether the log was intact at each start.
fn history(seed: u64, end: End) -> bool {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let disk = SimDisk::default();
    let mut acknowledged: BTreeSet<u64> = BTreeSet::new();
    let mut dropped: BTreeSet<u64> = BTreeSet::new();
    let mut next = 0;
    for incarnation in 0..4 {
        let (OpenedLog { mut log, is_intact }, found) = open(&disk, LIMIT);
        if !is_intact {
            return false;
        }
        for number in &acknowledged {
            assert_eq!(
                found.get(number),
                Some(&value(*number)),
                "seed {seed}, incarnation {incarnation}: {number}"
            );
        }
        for (number, bytes) in &found {
            assert_eq!(
                *bytes,
                value(*number),
                "seed {seed}, incarnation {incarnation}: wrong content of {number}"
            );
            assert!(*number < next, "seed {seed}, incarnation {incarnation}: {number} was never written");
        }
        disk.fail(random.next_u64() % 90, Fault::Killed(random.next_u32() % 1_001));
        while !disk.is_dead() {
            let count = 1 + random.next_u64() % 6;
            let numbers: Vec<u64> = (next..next + count).collect();
            next += count;
            let records = numbers.iter().map(|number| (*number, value(*number))).collect();
            if log.append(records).is_ok() && !disk.is_dead() {
                acknowledged.extend(numbers);
            }
            if random.next_u32().is_multiple_of(2) && !acknowledged.is_empty() {
                let number = *acknowledged.iter().next().expect("there is one");
                acknowledged.remove(&number);
                dropped.insert(number);
                // A removal that the disk refuses is retried later.
                log.drop_records(vec![number]).ok();
            }
            for number in acknowledged.iter().rev().take(2) {
                let read = log.read(*number).expect("is read");
                assert_eq!(read, Some(value(*number)), "seed {seed}, incarnation {incarnation}: {number}");
            }
        }
        match end {
            End::Killed => disk.restart(),
            End::PowerLost => disk.lose_power(|below| random.next_u64() % below),
        }
    }
    true
}

#[test]
fn acknowledged_records_survive_power_failure_at_any_call() {
    for seed in 0..600 {
        assert!(
            history(seed, End::PowerLost),
            "seed {seed}: a power failure was reported as a loss of records"
        );
    }
}

#[test]
fn acknowledged_records_survive_a_kill_at_any_call() {
    for seed in 0..300 {
        assert!(history(seed, End::Killed), "seed {seed}: a kill was reported as a loss of records");
    }
}

#[test]
fn refused_write_does_not_affect_other_records() {
    for fault in [Fault::Refused, Fault::Torn(300), Fault::Torn(1_000)] {
        for call in 0..40 {
            let disk = SimDisk::default();
            let (OpenedLog { mut log, .. }, _) = open(&disk, LIMIT);
            disk.fail(call, fault);
            let mut acknowledged = Vec::new();
            for number in 0..40 {
                if log.append(vec![(number, value(number))]).is_ok() {
                    acknowledged.push(number);
                }
            }
            assert!(acknowledged.len() >= 38, "{fault:?} at {call}: writing continues after one refusal");
            disk.lose_power(|below| below - 1);
            let (opened, found) = open(&disk, LIMIT);
            assert!(opened.is_intact, "{fault:?} at {call}");
            let lost: Vec<&u64> = acknowledged.iter().filter(|number| !found.contains_key(number)).collect();
            assert!(lost.is_empty(), "{fault:?} at {call}: {lost:?}");
        }
    }
}

#[test]
fn full_disk_refuses_new_records_until_others_are_dropped() {
    let disk = SimDisk::default();
    let (OpenedLog { mut log, .. }, _) = open(&disk, LIMIT);
    let big = |number: u64| vec![number as u8; 20_000];
    let mut acknowledged = Vec::new();
    for number in 0..60 {
        if log.append(vec![(number, big(number))]).is_ok() {
            acknowledged.push(number);
        }
    }
    assert!((10..59).contains(&acknowledged.len()), "{} records were accepted", acknowledged.len());
    assert!(log.used_bytes() <= LIMIT);
    log.drop_records(acknowledged.drain(..8).collect()).expect("drops");
    log.append(vec![(100, big(100))]).expect("there is space again");
    acknowledged.push(100);
    let (opened, found) = open(&disk, LIMIT);
    assert!(opened.is_intact);
    assert_eq!(found.keys().copied().collect::<Vec<_>>(), acknowledged);
}

#[test]
fn disk_usage_is_bounded_while_records_are_added_and_dropped() {
    let disk = SimDisk::default();
    let (OpenedLog { mut log, .. }, _) = open(&disk, LIMIT);
    for number in 0..3_000u64 {
        log.append(vec![(number, vec![7; 4_000])]).expect("is written");
        if number >= 40 {
            log.drop_records(vec![number - 40]).expect("is dropped");
        }
        assert!(log.used_bytes() <= LIMIT, "{} bytes after {number}", log.used_bytes());
    }
    let (_, found) = open(&disk, LIMIT);
    assert_eq!(found.len(), 40);
}

#[test]
fn writes_and_reads_a_record_of_maximum_size() {
    let disk = SimDisk::default();
    let limit = 256 * 1024 * 1024;
    let (OpenedLog { mut log, .. }, _) = open(&disk, limit);
    let records = vec![(1, vec![1; 100]), (2, vec![2; RECORD_MAX]), (3, vec![3; RECORD_MAX])];
    log.append(records.clone()).expect("is written");
    assert_eq!(log.read(2).expect("is read"), Some(records[1].1.clone()));
    let (opened, found) = open(&disk, limit);
    assert!(opened.is_intact);
    assert_eq!(found, records.into_iter().collect());
}

/// A log of several segments, and the records that it holds.
fn log_of_several_segments() -> (SimDisk, Contents) {
    let disk = SimDisk::default();
    let (OpenedLog { mut log, .. }, _) = open(&disk, LIMIT);
    let mut contents = Contents::new();
    for number in 0..120 {
        log.append(vec![(number, vec![number as u8; 3_000])]).expect("is written");
        contents.insert(number, vec![number as u8; 3_000]);
    }
    (disk, contents)
}

#[test]
fn corruption_in_the_middle_is_a_loss_until_it_is_accepted() {
    let (disk, contents) = log_of_several_segments();
    let mut first = disk.bytes("000000000001.seg").expect("is there");
    let middle = first.len() / 2;
    first[middle] ^= 1;
    disk.set("000000000001.seg", first);
    for _ in 0..2 {
        let (opened, found) = open(&disk, LIMIT);
        assert!(!opened.is_intact, "the loss is reported at each start");
        assert!(found.iter().all(|(number, bytes)| contents[number] == *bytes));
        assert!(found.len() < contents.len());
    }
    let (OpenedLog { mut log, .. }, before) = open(&disk, LIMIT);
    log.accept_loss().expect("is accepted");
    log.append(vec![(500, b"later".to_vec())]).expect("is written");
    let (opened, found) = open(&disk, LIMIT);
    assert!(opened.is_intact);
    assert_eq!(found.len(), before.len() + 1);
}

#[test]
fn truncated_end_is_not_a_loss() {
    let (disk, _) = log_of_several_segments();
    let (_, complete) = open(&disk, LIMIT);
    let last = (1..9).rev().map(|id| format!("{id:012}.seg")).find(|name| disk.bytes(name).is_some());
    let last = last.expect("a segment");
    let bytes = disk.bytes(&last).expect("is there");
    disk.set(&last, bytes[..bytes.len() - 10].to_vec());
    let (opened, found) = open(&disk, LIMIT);
    assert!(opened.is_intact);
    assert_eq!(found.len(), complete.len() - 1);
}
