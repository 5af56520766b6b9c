//! Where a call is sent next, and how long the endpoint there may be silent.

use std::time::Duration;

use super::sending::Sending;
use crate::balance::{CallRequirements, EndpointKey};

/// A call that may be repeated is given up at an endpoint after this many times the usual latency there.
const SILENCE_FACTOR: f64 = 5.0;

impl Sending {
    /// Another endpoint if the route allows one more, else one of those that it was sent to.
    pub(super) fn choose(&self) -> Option<EndpointKey> {
        let node = &self.node;
        let is_used_up = self.tried.len() >= self.call.route.max_attempts as usize;
        let only = is_used_up.then_some(self.tried.as_slice());
        let program = self.call.turn.as_ref().map(|turn| turn.program.as_str());
        let mut requirements = CallRequirements {
            service: &self.call.service,
            parts: &self.call.parts,
            program,
            may_repeat: self.may_go_on(),
            excluded: &self.failed,
            only,
        };
        let endpoints = node.endpoints.borrow();
        let (now, random) = (node.clock.now(), node.roll());
        endpoints.choose(now, &requirements, random).or_else(|| {
            requirements.excluded = &[];
            endpoints.choose(now, &requirements, random)
        })
    }

    /// How long an endpoint may be silent: a call that can go elsewhere does not wait for its end.
    pub(super) fn patience(&self, key: EndpointKey) -> Duration {
        let left = self.call.left(self.node.clock.now());
        let has_others = self.tried.len() + 1 < self.call.route.max_attempts as usize;
        if !self.may_go_on() || !has_others {
            return left;
        }
        let usual = self.node.endpoints.borrow().get(key).map_or(0.0, |endpoint| endpoint.latency_ms());
        let usual = Duration::from_secs_f64(usual * SILENCE_FACTOR / 1000.0);
        let aim = if self.call.is_stream() { self.call.aim() * 4 } else { self.call.aim() * 3 / 2 };
        usual.max(aim).min(left)
    }
}
