//! The endpoints as one relay knows them, and the choice among them. Pure.
//!
//! Health is what calls show. An endpoint that can't be reached is passed over for a while that doubles, then one call at a
//! time tries it; one that fails part of its calls costs more by the worth of what may be lost there. Registration says who exists and who
//! leaves; an incarnation that leaves is never chosen again.

mod connections;
mod cost;
mod directory;
mod distances;
mod endpoint;
mod health;
mod homes;
mod pool;
mod shares;
mod streams;

pub use connections::ConnectionLimit;
use connections::Connections;
use cost::Prompt;
use distances::Distances;
pub use endpoint::Endpoint;
use endpoint::{Occupancy, UNKNOWN_LATENCY_MS};
pub use health::Health;
use homes::Homes;
use shares::Shares;
use streams::Shown;
pub use streams::{EVENTS_NOTED, Expected};

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::evidence::{self, Evidence};
use crate::prefix::Part;

new_key_type! {
    /// Names an endpoint's incarnation inside this relay.
    pub struct EndpointKey;
}

/// Endpoints without a prompt's cost are compared in samples of this size: relays that all know the same of all
/// endpoints would all choose the same one.
const SAMPLE: usize = 3;
/// This part of the calls that may be repeated goes wherever it would without evidence of failures.
const TRIAL_PART: f64 = 0.05;

/// What a call needs.
#[derive(Debug, Clone, Default)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// The parts of its prompt; none for calls of tools.
    pub parts: &'a [Part],
    /// The program that it belongs to, if any.
    pub program: Option<&'a str>,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointKey],
    /// The only endpoints that may be chosen, once a try has used up its attempts.
    pub only: Option<&'a [EndpointKey]>,
}

/// All endpoints that a relay knows.
#[derive(Default)]
pub struct Endpoints {
    slots: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<String, EndpointKey>,
    by_service: HashMap<String, Vec<EndpointKey>>,
    shares: Shares,
    connections: Connections,
    distances: Distances,
    shown: HashMap<String, Shown>,
    relay: u64,
}

impl Endpoints {
    /// A relay in `zone` that knows no endpoint. Relays with different names call different subsets of a tool service.
    pub fn new(zone: &str, name: &str) -> Endpoints {
        Endpoints { distances: Distances::new(zone), relay: xxh3_64(name.as_bytes()), ..Endpoints::default() }
    }

    /// How many relays share the endpoints' connections, this one among them.
    pub fn set_relays(&mut self, relays: u32) {
        self.connections.set_relays(relays);
    }

    /// What the endpoints of each service take.
    pub fn set_limits(&mut self, limits: HashMap<String, ConnectionLimit>) {
        self.connections.set_limits(limits);
    }

    /// The connections that this relay may hold to an endpoint, in use and at rest.
    pub fn connection_share(&self, key: EndpointKey) -> u32 {
        let service = self.slots.get(key).map_or("", |endpoint| endpoint.instance.service.as_str());
        self.connections.share(service, self.keys(service).len())
    }

    /// A connection to an endpoint came up in `time`.
    pub fn connected(&mut self, key: EndpointKey, time: Duration) {
        if let Some(endpoint) = self.slots.get(key) {
            self.distances.note(&endpoint.instance.zone, time);
        }
    }

    /// A prompt is about to be sent for the first time.
    pub fn note_prompt(&mut self, parts: &[Part]) {
        if let Some(first) = parts.first() {
            self.shares.note(first.chain);
        }
    }

    /// What this relay's calls show of endpoints under suspicion, to be told to other relays.
    pub fn evidence(&self, now: Instant) -> Vec<Evidence> {
        let callable = self.slots.values().filter(|endpoint| endpoint.may_be_called());
        evidence::heaviest(callable.filter_map(|endpoint| endpoint.evidence(now)).collect())
    }

    /// What all relays' calls show of endpoints under suspicion.
    pub fn hear(&mut self, now: Instant, told: &[Evidence]) {
        for evidence in told {
            let key = self.by_id.get(&evidence.instance);
            if let Some(endpoint) = key.and_then(|key| self.slots.get_mut(*key)) {
                endpoint.health.hear(now, evidence.tally(now));
            }
        }
    }

