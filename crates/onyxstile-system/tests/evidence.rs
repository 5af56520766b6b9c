//! Evidence about endpoints that relays share: who is under suspicion, how soon, and how it fades.

mod support;

use expect_test::expect;
use onyxstile_system::balance::{Endpoints, Health, Need};
use onyxstile_system::evidence::{ENDPOINTS_TOLD, Evidence, Pooled, heaviest};
use onyxstile_system::tally::Tally;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::endpoints::{at, named_relay, roll};

const USUAL: Duration = Duration::from_millis(50);

fn told(instance: &str, failed: f32, answered: f32) -> Evidence {
    Evidence { instance: instance.into(), failed, answered }
}

fn ip(number: u8) -> [u8; 4] {
    [10, 0, 0, number]
}

#[test]
fn a_single_lost_answer_makes_no_suspect_and_two_of_different_relays_do() {
    let mut pooled = Pooled::default();
    pooled.absorb(at(0), ip(1), &[told("i-1", 1.0, 0.0)]);
    assert!(pooled.suspects(at(0)).is_empty());
    pooled.absorb(at(100), ip(1), &[told("i-1", 1.0, 3.0)]);
    assert!(pooled.suspects(at(100)).is_empty(), "told again it is the same one");
    pooled.absorb(at(100), ip(2), &[told("i-1", 1.0, 5.0)]);
    let suspects = pooled.suspects(at(100));
    assert_eq!(suspects, [told("i-1", 2.0, 8.0)]);
    expect![[r#"
        suspect i-1 failed 2.0 answered 8.0 by 2 relays"#]]
    .assert_eq(&pooled.lines(at(100)).join("\n"));
}

#[test]
fn what_was_told_fades_and_is_forgotten() {
    let mut pooled = Pooled::default();
    pooled.absorb(at(0), ip(1), &[told("i-1", 8.0, 0.0)]);
    let failed: Vec<f32> = pooled.suspects(at(5_000)).iter().map(|evidence| evidence.failed).collect();
    assert_eq!(failed, [4.0], "half after the half-life");
    assert!(pooled.suspects(at(20_000)).is_empty());
    pooled.tick(at(30_000));
    assert!(pooled.lines(at(0)).is_empty(), "nothing is left of it");
}

#[test]
fn a_message_is_bounded_and_tells_of_the_worst() {
    let all: Vec<Evidence> =
        (0..200).map(|number| told(&format!("i-{number}"), number as f32, 1.0)).collect();
    let mut pooled = Pooled::default();
    for (number, chunk) in all.chunks(ENDPOINTS_TOLD).enumerate() {
        pooled.absorb(at(0), ip(number as u8), chunk);
    }
    let suspects = pooled.suspects(at(0));
    assert_eq!(suspects.len(), ENDPOINTS_TOLD);
    assert_eq!(suspects[0].instance, "i-199");
    assert_eq!(heaviest(all), suspects);
}

#[test]
fn counts_that_are_no_counts_do_no_harm() {
    let mut pooled = Pooled::default();
    let spoilt = [f32::INFINITY, f32::NEG_INFINITY, -5.0, 1e38];
    for (number, count) in spoilt.into_iter().enumerate() {
        pooled.absorb(at(0), ip(number as u8), &[told("i-1", count, count)]);
    }
    let suspects = pooled.suspects(at(0));
    assert!(suspects.iter().all(|evidence| (0.0..=1e7).contains(&evidence.failed)), "{suspects:?}");
    let mut health = Health::default();
    health.hear(at(0), told("i-1", f32::NAN, f32::NAN).tally(at(0)));
    assert!((0.0..=1.0).contains(&health.suspicion(at(0), USUAL)));
}

#[test]
fn ones_own_calls_outweigh_what_others_say() {
    let mut health = Health::default();
    health.hear(at(0), Tally::new(at(0), 400.0, 600.0));
    let heard = health.suspicion(at(0), USUAL);
    assert!(heard > 0.3, "{heard}: nothing else is known");
    for _ in 0..60 {
        health.note_answer(at(100));
    }
    let own = health.suspicion(at(100), USUAL);
    assert!(own < 0.01, "{own}: it fails the calls of others only");
    assert!(health.to_tell(at(100), USUAL).is_some_and(|tally| tally.answered > 59.0), "which others hear");
}

#[test]
fn an_endpoint_that_nobody_suspects_is_not_told_of() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.note_answer(at(0));
    }
    assert_eq!(health.to_tell(at(0), USUAL), None);
    health.note_failure(at(10));
    assert!(health.to_tell(at(10), USUAL).is_some());
    assert_eq!(health.to_tell(at(40_000), USUAL), None);
}

