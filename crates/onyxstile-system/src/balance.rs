//! Endpoint table of one relay and endpoint selection. Performs no I/O.
//!
//! Health is derived from real calls. An unreachable endpoint is skipped for an exponentially growing backoff, then
//! probed by one call at a time. An endpoint that fails a share of its calls gets an additional cost, weighted by the
//! cost of losing the call. Registration determines which endpoints exist and which are leaving; an incarnation that is
//! leaving is never chosen again.

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
    /// Identifies an endpoint's incarnation within this relay.
    pub struct EndpointKey;
}

/// Number of endpoints compared for a call without a prompt. Comparing a random sample keeps relays with identical
/// information from all choosing the same endpoint.
const SAMPLE_SIZE: usize = 3;
/// Fraction of the repeatable calls that ignores evidence of failures, so that suspected endpoints keep being probed.
const PROBE_FRACTION: f64 = 0.05;

/// Requirements of a call on its endpoint.
#[derive(Debug, Clone, Default)]
pub struct CallRequirements<'a> {
    /// Service to call.
    pub service: &'a str,
    /// Parts of the prompt; empty for tool calls.
    pub parts: &'a [Part],
    /// Program that the call belongs to, if any.
    pub program: Option<&'a str>,
    /// Whether the call may run more than once.
    pub may_repeat: bool,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointKey],
    /// If set, only these endpoints may be chosen: the request has used up its attempts on new endpoints.
    pub only: Option<&'a [EndpointKey]>,
}

/// All endpoints known to a relay.
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
    /// Creates an empty table for a relay in `zone`. Relays with different names call different subsets of a tool
    /// service.
    pub fn new(zone: &str, name: &str) -> Endpoints {
        Endpoints {
            zone_delays: ZoneDelays::new(zone),
            relay: xxh3_64(name.as_bytes()),
            ..Endpoints::default()
        }
    }

    /// Sets the number of relays that share the endpoints' connections, including this one.
    pub fn set_relays(&mut self, relays: u32) {
        self.connections.set_relays(relays);
    }

    /// Sets the connection limits of each service's endpoints.
    pub fn set_limits(&mut self, limits: HashMap<String, ConnectionLimit>) {
        self.connections.set_limits(limits);
    }

    /// Maximum number of connections that this relay may hold to an endpoint, in use and idle.
    pub fn connection_share(&self, key: EndpointKey) -> u32 {
        let service = self.slots.get(key).map_or("", |endpoint| endpoint.instance.service.as_str());
        self.connections.share(service, self.keys(service).len())
    }

    /// Records that a connection to an endpoint was established in `time`.
    pub fn connected(&mut self, key: EndpointKey, time: Duration) {
        if let Some(endpoint) = self.slots.get(key) {
            self.zone_delays.note(&endpoint.instance.zone, time);
        }
    }

    /// Counts a prompt that is about to be sent for the first time.
    pub fn note_prompt(&mut self, parts: &[Part]) {
        if let Some(first) = parts.first() {
            self.prefix_shares.note(first.chain);
        }
    }

    /// Call results of this relay for suspected endpoints, to be reported to the other relays.
    pub fn evidence(&self, now: Instant) -> Vec<Evidence> {
        let callable = self.slots.values().filter(|endpoint| endpoint.may_be_called());
        evidence::most_failed(callable.filter_map(|endpoint| endpoint.evidence(now)).collect())
    }

    /// Applies the call results of all relays for suspected endpoints.
    pub fn merge_evidence(&mut self, now: Instant, reported: &[Evidence]) {
        for evidence in reported {
            let key = self.by_id.get(&evidence.instance);
            if let Some(endpoint) = key.and_then(|key| self.slots.get_mut(*key)) {
                endpoint.health.merge_evidence(now, evidence.tally(now));
            }
        }
    }

    /// Returns the endpoint with the lowest expected cost. `random`, in 0..1, selects the compared sample and breaks
    /// ties.
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

    /// Mean load of the endpoints that have reported their load recently.
    fn mean_occupancy(&self, now: Instant, pool: &[EndpointKey]) -> Occupancy {
        let reported: Vec<Occupancy> = pool.iter().filter_map(|key| self.slots[*key].reported(now)).collect();
        Occupancy::mean(&reported)
    }

    fn base_cost(&self, endpoint: &Endpoint) -> f64 {
        cost::base(endpoint, self.zone_delays.extra_ms(&endpoint.instance.zone))
    }

    /// Mean latency, in ms, of the endpoints that have answered.
    fn mean_latency(&self, pool: &[EndpointKey]) -> f64 {
        let measured: Vec<f64> =
            pool.iter().filter_map(|key| self.slots[*key].measured_latency_ms()).collect();
        if measured.is_empty() {
            UNKNOWN_LATENCY_MS
        } else {
            measured.iter().sum::<f64>() / measured.len() as f64
        }
    }

    /// Cost of a tool call. An endpoint that has not answered yet is assumed to be as fast as the others.
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
        let cached_by_endpoint: Vec<(EndpointKey, u64)> =
            order.map(|key| (key, self.slots[key].cache.held(requirements.parts))).collect();
        let max_cached = cached_by_endpoint.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0);
        let prompt = Prompt::new(requirements.parts, &affinity, max_cached);
        let cost = |(key, cached): (EndpointKey, u64)| {
            let endpoint = &self.slots[key];
            let load_cost = cost::load_cost(endpoint, endpoint.occupancy(now, typical));
            (self.base_cost(endpoint) + prompt.read_cost(key, cached) + load_cost, key)
        };
        cached_by_endpoint.into_iter().map(cost).collect()
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

/// Whether a call ignores evidence of failures: a fraction of the repeatable calls does.
fn is_probe(requirements: &CallRequirements<'_>, random: f64) -> bool {
    requirements.may_repeat && (random * 1e3).fract() < PROBE_FRACTION
}

/// A step size coprime to `length`, so that stepping visits each index once; it varies from call to call.
fn stride(length: usize, random: f64) -> usize {
    let wanted = 1 + (random * 1e6) as usize % length.max(1);
    (wanted..wanted + length).find(|step| greatest_common_divisor(*step, length) == 1).unwrap_or(1)
}

fn greatest_common_divisor(left: usize, right: usize) -> usize {
    if right == 0 { left } else { greatest_common_divisor(right, left % right) }
}
