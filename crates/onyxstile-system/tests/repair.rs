//! What a storage machine may say while it copies from the others.

mod support;

use onyxstile_system::clock::Instant;
use onyxstile_system::program::{CopiedChanges, Progress};
use onyxstile_system::storage_plan::StoragePlan;
use support::{ONE, address, plan};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A machine that goes by `plan` from the start.
fn begun(plan: &StoragePlan) -> Progress {
    let mut progress = Progress::default();
    progress.apply_plan(address(1), &StoragePlan::default(), plan);
    progress
}

/// Everything of a machine has been copied.
fn copy(progress: &mut Progress, now: u64, from: u8, epoch: u64, is_complete: bool) {
    let before = progress.source(address(from));
    let copied = CopiedChanges {
        origin: 5,
        counter: before.counter + 1,
        is_last: true,
        epoch,
        is_complete,
        synced_epoch: 0,
        evaluated_epoch: epoch,
    };
    progress.note(at(now), address(from), before, copied, epoch);
}

#[test]
fn a_member_that_lost_its_disk_is_whole_only_after_all_others_were_copied() {
    let plan = plan(1, &[1, 2, 3, 4], &[]);
    let mut progress = begun(&plan);
    copy(&mut progress, 10, 2, 1, true);
    copy(&mut progress, 20, 3, 1, true);
    assert!(!progress.assess(at(30), (address(1), 1), &plan, false, ONE).is_complete);
    copy(&mut progress, 40, 4, 1, false);
    assert!(
        !progress.assess(at(50), (address(1), 1), &plan, false, ONE).is_complete,
        "the last one holds nothing itself"
    );
    copy(&mut progress, 60, 4, 1, true);
    let assessment = progress.assess(at(70), (address(1), 1), &plan, false, ONE);
    assert!(assessment.is_complete && assessment.is_synced);
}

#[test]
fn a_newcomer_need_not_wait_for_a_machine_that_is_lost() {
    let plan = plan(2, &[1, 2, 3], &[2, 3, 4]);
    let mut progress = begun(&plan);
    copy(&mut progress, 10, 2, 2, true);
    copy(&mut progress, 20, 3, 2, true);
    assert!(progress.assess(at(30), (address(1), 1), &plan, false, ONE).is_complete);
}

/// f = 1, a turn on 1 and 3; 3 is away, 1 has lost its disk: no time that passes makes a copy of it.
#[test]
fn time_alone_never_makes_a_machine_whole_that_lost_its_disk() {
    let plan = plan(1, &[1, 2, 3], &[]);
    let mut progress = begun(&plan);
    copy(&mut progress, 10, 2, 1, true);
    for ms in [7_000, 9_000, 60_000, 86_400_000] {
        let assessment = progress.assess(at(ms), (address(1), 1), &plan, false, ONE);
        assert!(!assessment.is_complete && !assessment.is_synced, "after {ms} ms");
    }
    copy(&mut progress, 86_400_010, 3, 1, true);
    assert!(progress.assess(at(86_400_020), (address(1), 1), &plan, false, ONE).is_complete);
}

/// warmstead-hearth, own day: f + 2 machines joined by one plan, each missed f + 1 that held nothing, and no change ended.
#[test]
fn newcomers_do_not_wait_for_each_other() {
    for (current, previous, newcomers) in [
        (&[1, 2, 3, 4, 5, 6][..], &[4, 5, 6][..], &[1, 2, 3][..]),
        (&[1, 2, 4, 5, 6], &[4, 5, 6], &[1, 2]),
        (&[1, 2, 3, 4, 5, 6, 7, 8, 9], &[7, 8, 9], &[1, 2, 3, 4, 5, 6]),
    ] {
        let plan = plan(2, current, previous);
        for own in newcomers {
            let mut progress = Progress::default();
            progress.apply_plan(address(*own), &StoragePlan::default(), &plan);
            for old in previous {
                copy(&mut progress, 10, *old, 2, true);
            }
            for other in newcomers.iter().filter(|other| *other != own) {
                copy(&mut progress, 20, *other, 2, false);
            }
            let assessment = progress.assess(at(60_000), (address(*own), 1), &plan, false, ONE);
            assert!(assessment.is_complete, "{own} of {current:?}");
            assert!(assessment.is_synced, "{own} of {current:?} holds up the end of the change");
        }
    }
}

/// A member that lost its disk while newcomers join needs all other settled members and no newcomer.
#[test]
fn a_member_that_lost_its_disk_does_not_wait_for_newcomers() {
    let plan = plan(2, &[1, 2, 3, 4, 5, 6], &[4, 5, 6]);
    let mut progress = Progress::default();
    progress.apply_plan(address(4), &StoragePlan::default(), &plan);
    copy(&mut progress, 10, 5, 2, true);
    (1..=3).for_each(|newcomer| copy(&mut progress, 20, newcomer, 2, false));
    assert!(
        !progress.assess(at(60_000), (address(4), 1), &plan, false, ONE).is_complete,
        "6 may hold the only copy"
    );
    copy(&mut progress, 60_010, 6, 2, true);
    let assessment = progress.assess(at(60_020), (address(4), 1), &plan, false, ONE);
    assert!(assessment.is_complete && assessment.is_synced);
}

