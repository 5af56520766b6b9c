//! Endpoint selection by many relays with little shared information.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use onyxstile_system::balance::{CallRequirements, EndpointKey, Endpoints};
use onyxstile_system::load::Load;
use onyxstile_system::prefix;
use onyxstile_system::registry::{Instance, Stage};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use support::endpoints::{at, instance, named_relay, prompt, random_unit, relay};

/// Guards against all relays sending a first part to the same two endpoints, which gave the busiest endpoint 4.28 times
/// the mean load.
#[test]
fn many_relays_distribute_few_first_parts_over_all_endpoints() {
    let mut rng = Pcg64Mcg::new(5);
    let mut arrivals: HashMap<String, u32> = HashMap::new();
    let mut total = 0;
    for number in 0..73 {
        let mut relay = relay(&format!("z{}", number % 4), 56);
        for session in 0..60 {
            let shared_part = (rng.next_u32() % 16).min(rng.next_u32() % 16);
            let parts = prompt(shared_part, number * 1000 + session);
            relay.note_prompt(&parts);
            let requirements =
                CallRequirements { service: "llm", parts: &parts, ..CallRequirements::default() };
            let key = relay
                .choose(at(u64::from(session) * 250), &requirements, random_unit(&mut rng))
                .expect("an endpoint");
            let endpoint = relay.get_mut(key).expect("is known");
            endpoint.cache.note(&parts, 180_000);
            *arrivals.entry(endpoint.instance.id.clone()).or_default() += 1;
            total += 1;
        }
    }
    let busiest = arrivals.values().copied().max().unwrap_or(0);
    let ratio = f64::from(busiest) * 56.0 / f64::from(total);
    assert!(ratio < 2.5, "the busiest endpoint gets {ratio:.2} times the mean");
    assert!(arrivals.len() >= 54, "{} of 56 endpoints get any call", arrivals.len());
}

#[test]
fn relays_with_equal_information_choose_different_tool_endpoints() {
    let mut rng = Pcg64Mcg::new(9);
    let mut arrivals: HashMap<EndpointKey, u32> = HashMap::new();
    for number in 0..2000 {
        let mut relay = named_relay("z0", &format!("relay-{number}"), 12);
        let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
        let warm = relay.choose(at(0), &requirements, 0.0).expect("an endpoint");
        relay.get_mut(warm).expect("is known").succeeded(at(0), Some(Duration::from_millis(20)));
        let key = relay.choose(at(10), &requirements, random_unit(&mut rng)).expect("an endpoint");
        *arrivals.entry(key).or_default() += 1;
    }
    let busiest = arrivals.values().copied().max().unwrap_or(0);
    assert!(busiest < 2000 / 2, "{busiest} of 2000 went to one of 12");
}

#[test]
fn a_session_stays_at_the_endpoint_with_its_cached_turns() {
    let mut relay = relay("z0", 9);
    let parts = prompt(1, 1);
    let requirements = CallRequirements { service: "llm", parts: &parts, ..CallRequirements::default() };
    let first = relay.choose(at(0), &requirements, 0.3).expect("an endpoint");
    relay.get_mut(first).expect("is known").cache.note(&parts, 200_000);
    for step in 0..20 {
        assert_eq!(relay.choose(at(step), &requirements, f64::from(step as u32) / 20.0), Some(first));
    }
    let full = Load { running: 40, waiting: 10 };
    relay.get_mut(first).expect("is known").note_load(at(30), full);
    assert_ne!(
        relay.choose(at(30), &requirements, 0.3),
        Some(first),
        "reading the prompt again is cheaper than queueing"
    );
}

