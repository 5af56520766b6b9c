//! What clients are told by a relay that ends.

use super::*;

#[test]
fn clients_are_asked_to_come_when_the_next_process_is_there() {
    let (ms, since) = (Duration::from_millis, Some(Duration::from_secs(9)));
    let told = |after: u64| come_back(since, ms(9000 + after));
    assert_eq!([told(0), told(2000), told(3500), told(9000)], [ms(2000), ms(2000), ms(1000), ms(250)]);
    assert_eq!(come_back(None, ms(0)), ms(2000));
}