#[test]
fn one_that_can_be_reached_is_waited_for_before_a_change_may_end() {
    let plan = plan(1, &[1, 2, 3], &[]);
    let mut progress = begun(&plan);
    copy(&mut progress, 10, 2, 1, true);
    let before = progress.source(address(3));
    let more = CopiedChanges {
        origin: 5,
        counter: 9,
        is_last: false,
        epoch: 1,
        is_complete: true,
        synced_epoch: 0,
        evaluated_epoch: 1,
    };
    progress.note(at(20), address(3), before, more, 1);
    assert!(!progress.assess(at(30), (address(1), 1), &plan, true, ONE).is_synced);
    assert!(
        progress.assess(at(2_000), (address(1), 1), &plan, true, ONE).is_synced,
        "it is out of reach now"
    );
}

#[test]
fn an_answer_that_was_looked_at_by_an_older_plan_counts_for_nothing() {
    let (old, new) = (plan(1, &[1, 2, 3], &[]), plan(2, &[1, 2, 3, 4], &[1, 2, 3]));
    let mut progress = begun(&old);
    let before = progress.source(address(2));
    let added = progress.apply_plan(address(1), &old, &new);
    assert_eq!(added, [address(4)]);
    let late = CopiedChanges {
        origin: 5,
        counter: 9,
        is_last: true,
        epoch: 1,
        is_complete: true,
        synced_epoch: 0,
        evaluated_epoch: 1,
    };
    progress.note(at(20), address(2), before, late, 2);
    assert!(!progress.is_copied(address(2), 1));
    assert_eq!(progress.source(address(2)).counter, 0, "its keys are looked at again");
}

#[test]
fn a_machine_that_goes_by_an_older_plan_does_not_count_as_copied_for_the_newer() {
    let plan = plan(2, &[1, 2, 3], &[1, 2, 3, 4]);
    let mut progress = begun(&plan);
    let before = progress.source(address(2));
    let behind = CopiedChanges {
        origin: 5,
        counter: 3,
        is_last: true,
        epoch: 1,
        is_complete: true,
        synced_epoch: 0,
        evaluated_epoch: 2,
    };
    progress.note(at(10), address(2), before, behind, 2);
    assert!(!progress.is_copied(address(2), 2));
    assert_eq!(progress.source(address(2)).counter, 3, "but what it had was copied");
}

/// 1 and 4 were settled; 4 is gone for good, 5 has taken its place and is synced; then 1 loses its disk before the change ends.
#[test]
fn a_member_that_lost_its_disk_goes_on_with_synced_members_where_a_settled_one_is_gone_for_good() {
    let plan = plan(2, &[1, 2, 5], &[1, 2, 4]);
    let mut progress = begun(&plan);
    let synced = |progress: &mut Progress, from: u8, synced_epoch: u64| {
        let before = progress.source(address(from));
        let counter = before.counter + 1;
        let copied = CopiedChanges {
            origin: 5,
            counter,
            is_last: true,
            epoch: 2,
            is_complete: true,
            synced_epoch,
            evaluated_epoch: 2,
        };
        progress.note(at(10), address(from), before, copied, 2);
    };
    synced(&mut progress, 2, 2);
    synced(&mut progress, 5, 1);
    assert!(
        !progress.assess(at(60_000), (address(1), 1), &plan, false, ONE).is_complete,
        "5 was synced by no such plan"
    );
    synced(&mut progress, 5, 2);
    let assessment = progress.assess(at(60_010), (address(1), 1), &plan, false, ONE);
    assert!(assessment.is_complete && assessment.is_synced);
}

#[test]
fn a_machine_that_no_plan_has_taken_in_is_not_whole_by_holding_nothing() {
    let plan = plan(1, &[2, 3, 4], &[]);
    let mut progress = begun(&plan);
    (2..=4).for_each(|other| copy(&mut progress, 10, other, 1, true));
    let assessment = progress.assess(at(20), (address(1), 1), &plan, false, ONE);
    assert!(!assessment.is_complete && !assessment.is_synced);
}

/// tests/turn_model.rs: a record was acknowledged by the lost disk, and after the copy by one more machine, which alone held it.
#[test]
fn a_machine_that_lost_its_disk_copies_only_by_a_plan_that_has_taken_the_new_one_in() {
    let old = plan(1, &[1, 2, 3], &[]);
    let mut progress = begun(&old);
    (2..=3).for_each(|other| copy(&mut progress, 10, other, 1, true));
    let assessment = progress.assess(at(20), (address(1), 2), &old, false, ONE);
    assert!(!assessment.is_complete && !assessment.is_synced, "by the plan of the lost disk");
    let mut new = plan(2, &[1, 2, 3], &[1, 2, 3]);
    new.current[0].disk = 2;
    assert!(progress.apply_plan(address(1), &old, &new).is_empty());
    assert!(
        !progress.assess(at(30), (address(1), 2), &new, false, ONE).is_complete,
        "the others may still write by the old"
    );
    (2..=3).for_each(|other| copy(&mut progress, 40, other, 2, true));
    let assessment = progress.assess(at(50), (address(1), 2), &new, false, ONE);
    assert!(assessment.is_complete && assessment.is_synced);
}
