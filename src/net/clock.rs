//! The relay's one clock: Unix time at its start, carried on by the monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Never runs backwards, whatever is done to the system's time meanwhile; what it says can be written down
/// and read again by a later process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// Now.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// The instant at which this clock says `time`; past times are all one.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time.saturating_sub(self.unix)
    }
}
