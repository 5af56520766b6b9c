//! Connections from relays to endpoints: shared by all relays, evenly distributed, within the endpoints' limits.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use onyxstile_system::balance::{CallRequirements, ConnectionLimit, EndpointKey, Endpoints};
use onyxstile_system::clock::Instant;
use onyxstile_system::registry::{Instance, Stage};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "tools";

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn instance(number: usize) -> Instance {
    Instance {
        id: format!("i-{number}"),
        service: SERVICE.into(),
        address: ([10, 9, (number / 256) as u8, (number % 256) as u8], 80),
        zone: format!("z{}", number % 4),
        capacity: 6,
        stage: Stage::Ready,
        warmup_left_ms: 0,
        sequence: 1,
        is_silent: false,
    }
}

/// A relay with the same distance to all endpoints.
fn relay(number: usize, endpoints: usize) -> Endpoints {
    let mut relay = Endpoints::new("elsewhere", &format!("edge-{number}"));
    for endpoint in 0..endpoints {
        relay.update(at(0), instance(endpoint));
    }
    relay
}

fn limits(connections: u64, is_called_by_all: bool) -> HashMap<String, ConnectionLimit> {
    HashMap::from([(SERVICE.to_owned(), ConnectionLimit { connections, is_called_by_all })])
}

fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// All endpoints that a relay calls for tools while all are healthy.
fn called(relay: &Endpoints, rng: &mut Pcg64Mcg) -> HashSet<EndpointKey> {
    let requirements = CallRequirements { service: SERVICE, ..CallRequirements::default() };
    (0..400).filter_map(|_| relay.choose(at(0), &requirements, random_unit(rng))).collect()
}

/// Starts calls until the relay finds no endpoint to which it may hold one more connection.
fn start_calls(relay: &mut Endpoints, rng: &mut Pcg64Mcg) {
    let requirements = CallRequirements { service: SERVICE, ..CallRequirements::default() };
    while let Some(key) = relay.choose(at(0), &requirements, random_unit(rng)) {
        let in_flight = relay.get(key).expect("is known").in_flight();
        if in_flight >= relay.connection_share(key) {
            return;
        }
        relay.get_mut(key).expect("is known").begin();
    }
}

#[test]
fn all_relays_together_stay_within_an_endpoints_connection_limit() {
    let mut rng = Pcg64Mcg::new(41);
    for _ in 0..60 {
        let relays = 1 + rng.next_u32() as usize % 80;
        let endpoints = 1 + rng.next_u32() as usize % 8;
        let limit = relays as u64 * 10 / 9 + 1 + u64::from(rng.next_u32() % 400);
        let mut held = vec![0; endpoints];
        for number in 0..relays {
            let mut relay = relay(number, endpoints);
            relay.set_relays(relays as u32);
            relay.set_limits(limits(limit, false));
            start_calls(&mut relay, &mut rng);
            for (endpoint, held) in held.iter_mut().enumerate() {
                let key = relay.key(&format!("i-{endpoint}")).expect("is known");
                *held += u64::from(relay.get(key).expect("is known").in_flight());
            }
        }
        let busiest = held.iter().max().expect("an endpoint");
        assert!(*busiest <= limit, "{relays} relays hold {held:?} of {limit}");
        assert!(held.iter().all(|held| held * 2 >= limit.min(relays as u64)), "{held:?} of {limit}");
    }
}

#[test]
fn subsets_distribute_relays_evenly_and_limit_connections() {
    let (relays, endpoints) = (73, 34);
    let mut rng = Pcg64Mcg::new(43);
    let mut callers: HashMap<EndpointKey, u32> = HashMap::new();
    for number in 0..relays {
        let mut relay = relay(number, endpoints);
        relay.set_limits(limits(500, false));
        let called = called(&relay, &mut rng);
        assert_eq!(called.len(), 8);
        for key in called {
            *callers.entry(key).or_default() += 1;
        }
    }
    let mean = f64::from(callers.values().sum::<u32>()) / endpoints as f64;
    let bound = mean + 3.0 * mean.sqrt();
    assert_eq!(callers.len(), endpoints, "each endpoint is called by some relay");
    assert!(callers.values().all(|callers| f64::from(*callers) <= bound), "{callers:?}, bound {bound:.1}");
}

#[test]
fn relays_call_a_subset_of_endpoints_that_accept_fewer_connections_than_relays() {
    let (relays, endpoints, limit) = (90, 30, 40);
    let mut rng = Pcg64Mcg::new(53);
    let mut callers: HashMap<EndpointKey, u32> = HashMap::new();
    for number in 0..relays {
        let mut relay = relay(number, endpoints);
        relay.set_relays(relays as u32);
        relay.set_limits(limits(limit, true));
        let called = called(&relay, &mut rng);
        assert!(called.len() >= 2, "a relay calls {}", called.len());
        called.iter().for_each(|key| *callers.entry(*key).or_default() += 1);
    }
    let over: u32 = callers.values().map(|callers| callers.saturating_sub(limit as u32)).sum();
    let all: u32 = callers.values().sum();
    assert_eq!(callers.len(), endpoints);
    assert!(f64::from(over) <= 0.03 * f64::from(all), "{over} of {all} exceed the connection limits");
}

#[test]
fn a_leaving_endpoint_is_replaced_by_exactly_one_other() {
    let mut rng = Pcg64Mcg::new(47);
    let mut relay = relay(5, 40);
    relay.set_limits(limits(500, false));
    let before = called(&relay, &mut rng);
    let gone = *before.iter().next().expect("an endpoint");
    let mut leaving = relay.get(gone).expect("is known").instance.clone();
    leaving.stage = Stage::Draining;
    relay.update(at(10), leaving);
    let after = called(&relay, &mut rng);
    assert!(!after.contains(&gone));
    assert_eq!(after.difference(&before).count(), 1, "exactly one endpoint replaces it");
    assert_eq!(before.difference(&after).count(), 1, "all others stay");
}

#[test]
fn connections_are_unlimited_without_a_limit_or_relay_count() {
    let mut relay = relay(1, 3);
    let key = relay.key("i-0").expect("is known");
    assert_eq!(relay.connection_share(key), u32::MAX);
    relay.set_limits(limits(100, true));
    assert_eq!(relay.connection_share(key), u32::MAX);
    relay.set_relays(10);
    assert_eq!(relay.connection_share(key), 9);
    relay.set_relays(400);
    assert_eq!(relay.connection_share(key), 1, "at least one");
}

#[test]
fn a_remote_zone_is_called_once_the_local_load_outweighs_the_distance() {
    let mut relay = Endpoints::new("z0", "edge");
    relay.update(at(0), instance(0));
    relay.update(at(0), instance(1));
    let (near, far) = (relay.key("i-0").expect("is known"), relay.key("i-1").expect("is known"));
    let requirements = CallRequirements { service: SERVICE, ..CallRequirements::default() };
    let occupy =
        |relay: &mut Endpoints, calls: u32| (0..calls).for_each(|_| relay.get_mut(near).expect("").begin());
    occupy(&mut relay, 4);
    assert_eq!(
        relay.choose(at(0), &requirements, 0.0),
        Some(far),
        "3 ms are less than the cost of four calls"
    );
    relay.connected(near, Duration::from_millis(1));
    relay.connected(far, Duration::from_millis(81));
    assert_eq!(
        relay.choose(at(0), &requirements, 0.0),
        Some(near),
        "80 ms are more than the cost of four calls"
    );
    occupy(&mut relay, 12);
    assert_eq!(relay.choose(at(0), &requirements, 0.0), Some(far));
}
