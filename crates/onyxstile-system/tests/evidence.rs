//! Evidence shared among relays: which endpoints are suspected, how soon, and how evidence decays.

mod support;

use expect_test::expect;
use onyxstile_system::balance::{CallRequirements, Endpoints, Health};
use onyxstile_system::evidence::{ENDPOINTS_PER_MESSAGE, Evidence, EvidencePool, most_failed};
use onyxstile_system::tally::Tally;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::endpoints::{at, named_relay, random_unit};

const USUAL: Duration = Duration::from_millis(50);

fn reported(instance: &str, failed: f32, answered: f32) -> Evidence {
    Evidence { instance: instance.into(), failed, answered }
}

fn ip(number: u8) -> [u8; 4] {
    [10, 0, 0, number]
}

#[test]
fn two_lost_answers_at_different_relays_raise_suspicion_and_one_does_not() {
    let mut pool = EvidencePool::default();
    pool.note_report(at(0), ip(1), &[reported("i-1", 1.0, 0.0)]);
    assert!(pool.suspects(at(0)).is_empty());
    pool.note_report(at(100), ip(1), &[reported("i-1", 1.0, 3.0)]);
    assert!(pool.suspects(at(100)).is_empty(), "a repeated report replaces the previous one");
    pool.note_report(at(100), ip(2), &[reported("i-1", 1.0, 5.0)]);
    let suspects = pool.suspects(at(100));
    assert_eq!(suspects, [reported("i-1", 2.0, 8.0)]);
    expect![[r#"
        suspect i-1 failed 2.0 answered 8.0 by 2 relays"#]]
    .assert_eq(&pool.lines(at(100)).join("\n"));
}

#[test]
fn reports_decay_and_are_removed() {
    let mut pool = EvidencePool::default();
    pool.note_report(at(0), ip(1), &[reported("i-1", 8.0, 0.0)]);
    let failed: Vec<f32> = pool.suspects(at(5_000)).iter().map(|evidence| evidence.failed).collect();
    assert_eq!(failed, [4.0], "half remains after the half-life");
    assert!(pool.suspects(at(20_000)).is_empty());
    pool.tick(at(30_000));
    assert!(pool.lines(at(0)).is_empty(), "the report is removed");
}

#[test]
fn a_message_is_bounded_and_contains_the_most_failures() {
    let all: Vec<Evidence> =
        (0..200).map(|number| reported(&format!("i-{number}"), number as f32, 1.0)).collect();
    let mut pool = EvidencePool::default();
    for (number, chunk) in all.chunks(ENDPOINTS_PER_MESSAGE).enumerate() {
        pool.note_report(at(0), ip(number as u8), chunk);
    }
    let suspects = pool.suspects(at(0));
    assert_eq!(suspects.len(), ENDPOINTS_PER_MESSAGE);
    assert_eq!(suspects[0].instance, "i-199");
    assert_eq!(most_failed(all), suspects);
}

#[test]
fn invalid_counts_are_clamped() {
    let mut pool = EvidencePool::default();
    let invalid = [f32::INFINITY, f32::NEG_INFINITY, -5.0, 1e38];
    for (number, count) in invalid.into_iter().enumerate() {
        pool.note_report(at(0), ip(number as u8), &[reported("i-1", count, count)]);
    }
    let suspects = pool.suspects(at(0));
    assert!(suspects.iter().all(|evidence| (0.0..=1e7).contains(&evidence.failed)), "{suspects:?}");
    let mut health = Health::default();
    health.merge_evidence(at(0), reported("i-1", f32::NAN, f32::NAN).tally(at(0)));
    assert!((0.0..=1.0).contains(&health.suspicion(at(0), USUAL)));
}

#[test]
fn own_calls_outweigh_other_relays_reports() {
    let mut health = Health::default();
    health.merge_evidence(at(0), Tally::new(at(0), 400.0, 600.0));
    let shared = health.suspicion(at(0), USUAL);
    assert!(shared > 0.3, "{shared}: no own calls yet");
    for _ in 0..60 {
        health.note_answer(at(100));
    }
    let own = health.suspicion(at(100), USUAL);
    assert!(own < 0.01, "{own}: only other relays' calls fail");
    assert!(
        health.report(at(100), USUAL).is_some_and(|tally| tally.answered > 59.0),
        "own successes are reported to the other relays"
    );
}

#[test]
fn an_unsuspected_endpoint_is_not_reported() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.note_answer(at(0));
    }
    assert_eq!(health.report(at(0), USUAL), None);
    health.note_failure(at(10));
    assert!(health.report(at(10), USUAL).is_some());
    assert_eq!(health.report(at(40_000), USUAL), None);
}

