//! Tests of the waits at a start.

use std::cell::Cell;
use std::io;

use super::*;

#[tokio::test(start_paused = true)]
async fn a_start_waits_until_the_resource_is_available_and_tells_for_what() {
    let waits = StartWaits::new(SteadyClock::start());
    let is_taken = Cell::new(true);
    let attempt = || if is_taken.get() { Err(io::Error::from(io::ErrorKind::AddrInUse)) } else { Ok(7) };
    let acquired = waits.acquire(Resource::Front, attempt);
    tokio::pin!(acquired);
    assert!(tokio::time::timeout(Duration::from_secs(20), &mut acquired).await.is_err());
    assert!(
        text(&waits).contains(r#"onyxstile_start_wait_seconds{for="front: address in use"} 2"#),
        "{}",
        text(&waits)
    );
    is_taken.set(false);
    assert_eq!(acquired.await, 7);
    assert!(!text(&waits).contains("start_wait_seconds{"), "{}", text(&waits));
    assert!(text(&waits).contains(r#"onyxstile_start_failures_total{for="front"} 6"#), "{}", text(&waits));
}

#[test]
fn delays_double_up_to_a_limit() {
    let mut schedule = RetrySchedule::default();
    let delays: Vec<u128> = (0..6).map(|_| schedule.next_delay().as_millis()).collect();
    assert_eq!(delays, [20, 40, 80, 160, 320, 320]);
}

fn text(waits: &StartWaits) -> String {
    let mut metrics = Metrics::default();
    waits.add_metrics(&mut metrics);
    metrics.text()
}
