//! Cold returns: the load that a fleet sends to a partner after an outage.

use crate::cluster::rng::TestRng;
use crate::cluster::{self, Fleet, Partner, START};
use crate::common::*;
use crate::runs;
use onyxstile::api::*;
use std::collections::BTreeMap;

/// A partner under load has an outage of one of five kinds and returns cold: in no window of the rule's length may
/// the relays that saw it fail send more than its allowance, though all have messages waiting.
#[test]
fn no_partner_that_returns_cold_is_overloaded() {
    // Seed 789, beyond this range, has its own test below.
    returns(0..runs(120).min(700), &[1, 2, 3], 2.5);
}

/// The smallest partner, three relays, two servers and errors: a case that exceeded the bound by one call.
#[test]
fn the_smallest_partner_is_not_overloaded() {
    returns(789..790, &[1, 2, 3], 2.5);
}

/// The same with many relays, each with occasional messages, after silence and after stated waits.
#[test]
fn no_partner_that_returns_cold_to_many_relays_is_overloaded() {
    for seed in [1, 3, 6, 8] {
        returns(seed..seed + 1, &[60], 8.0);
        returns(seed..seed + 1, &[300], 30.0);
    }
}

/// Each of 300 relays sees one refused connection, at one of two servers, long before the return: the ramp must
/// start with what is observed after the return.
#[test]
fn many_relays_that_saw_one_connection_refused_stay_within_the_bound() {
    returns(0..1, &[300], 30.0);
    returns(0..1, &[60], 8.0);
}

/// An outage reported by refusals without a wait looks like a rate limit to a relay that saw one refusal.
#[test]
fn many_relays_that_saw_one_refusal_without_a_wait_stay_within_the_bound() {
    returns(2..3, &[300], 30.0);
}

fn returns(seeds: std::ops::Range<u64>, fleets: &[u32], least: f64) {
    let runs = seeds.end - seeds.start;
    let (mut worst, mut tried, mut delivered) = (BTreeMap::new(), 0, 0);
    for seed in seeds {
        let mut rng = TestRng::new(7_000_000 + seed);
        let senders = rng.pick(fleets);
        let probes = rng.percent(70);
        let s = Settings { senders, probes, start_capacity: 0.17, cold_time: ms(14_000), ..settings() };
        let how = cluster::OUTAGE_KINDS[(seed % 5) as usize];
        let (rate, from) = (least + rng.below(5) as f64, START + ms(15_000));
        let back = from + ms(5000 + rng.below(12_000));
        let servers = rng.pick(&[1, 2]);
        let mut fleet = Fleet::new(&s, Partner::new(rate, &s, (from, back, how)), servers, seed);
        let load = rate * 0.8;
        let mut hands_in = |f: &mut Fleet| {
            if rng.below(1000) < (load * 5.0) as u64 {
                let (relay, class) = (rng.below(u64::from(senders)) as usize, rng.pick(&[0, 2]));
                f.submit(relay, class, ms(16_000));
            }
        };
        fleet.advance(back - START + ms(16_000), &mut hands_in);
        let over = fleet.partner.worst(&s);
        let most: &mut f64 = worst.entry(format!("{how:?}")).or_default();
        *most = most.max(over);
        tried += fleet.partner.by_second(back, 16).iter().sum::<usize>();
        delivered += fleet.delivered;
        assert!(over <= 1.0, "{how:?}, {senders} senders, {rate} per second: {over:.2} of the allowance");
    }
    println!("cold: {runs} runs, {tried} calls after returns, worst windows {worst:?}");
    assert!(tried as u64 > 20 * runs && delivered as u64 > 30 * runs, "{tried} calls, {delivered} delivered");
}
