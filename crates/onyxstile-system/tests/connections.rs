//! The connections that relays hold to endpoints: shared by all, evenly spread, never more than an endpoint takes.

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

/// A relay that is equally far from all endpoints.
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

/// All endpoints that a relay calls for tools while nothing is wrong.
fn called(relay: &Endpoints, rng: &mut Pcg64Mcg) -> HashSet<EndpointKey> {
    let requirements = CallRequirements { service: SERVICE, ..CallRequirements::default() };
    (0..400).filter_map(|_| relay.choose(at(0), &requirements, random_unit(rng))).collect()
}

/// A relay takes up calls for as long as it finds an endpoint to which it may hold one more connection.
fn take_up_all(relay: &mut Endpoints, rng: &mut Pcg64Mcg) {
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
fn all_relays_together_hold_no_more_connections_than_an_endpoint_takes() {
    let mut rng = Pcg64Mcg::new(41);
    for _ in 0..60 {
        let relays = 1 + rng.next_u32() as usize % 80;
        let endpoints = 1 + rng.next_u32() as usize % 8;
        let most = relays as u64 * 10 / 9 + 1 + u64::from(rng.next_u32() % 400);
        let mut held = vec![0; endpoints];
        for number in 0..relays {
            let mut relay = relay(number, endpoints);
            relay.set_relays(relays as u32);
            relay.set_limits(limits(most, false));
            take_up_all(&mut relay, &mut rng);
            for (endpoint, held) in held.iter_mut().enumerate() {
                let key = relay.key(&format!("i-{endpoint}")).expect("is known");
                *held += u64::from(relay.get(key).expect("is known").in_flight());
            }
        }
        let busiest = held.iter().max().expect("an endpoint");
        assert!(*busiest <= most, "{relays} relays hold {held:?} of {most}");
        assert!(held.iter().all(|held| held * 2 >= most.min(relays as u64)), "{held:?} of {most}");
    }
}

#[test]
fn subsets_spread_the_relays_evenly_and_keep_connections_few() {
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
    assert_eq!(callers.len(), endpoints, "each endpoint is called by somebody");
    assert!(callers.values().all(|callers| f64::from(*callers) <= bound), "{callers:?}, bound {bound:.1}");
}

#[test]
fn where_endpoints_take_fewer_connections_than_there_are_relays_each_relay_calls_some_of_them() {
    let (relays, endpoints, most) = (90, 30, 40);
    let mut rng = Pcg64Mcg::new(53);
    let mut callers: HashMap<EndpointKey, u32> = HashMap::new();
    for number in 0..relays {
        let mut relay = relay(number, endpoints);
        relay.set_relays(relays as u32);
        relay.set_limits(limits(most, true));
        let called = called(&relay, &mut rng);
        assert!(called.len() >= 2, "a relay calls {}", called.len());
        called.iter().for_each(|key| *callers.entry(*key).or_default() += 1);
    }
    let over: u32 = callers.values().map(|callers| callers.saturating_sub(most as u32)).sum();
    let all: u32 = callers.values().sum();
    assert_eq!(callers.len(), endpoints);
    assert!(f64::from(over) <= 0.03 * f64::from(all), "{over} of {all} are over what endpoints take");
}

#[test]
fn an_endpoint_that_leaves_is_replaced_by_one_other_and_moves_no_third() {
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
    assert_eq!(after.difference(&before).count(), 1, "one takes its place");
    assert_eq!(before.difference(&after).count(), 1, "all others stay");
}

#[test]
fn a_relay_that_knows_no_limit_or_no_count_is_not_bound() {
    let mut relay = relay(1, 3);
    let key = relay.key("i-0").expect("is known");
    assert_eq!(relay.connection_share(key), u32::MAX);
    relay.set_limits(limits(100, true));
    assert_eq!(relay.connection_share(key), u32::MAX);
    relay.set_relays(10);
    assert_eq!(relay.connection_share(key), 9);
    relay.set_relays(400);
    assert_eq!(relay.connection_share(key), 1, "one at the least");
}

#[test]
fn a_far_zone_is_called_once_the_near_one_is_busier_than_the_way_is_long() {
    let mut relay = Endpoints::new("z0", "edge");
    relay.update(at(0), instance(0));
    relay.update(at(0), instance(1));
    let (near, far) = (relay.key("i-0").expect("is known"), relay.key("i-1").expect("is known"));
    let requirements = CallRequirements { service: SERVICE, ..CallRequirements::default() };
    let occupy =
        |relay: &mut Endpoints, calls: u32| (0..calls).for_each(|_| relay.get_mut(near).expect("").begin());
    occupy(&mut relay, 4);
    assert_eq!(relay.choose(at(0), &requirements, 0.0), Some(far), "3 ms are less than four calls cost");
    relay.connected(near, Duration::from_millis(1));
    relay.connected(far, Duration::from_millis(81));
    assert_eq!(relay.choose(at(0), &requirements, 0.0), Some(near), "80 ms are more");
    occupy(&mut relay, 12);
    assert_eq!(relay.choose(at(0), &requirements, 0.0), Some(far));
}
