//! The balancing methods, each by what is published of it.

use super::*;
use crate::config::PeerConfig;
use crate::config::RoutingConfig;
use proptest::prelude::*;

fn config(method: Method, weights: &[u32]) -> UpstreamConfig {
    let peer = |(n, weight): (usize, &u32)| PeerConfig {
        address: format!("127.0.{}.{}:7000", n / 250, n % 250).parse().unwrap(),
        name: String::new(),
        weight: *weight,
        max_conns: 0,
        backup: false,
        down: false,
    };
    let server = weights.iter().enumerate().map(peer).collect();
    UpstreamConfig { name: "u".into(), destination: 1, method, key: String::new(), server }
}

fn groups(upstream: UpstreamConfig) -> Groups {
    let count = upstream.server.len();
    let mut groups = Groups::new(&RoutingConfig { upstream: vec![upstream], ..RoutingConfig::default() }, 7);
    (0..count).for_each(|at| groups.name(1, at, at as u32));
    groups
}

fn next(groups: &mut Groups, key: &[u8], allowed: impl Fn(u32) -> bool) -> Option<u32> {
    match groups.propose(1, key, &mut |s| allowed(s)) {
        Proposal::Server(s) => Some(s),
        other => {
            assert_eq!(other, Proposal::Nobody);
            None
        }
    }
}

fn sequence(groups: &mut Groups, count: usize) -> Vec<u32> {
    (0..count).map(|_| next(groups, b"", |_| true).unwrap()).collect()
}

/// Smooth weighted round robin as it was first described, with a look at every server.
fn plain(weights: &[u32], count: usize) -> Vec<u32> {
    let total: i64 = weights.iter().map(|w| i64::from(*w)).sum();
    let mut has = vec![0i64; weights.len()];
    let one = |_| {
        has.iter_mut().zip(weights).for_each(|(h, w)| *h += i64::from(*w));
        let mut best = 0;
        (0..has.len()).for_each(|at| {
            if has[at] > has[best] {
                best = at
            }
        });
        has[best] -= total;
        best as u32
    };
    (0..count).map(one).collect()
}

#[test]
fn the_published_sequence_of_weights_5_1_1() {
    assert_eq!(sequence(&mut groups(config(Method::RoundRobin, &[5, 1, 1])), 7), [0, 0, 1, 0, 2, 0, 0]);
}

proptest! {
    #[test]
    fn round_robin_is_the_plain_one(weights in prop::collection::vec(1u32..9, 1..12)) {
        let expected = plain(&weights, 150);
        prop_assert_eq!(&sequence(&mut groups(config(Method::RoundRobin, &weights)), 150), &expected);
        // With nothing out, fewest calls is round robin.
        prop_assert_eq!(&sequence(&mut groups(config(Method::LeastConn, &weights)), 150), &expected);
    }

    #[test]
    fn nobody_is_chosen_who_is_not_allowed_and_somebody_is_if_one_is(
        weights in prop::collection::vec(1u32..5, 1..90), open in prop::collection::vec(any::<bool>(), 90),
        method in 0usize..7, key in any::<[u8; 4]>())
    {
        let methods = [Method::RoundRobin, Method::LeastConn, Method::IpHash, Method::Hash,
            Method::Consistent, Method::Random, Method::RandomTwo];
        let mut groups = groups(config(methods[method], &weights));
        let any = open[..weights.len()].iter().any(|o| *o);
        for out in 0..20 {
            let found = next(&mut groups, &key, |s| open[s as usize]);
            prop_assert_eq!(found.is_some(), any);
            if let Some(s) = found {
                prop_assert!(open[s as usize]);
                groups.busy(s, out % 4);
            }
        }
    }
}

#[test]
fn a_server_that_was_out_comes_back_to_its_share() {
    for method in [Method::RoundRobin, Method::LeastConn] {
        let mut groups = groups(config(method, &[1, 1, 1]));
        groups.busy(1, 1);
        for _ in 0..1000 {
            assert_ne!(next(&mut groups, b"", |s| s != 0), Some(0));
        }
        groups.busy(1, 0);
        let first: Vec<_> = sequence(&mut groups, 12);
        let its = first.iter().filter(|s| **s == 0).count();
        assert!((3..=5).contains(&its), "{method:?}: {first:?}");
    }
}

#[test]
fn asking_in_vain_costs_nobody_a_turn() {
    let mut groups = groups(config(Method::RoundRobin, &[2, 1, 1]));
    let mut seen = Vec::new();
    for _ in 0..8 {
        for _ in 0..7 {
            assert_eq!(next(&mut groups, b"", |_| false), None);
        }
        seen.push(next(&mut groups, b"", |_| true).unwrap());
    }
    assert_eq!(seen, plain(&[2, 1, 1], 8));
}

#[test]
fn a_weight_of_100_beside_ten_of_1_is_kept_and_spread() {
    let mut weights = vec![100];
    weights.extend([1; 10]);
    let seen = sequence(&mut groups(config(Method::RoundRobin, &weights)), 1100);
    assert_eq!(seen.iter().filter(|s| **s == 0).count(), 1000);
    assert!((1..=10).all(|s| seen.iter().filter(|x| **x == s).count() == 10));
}

