//! Resend probabilities, timers and slot limits of the retry stage.

use std::time::Duration;

use expect_test::expect;
use onyxstile_system::clock::Instant;
use onyxstile_system::retry::{Destination, RetryPolicy, timer};
use onyxstile_system::slots::Slots;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A destination with `pending` calls whose rate is `slots / T1`.
fn loaded(slots: u32, pending: u32, policy: &RetryPolicy) -> Destination {
    let mut destination = Destination::new(at(0), slots, policy);
    for _ in 0..pending {
        destination.resend();
    }
    destination
}

#[test]
fn the_probability_falls_from_one_to_a_tenth_between_the_thresholds() {
    let policy = RetryPolicy::default();
    let mut table = String::new();
    for pending in [0, 5, 10, 15, 20, 25, 30, 35, 60] {
        let probability = loaded(10, pending, &policy).resend_probability(at(0), &policy);
        table.push_str(&format!("{pending} pending: {probability:.3}\n"));
    }
    expect![[r#"
        0 pending: 1.000
        5 pending: 1.000
        10 pending: 1.000
        15 pending: 0.775
        20 pending: 0.550
        25 pending: 0.325
        30 pending: 0.100
        35 pending: 0.100
        60 pending: 0.100
    "#]]
    .assert_eq(&table);
}

#[test]
fn idle_destinations_keep_their_probability_up_to_the_minimum_threshold() {
    let policy = RetryPolicy::default();
    let mut destination = loaded(10, 4, &policy);
    // After an hour without sends the rate is almost zero, and the minimum threshold applies.
    for hour in 1..=60 {
        destination.resend_probability(at(hour * 60_000), &policy);
    }
    assert_eq!(destination.resend_probability(at(3_600_000), &policy), 1.0);
    destination.resend();
    assert!(destination.resend_probability(at(3_600_000), &policy) < 1.0);
}

#[test]
fn slow_healthy_destinations_keep_their_probability() {
    let policy = RetryPolicy::default();
    let mut destination = loaded(10, 30, &policy);
    assert_eq!(destination.resend_probability(at(0), &policy), 0.1);
    for _ in 0..200 {
        destination.answered(Duration::from_secs(3));
    }
    assert_eq!(destination.resend_probability(at(0), &policy), 1.0, "the threshold covers the mean latency");
}

#[test]
fn the_rate_follows_first_sends_and_not_retries() {
    let policy = RetryPolicy { rate_weight: 0.05, ..RetryPolicy::default() };
    let probability_after = |retries: bool| {
        let mut destination = Destination::new(at(0), 2, &policy);
        for step in 0..600 {
            if retries {
                destination.resend()
            } else {
                destination.first_send(at(step * 100), &policy)
            }
            destination.end();
        }
        for _ in 0..8 {
            destination.resend();
        }
        destination.resend_probability(at(60_000), &policy)
    };
    assert!(probability_after(false) > probability_after(true));
}

#[test]
fn timers_double() {
    let first = Duration::from_millis(500);
    let times: Vec<u128> = (0..6).map(|firing| timer(first, firing).as_millis()).collect();
    assert_eq!(times, [500, 1000, 2000, 4000, 8000, 8000]);
}

#[test]
fn a_derived_hold_grows_with_refusals_and_delays_firings() {
    let policy = RetryPolicy::default();
    let first = Duration::from_millis(30);
    let mut destination = Destination::new(at(0), 10, &policy);
    destination.refused(at(0), first);
    assert_eq!(destination.fire_time(at(10)), at(30));
    assert_eq!(destination.fire_time(at(40)), at(40));
    destination.refused(at(40), first);
    assert_eq!(destination.fire_time(at(50)), at(100));
    destination.answered(Duration::from_millis(5));
    destination.refused(at(200), first);
    assert_eq!(destination.fire_time(at(200)), at(230), "an answer ends the series of refusals");
}

#[test]
fn a_destination_holds_at_most_half_of_the_slots_while_others_wait() {
    let mut slots = Slots::new(8);
    for _ in 0..6 {
        assert!(slots.take(&"unhealthy"));
    }
    slots.wait(&"healthy");
    assert!(!slots.take(&"unhealthy"), "six of eight are held while another waits");
    assert!(slots.take(&"healthy"));
    slots.stop_waiting(&"healthy");
    assert!(slots.take(&"unhealthy"), "no call waits, so the limit does not apply");
    assert!(!slots.take(&"healthy"), "all slots are taken");
}

#[test]
fn the_limit_is_reduced_while_calls_are_late() {
    let count = |late: bool| {
        let mut slots = Slots::new(16);
        for _ in 0..60 {
            assert!(slots.take(&"here"));
            slots.release(&"here", late);
        }
        slots.wait(&"there");
        (0..16).filter(|_| slots.take(&"here")).count()
    };
    assert_eq!(count(false), 8);
    assert!(count(true) < 6);
}
