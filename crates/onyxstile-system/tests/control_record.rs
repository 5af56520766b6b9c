//! The durable state of a controller under power failures, and the cost of one change.

mod support;

use std::rc::Rc;

use onyxstile_system::control::{
    AcceptedChange, ChainUpdate, Change, ControlState, Durable, Message, StoredConfiguration, View, Write,
};
use onyxstile_system::controller::Controller;
use onyxstile_system::disk::{ControlRecord, Folder};
use onyxstile_system::wire;
use rand_pcg::Pcg64Mcg;
use support::address;
use support::memory_folder::MemoryFolder;

fn change(revision: u64, bytes: usize) -> Change {
    Change::Configuration {
        configuration: Rc::new(StoredConfiguration { revision, body: vec![b'x'; bytes] }),
        accepted: AcceptedChange { base: revision - 1, digest: revision.into() },
    }
}

fn bootstrap_state() -> Durable {
    let seeds = [address(1), address(2), address(3)];
    Controller::bootstrap(address(1), &seeds)
}

fn open(folder: &MemoryFolder) -> (ControlRecord<MemoryFolder>, Option<Durable>) {
    ControlRecord::open(folder.clone(), folder.clone()).expect("opens")
}

/// A record whose snapshot follows 9,000 changes, which is more than the state remembers.
fn record_after_many_changes(folder: &MemoryFolder) -> (ControlRecord<MemoryFolder>, Durable) {
    let mut durable = bootstrap_state();
    let (mut record, _) = open(folder);
    for _ in 0..9_000 {
        apply_next(&mut durable, 100);
    }
    record.save(&durable).expect("is saved");
    (record, durable)
}

/// Applies the next write to the state and returns it.
fn apply_next(durable: &mut Durable, bytes: usize) -> Write {
    let write = durable.state.write(change(durable.state.sequence + 1, bytes));
    assert!(durable.state.apply(&write));
    write
}

#[test]
fn write_survives_power_failure_at_any_later_call() {
    for seed in 0..600u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let folder = MemoryFolder::default();
        let mut durable = bootstrap_state();
        let (mut record, none) = open(&folder);
        assert!(none.is_none());
        record.save(&durable).expect("is saved");
        folder.fail_power_at(1 + seed % 150);
        let mut written = durable.clone();
        loop {
            let write = apply_next(&mut durable, 30_000);
            if record.append(1, &write).is_err() {
                break;
            }
            written = durable.clone();
            if record.is_snapshot_due() && record.save(&durable).is_err() {
                break;
            }
        }
        folder.restore_power(&mut random);
        let (_, held) = open(&folder);
        let held = held.expect("a record");
        assert!(held == written || held == durable, "seed {seed}: {} written", written.state.sequence);
    }
}

#[test]
fn write_of_an_earlier_view_is_not_replayed() {
    let folder = MemoryFolder::default();
    let mut durable = bootstrap_state();
    let (mut record, _) = open(&folder);
    record.save(&durable).expect("is saved");
    let lost = apply_next(&mut durable, 10);
    record.append(1, &lost).expect("is written");
    // The next view begins without the write, which was never acknowledged.
    let view = durable.view.clone().expect("a view");
    let later = View { number: 2, ..(*view).clone() };
    let initial = Durable { state: later.state.clone(), view: Some(Rc::new(later)), ..bootstrap_state() };
    record.save(&initial).expect("is saved");
    // A power failure restores the file of the lost write.
    let mut other = folder.clone();
    let mut bytes = Vec::new();
    let source = MemoryFolder::default();
    let (mut copy, _) = open(&source);
    copy.append(1, &lost).expect("is written");
    bytes.extend(source.read("write-0").expect("is there"));
    other.append("write-77", &bytes).expect("is written");
    assert_eq!(open(&folder).1, Some(initial));
}

#[test]
fn corrupt_snapshot_is_an_error_without_fallback_to_an_older_one() {
    for corrupt in [&b"short"[..], &[0; 4000]] {
        let mut folder = MemoryFolder::default();
        let (mut record, _) = open(&folder);
        record.save(&bootstrap_state()).expect("is saved");
        folder.append("version-9", corrupt).expect("is written");
        let error = ControlRecord::open(folder.clone(), folder.clone()).err().expect("is refused");
        assert!(error.to_string().contains("version-9"), "{error}");
        ControlRecord::discard(&mut folder).expect("is removed");
        assert!(open(&folder).1.is_none());
    }
}

