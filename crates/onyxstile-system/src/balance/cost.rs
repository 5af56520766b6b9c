//! What a call is expected to take at an endpoint, in ms beyond what it takes anywhere. Pure.

use super::EndpointKey;
use super::affinity::Affinity;
use super::endpoint::{Endpoint, Occupancy};
use crate::prefix::{Part, tokens};

/// Tokens that an endpoint reads in a ms, until more is known: of the order of a large model on one accelerator.
const READ_TOKENS_PER_MS: f64 = 38.0;
/// What one more running request costs the others, in ms.
const RUNNING_COST_MS: f64 = 3.0;
/// What a prompt that waits to be read costs those behind it, in ms: a thousand new tokens.
const WAITING_COST_MS: f64 = 25.0;
/// What a request behind a full endpoint waits, in ms for each that is ahead of it.
const QUEUEING_COST_MS: f64 = 40.0;
/// The cost of an endpoint that has missed its heartbeats, in ms; it may still serve.
const SILENCE_COST_MS: f64 = 200.0;
/// How far a relay trusts that a home holds what others are believed to have sent there.
const AFFINITY_CONFIDENCE: f64 = 0.8;
/// What a program's first turn gains at its own home, in ms: later turns come through other relays half of the time and
/// would have a prompt of some two thousand tokens read anew.
const PROGRAM_AFFINITY_GAIN_MS: f64 = 30.0;
/// What it costs to lose a call that must not run twice, in ms: its program fails, or has the whole turn run anew.
const LOSS_COST_MS: f64 = 1500.0;
/// What it costs to lose a call that is sent again, in ms.
const REPEAT_COST_MS: f64 = 200.0;
/// The share by which a call of a tool slows an endpoint that was idle until all its slots are taken.
const TOOL_SLOWDOWN: f64 = 0.3;

/// What is compared of one prompt.
pub(super) struct Prompt<'a> {
    parts: &'a [Part],
    affinity: &'a Affinity,
    /// Whether this relay knows an endpoint that holds more than the first part.
    is_continuation_cached: bool,
}

impl<'a> Prompt<'a> {
    /// A prompt with the most tokens of it that this relay knows some endpoint to hold.
    pub(super) fn new(parts: &'a [Part], affinity: &'a Affinity, most_held: u64) -> Prompt<'a> {
        let first = parts.first().map_or(0, |part| u64::from(part.tokens));
        Prompt { parts, affinity, is_continuation_cached: most_held > first }
    }

    /// Tokens that need not be read at an endpoint that is known to hold `known` of them.
    fn expected_held(&self, key: EndpointKey, known: u64) -> f64 {
        let mut expected = known as f64;
        if self.affinity.is_preferred_for_prefix(key) {
            expected = expected.max(AFFINITY_CONFIDENCE * tokens(&self.parts[..1]) as f64);
        }
        if self.affinity.is_preferred_for_program(key) && !self.is_continuation_cached && self.parts.len() > 2
        {
            // Its last part is new with this turn; what came before went to the program's home through another relay.
            expected = expected.max(AFFINITY_CONFIDENCE * tokens(&self.parts[..self.parts.len() - 1]) as f64);
        }
        expected
    }

    /// The cost of reading the prompt at an endpoint that is known to hold `known` tokens of it.
    pub(super) fn read_cost(&self, key: EndpointKey, known: u64) -> f64 {
        let all = tokens(self.parts) as f64;
        let is_first_turn = self.parts.len() <= 2;
        let gain = if is_first_turn && self.affinity.is_preferred_for_program(key) {
            PROGRAM_AFFINITY_GAIN_MS
        } else {
            0.0
        };
        (all - self.expected_held(key, known)).max(0.0) / READ_TOKENS_PER_MS - gain
    }
}

/// The cost for any call of an endpoint that is `distance` ms away, there and back.
pub(super) fn base(endpoint: &Endpoint, distance: f64) -> f64 {
    let silence = if endpoint.instance.is_silent { SILENCE_COST_MS } else { 0.0 };
    let warmup = (endpoint.instance.warmup_left_ms as f64).min(1000.0) * 0.1;
    distance + silence + warmup
}

/// The cost of a call that is lost.
pub(super) fn loss(may_repeat: bool) -> f64 {
    if may_repeat { REPEAT_COST_MS } else { LOSS_COST_MS }
}

/// Requests beyond an endpoint's capacity once one more has come.
fn queued(endpoint: &Endpoint, occupancy: Occupancy) -> f64 {
    (occupancy.total() + 1.0 - f64::from(endpoint.instance.capacity)).max(0.0)
}

/// The cost of what an endpoint is at work on for a call with a prompt.
pub(super) fn load_cost(endpoint: &Endpoint, occupancy: Occupancy) -> f64 {
    let queued = queued(endpoint, occupancy);
    occupancy.running * RUNNING_COST_MS + occupancy.waiting * WAITING_COST_MS + queued * QUEUEING_COST_MS
}

/// The time that a call of a tool takes at an endpoint that answers in `latency` ms while it is idle.
pub(super) fn tool(endpoint: &Endpoint, occupancy: Occupancy, latency: f64) -> f64 {
    let capacity = f64::from(endpoint.instance.capacity);
    let queued = queued(endpoint, occupancy);
    latency * (1.0 + TOOL_SLOWDOWN * occupancy.total() / capacity + queued / capacity)
}
