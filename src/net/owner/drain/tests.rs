//! Retry-after times of a draining relay.

use super::*;

#[test]
fn retry_after_points_to_the_start_of_the_next_process() {
    let (ms, since) = (Duration::from_millis, Some(Duration::from_secs(9)));
    let wait = |after: u64| retry_after(since, ms(9000 + after));
    assert_eq!([wait(0), wait(2000), wait(3500), wait(9000)], [ms(2000), ms(2000), ms(1000), ms(250)]);
    assert_eq!(retry_after(None, ms(0)), ms(2000));
}
