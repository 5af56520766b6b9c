//! The endpoints as one relay knows them, and the choice among them. Pure.
//!
//! Health is what calls show. An endpoint that can't be reached is passed over for a while that doubles, then one call at a
//! time tries it; one that fails part of its calls costs more by the worth of what may be lost there. Registration says who exists and who
//! leaves; an incarnation that leaves is never chosen again.

mod affinity;
mod connections;
mod cost;
mod directory;
mod endpoint;
mod health;
mod pool;
mod prefix_shares;
mod streams;
mod zone_delays;

use affinity::Affinity;
pub use connections::ConnectionLimit;
use connections::Connections;
use cost::Prompt;
pub use endpoint::Endpoint;
use endpoint::{Occupancy, UNKNOWN_LATENCY_MS};
pub use health::Health;
use prefix_shares::PrefixShares;
use streams::StreamStats;
pub use streams::{EVENTS_PER_SAMPLE, PendingStream};
use zone_delays::ZoneDelays;

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
const SAMPLE_SIZE: usize = 3;
/// This part of the calls that may be repeated goes wherever it would without evidence of failures.
const PROBE_FRACTION: f64 = 0.05;

/// What a call needs.
#[derive(Debug, Clone, Default)]
pub struct CallRequirements<'a> {
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
    prefix_shares: PrefixShares,
    connections: Connections,
    zone_delays: ZoneDelays,
    streams: HashMap<String, StreamStats>,
    relay: u64,
}

