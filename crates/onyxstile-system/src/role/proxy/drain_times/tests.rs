//! A drain whose grace changes.

use super::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// By reading: a drain went by the grace at SIGTERM, and a shorter one that came meanwhile meant a kill before its end.
#[test]
fn a_drain_goes_by_the_shortest_grace_since_sigterm() {
    let mut times = DrainTimes::new(at(1000), Duration::from_secs(8));
    assert_eq!((times.closes(), times.ends()), (at(3600), at(8600)));
    times.note_grace(Duration::from_secs(3));
    assert_eq!((times.closes(), times.ends()), (at(2500), at(3600)));
    times.note_grace(Duration::from_secs(20));
    assert_eq!((times.closes(), times.ends()), (at(2500), at(3600)), "the kill may go by the one before");
}
