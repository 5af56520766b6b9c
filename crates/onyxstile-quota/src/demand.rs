//! How much a customer hands in here, as of lately.
//!
//! Two means are kept. The slow one is what counts: messages do not come evenly, and units that follow each cluster are moved for
//! nothing. Where the quick one is further from it than chance would have it, traffic has come or gone, and the quick one counts.

use std::time::Duration;

/// Time constants of the two, seconds: so long after traffic has moved on, a third of it is still seen.
const QUICK: f64 = 0.15;
const SLOW: f64 = 0.6;
/// Deviations of the quick mean that are still chance.
const CHANCE: f64 = 2.0;
/// Under so many messages a second nothing is handed in.
const LEAST: f64 = 0.02;

/// A rate of messages that decays.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    quick: f64,
    slow: f64,
    at: Duration,
}

impl Demand {
    fn means(&self, now: Duration) -> (f64, f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (self.quick * (-passed / QUICK).exp(), self.slow * (-passed / SLOW).exp())
    }

    /// So many messages were handed in, taken or not.
    pub fn came(&mut self, messages: u32, now: Duration) {
        let ((quick, slow), more) = (self.means(now), f64::from(messages));
        *self = Demand { quick: quick + more / QUICK, slow: slow + more / SLOW, at: now };
    }

    /// Messages a second.
    pub fn rate(&self, now: Duration) -> f64 {
        let (quick, slow) = self.means(now);
        // Deviations, and the step that two messages make.
        let chance = CHANCE * (slow / (2.0 * QUICK)).sqrt() + 2.0 / QUICK;
        let rate = if (quick - slow).abs() > chance { quick } else { slow };
        if rate < LEAST { 0.0 } else { rate }
    }
}