#[test]
fn backups_are_for_when_no_primary_is_allowed() {
    for method in [Method::RoundRobin, Method::LeastConn] {
        let mut upstream = config(method, &[1, 1, 3, 1]);
        (upstream.server[2].backup, upstream.server[3].backup) = (true, true);
        let mut groups = groups(upstream);
        assert!(sequence(&mut groups, 10).iter().all(|s| *s < 2));
        let backups: Vec<_> = (0..8).map(|_| next(&mut groups, b"", |s| s > 1).unwrap()).collect();
        assert_eq!(backups.iter().filter(|s| **s == 2).count(), 6, "{backups:?}");
        assert!(sequence(&mut groups, 10).iter().all(|s| *s < 2));
    }
}

#[test]
fn down_and_full_servers_are_passed_over() {
    for method in [
        Method::RoundRobin,
        Method::LeastConn,
        Method::IpHash,
        Method::Hash,
        Method::Consistent,
        Method::Random,
    ] {
        let mut upstream = config(method, &[1, 1, 1]);
        upstream.server[0].down = true;
        upstream.server[1].max_conns = 2;
        let mut groups = groups(upstream);
        groups.busy(1, 2);
        assert!(sequence(&mut groups, 30).iter().all(|s| *s == 2), "{method:?}");
        groups.busy(1, 1);
        groups.busy(2, 1);
        let keys = (0..200u32).map(|k| next(&mut groups, &k.to_le_bytes(), |_| true).unwrap());
        assert!(keys.into_iter().any(|s| s == 1), "{method:?}");
    }
}

#[test]
fn least_conn_goes_by_calls_out_for_the_weight() {
    let mut groups = groups(config(Method::LeastConn, &[4, 2, 1]));
    for (out, chosen) in [([4, 1, 1], 1), ([3, 2, 1], 0), ([4, 2, 0], 2), ([5, 2, 2], 1)] {
        (0..3).for_each(|s| groups.busy(s, out[s as usize]));
        assert_eq!(next(&mut groups, b"", |_| true), Some(chosen), "{out:?}");
    }
}

fn moved(method: Method, key: impl Fn(u32) -> Vec<u8>) -> (f64, bool) {
    let mut groups = groups(config(method, &[1; 10]));
    let (mut moved, mut others) = (0, false);
    for k in 0..10_000 {
        let before = next(&mut groups, &key(k), |_| true).unwrap();
        let after = next(&mut groups, &key(k), |s| s != 3).unwrap();
        moved += u32::from(before != after);
        others |= before != after && before != 3;
    }
    (f64::from(moved) / 10_000.0, others)
}

#[test]
fn when_a_server_goes_only_its_clients_move() {
    let octets = |k: u32| vec![10, (k / 251) as u8, (k % 251) as u8];
    let text = |k: u32| format!("key-{k}").into_bytes();
    for (method, (share, others)) in [
        (Method::IpHash, moved(Method::IpHash, octets)),
        (Method::Hash, moved(Method::Hash, text)),
        (Method::Consistent, moved(Method::Consistent, text)),
    ] {
        assert!(!others && (0.05..0.15).contains(&share), "{method:?}: {share}, {others}");
    }
}

#[test]
fn consistent_hashing_moves_no_more_than_its_part_when_the_group_changes() {
    let mut before = groups(config(Method::Consistent, &[1; 10]));
    let mut after = groups(config(Method::Consistent, &[1; 11]));
    let key = |k: u32| format!("key-{k}").into_bytes();
    let changed = |k: &u32| next(&mut before, &key(*k), |_| true) != next(&mut after, &key(*k), |_| true);
    let share = (0..10_000).filter(changed).count() as f64 / 10_000.0;
    assert!((0.04..0.15).contains(&share), "{share}");
}

#[test]
fn chance_keeps_to_the_weights_and_the_better_of_two_avoids_the_busy() {
    let mut one = groups(config(Method::Random, &[3, 1]));
    let first = sequence(&mut one, 4000).iter().filter(|s| **s == 0).count();
    assert!((2880..3120).contains(&first), "{first}");
    let mut two = groups(config(Method::RandomTwo, &[1, 1, 1]));
    two.busy(0, 5);
    let seen = sequence(&mut two, 3000);
    assert!(seen.iter().all(|s| *s != 0));
}

#[test]
fn five_thousand_servers_take_their_turns() {
    let weights: Vec<u32> = (0..5000).map(|n| 1 + n % 7).collect();
    let total = weights.iter().sum::<u32>() as usize;
    let mut groups = groups(config(Method::RoundRobin, &weights));
    let mut seen = vec![0u32; weights.len()];
    sequence(&mut groups, total).iter().for_each(|s| seen[*s as usize] += 1);
    assert_eq!(seen, weights);
    // All but the last are not allowed: it is found all the same.
    assert_eq!(next(&mut groups, b"", |s| s == 4999), Some(4999));
}