/// Seventy relays that make a call each 100 ms; one of eight endpoints fails two in five. How many calls fail.
fn failures(seed: u64, is_shared: bool) -> u32 {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut relays: Vec<Endpoints> =
        (0..70).map(|number| named_relay("elsewhere", &format!("relay-{number}"), 8)).collect();
    let mut pooled = Pooled::default();
    let mut count = 0;
    for step in 0..100u64 {
        let now = at(step * 100);
        for relay in &mut relays {
            let need = Need { service: "llm", ..Need::default() };
            let key = relay.choose(now, &need, roll(&mut random)).expect("an endpoint");
            let is_bad = relay.key("i-3") == Some(key);
            let endpoint = relay.get_mut(key).expect("is known");
            if is_bad && random.next_u32() % 5 < 2 {
                endpoint.erred(now);
                count += 1;
            } else {
                endpoint.succeeded(now, Some(USUAL));
            }
        }
        if is_shared && step % 10 == 9 {
            for (number, relay) in relays.iter_mut().enumerate() {
                pooled.absorb(now, ip(number as u8), &relay.evidence(now));
            }
            let suspects = pooled.suspects(now);
            relays.iter_mut().for_each(|relay| relay.hear(now, &suspects));
        }
    }
    count
}

#[test]
fn relays_that_share_evidence_lose_fewer_calls_to_a_bad_endpoint() {
    let (mut alone, mut together) = (0, 0);
    for seed in 0..5 {
        alone += failures(seed, false);
        together += failures(seed, true);
    }
    assert!(together * 10 < alone * 7, "{together} calls lost with shared evidence, {alone} without");
}

#[test]
fn lost_answers_here_and_there_leave_no_endpoint_out() {
    let mut random = Pcg64Mcg::new(5);
    let mut relays: Vec<Endpoints> =
        (0..70).map(|number| named_relay("elsewhere", &format!("relay-{number}"), 8)).collect();
    let mut pooled = Pooled::default();
    let mut went = vec![0u32; 8];
    for step in 0..200u64 {
        let now = at(step * 100);
        for relay in &mut relays {
            let need = Need { service: "llm", ..Need::default() };
            let key = relay.choose(now, &need, roll(&mut random)).expect("an endpoint");
            let number = (0..8).find(|number| relay.key(&format!("i-{number}")) == Some(key)).expect("one");
            went[number] += 1;
            let endpoint = relay.get_mut(key).expect("is known");
            if random.next_u32() % 100 < 2 {
                endpoint.erred(now);
            } else {
                endpoint.succeeded(now, Some(USUAL));
            }
        }
        if step % 10 == 9 {
            for (number, relay) in relays.iter().enumerate() {
                pooled.absorb(now, ip(number as u8), &relay.evidence(now));
            }
            let suspects = pooled.suspects(now);
            relays.iter_mut().for_each(|relay| relay.hear(now, &suspects));
        }
    }
    let (least, most) = (went.iter().min().copied().unwrap_or(0), went.iter().max().copied().unwrap_or(0));
    assert!(least * 2 > most, "{went:?}");
}
