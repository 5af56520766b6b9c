//! Changes of the grace period after SIGTERM.

use super::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A drain went by the grace period at SIGTERM, so a shorter one set meanwhile meant a kill before its end; found by code
/// review. In a soak test, an agent whose proxy had returned sooner kept running after the shorter grace period.
#[test]
fn shortest_grace_period_since_sigterm_applies() {
    let grace = ShortestGrace::new(at(1000), Duration::from_secs(8));
    assert_eq!(grace.deadline(), at(8600));
    grace.update(at(2000), Duration::from_secs(3));
    assert_eq!(grace.deadline(), at(3600));
    grace.update(at(2500), Duration::from_secs(20));
    assert_eq!(grace.deadline(), at(3600), "the kill may follow the earlier grace period");
}

/// Found by a soak test: requests that had begun in time were cut when a grace period of 3 s was set 4 s after SIGTERM.
#[test]
fn grace_period_that_has_already_expired_is_ignored() {
    let grace = ShortestGrace::new(at(1000), Duration::from_secs(8));
    grace.update(at(4000), Duration::from_secs(3));
    assert_eq!(grace.deadline(), at(8600));
}

/// Failure (LOST): a grace period that was shortened in its last 0.2 s ended the process at once, and calls that waited in it were
/// closed without an answer.
#[test]
fn process_has_time_for_its_answers_after_a_late_shorter_grace_period() {
    let grace = ShortestGrace::new(at(1000), Duration::from_secs(6));
    assert_eq!(grace.exit_deadline(), at(6800));
    grace.update(at(3940), Duration::from_secs(3));
    assert_eq!(grace.deadline(), at(3600));
    assert_eq!(grace.exit_deadline(), at(4140));
    grace.update(at(3990), Duration::from_secs(3));
    assert_eq!(grace.exit_deadline(), at(4140), "the same grace period is no news");
}
