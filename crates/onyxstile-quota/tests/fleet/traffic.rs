//! Traffic that is even, at one relay, moving, and more than there is.

use crate::net::*;
use onyxstile_quota::Why;

/// After their own units have rested all relays serve; from then on is measured.
fn settled(relays: usize, per_s: f64, burst: u32, seed: u64) -> Net {
    let mut net = Net::new(relays, vec![rate("a", per_s, burst)], seed);
    net.run(ms(4000), |_| {});
    net
}

/// Share of what the quota gives in the time that was taken, but for the burst at the beginning.
fn used(net: &Net, per_s: f64, seconds: u64) -> f64 {
    let from = net.now - ms(seconds * 1000);
    net.since("a", from) as f64 / (per_s * seconds as f64)
}

#[test]
fn even_traffic_uses_the_quota() {
    for relays in [3, 10, 50] {
        let mut net = settled(relays, 100.0, 100, 1);
        let all: Vec<usize> = (0..relays).collect();
        net.run(ms(12_000), |n| n.feed("a", 130.0 / relays as f64, &all));
        net.must_hold("a", 100.0, 100);
        let used = used(&net, 100.0, 8);
        // With two units a relay, each in a bucket of its own, more is lost to chance.
        let least = if relays < 50 { 0.95 } else { 0.85 };
        assert!(used > least, "{relays} relays: {used:.3}");
    }
}

#[test]
fn a_customer_at_one_relay_has_its_floor_at_once_and_the_whole_quota_within_a_second() {
    for relays in [3, 10, 50] {
        let mut net = settled(relays, 100.0, 100, 2);
        let floor = 100 / relays;
        let first = (0..floor).filter(|_| net.hand(0, "a") == Some(Ok(()))).count();
        assert!(first + 1 >= floor, "{first} of {floor}");
        net.run(ms(1000), |n| n.feed("a", 130.0, &[0]));
        net.run(ms(8000), |n| n.feed("a", 130.0, &[0]));
        net.must_hold("a", 100.0, 100);
        let used = used(&net, 100.0, 8);
        assert!(used > 0.95, "{relays} relays: {used:.3}");
    }
}

#[test]
fn traffic_that_moves_each_second_takes_the_quota_along() {
    for relays in [3, 10] {
        let mut net = settled(relays, 100.0, 100, 3);
        net.run(ms(16_000), move |n| {
            let at = ((n.now - START).as_millis() as usize / 1000) % relays;
            n.feed("a", 130.0, &[at]);
        });
        net.must_hold("a", 100.0, 100);
        let used = used(&net, 100.0, 12);
        assert!(used > 0.85, "{relays} relays: {used:.3}");
    }
}

/// Two relays are handed in the same, and less is there than both want: neither is served by luck.
#[test]
fn relays_that_are_handed_in_the_same_are_served_alike() {
    let mut net = settled(10, 100.0, 100, 4);
    let mut served = [0u32; 2];
    net.run(ms(10_000), |n| {
        for (i, served) in served.iter_mut().enumerate() {
            for _ in 0..1 {
                *served += u32::from(n.hand(i, "a") == Some(Ok(())));
            }
        }
    });
    net.must_hold("a", 100.0, 100);
    let [a, b] = served.map(f64::from);
    assert!((a - b).abs() < 0.15 * (a + b), "{served:?}");
    assert!(a + b > 850.0, "{served:?}");
}

/// A quota of fewer messages than there are relays: three units lie at three of them, and go to who asks.
#[test]
fn a_quota_smaller_than_the_fleet_is_of_use_at_each_relay() {
    let mut net = settled(50, 1.0, 3, 5);
    for relay in [7, 23, 41] {
        let from = net.now;
        net.run(ms(12_000), |n| n.feed("a", 4.0, &[relay]));
        let came = net.since("a", from);
        assert!((10..=15).contains(&came), "relay {relay}: {came} of 12");
    }
    net.must_hold("a", 1.0, 3);
}

#[test]
fn a_quota_of_nothing_takes_nothing() {
    let mut net = Net::new(3, vec![rate("a", 0.0, 5)], 6);
    net.run(ms(3000), |n| n.feed("a", 50.0, &[0, 1, 2]));
    assert!(net.taken.is_empty());
    let refusal = net.hand(0, "a").unwrap().unwrap_err();
    assert_eq!(refusal.why, Why::Never);
    assert_eq!(net.hand(0, "b"), Some(Ok(())), "who has no quota is free");
}

/// What a refusal says: the rule, what is held, and a time after which there is something.
#[test]
fn a_refusal_says_when_to_come_again() {
    let mut net = settled(3, 10.0, 9, 7);
    let refusal = loop {
        if let Some(Err(refusal)) = net.hand(0, "a") {
            break refusal;
        }
    };
    assert_eq!((refusal.why, refusal.own, refusal.taken), (Why::Spent, 3, 3));
    assert!(refusal.wait <= ms(300), "{:?}", refusal.wait);
    net.run(refusal.wait, |_| {});
    assert_eq!(net.hand(0, "a"), Some(Ok(())));
}

/// Ten thousand customers, twenty of them busy: the others cost nothing.
#[test]
fn customers_that_are_idle_cost_no_notes() {
    let quotas = (0..10_000).map(|n| rate(&format!("c{n}"), 20.0, 20)).collect();
    let mut net = Net::new(10, quotas, 8);
    net.run(ms(4000), |_| {});
    assert_eq!(net.notes, 0);
    net.run(ms(4000), |n| (0..20).for_each(|c| n.feed(&format!("c{c}"), 5.0, &[c % 10])));
    let a_relay_and_second = net.notes as f64 / 10.0 / 4.0;
    assert!(a_relay_and_second < 200.0, "{a_relay_and_second}");
    (0..20).for_each(|c| net.must_hold(&format!("c{c}"), 20.0, 20));
    net.run(ms(8000), |_| {});
    let before = net.notes;
    net.run(ms(3000), |_| {});
    assert_eq!(net.notes, before, "and once nobody hands in, nobody says anything");
}
