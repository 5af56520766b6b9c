//! The relay's one clock: Unix time at its start, carried on by the monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A difference between two processes' clocks that no hand-over takes: the system's time was set.
const SET_FROM: Duration = Duration::from_secs(2);

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

    /// The same clock, off by so much: for rehearsals of clocks that differ, and of one that was set back.
    pub fn shifted(self, ms: i64) -> Self {
        let by = Duration::from_millis(ms.unsigned_abs());
        Clock { unix: if ms < 0 { self.unix.saturating_sub(by) } else { self.unix + by }, ..self }
    }

    /// A clock that goes on from another process' `now`. The system's time serves both, unless it was set meanwhile.
    pub fn continuing(now: Duration) -> Self {
        let clock = Clock::start();
        let apart = clock.unix.abs_diff(now);
        if apart < SET_FROM { clock } else { Clock { unix: now, ..clock } }
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
