//! Endpoints that fail part of their calls: how soon and for how long they are avoided, and that a service always keeps
//! usable endpoints.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use onyxstile_system::balance::{CallRequirements, EndpointKey, Endpoints, Health};
use onyxstile_system::clock::Instant;
use onyxstile_system::registry::Instance;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use support::endpoints::{at, instance, prompt, random_unit, relay};

const USUAL: Duration = Duration::from_millis(50);

fn requirements(may_repeat: bool) -> CallRequirements<'static> {
    CallRequirements { service: "llm", may_repeat, ..CallRequirements::default() }
}

/// Makes calls at intervals of 20 ms; `fails` determines the outcome at an endpoint. Returns the number of calls per
/// endpoint.
fn run_calls(
    relay: &mut Endpoints, from_ms: u64, calls: u64, may_repeat: bool, rng: &mut Pcg64Mcg,
    mut fails: impl FnMut(EndpointKey, &mut Pcg64Mcg) -> bool,
) -> HashMap<EndpointKey, u32> {
    let mut calls_by_endpoint = HashMap::new();
    for number in 0..calls {
        let now = at(from_ms + number * 20);
        let key = relay.choose(now, &requirements(may_repeat), random_unit(rng)).expect("an endpoint");
        *calls_by_endpoint.entry(key).or_default() += 1;
        let has_failed = fails(key, rng);
        let endpoint = relay.get_mut(key).expect("is known");
        if has_failed {
            endpoint.failed_with_error(now);
        } else {
            endpoint.succeeded(now, Some(USUAL));
        }
    }
    calls_by_endpoint
}

#[test]
fn an_endpoint_that_fails_two_in_five_calls_gets_few_calls() {
    for seed in 0..20u64 {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut relay = relay("z0", 8);
        let bad = relay.key("i-3").expect("is known");
        let calls_by_endpoint =
            run_calls(&mut relay, 0, 1_000, false, &mut rng, |key, rng| key == bad && rng.next_u32() % 5 < 2);
        let share = f64::from(calls_by_endpoint.get(&bad).copied().unwrap_or(0)) / 1_000.0;
        assert!(share < 0.03, "seed {seed}: {share} of the calls, an even share is 0.125");
    }
}

#[test]
fn an_endpoint_that_fails_all_calls_gets_only_probes() {
    for seed in 0..20u64 {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut relay = relay("z0", 8);
        let bad = relay.key("i-3").expect("is known");
        let calls_by_endpoint = run_calls(&mut relay, 0, 1_000, true, &mut rng, |key, _| key == bad);
        let count = calls_by_endpoint.get(&bad).copied().unwrap_or(0);
        assert!(count <= 50, "seed {seed}: {count} of 1,000");
    }
}

#[test]
fn a_recovered_endpoint_has_its_share_within_twenty_seconds() {
    for may_repeat in [false, true] {
        let mut rng = Pcg64Mcg::new(7);
        let mut relay = relay("z0", 8);
        let unhealthy = relay.key("i-3").expect("is known");
        run_calls(&mut relay, 0, 500, may_repeat, &mut rng, |key, _| key == unhealthy);
        let calls_by_endpoint = run_calls(&mut relay, 30_000, 500, may_repeat, &mut rng, |_, _| false);
        let count = |key| calls_by_endpoint.get(&key).copied().unwrap_or(0);
        // An endpoint of the same zone that was never unhealthy.
        let comparable = count(relay.key("i-7").expect("is known"));
        assert!(
            count(unhealthy) * 2 > comparable,
            "{} of 500, a comparable endpoint gets {comparable}",
            count(unhealthy)
        );
    }
}

#[test]
fn an_endpoint_without_answers_is_assumed_as_fast_as_the_others() {
    let mut rng = Pcg64Mcg::new(11);
    let mut relay = relay("z0", 7);
    for number in 0..7 {
        let key = relay.key(&format!("i-{number}")).expect("is known");
        relay.get_mut(key).expect("is known").succeeded(at(0), Some(Duration::from_millis(20)));
    }
    relay.update(at(0), Instance { zone: "z0".into(), ..instance(7, "llm") });
    let fresh = relay.key("i-7").expect("is known");
    let chosen =
        (0..400).filter(|_| relay.choose(at(10), &requirements(false), random_unit(&mut rng)) == Some(fresh));
    assert!(chosen.count() > 20, "it gets its share of the calls while all are idle");
}

#[test]
fn an_alternating_endpoint_is_not_trusted_at_its_first_good_answer() {
    let mut health = Health::default();
    for _ in 0..6 {
        health.note_failure(at(0));
    }
    let down = health.suspicion(at(0), USUAL);
    health.note_answer(at(100));
    let after_one = health.suspicion(at(100), USUAL);
    assert!(after_one > down * 0.8, "{down} falls to {after_one}");
    for number in 0..40 {
        health.note_answer(at(200 + number * 200));
    }
    assert!(health.suspicion(at(8_200), USUAL) < 0.08, "good answers and time clear the suspicion");
}

#[test]
fn an_overdue_call_counts_before_it_ends() {
    let mut health = Health::default();
    health.sent(at(0));
    assert!(health.suspicion(at(300), USUAL) < 1e-9, "within the usual latency");
    assert!(health.suspicion(at(500), USUAL) > 0.1, "overdue");
    assert!(
        health.suspicion(at(500), Duration::from_millis(200)) < 1e-9,
        "not if answers usually take longer"
    );
    health.ended(at(0));
    assert!(health.suspicion(at(600), USUAL) < 1e-9);
}

#[test]
fn evidence_against_all_endpoints_neither_empties_the_service_nor_overloads_one() {
    let mut rng = Pcg64Mcg::new(3);
    let mut relay = relay("z0", 8);
    let calls_by_endpoint =
        run_calls(&mut relay, 0, 2_000, false, &mut rng, |_, rng| rng.next_u32().is_multiple_of(3));
    assert_eq!(calls_by_endpoint.len(), 8, "each endpoint is called");
    let busiest = calls_by_endpoint.values().max().copied().unwrap_or(0);
    assert!(busiest < 600, "{busiest} of 2,000 calls went to one endpoint, an even share is 250");
}

#[test]
fn one_lost_answer_among_many_does_not_move_a_session() {
    let mut relay = relay("z0", 8);
    let parts = prompt(1, 1);
    let requirements = CallRequirements { service: "llm", parts: &parts, ..CallRequirements::default() };
    let first = relay.choose(at(0), &requirements, 0.3).expect("an endpoint");
    let endpoint = relay.get_mut(first).expect("is known");
    endpoint.cache.note(&parts, 200_000);
    for number in 0..60 {
        endpoint.succeeded(at(number * 10), Some(USUAL));
    }
    endpoint.failed_with_error(at(600));
    assert_eq!(relay.choose(at(610), &requirements, 0.3), Some(first));
    let endpoint = relay.get_mut(first).expect("is known");
    for _ in 0..30 {
        endpoint.failed_with_error(at(620));
    }
    assert_ne!(
        relay.choose(at(630), &requirements, 0.3),
        Some(first),
        "the session leaves an endpoint that fails a third of its calls"
    );
}

#[test]
fn suspicion_decays_with_time() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.note_failure(Instant::from_millis(0));
    }
    let suspicions: Vec<f64> = (0..6).map(|step| health.suspicion(at(step * 10_000), USUAL)).collect();
    assert!(suspicions.windows(2).all(|pair| pair[1] < pair[0] || pair[0] == 0.0), "{suspicions:?}");
    assert!(suspicions[4] < 0.08, "{suspicions:?}");
}
