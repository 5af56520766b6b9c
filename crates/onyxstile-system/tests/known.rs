//! What an agent and a proxy know of endpoints over weeks of restarts: the newest of each, and nothing for ever.

mod support;

use std::rc::Rc;

use onyxstile_system::balance::{Endpoints, Need};
use onyxstile_system::clock::Instant;
use onyxstile_system::control::StoredConfiguration;
use onyxstile_system::evidence::Evidence;
use onyxstile_system::known::{Known, News};
use onyxstile_system::registry::{Instance, Stage};
use onyxstile_system::wire::{Feed, PublishedState};
use support::endpoints::{at, instance};

const HOUR_MS: u64 = 3_600_000;

fn absorb(known: &mut Known, now: Instant, news: News) -> Feed {
    let mut feed = known.unchanged();
    known.absorb(now, news, &mut feed);
    feed
}

fn gone(number: u32) -> Instance {
    Instance { stage: Stage::Gone, sequence: 9, ..instance(number, "llm") }
}

#[test]
fn a_proxy_that_starts_anew_is_told_the_newest_of_each_endpoint() {
    let mut known = Known::default();
    absorb(&mut known, at(0), News::Endpoints(vec![instance(1, "llm"), instance(2, "llm")]));
    absorb(&mut known, at(10), News::Endpoints(vec![gone(1)]));
    absorb(&mut known, at(20), News::Endpoints(vec![Instance { sequence: 4, ..instance(1, "llm") }]));
    let mut whole = known.whole().endpoints;
    whole.sort_by(|left, right| left.id.cmp(&right.id));
    assert_eq!(whole, [gone(1), instance(2, "llm")], "one that is gone does not come back");
}

#[test]
fn a_configuration_is_kept_where_a_newer_state_leaves_it_out() {
    let mut known = Known::default();
    let configuration = Rc::new(StoredConfiguration { revision: 3, body: b"{}".to_vec() });
    let first = PublishedState {
        sequence: 1,
        configuration: Some(configuration.clone()),
        ..PublishedState::default()
    };
    absorb(&mut known, at(0), News::State(first));
    let feed =
        absorb(&mut known, at(10), News::State(PublishedState { sequence: 2, ..PublishedState::default() }));
    assert_eq!(feed.state.and_then(|state| state.configuration), Some(configuration));
}

#[test]
fn evidence_is_passed_on_and_not_kept() {
    let mut known = Known::default();
    let evidence = vec![Evidence { instance: "i-1".into(), failed: 2.0, answered: 1.0 }];
    let feed = absorb(&mut known, at(0), News::Evidence(evidence.clone()));
    assert_eq!(feed.evidence, evidence);
    assert!(known.whole().evidence.is_empty());
}

#[test]
fn endpoints_that_left_long_ago_are_forgotten_by_agents_and_proxies() {
    let mut known = Known::default();
    let mut endpoints = Endpoints::new("z0", "relay");
    for restart in 0..200u32 {
        let now = at(u64::from(restart) * HOUR_MS / 10);
        let records = vec![gone(restart), instance(restart + 1, "llm")];
        for record in &records {
            endpoints.update(now, record.clone());
        }
        absorb(&mut known, now, News::Endpoints(records));
        endpoints.forget(now);
    }
    assert!(known.whole().endpoints.len() <= 5, "{} are kept", known.whole().endpoints.len());
    assert!(endpoints.key("i-100").is_none());
    assert_eq!(endpoints.usable("llm"), 1);
}

#[test]
fn an_endpoint_that_fell_silent_long_ago_is_forgotten_and_comes_back_when_it_speaks() {
    let mut endpoints = Endpoints::new("z0", "relay");
    let need = Need { service: "llm", ..Need::default() };
    endpoints.update(at(0), instance(1, "llm"));
    endpoints.update(at(0), instance(2, "llm"));
    endpoints.update(at(1_000), Instance { is_silent: true, ..instance(1, "llm") });
    assert!(endpoints.forget(at(600_000)).is_empty(), "controllers may still tell of it");
    let busy = endpoints.key("i-1").expect("is known");
    endpoints.get_mut(busy).expect("is known").begin();
    assert!(endpoints.forget(at(HOUR_MS)).is_empty(), "a call is out there");
    endpoints.get_mut(busy).expect("is known").end();
    assert_eq!(endpoints.forget(at(HOUR_MS)), [busy]);
    assert!(endpoints.get(busy).is_none() && endpoints.get_mut(busy).is_none());
    let chosen = endpoints.choose(at(HOUR_MS), &need, 0.4).expect("the other one");
    assert_eq!(Some(chosen), endpoints.key("i-2"));
    endpoints.update(at(HOUR_MS), Instance { sequence: 7, ..instance(1, "llm") });
    assert_eq!(endpoints.usable("llm"), 2);
}
