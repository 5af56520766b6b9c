//! Quotas that count by spans.

use crate::net::*;
use onyxstile_quota::{Beyond, Measure, Quota, Span, Why};
use std::collections::BTreeMap;

fn minutely(count: u32) -> Quota {
    let measure = Measure::Span { count, span: Span::Minute };
    Quota { customer: "a".into(), class: None, measure, beyond: Beyond::Refuse }
}

/// Messages taken in each minute, by a clock that nobody's is off from by more than the edge.
fn by_minute(net: &Net) -> BTreeMap<u64, usize> {
    let mut minutes = BTreeMap::new();
    for at in net.taken.get("a").into_iter().flatten() {
        *minutes.entry(at.as_secs() / 60).or_default() += 1;
    }
    minutes
}

/// Fifty relays ask at once at the edge of a minute, their clocks up to two seconds off.
#[test]
fn at_the_edge_of_a_span_nothing_is_counted_twice() {
    let mut net = Net::new(50, vec![minutely(120)], 21);
    for i in 0..50 {
        net.relays[i].off = net.below(4000) as f64 / 1000.0 - 2.0;
        net.start(i, true);
    }
    let all: Vec<usize> = (0..50).collect();
    net.run(ms(100_000), |n| n.feed("a", 0.2, &all));
    let minutes = by_minute(&net);
    assert!(minutes.len() >= 2 && minutes.values().all(|n| *n <= 120), "{minutes:?}");
    let whole: Vec<_> = minutes.values().skip(1).take(1).collect();
    assert!(whole.iter().all(|n| **n >= 110), "{minutes:?}");
}

/// All of it at one relay, then at another, and the time to come again is that of the next minute.
#[test]
fn rights_of_a_span_go_where_the_traffic_is() {
    let mut net = Net::new(10, vec![minutely(100)], 22);
    let from = net.now;
    net.run(ms(5_000), |n| n.feed("a", 10.0, &[3]));
    net.run(ms(10_000), |n| n.feed("a", 10.0, &[8]));
    assert!(net.since("a", from) >= 95, "{}", net.since("a", from));
    let left = 60.0 - net.now.as_secs_f64() % 60.0;
    let mut refusal = None;
    for _ in 0..40 {
        refusal = net.hand(8, "a").and_then(|r| r.err());
        net.run(ms(50), |_| {});
    }
    let refusal = refusal.unwrap();
    assert_eq!(refusal.why, Why::Spent);
    assert!((left..left + 3.0).contains(&(refusal.wait.as_secs_f64() + 2.0)), "{refusal:?}, {left} left");
    assert!(by_minute(&net).values().all(|n| *n <= 100));
}

/// Killed and started again, lost, an old copy: what was spent or given is not spent again.
#[test]
fn what_a_folder_may_not_know_is_not_spent_again() {
    for seed in 0..40 {
        let mut net = Net::new(3, vec![minutely(60)], seed);
        for _ in 0..12 {
            let (i, believed) = (net.below(3) as usize, net.below(2) == 0);
            let at = net.below(3) as usize;
            let time = ms(200 + net.below(800));
            net.run(time, |n| n.feed("a", 30.0, &[at]));
            net.kill(i);
            if !believed {
                net.relays[i].used.clear();
            }
            net.start(i, believed);
        }
        assert!(by_minute(&net).values().all(|n| *n <= 60), "seed {seed}: {:?}", by_minute(&net));
        // The next minute is whole again.
        net.run(ms(25_000), |_| {});
        net.run(ms(30_000), |n| n.feed("a", 5.0, &[0]));
        let minutes = by_minute(&net);
        assert!(minutes.values().all(|n| *n <= 60), "seed {seed}: {minutes:?}");
        assert!(*minutes.values().last().unwrap() >= 50, "seed {seed}: {minutes:?}");
    }
}
