//! Endpoint records of agents and proxies over weeks of restarts: the newest record of each endpoint is kept, and old
//! ones are removed.

mod support;

use std::rc::Rc;

use onyxstile_system::balance::{CallRequirements, Endpoints};
use onyxstile_system::clock::Instant;
use onyxstile_system::control::StoredConfiguration;
use onyxstile_system::evidence::Evidence;
use onyxstile_system::feed_state::{FeedState, FeedUpdate};
use onyxstile_system::registry::{Instance, Stage};
use onyxstile_system::wire::{Feed, PublishedState};
use support::endpoints::{at, instance};

const HOUR_MS: u64 = 3_600_000;

fn apply(state: &mut FeedState, now: Instant, update: FeedUpdate) -> Feed {
    let mut feed = state.unchanged();
    state.apply(now, update, &mut feed);
    feed
}

fn gone(number: u32) -> Instance {
    Instance { stage: Stage::Gone, sequence: 9, ..instance(number, "llm") }
}

#[test]
fn a_restarted_proxy_receives_the_newest_record_of_each_endpoint() {
    let mut state = FeedState::default();
    apply(&mut state, at(0), FeedUpdate::Endpoints(vec![instance(1, "llm"), instance(2, "llm")]));
    apply(&mut state, at(10), FeedUpdate::Endpoints(vec![gone(1)]));
    apply(&mut state, at(20), FeedUpdate::Endpoints(vec![Instance { sequence: 4, ..instance(1, "llm") }]));
    let mut snapshot = state.snapshot().endpoints;
    snapshot.sort_by(|left, right| left.id.cmp(&right.id));
    assert_eq!(snapshot, [gone(1), instance(2, "llm")], "an endpoint that is gone does not return");
}

#[test]
fn a_configuration_is_kept_if_a_newer_state_omits_it() {
    let mut state = FeedState::default();
    let configuration = Rc::new(StoredConfiguration { revision: 3, body: b"{}".to_vec() });
    let first = PublishedState {
        sequence: 1,
        configuration: Some(configuration.clone()),
        ..PublishedState::default()
    };
    apply(&mut state, at(0), FeedUpdate::State(first));
    let feed = apply(
        &mut state,
        at(10),
        FeedUpdate::State(PublishedState { sequence: 2, ..PublishedState::default() }),
    );
    assert_eq!(feed.state.and_then(|state| state.configuration), Some(configuration));
}

#[test]
fn evidence_is_forwarded_and_not_stored() {
    let mut state = FeedState::default();
    let evidence = vec![Evidence { instance: "i-1".into(), failed: 2.0, answered: 1.0 }];
    let feed = apply(&mut state, at(0), FeedUpdate::Evidence(evidence.clone()));
    assert_eq!(feed.evidence, evidence);
    assert!(state.snapshot().evidence.is_empty());
}

#[test]
fn agents_and_proxies_remove_endpoints_that_left_long_ago() {
    let mut state = FeedState::default();
    let mut endpoints = Endpoints::new("z0", "relay");
    for restart in 0..200u32 {
        let now = at(u64::from(restart) * HOUR_MS / 10);
        let records = vec![gone(restart), instance(restart + 1, "llm")];
        for record in &records {
            endpoints.update(now, record.clone());
        }
        apply(&mut state, now, FeedUpdate::Endpoints(records));
        endpoints.forget(now);
    }
    assert!(state.snapshot().endpoints.len() <= 5, "{} are kept", state.snapshot().endpoints.len());
    assert!(endpoints.key("i-100").is_none());
    assert_eq!(endpoints.usable("llm"), 1);
}

#[test]
fn a_silent_endpoint_is_removed_and_returns_with_its_next_heartbeat() {
    let mut endpoints = Endpoints::new("z0", "relay");
    let requirements = CallRequirements { service: "llm", ..CallRequirements::default() };
    endpoints.update(at(0), instance(1, "llm"));
    endpoints.update(at(0), instance(2, "llm"));
    endpoints.update(at(1_000), Instance { is_silent: true, ..instance(1, "llm") });
    assert!(endpoints.forget(at(600_000)).is_empty(), "controllers may still send it");
    let busy = endpoints.key("i-1").expect("is known");
    endpoints.get_mut(busy).expect("is known").begin();
    assert!(endpoints.forget(at(HOUR_MS)).is_empty(), "a call is in flight");
    endpoints.get_mut(busy).expect("is known").end();
    assert_eq!(endpoints.forget(at(HOUR_MS)), [busy]);
    assert!(endpoints.get(busy).is_none() && endpoints.get_mut(busy).is_none());
    let chosen = endpoints.choose(at(HOUR_MS), &requirements, 0.4).expect("the other endpoint");
    assert_eq!(Some(chosen), endpoints.key("i-2"));
    endpoints.update(at(HOUR_MS), Instance { sequence: 7, ..instance(1, "llm") });
    assert_eq!(endpoints.usable("llm"), 2);
}