#[test]
fn a_draining_incarnation_is_never_chosen_again() {
    let mut relay = relay("z0", 2);
    let mut leaving = instance(0, "llm");
    leaving.stage = Stage::Draining;
    leaving.sequence = 5;
    assert!(relay.update(at(10), leaving).is_some());
    relay.update(at(20), Instance { sequence: 9, ..instance(0, "llm") });
    let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
    for step in 0..50u32 {
        let key = relay.choose(at(100), &requirements, f64::from(step) / 50.0).expect("an endpoint");
        assert_eq!(relay.get(key).expect("is known").instance.id, "i-1");
    }
}

#[test]
fn an_unreachable_endpoint_gets_one_call_at_a_time_until_it_answers() {
    let mut relay = relay("z0", 2);
    let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
    let unhealthy = relay.choose(at(0), &requirements, 0.0).expect("an endpoint");
    relay.get_mut(unhealthy).expect("is known").unreachable(at(0));
    let chosen = |relay: &Endpoints, now| {
        (0..20)
            .filter(|step| relay.choose(at(now), &requirements, f64::from(*step) / 20.0) == Some(unhealthy))
            .count()
    };
    assert_eq!(chosen(&relay, 100), 0, "skipped during the backoff");
    assert!(chosen(&relay, 400) > 0, "probed after the backoff");
    relay.get_mut(unhealthy).expect("is known").begin();
    assert_eq!(chosen(&relay, 400), 0, "one call at a time");
    relay.get_mut(unhealthy).expect("is known").end();
    relay.get_mut(unhealthy).expect("is known").succeeded(at(0), None);
    assert!(chosen(&relay, 400) > 0);
}

#[test]
fn an_endpoint_is_chosen_even_if_all_are_failing() {
    let mut relay = relay("z0", 3);
    let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
    for _ in 0..9 {
        let key = relay.choose(at(0), &requirements, 0.5).expect("an endpoint");
        relay.get_mut(key).expect("is known").failed(at(0));
    }
    assert!(relay.choose(at(0), &requirements, 0.5).is_some());
    assert!(
        relay
            .choose(at(0), &CallRequirements { service: "other", ..CallRequirements::default() }, 0.5)
            .is_none()
    );
}

#[test]
fn load_reports_are_parsed_or_ignored() {
    assert_eq!(Load::parse("3,0,8"), Some(Load { running: 3, waiting: 0 }));
    for broken in ["", "3", "a,b,c", ",,", "-1,2,3"] {
        assert_eq!(Load::parse(broken), None, "{broken:?}");
    }
}

/// Guards against reading prompts again: three of five sessions used more than one relay, and each relay without the
/// earlier turns had the entire prompt read at another endpoint.
#[test]
fn a_program_whose_turns_use_many_relays_is_read_at_one_endpoint() {
    let read_anew = |is_named: bool| {
        let mut rng = Pcg64Mcg::new(11);
        let mut relays: Vec<Endpoints> =
            (0..48).map(|number| relay(&format!("z{}", number % 4), 24)).collect();
        let mut truth: HashMap<String, prefix::Cache> = HashMap::new();
        let (mut read, mut new) = (0, 0);
        for program in 0..200u32 {
            let name = format!("program-{program}");
            let mut header = format!("{:x}:2560", program % 8);
            for turn in 0..6u32 {
                header.push_str(&format!(",{:x}:700", 1000 + program * 10 + turn));
                let parts = prefix::parse(&header);
                // Clients of a zone use any of its relays.
                let zone = program as usize % 4;
                let index = zone + 4 * (rng.next_u32() as usize % (relays.len() / 4));
                let relay = &mut relays[index];
                relay.note_prompt(&parts);
                let program = is_named.then_some(name.as_str());
                let requirements = CallRequirements {
                    service: "llm",
                    parts: &parts,
                    program,
                    ..CallRequirements::default()
                };
                let now = at(u64::from(turn) * 300);
                let key = relay.choose(now, &requirements, random_unit(&mut rng)).expect("an endpoint");
                let endpoint = relay.get_mut(key).expect("is known");
                endpoint.cache.note(&parts, 180_000);
                let cache = truth.entry(endpoint.instance.id.clone()).or_default();
                let prompt: u64 = parts.iter().map(|part| u64::from(part.tokens)).sum();
                read += prompt - cache.held(&parts).min(prompt);
                new += 700;
                cache.note(&parts, 180_000);
            }
        }
        read as f64 / f64::from(new)
    };
    let (alone, named) = (read_anew(false), read_anew(true));
    // The new tokens alone give a ratio of 1; first parts at their preferred endpoints add a few tenths.
    assert!(named < 1.4, "{named:.2} times the new tokens are read, {alone:.2} without programs");
    assert!(named < 0.5 * alone, "{named:.2} with programs' preferred endpoints, {alone:.2} without");
}

