//! The time that a role has left once it has been told to end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use super::shutdown::Shutdown;
use crate::clock::{Instant, SteadyClock};
use crate::settings::{Settings, shutdown_time};

/// How often it is looked whether the settings name another grace.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest grace that the settings have named since SIGTERM. Whether the kill goes by the one at SIGTERM or by a later one
/// can't be known.
#[derive(Debug)]
pub struct ShortestGrace {
    sigterm_at: Instant,
    grace: Cell<Duration>,
}

impl ShortestGrace {
    /// SIGTERM came at `told`; the kill comes `grace` later.
    pub fn new(sigterm_at: Instant, grace: Duration) -> ShortestGrace {
        ShortestGrace { sigterm_at, grace: Cell::new(grace) }
    }

    /// The settings name a grace at `now`. One that is over already is not the kill's, or that had come.
    pub fn update(&self, now: Instant, grace: Duration) {
        if self.sigterm_at + grace > now {
            self.grace.set(self.grace().min(grace));
        }
    }

    /// When SIGTERM came.
    pub fn sigterm_at(&self) -> Instant {
        self.sigterm_at
    }

    /// The grace that holds.
    pub fn grace(&self) -> Duration {
        self.grace.get()
    }

    /// When the role ends at the latest.
    pub fn deadline(&self) -> Instant {
        self.sigterm_at + shutdown_time(self.grace())
    }

    /// Waits for a time that a shorter grace brings forward.
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

    /// Waits until a shutdown has ended; false if the kill is near before that.
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