impl Endpoints {
    /// A relay in `zone` that knows no endpoint. Relays with different names call different subsets of a tool service.
    pub fn new(zone: &str, name: &str) -> Endpoints {
        Endpoints {
            zone_delays: ZoneDelays::new(zone),
            relay: xxh3_64(name.as_bytes()),
            ..Endpoints::default()
        }
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
            self.zone_delays.note(&endpoint.instance.zone, time);
        }
    }

    /// A prompt is about to be sent for the first time.
    pub fn note_prompt(&mut self, parts: &[Part]) {
        if let Some(first) = parts.first() {
            self.prefix_shares.note(first.chain);
        }
    }

    /// What this relay's calls show of endpoints under suspicion, to be told to other relays.
    pub fn evidence(&self, now: Instant) -> Vec<Evidence> {
        let callable = self.slots.values().filter(|endpoint| endpoint.may_be_called());
        evidence::most_failed(callable.filter_map(|endpoint| endpoint.evidence(now)).collect())
    }

    /// What all relays' calls show of endpoints under suspicion.
    pub fn merge_evidence(&mut self, now: Instant, reported: &[Evidence]) {
        for evidence in reported {
            let key = self.by_id.get(&evidence.instance);
            if let Some(endpoint) = key.and_then(|key| self.slots.get_mut(*key)) {
                endpoint.health.merge_evidence(now, evidence.tally(now));
            }
        }
    }

    /// The endpoint that is expected to answer first; `roll` in 0..1 breaks ties.
    pub fn choose(
        &self, now: Instant, requirements: &CallRequirements<'_>, random: f64,
    ) -> Option<EndpointKey> {
        let is_probe = is_probe(requirements, random);
        let pool = self.pool(now, requirements);
        let pool = if is_probe { pool } else { self.trusted(now, requirements, pool) };
        let typical = self.mean_occupancy(now, &pool);
        let compared = if requirements.parts.is_empty() { SAMPLE_SIZE.min(pool.len()) } else { pool.len() };
        let offset = (random * pool.len() as f64) as usize;
        let stride = stride(pool.len(), random);
        let rotated = (0..compared).map(|index| pool[(offset + index * stride) % pool.len()]);
        let mut costs: Vec<(f64, EndpointKey)> = if requirements.parts.is_empty() {
            let latency = self.mean_latency(&pool);
            rotated.map(|key| (self.tool_cost(now, key, typical, latency), key)).collect()
        } else {
            self.prompt_costs(now, requirements, &pool, rotated, typical)
        };
        if !is_probe {
            let loss = cost::loss(requirements.may_repeat);
            costs.iter_mut().for_each(|(cost, key)| *cost += self.slots[*key].suspicion(now) * loss);
        }
        let cheaper = |left: &(f64, EndpointKey), right: &(f64, EndpointKey)| left.0.total_cmp(&right.0);
        costs.into_iter().min_by(cheaper).map(|(_, key)| key)
    }

    /// What those endpoints have on average that told of it lately.
    fn mean_occupancy(&self, now: Instant, pool: &[EndpointKey]) -> Occupancy {
        let reported: Vec<Occupancy> = pool.iter().filter_map(|key| self.slots[*key].reported(now)).collect();
        Occupancy::mean(&reported)
    }

    fn base_cost(&self, endpoint: &Endpoint) -> f64 {
        cost::base(endpoint, self.zone_delays.extra_ms(&endpoint.instance.zone))
    }

    /// The mean latency, in ms, of those endpoints that have answered.
    fn mean_latency(&self, pool: &[EndpointKey]) -> f64 {
        let known: Vec<f64> = pool.iter().filter_map(|key| self.slots[*key].measured_latency_ms()).collect();
        if known.is_empty() { UNKNOWN_LATENCY_MS } else { known.iter().sum::<f64>() / known.len() as f64 }
    }

    /// The cost of a call of a tool; one that has not answered yet is expected to take as long as the others.
    fn tool_cost(&self, now: Instant, key: EndpointKey, typical: Occupancy, latency: f64) -> f64 {
        let endpoint = &self.slots[key];
        let latency = endpoint.measured_latency_ms().unwrap_or(latency);
        self.base_cost(endpoint) + cost::tool(endpoint, endpoint.occupancy(now, typical), latency)
    }

    fn prompt_costs(
        &self, now: Instant, requirements: &CallRequirements<'_>, pool: &[EndpointKey],
        order: impl Iterator<Item = EndpointKey>, typical: Occupancy,
    ) -> Vec<(f64, EndpointKey)> {
        let affinity = self.affinity(pool, requirements);
        let held: Vec<(EndpointKey, u64)> =
            order.map(|key| (key, self.slots[key].cache.held(requirements.parts))).collect();
        let most_held = held.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0);
        let prompt = Prompt::new(requirements.parts, &affinity, most_held);
        let cost = |(key, known): (EndpointKey, u64)| {
            let endpoint = &self.slots[key];
            let load_cost = cost::load_cost(endpoint, endpoint.occupancy(now, typical));
            (self.base_cost(endpoint) + prompt.read_cost(key, known) + load_cost, key)
        };
        held.into_iter().map(cost).collect()
    }

    fn affinity(&self, pool: &[EndpointKey], requirements: &CallRequirements<'_>) -> Affinity {
        let Some(first) = requirements.parts.first() else { return Affinity::default() };
        let in_local_zone = self.in_local_zone(pool);
        let eligible =
            if in_local_zone.len() < self.local_endpoints_min(pool) { pool } else { &in_local_zone };
        let endpoints: Vec<(EndpointKey, &str)> =
            eligible.iter().map(|key| (*key, self.slots[*key].instance.id.as_str())).collect();
        let count = self.prefix_shares.preferred_count(first.chain, eligible.len());
        Affinity::rank(&endpoints, first.chain, requirements.program, count)
    }
}

/// Whether a call is to show how endpoints are that others avoid: some of those that may be repeated.
fn is_probe(requirements: &CallRequirements<'_>, random: f64) -> bool {
    requirements.may_repeat && (random * 1e3).fract() < PROBE_FRACTION
}

/// A step through `length` places that meets each of them once, different from call to call.
fn stride(length: usize, random: f64) -> usize {
    let wanted = 1 + (random * 1e6) as usize % length.max(1);
    (wanted..wanted + length).find(|step| greatest_common_divisor(*step, length) == 1).unwrap_or(1)
}

fn greatest_common_divisor(left: usize, right: usize) -> usize {
    if right == 0 { left } else { greatest_common_divisor(right, left % right) }
}
