//! Delays between attempts.

use std::time::Duration;

/// Delay after the first attempt.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Longest delay: what a restart adds at most to the time for which the resource was taken.
const LONGEST_DELAY: Duration = Duration::from_millis(320);

/// Doubling delays up to a limit.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    delay: Duration,
}

impl RetrySchedule {
    /// The delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        self.delay = (self.delay * 2).clamp(FIRST_DELAY, LONGEST_DELAY);
        self.delay
    }
}
