//! A grace that changes after SIGTERM.

use super::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// By reading: a drain went by the grace at SIGTERM, and a shorter one that came meanwhile meant a kill before its end. Seen under
/// a soak: an agent whose proxy had returned sooner went on after the shorter grace.
#[test]
fn the_shortest_grace_since_sigterm_holds() {
    let grace = ShortestGrace::new(at(1000), Duration::from_secs(8));
    assert_eq!(grace.deadline(), at(8600));
    grace.update(at(2000), Duration::from_secs(3));
    assert_eq!(grace.deadline(), at(3600));
    grace.update(at(2500), Duration::from_secs(20));
    assert_eq!(grace.deadline(), at(3600), "the kill may go by the one before");
}

/// Seen under a soak: requests that had been begun in time were cut, as a grace of 3 s was named 4 s after SIGTERM.
#[test]
fn a_grace_that_is_over_as_it_is_named_is_not_the_kills() {
    let grace = ShortestGrace::new(at(1000), Duration::from_secs(8));
    grace.update(at(4000), Duration::from_secs(3));
    assert_eq!(grace.deadline(), at(8600));
}
