//! When a proxy that drains closes its listener and ends. Pure.

use std::time::Duration;

use crate::clock::Instant;
use crate::settings::time_to_end;

/// The platform takes a relay out after two misses, a second apart; until then clients still come.
const STILL_OFFERED: Duration = Duration::from_millis(2600);

/// The times of one drain.
#[derive(Debug)]
pub(super) struct DrainTimes {
    told: Instant,
    grace: Duration,
}

impl DrainTimes {
    /// SIGTERM came at `told`; the kill comes `grace` later.
    pub(super) fn new(told: Instant, grace: Duration) -> DrainTimes {
        DrainTimes { told, grace }
    }

    /// The settings name a grace now. Whether the kill goes by the one at SIGTERM or by this can't be known: the shortest holds.
    pub(super) fn note_grace(&mut self, grace: Duration) {
        self.grace = self.grace.min(grace);
    }

    /// When the listener closes.
    pub(super) fn closes(&self) -> Instant {
        self.told + STILL_OFFERED.min(self.grace / 2)
    }

    /// When the process ends at the latest.
    pub(super) fn ends(&self) -> Instant {
        self.told + time_to_end(self.grace)
    }
}

#[cfg(test)]
mod tests;