/// Guards against a snapshot older than the one that could not be read, left alone by a loss of power while both are discarded:
/// it would count as the newest, without the votes since.
#[test]
fn discarding_a_record_never_leaves_an_older_snapshot_as_the_newest() {
    for seed in 0..400u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut folder = MemoryFolder::default();
        open(&folder).0.save(&bootstrap_state()).expect("is saved");
        folder.append("version-9", b"short").expect("is written");
        folder.sync("version-9").expect("is synced");
        folder.sync_folder().expect("is synced");
        folder.fail_power_at(1 + seed % 6);
        let discarded = ControlRecord::discard(&mut folder);
        folder.restore_power(&mut random);
        let found = ControlRecord::open(folder.clone(), folder.clone());
        let is_older = found.is_ok_and(|(_, durable)| durable.is_some());
        assert!(!is_older, "seed {seed}: {discarded:?}");
    }
}

/// A crash while a record is discarded leaves writes without a snapshot. They must not be applied to a later snapshot.
#[test]
fn orphaned_write_is_not_replayed_onto_a_later_snapshot() {
    let folder = MemoryFolder::default();
    let mut durable = bootstrap_state();
    let left = apply_next(&mut durable, 10);
    open(&folder).0.append(1, &left).expect("is written");
    let mut durable = bootstrap_state();
    let (mut record, none) = open(&folder);
    assert!(none.is_none());
    record.save(&durable).expect("is saved");
    let write = apply_next(&mut durable, 20);
    record.append(1, &write).expect("is written");
    assert_eq!(open(&folder).1, Some(durable));
}

/// A change of 1 KB after 9,000 others costs its own size and a few bytes, on disk and on the wire, regardless of the
/// size of the state. Writing the whole state with each change cost 24 bytes per remembered change, up to three times.
#[test]
fn cost_of_a_change_is_independent_of_the_number_of_earlier_changes() {
    let folder = MemoryFolder::default();
    let (mut record, mut durable) = record_after_many_changes(&folder);
    let write = apply_next(&mut durable, 1024);
    record.append(1, &write).expect("is written");
    let on_disk = folder.read("write-0").expect("is there").len();
    let apply = Message::Apply { view: 1, written: ChainUpdate::Write(Rc::new(write)) };
    let on_wire = wire::encode(&apply).len();
    println!("1,024 bytes: {on_disk} on disk, {on_wire} on the wire, state {}", durable.state.bytes());
    assert!(on_disk < 1024 + 200, "{on_disk} on disk");
    assert!(on_wire < 1024 + 200, "{on_wire} on the wire");
}

/// Snapshots are rare enough that the total written for many small changes stays within a few times their own size.
#[test]
fn snapshots_add_bounded_write_amplification() {
    let folder = MemoryFolder::default();
    let (mut record, mut durable) = record_after_many_changes(&folder);
    let snapshot = |folder: &MemoryFolder| -> usize {
        let names = folder.list().expect("is listed");
        names
            .iter()
            .filter(|name| name.starts_with("version-"))
            .map(|name| folder.read(name).expect("is read").len())
            .sum()
    };
    let (mut own, mut written) = (0, 0);
    for _ in 0..1_000 {
        let write = apply_next(&mut durable, 1024);
        own += 1024;
        record.append(1, &write).expect("is written");
        written += 1024 + 100;
        if record.is_snapshot_due() {
            record.save(&durable).expect("is saved");
            written += snapshot(&folder);
        }
    }
    println!("{own} bytes of changes, {written} written");
    assert!(written < 5 * own, "{written} bytes written for {own}");
    assert!(folder.list().expect("is listed").len() < 300, "files of old writes are removed");
}

/// A member that missed 1,000 changes receives one snapshot, with the largest configuration and 8,192 remembered changes.
#[test]
fn snapshot_for_a_member_that_missed_a_thousand_changes_fits_a_frame() {
    let mut state = ControlState::default();
    for _ in 0..9_000 {
        let write = state.write(change(state.sequence + 1, 10));
        assert!(state.apply(&write));
    }
    let write = state.write(change(9_001, 8 * 1024 * 1024));
    assert!(state.apply(&write));
    let view = View { state, ..(*bootstrap_state().view.expect("a view")).clone() };
    let bytes = wire::encode(&Message::Installed(Rc::new(view))).len();
    println!("a snapshot of {bytes} bytes");
    assert!(bytes < wire::FRAME_MAX / 3, "{bytes} bytes");
}
