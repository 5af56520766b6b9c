//! Monotonic time for code without I/O: the time since the process, or a simulated day, started.

use std::ops::Add;
use std::time::Duration;

/// A point in monotonic time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(Duration);

impl Instant {
    /// The time `milliseconds` after the start.
    pub fn from_millis(milliseconds: u64) -> Instant {
        Instant(Duration::from_millis(milliseconds))
    }

    /// The time `elapsed` after the start.
    pub fn from_elapsed(elapsed: Duration) -> Instant {
        Instant(elapsed)
    }

    /// Time from `earlier` to this time; zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    /// Stops at the latest time there is, since callers choose some deadlines.
    fn add(self, time: Duration) -> Instant {
        Instant(self.0.saturating_add(time))
    }
}

/// The monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    start: tokio::time::Instant,
}

impl SteadyClock {
    /// Creates a clock that starts now.
    pub fn start() -> SteadyClock {
        SteadyClock { start: tokio::time::Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        Instant(self.start.elapsed())
    }
}
