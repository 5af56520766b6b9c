//! Steady time as the pure parts see it: milliseconds since the process (or a simulated day) began.

use std::ops::Add;
use std::time::Duration;

/// A moment on the steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Instant(Duration);

impl Instant {
    /// The moment `milliseconds` after the start.
    pub fn from_millis(milliseconds: u64) -> Instant {
        Instant(Duration::from_millis(milliseconds))
    }

    /// The moment at which `elapsed` has passed since the start.
    pub fn from_elapsed(elapsed: Duration) -> Instant {
        Instant(elapsed)
    }

    /// Time from `earlier` to this moment; zero if it lies later.
    pub fn since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant(self.0 + time)
    }
}

/// Reads the steady clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    start: tokio::time::Instant,
}

impl SteadyClock {
    /// A clock that begins now.
    pub fn start() -> SteadyClock {
        SteadyClock { start: tokio::time::Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> Instant {
        Instant(self.start.elapsed())
    }
}