    /// The endpoint that is expected to answer first; `roll` in 0..1 breaks ties.
    pub fn choose(&self, now: Instant, need: &Need<'_>, roll: f64) -> Option<EndpointKey> {
        let is_trial = is_trial(need, roll);
        let pool = self.pool(now, need);
        let pool = if is_trial { pool } else { self.trusted(now, need, pool) };
        let usual = self.usual_occupancy(now, &pool);
        let compared = if need.parts.is_empty() { SAMPLE.min(pool.len()) } else { pool.len() };
        let offset = (roll * pool.len() as f64) as usize;
        let stride = stride(pool.len(), roll);
        let rotated = (0..compared).map(|index| pool[(offset + index * stride) % pool.len()]);
        let mut costs: Vec<(f64, EndpointKey)> = if need.parts.is_empty() {
            let latency = self.usual_latency(&pool);
            rotated.map(|key| (self.tool_cost(now, key, usual, latency), key)).collect()
        } else {
            self.prompt_costs(now, need, &pool, rotated, usual)
        };
        if !is_trial {
            let loss = cost::loss(need.may_repeat);
            costs.iter_mut().for_each(|(cost, key)| *cost += self.slots[*key].suspicion(now) * loss);
        }
        let cheaper = |left: &(f64, EndpointKey), right: &(f64, EndpointKey)| left.0.total_cmp(&right.0);
        costs.into_iter().min_by(cheaper).map(|(_, key)| key)
    }

    /// What those endpoints have on average that told of it lately.
    fn usual_occupancy(&self, now: Instant, pool: &[EndpointKey]) -> Occupancy {
        let told: Vec<Occupancy> = pool.iter().filter_map(|key| self.slots[*key].told(now)).collect();
        Occupancy::mean(&told)
    }

    fn base_cost(&self, endpoint: &Endpoint) -> f64 {
        cost::base(endpoint, self.distances.to(&endpoint.instance.zone))
    }

    /// The mean latency, in ms, of those endpoints that have answered.
    fn usual_latency(&self, pool: &[EndpointKey]) -> f64 {
        let known: Vec<f64> = pool.iter().filter_map(|key| self.slots[*key].known_latency_ms()).collect();
        if known.is_empty() { UNKNOWN_LATENCY_MS } else { known.iter().sum::<f64>() / known.len() as f64 }
    }

    /// The cost of a call of a tool; one that has not answered yet is expected to take as long as the others.
    fn tool_cost(&self, now: Instant, key: EndpointKey, usual: Occupancy, latency: f64) -> f64 {
        let endpoint = &self.slots[key];
        let latency = endpoint.known_latency_ms().unwrap_or(latency);
        self.base_cost(endpoint) + cost::tool(endpoint, endpoint.occupancy(now, usual), latency)
    }

    fn prompt_costs(
        &self, now: Instant, need: &Need<'_>, pool: &[EndpointKey], order: impl Iterator<Item = EndpointKey>,
        usual: Occupancy,
    ) -> Vec<(f64, EndpointKey)> {
        let homes = self.homes(pool, need);
        let held: Vec<(EndpointKey, u64)> =
            order.map(|key| (key, self.slots[key].cache.held(need.parts))).collect();
        let most_held = held.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0);
        let prompt = Prompt::new(need.parts, &homes, most_held);
        let cost = |(key, known): (EndpointKey, u64)| {
            let endpoint = &self.slots[key];
            let crowding = cost::crowding(endpoint, endpoint.occupancy(now, usual));
            (self.base_cost(endpoint) + prompt.reading(key, known) + crowding, key)
        };
        held.into_iter().map(cost).collect()
    }

    fn homes(&self, pool: &[EndpointKey], need: &Need<'_>) -> Homes {
        let Some(first) = need.parts.first() else { return Homes::default() };
        let near = self.near(pool);
        let eligible = if near.len() < self.fewest_near(pool) { pool } else { &near };
        let endpoints: Vec<(EndpointKey, &str)> =
            eligible.iter().map(|key| (*key, self.slots[*key].instance.id.as_str())).collect();
        let count = self.shares.homes(first.chain, eligible.len());
        Homes::choose(&endpoints, first.chain, need.program, count)
    }
}

/// Whether a call is to show how endpoints are that others avoid: some of those that may be repeated.
fn is_trial(need: &Need<'_>, roll: f64) -> bool {
    need.may_repeat && (roll * 1e3).fract() < TRIAL_PART
}

/// A step through `length` places that meets each of them once, different from call to call.
fn stride(length: usize, roll: f64) -> usize {
    let wanted = 1 + (roll * 1e6) as usize % length.max(1);
    (wanted..wanted + length).find(|step| greatest_common_divisor(*step, length) == 1).unwrap_or(1)
}

fn greatest_common_divisor(left: usize, right: usize) -> usize {
    if right == 0 { left } else { greatest_common_divisor(right, left % right) }
}
