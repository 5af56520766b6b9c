//! Endpoint selection for the next send, and its silence timeout.

use std::time::Duration;

use super::call_sender::CallSender;
use crate::balance::{CallRequirements, EndpointKey};

/// Silence timeout of a repeatable call, as a multiple of the endpoint's usual latency.
const SILENCE_FACTOR: f64 = 5.0;

impl CallSender {
    /// Chooses a new endpoint if the route allows another attempt, otherwise one that the call was already sent to. Endpoints
    /// where the call failed are chosen only if there is no other.
    pub(super) fn choose_endpoint(&self) -> Option<EndpointKey> {
        let proxy = &self.proxy;
        let attempts_used_up = self.attempted.len() >= self.call.route.max_attempts as usize;
        let only = attempts_used_up.then_some(self.attempted.as_slice());
        let program = self.call.turn.as_ref().map(|turn| turn.program.as_str());
        let mut requirements = CallRequirements {
            service: &self.call.service,
            parts: &self.call.parts,
            program,
            may_repeat: self.may_resend(),
            excluded: &self.failed,
            only,
        };
        let endpoints = proxy.endpoints.borrow();
        let (now, fraction) = (proxy.clock.now(), proxy.random_fraction());
        endpoints.choose(now, &requirements, fraction).or_else(|| {
            requirements.excluded = &[];
            endpoints.choose(now, &requirements, fraction)
        })
    }

    /// How long an endpoint may be silent. A call that can be sent elsewhere does not wait until it expires.
    pub(super) fn silence_timeout(&self, key: EndpointKey) -> Duration {
        let left = self.call.remaining(self.proxy.clock.now());
        let has_others = self.attempted.len() + 1 < self.call.route.max_attempts as usize;
        if !self.may_resend() || !has_others {
            return left;
        }
        let usual = self.proxy.endpoints.borrow().get(key).map_or(0.0, |endpoint| endpoint.latency_ms());
        let usual = Duration::from_secs_f64(usual * SILENCE_FACTOR / 1000.0);
        let target = if self.call.is_stream() {
            self.call.target_latency() * 4
        } else {
            self.call.target_latency() * 3 / 2
        };
        usual.max(target).min(left)
    }
}
