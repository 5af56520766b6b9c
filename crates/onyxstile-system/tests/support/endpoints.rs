//! Endpoints and relays shared by the tests of endpoint selection.

use onyxstile_system::balance::Endpoints;
use onyxstile_system::clock::Instant;
use onyxstile_system::prefix::{self, Part};
use onyxstile_system::registry::{Instance, Stage};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// The time `ms` after the start.
pub fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A registered endpoint of a service, in one of four zones.
pub fn instance(number: u32, service: &str) -> Instance {
    Instance {
        id: format!("i-{number}"),
        service: service.into(),
        address: ([10, 9, 0, number as u8], 80),
        zone: format!("z{}", number % 4),
        capacity: 32,
        stage: Stage::Ready,
        warmup_left_ms: 0,
        sequence: 1,
        is_silent: false,
    }
}

/// A relay with the given number of endpoints of the service `llm`.
pub fn relay(zone: &str, endpoints: u32) -> Endpoints {
    named_relay(zone, "relay", endpoints)
}

/// A relay with the given name.
pub fn named_relay(zone: &str, name: &str, endpoints: u32) -> Endpoints {
    let mut relay = Endpoints::new(zone, name);
    for number in 0..endpoints {
        relay.update(at(0), instance(number, "llm"));
    }
    relay
}

/// A random number in 0..1.
pub fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A prompt with a shared part and a session's own part.
pub fn prompt(shared_part: u32, session: u32) -> Vec<Part> {
    prefix::parse(&format!("{shared_part:x}:2560,{:x}:800", 100_000 + session))
}
