//! Cost of a call at an endpoint: expected time in ms beyond the time that the call takes at any endpoint. Performs no
//! I/O.

use super::EndpointKey;
use super::affinity::Affinity;
use super::endpoint::{Endpoint, Occupancy};
use crate::prefix::{Part, tokens};

/// Assumed prompt reading speed, in tokens per ms: the order of magnitude of a large model on one accelerator.
const READ_TOKENS_PER_MS: f64 = 38.0;
/// Cost of one more running request to the others, in ms.
const RUNNING_COST_MS: f64 = 3.0;
/// Cost of a prompt that waits to be read to those behind it, in ms: the reading time of a thousand new tokens.
const WAITING_COST_MS: f64 = 25.0;
/// Waiting time behind a full endpoint, in ms for each request ahead.
const QUEUEING_COST_MS: f64 = 40.0;
/// Cost of an endpoint that has missed its heartbeats, in ms; it may still be serving.
const SILENCE_COST_MS: f64 = 200.0;
/// Fraction of the shared first part that a preferred endpoint is assumed to have cached because of other relays'
/// calls.
const AFFINITY_CONFIDENCE: f64 = 0.8;
/// Gain of a program's first turn at the program's preferred endpoint, in ms. Later turns arrive through other relays
/// half of the time, and elsewhere a prompt of about two thousand tokens would have to be read again.
const PROGRAM_AFFINITY_GAIN_MS: f64 = 30.0;
/// Cost of losing a call that must not run twice, in ms: its program fails or has to repeat the whole turn.
const LOSS_COST_MS: f64 = 1500.0;
/// Cost of losing a call that can be sent again, in ms.
const REPEAT_COST_MS: f64 = 200.0;
/// Relative slowdown of a tool call when all slots of the endpoint are taken, compared with an idle endpoint.
const TOOL_SLOWDOWN: f64 = 0.3;

/// A prompt and the data that its costs are computed from.
pub(super) struct Prompt<'a> {
    parts: &'a [Part],
    affinity: &'a Affinity,
    /// Whether an endpoint is known to have more than the first part cached.
    is_continuation_cached: bool,
}

impl<'a> Prompt<'a> {
    /// Creates the data for a prompt; `max_cached` is the largest number of its tokens that an endpoint is known to have
    /// cached.
    pub(super) fn new(parts: &'a [Part], affinity: &'a Affinity, max_cached: u64) -> Prompt<'a> {
        let first = parts.first().map_or(0, |part| u64::from(part.tokens));
        Prompt { parts, affinity, is_continuation_cached: max_cached > first }
    }

    /// Expected number of cached tokens at an endpoint that is known to have cached `cached` of them.
    fn expected_cached(&self, key: EndpointKey, cached: u64) -> f64 {
        let mut expected = cached as f64;
        if self.affinity.is_preferred_for_prefix(key) {
            expected = expected.max(AFFINITY_CONFIDENCE * tokens(&self.parts[..1]) as f64);
        }
        if self.affinity.is_preferred_for_program(key) && !self.is_continuation_cached && self.parts.len() > 2
        {
            // The last part is new in this turn; the earlier parts were sent to the program's preferred endpoint
            // through another relay.
            expected = expected.max(AFFINITY_CONFIDENCE * tokens(&self.parts[..self.parts.len() - 1]) as f64);
        }
        expected
    }

    /// Cost of reading the prompt, in ms, at an endpoint that is known to have cached `cached` of its tokens.
    pub(super) fn read_cost(&self, key: EndpointKey, cached: u64) -> f64 {
        let all = tokens(self.parts) as f64;
        let is_first_turn = self.parts.len() <= 2;
        let gain = if is_first_turn && self.affinity.is_preferred_for_program(key) {
            PROGRAM_AFFINITY_GAIN_MS
        } else {
            0.0
        };
        (all - self.expected_cached(key, cached)).max(0.0) / READ_TOKENS_PER_MS - gain
    }
}

/// Cost of any call to an endpoint with a round-trip time of `distance` ms.
pub(super) fn base(endpoint: &Endpoint, distance: f64) -> f64 {
    let silence = if endpoint.instance.is_silent { SILENCE_COST_MS } else { 0.0 };
    let warmup = (endpoint.instance.warmup_left_ms as f64).min(1000.0) * 0.1;
    distance + silence + warmup
}

/// Cost of losing a call, in ms.
pub(super) fn loss(may_repeat: bool) -> f64 {
    if may_repeat { REPEAT_COST_MS } else { LOSS_COST_MS }
}

/// Requests beyond the endpoint's capacity after one more arrives.
fn queued(endpoint: &Endpoint, occupancy: Occupancy) -> f64 {
    (occupancy.total() + 1.0 - f64::from(endpoint.instance.capacity)).max(0.0)
}

/// Cost of an endpoint's current load for a call with a prompt, in ms.
pub(super) fn load_cost(endpoint: &Endpoint, occupancy: Occupancy) -> f64 {
    let queued = queued(endpoint, occupancy);
    occupancy.running * RUNNING_COST_MS + occupancy.waiting * WAITING_COST_MS + queued * QUEUEING_COST_MS
}

/// Expected time of a tool call, in ms, at an endpoint that answers in `latency` ms when idle.
pub(super) fn tool(endpoint: &Endpoint, occupancy: Occupancy, latency: f64) -> f64 {
    let capacity = f64::from(endpoint.instance.capacity);
    let queued = queued(endpoint, occupancy);
    latency * (1.0 + TOOL_SLOWDOWN * occupancy.total() / capacity + queued / capacity)
}
