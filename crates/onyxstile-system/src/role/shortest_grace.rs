//! Time left for a role after SIGTERM.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use super::shutdown::Shutdown;
use crate::clock::{Instant, SteadyClock};
use crate::settings::{Settings, shutdown_time};

/// Interval between checks for a changed grace period in the settings.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest grace period in the settings since SIGTERM. The platform may kill the process by the grace period at SIGTERM
/// or by a later one; which one applies is unknown.
#[derive(Debug)]
pub struct ShortestGrace {
    sigterm_at: Instant,
    grace: Cell<Duration>,
}

impl ShortestGrace {
    /// Creates the state for a SIGTERM at `sigterm_at`; the kill follows `grace` later.
    pub fn new(sigterm_at: Instant, grace: Duration) -> ShortestGrace {
        ShortestGrace { sigterm_at, grace: Cell::new(grace) }
    }

    /// Applies the grace period in the settings at `now`. One that has already expired is ignored: if it applied, the
    /// kill would have come.
    pub fn update(&self, now: Instant, grace: Duration) {
        if self.sigterm_at + grace > now {
            self.grace.set(self.grace().min(grace));
        }
    }

    /// Time of SIGTERM.
    pub fn sigterm_at(&self) -> Instant {
        self.sigterm_at
    }

    /// Effective grace period.
    pub fn grace(&self) -> Duration {
        self.grace.get()
    }

    /// Latest time at which the role ends.
    pub fn deadline(&self) -> Instant {
        self.sigterm_at + shutdown_time(self.grace())
    }

    /// Waits until the time given by `time`, which a shorter grace period brings forward.
    pub async fn wait_until(
        &self, settings: &RefCell<Settings>, clock: SteadyClock, time: impl Fn(&ShortestGrace) -> Instant,
    ) {
        loop {
            let now = clock.now();
            self.update(now, settings.borrow().grace());
            let left = time(self).since(now);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(CHECK_INTERVAL)).await;
        }
    }

    /// Waits until a shutdown is complete; false if the deadline expires first.
    pub async fn wait_for_shutdown(
        &self, shutdown: &Shutdown, settings: &RefCell<Settings>, clock: SteadyClock,
    ) -> bool {
        tokio::select! {
            biased;
            () = shutdown.ended() => true,
            () = self.wait_until(settings, clock, ShortestGrace::deadline) => false,
        }
    }
}

#[cfg(test)]
mod tests;