/// Number of failed calls of seventy relays that each make a call every 100 ms, with one of eight endpoints failing two
/// in five calls.
fn failures(seed: u64, is_shared: bool) -> u32 {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut relays: Vec<Endpoints> =
        (0..70).map(|number| named_relay("elsewhere", &format!("relay-{number}"), 8)).collect();
    let mut pool = EvidencePool::default();
    let mut count = 0;
    for step in 0..100u64 {
        let now = at(step * 100);
        for relay in &mut relays {
            let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
            let key = relay.choose(now, &requirements, random_unit(&mut rng)).expect("an endpoint");
            let is_bad = relay.key("i-3") == Some(key);
            let endpoint = relay.get_mut(key).expect("is known");
            if is_bad && rng.next_u32() % 5 < 2 {
                endpoint.failed_with_error(now);
                count += 1;
            } else {
                endpoint.succeeded(now, Some(USUAL));
            }
        }
        if is_shared && step % 10 == 9 {
            for (number, relay) in relays.iter_mut().enumerate() {
                pool.note_report(now, ip(number as u8), &relay.evidence(now));
            }
            let suspects = pool.suspects(now);
            relays.iter_mut().for_each(|relay| relay.merge_evidence(now, &suspects));
        }
    }
    count
}

#[test]
fn shared_evidence_reduces_the_calls_lost_to_a_failing_endpoint() {
    let (mut alone, mut together) = (0, 0);
    for seed in 0..5 {
        alone += failures(seed, false);
        together += failures(seed, true);
    }
    assert!(together * 10 < alone * 7, "{together} calls lost with shared evidence, {alone} without");
}

#[test]
fn sporadic_lost_answers_exclude_no_endpoint() {
    let mut rng = Pcg64Mcg::new(5);
    let mut relays: Vec<Endpoints> =
        (0..70).map(|number| named_relay("elsewhere", &format!("relay-{number}"), 8)).collect();
    let mut pool = EvidencePool::default();
    let mut calls_by_endpoint = vec![0u32; 8];
    for step in 0..200u64 {
        let now = at(step * 100);
        for relay in &mut relays {
            let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
            let key = relay.choose(now, &requirements, random_unit(&mut rng)).expect("an endpoint");
            let number = (0..8).find(|number| relay.key(&format!("i-{number}")) == Some(key)).expect("one");
            calls_by_endpoint[number] += 1;
            let endpoint = relay.get_mut(key).expect("is known");
            if rng.next_u32() % 100 < 2 {
                endpoint.failed_with_error(now);
            } else {
                endpoint.succeeded(now, Some(USUAL));
            }
        }
        if step % 10 == 9 {
            for (number, relay) in relays.iter().enumerate() {
                pool.note_report(now, ip(number as u8), &relay.evidence(now));
            }
            let suspects = pool.suspects(now);
            relays.iter_mut().for_each(|relay| relay.merge_evidence(now, &suspects));
        }
    }
    let (least, most) = (
        calls_by_endpoint.iter().min().copied().unwrap_or(0),
        calls_by_endpoint.iter().max().copied().unwrap_or(0),
    );
    assert!(least * 2 > most, "{calls_by_endpoint:?}");
}
