//! The time that a role has left once it has been told to end.

use std::cell::RefCell;
use std::time::Duration;

use crate::clock::{Instant, SteadyClock};
use crate::settings::{Settings, time_to_end};

/// How often it is looked whether the settings name another grace.
const LOOK: Duration = Duration::from_millis(100);

/// The shortest grace that the settings have named since SIGTERM. Whether the kill goes by the one at SIGTERM or by a later one
/// can't be known.
#[derive(Debug)]
pub struct ShortestGrace {
    told: Instant,
    grace: Duration,
}

impl ShortestGrace {
    /// SIGTERM came at `told`; the kill comes `grace` later.
    pub fn new(told: Instant, grace: Duration) -> ShortestGrace {
        ShortestGrace { told, grace }
    }

    /// The settings name a grace at `now`. One that is over already is not the kill's, or that had come.
    pub fn note(&mut self, now: Instant, grace: Duration) {
        if self.told + grace > now {
            self.grace = self.grace.min(grace);
        }
    }

    /// When SIGTERM came.
    pub fn told(&self) -> Instant {
        self.told
    }

    /// The grace that holds.
    pub fn grace(&self) -> Duration {
        self.grace
    }

    /// When the role ends at the latest.
    pub fn ends(&self) -> Instant {
        self.told + time_to_end(self.grace)
    }

    /// Waits for a time that a shorter grace brings forward; `noted` hears of each look.
    pub async fn reached(
        &mut self, settings: &RefCell<Settings>, clock: SteadyClock,
        time: impl Fn(&ShortestGrace) -> Instant, noted: impl Fn(&ShortestGrace),
    ) {
        loop {
            let now = clock.now();
            self.note(now, settings.borrow().grace());
            noted(self);
            let left = time(self).since(now);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(LOOK)).await;
        }
    }
}

#[cfg(test)]
mod tests;
