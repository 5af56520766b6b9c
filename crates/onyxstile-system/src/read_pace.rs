//! Rate at which a process reads large answers, so that the work for them leaves time for others. Performs no I/O.

use std::time::Duration;

use crate::clock::Instant;

/// Rate of all large answers together, in bytes of cost per second.
const BYTES_PER_S: f64 = 32.0 * 1024.0 * 1024.0;
/// Reading may run ahead of the rate by what is read in this time.
const BURST: Duration = Duration::from_millis(100);

/// Pace of all large answers of a process.
#[derive(Debug, Default)]
pub struct ReadPace {
    /// Time at which everything read so far has been read at the rate.
    paid_until: Instant,
}

impl ReadPace {
    /// Records that `bytes` were read; returns the time to wait before the same answer is read on.
    pub fn delay(&mut self, now: Instant, bytes: usize) -> Duration {
        let cost = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
        self.paid_until = self.paid_until.max(now) + cost;
        self.paid_until.since(now).saturating_sub(BURST)
    }
}
