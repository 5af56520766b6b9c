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
