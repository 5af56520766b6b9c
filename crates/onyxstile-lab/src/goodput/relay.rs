//! A relay of a play: what it knows of the endpoints, by the tier's own code.

use std::collections::HashMap;

use onyxstile_system::balance::{EndpointKey, Endpoints};
use onyxstile_system::clock::Instant;
use onyxstile_system::registry::{Instance, Stage};

use super::play::SERVICE;
use super::shape::Shape;

/// The way to an endpoint, there or back, in ms: in the relay's zone, and to another.
const NEAR_MS: f64 = 0.2;
const FAR_MS: f64 = 1.4;

/// One relay.
pub(super) struct Relay {
    pub(super) endpoints: Endpoints,
    pub(super) zone: usize,
    pub(super) keys: HashMap<EndpointKey, usize>,
}

impl Relay {
    pub(super) fn new(shape: &Shape, number: usize) -> Relay {
        let zone = number % shape.zones;
        let mut endpoints = Endpoints::new(&format!("z{zone}"), &format!("relay-{number}"));
        let mut keys = HashMap::new();
        for engine in 0..shape.engines {
            let instance = instance(shape, engine);
            let id = instance.id.clone();
            endpoints.update(Instant::default(), instance);
            if let Some(key) = endpoints.key(&id) {
                keys.insert(key, engine);
            }
        }
        Relay { endpoints, zone, keys }
    }

    pub(super) fn way_ms(&self, engine: usize, shape: &Shape) -> f64 {
        if engine % shape.zones == self.zone { NEAR_MS } else { FAR_MS }
    }
}

fn instance(shape: &Shape, engine: usize) -> Instance {
    Instance {
        id: format!("i-{engine}"),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], engine as u16 + 1),
        zone: format!("z{}", engine % shape.zones),
        capacity: shape.engine.batch as u32,
        stage: Stage::Ready,
        warmup_left_ms: 0,
        sequence: 1,
        is_silent: false,
    }
}
