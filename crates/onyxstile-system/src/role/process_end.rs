//! The end of a process after SIGTERM, which bounds everything that waits in the process.
//!
//! It is unknown before SIGTERM. After that it only moves forward: a shorter grace period in the settings brings it nearer, and
//! every waiter learns of it at once.

use std::cell::{Cell, OnceCell};
use std::future::Future;
use std::time::Duration;

use tokio::sync::Notify;

use super::shortest_grace::ShortestGrace;
use super::shutdown::Shutdown;
use crate::clock::{Instant, SteadyClock};

/// End of a process.
pub struct ProcessEnd {
    clock: SteadyClock,
    /// Grace period in the settings.
    configured: Cell<Duration>,
    /// Set on SIGTERM.
    grace: OnceCell<ShortestGrace>,
    changed: Notify,
}

impl ProcessEnd {
    /// Creates the state of a process that has not received SIGTERM; `grace` is the grace period in the settings.
    pub fn new(clock: SteadyClock, grace: Duration) -> ProcessEnd {
        ProcessEnd { clock, configured: Cell::new(grace), grace: OnceCell::new(), changed: Notify::new() }
    }

    /// Records SIGTERM: the grace period begins.
    pub fn begin(&self) {
        self.grace.get_or_init(|| ShortestGrace::new(self.clock.now(), self.configured.get()));
        self.wake_waiters();
    }

    /// Applies the grace period of settings that were read just now.
    pub fn set_grace(&self, grace: Duration) {
        self.configured.set(grace);
        if let Some(shortest) = self.grace.get() {
            shortest.update(self.clock.now(), grace);
            self.wake_waiters();
        }
    }

    /// Wakes all waiters, so that they look at their times again.
    pub fn wake_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// The grace period, once SIGTERM has been received.
    pub fn grace(&self) -> Option<&ShortestGrace> {
        self.grace.get()
    }

    /// Waits until the time given by `time`; before SIGTERM there is none.
    pub async fn reached(&self, time: impl Fn(&ShortestGrace) -> Instant) {
        loop {
            let changed = self.changed.notified();
            let Some(grace) = self.grace.get() else {
                changed.await;
                continue;
            };
            let left = time(grace).since(self.clock.now());
            if left.is_zero() {
                return;
            }
            tokio::time::timeout(left, changed).await.ok();
        }
    }

    /// Runs `future` until the time given by `time`; `None` if that is reached first.
    pub async fn limit<T>(
        &self, time: impl Fn(&ShortestGrace) -> Instant, future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.reached(time) => None,
        }
    }

    /// Waits until a shutdown is complete. If work is still open when it is given up and answered, calls `is_late` and goes on
    /// until the process has to exit.
    pub async fn wait_for_shutdown(&self, shutdown: &Shutdown, is_late: impl FnOnce()) {
        if self.limit(ShortestGrace::deadline, shutdown.ended()).await.is_none() {
            is_late();
            self.limit(ShortestGrace::exit_deadline, shutdown.ended()).await;
        }
    }

    /// Waits until `until`; false as soon as the time given by `time` is known to be no later.
    pub async fn sleep_until(&self, until: Instant, time: impl Fn(&ShortestGrace) -> Instant) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.grace.get().is_some_and(|grace| time(grace) <= until) {
                return false;
            }
            let left = until.since(self.clock.now());
            if tokio::time::timeout(left, changed).await.is_err() {
                return true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