/// Guards against preferring endpoints in a different zone than the relay, where every turn's bytes are charged (0.0085
/// of the utility).
#[test]
fn a_program_prefers_the_zone_of_its_clients_while_it_has_two_endpoints() {
    let preferred_zone = |endpoints: &[u32], program: &str| {
        let mut relay = relay("z1", 0);
        for number in endpoints {
            relay.update(at(0), instance(*number, "llm"));
        }
        let parts = prompt(1, 1);
        relay.note_prompt(&parts);
        let requirements = CallRequirements {
            service: "llm",
            parts: &parts,
            program: Some(program),
            ..CallRequirements::default()
        };
        let key = relay.choose(at(0), &requirements, 0.4).expect("an endpoint");
        relay.get(key).expect("is known").instance.zone.clone()
    };
    let zones = |endpoints: &[u32]| -> Vec<String> {
        (0..40).map(|program| preferred_zone(endpoints, &format!("program-{program}"))).collect()
    };
    assert!(zones(&[0, 1, 2, 3, 4, 5, 6, 7]).iter().all(|zone| zone == "z1"));
    let without_choice = zones(&[0, 1, 2, 3, 4, 6, 7]);
    assert!(
        without_choice.iter().any(|zone| zone != "z1"),
        "one endpoint may not get all of a zone's programs"
    );
    let with_few = zones(&[0, 4, 8, 12, 16, 2, 6, 10, 14, 18, 3, 7, 11, 15, 19, 1, 5]);
    assert!(
        with_few.iter().any(|zone| zone != "z1"),
        "two of seventeen can't carry a quarter of the programs"
    );
}

#[test]
fn an_endpoint_without_a_recent_report_is_assumed_as_busy_as_the_others() {
    let mut relay = relay("z0", 5);
    let parts = prompt(1, 1);
    let requirements = CallRequirements { service: "llm", parts: &parts, ..CallRequirements::default() };
    let keys: Vec<EndpointKey> = (0..5).filter_map(|number| relay.key(&format!("i-{number}"))).collect();
    relay.get_mut(keys[0]).expect("is known").cache.note(&parts, 200_000);
    for key in &keys[..4] {
        relay.get_mut(*key).expect("is known").note_load(at(0), Load { running: 16, waiting: 1 });
    }
    for step in 0..20u32 {
        let key = relay.choose(at(10), &requirements, f64::from(step) / 20.0);
        assert_eq!(
            key,
            Some(keys[0]),
            "the fifth endpoint has reported nothing, which does not mean that it is idle"
        );
    }
}

#[test]
fn waiting_prompts_cost_more_than_running_streams() {
    let mut relay = relay("z0", 2);
    let parts = prompt(1, 1);
    let requirements = CallRequirements { service: "llm", parts: &parts, ..CallRequirements::default() };
    let keys: Vec<EndpointKey> = (0..2).filter_map(|number| relay.key(&format!("i-{number}"))).collect();
    relay.get_mut(keys[0]).expect("is known").note_load(at(0), Load { running: 2, waiting: 8 });
    relay.get_mut(keys[1]).expect("is known").note_load(at(0), Load { running: 14, waiting: 0 });
    assert_eq!(relay.choose(at(10), &requirements, 0.0), Some(keys[1]));
}
