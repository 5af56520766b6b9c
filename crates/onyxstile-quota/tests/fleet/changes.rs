//! Rosters and quotas that change, and relays that do not hear of it.

use crate::net::*;
use onyxstile_quota::{NotLater, Terms, TermsError};

/// Gives relays other terms.
fn renew(net: &mut Net, terms: &Terms, relays: &[usize]) {
    for i in relays {
        let now = net.clock(*i);
        let terms = Terms { me: *i as u16, ..terms.clone() };
        net.relays[*i].quotas.as_mut().unwrap().renew(terms, now).unwrap();
        net.pass_on(*i);
    }
}

/// A fourth relay joins while one of three is cut off: the new part counts once that one has been heard, or is gone for good.
#[test]
fn a_relay_that_joins_waits_for_all_that_may_go_by_the_roster_before() {
    let quota = || vec![rate("a", 60.0, 60)];
    let mut net = Net::of(terms(3, quota()), 3, 31);
    net.run(ms(4000), |_| {});
    let new = Terms { version: 2, members: vec![0, 1, 2, 3], before: vec![0, 1, 2], ..terms(4, quota()) };
    net.terms = new.clone();
    net.relays.push(crate::net::Relay::none());
    net.start(3, true);
    net.cut = Box::new(|a, b| a == 2 || b == 2);
    renew(&mut net, &new, &[0, 1]);
    let all = [0, 1, 2, 3];
    net.run(ms(8000), |n| n.feed("a", 40.0, &all));
    net.must_hold("a", 60.0, 60);
    // Relay 2 spends a third as ever; the others a quarter of each of theirs.
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 40.0, &all));
    let part = net.since("a", from) as f64 / 240.0;
    assert!((0.8..0.87).contains(&part), "{part:.3}: a third and two quarters");
    // It is heard again, by the new version.
    net.cut = Box::new(|_, _| false);
    renew(&mut net, &new, &[2]);
    net.run(ms(6000), |n| n.feed("a", 40.0, &all));
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 40.0, &all));
    let part = net.since("a", from) as f64 / 240.0;
    assert!(part > 0.95, "{part:.3}");
    net.must_hold("a", 60.0, 60);
}

/// One never comes back. Its part stays unspent until an operator says that it is gone for good.
#[test]
fn a_relay_that_never_comes_back_keeps_its_part_until_an_operator_says_so() {
    let quota = || vec![rate("a", 60.0, 60)];
    let mut net = Net::of(terms(3, quota()), 3, 32);
    net.run(ms(4000), |_| {});
    net.kill(2);
    let new = Terms { version: 2, members: vec![0, 1], before: vec![0, 1, 2], ..terms(2, quota()) };
    net.terms = new.clone();
    renew(&mut net, &new, &[0, 1]);
    net.run(ms(5000), |n| n.feed("a", 60.0, &[0, 1]));
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 60.0, &[0, 1]));
    let part = net.since("a", from) as f64 / 240.0;
    assert!((0.6..0.69).contains(&part), "{part:.3}");
    for i in [0, 1] {
        let now = net.clock(i);
        net.relays[i].quotas.as_mut().unwrap().set_gone([2].into_iter(), now);
    }
    net.run(ms(5000), |n| n.feed("a", 60.0, &[0, 1]));
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 60.0, &[0, 1]));
    assert!(net.since("a", from) as f64 / 240.0 > 0.95);
    net.must_hold("a", 60.0, 60);
}

/// Lowered at once where it is heard, raised once all have heard; never above the larger of the two in between.
#[test]
fn a_quota_that_changes_is_never_above_the_larger_one() {
    let mut net = Net::of(terms(3, vec![rate("a", 60.0, 60)]), 3, 33);
    let all = [0, 1, 2];
    net.run(ms(4000), |_| {});
    net.run(ms(3000), |n| n.feed("a", 40.0, &all));
    let low = Terms { version: 2, before: vec![0, 1, 2], ..terms(3, vec![rate("a", 15.0, 15)]) };
    net.terms = low.clone();
    for i in all {
        renew(&mut net, &low, &[i]);
        net.run(ms(700), |n| n.feed("a", 40.0, &all));
    }
    net.must_hold("a", 60.0, 60);
    net.run(ms(5000), |n| n.feed("a", 40.0, &all));
    let from = net.now;
    net.run(ms(6000), |n| n.feed("a", 40.0, &all));
    let part = net.since("a", from) as f64 / 90.0;
    assert!((0.9..1.02).contains(&part), "{part:.3} of the lower one");
    let high = Terms { version: 3, before: vec![0, 1, 2], ..terms(3, vec![rate("a", 90.0, 90)]) };
    net.terms = high.clone();
    renew(&mut net, &high, &[0, 1]);
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 60.0, &all));
    let part = net.since("a", from) as f64 / 60.0;
    assert!(part < 1.3, "{part:.3}: the third one has not heard of it");
    renew(&mut net, &high, &[2]);
    net.run(ms(5000), |n| n.feed("a", 60.0, &all));
    let from = net.now;
    net.run(ms(4000), |n| n.feed("a", 60.0, &all));
    assert!(net.since("a", from) as f64 / 360.0 > 0.95);
    net.must_hold("a", 90.0, 90);
}

#[test]
fn terms_that_do_not_fit_are_none() {
    let quotas = || vec![rate("a", 1.0, 1)];
    let mut net = Net::of(terms(3, quotas()), 3, 34);
    let now = net.clock(0);
    let other = terms(3, vec![rate("a", 2.0, 1)]);
    assert_eq!(net.relays[0].quotas.as_mut().unwrap().renew(other, now), Err(NotLater(1, 1)));
    assert_eq!(net.relays[0].quotas.as_mut().unwrap().renew(terms(3, quotas()), now), Ok(()));
    let twice = terms(3, vec![rate("a", 1.0, 1), rate("a", 2.0, 1)]);
    assert_eq!(twice.check(), Err(TermsError::Twice("a".into(), None)));
    assert_eq!(Terms { members: vec![], ..terms(3, quotas()) }.check(), Err(TermsError::Nobody));
    assert_eq!(Terms { members: vec![1, 1], ..terms(3, quotas()) }.check(), Err(TermsError::MemberTwice(1)));
    assert_eq!(Terms { version: 0, ..terms(3, quotas()) }.check(), Err(TermsError::Version));
    assert_eq!(Terms { before: vec![1], ..terms(3, quotas()) }.check(), Err(TermsError::Version));
    assert_eq!(terms(3, quotas()).check(), Ok(()));
}
