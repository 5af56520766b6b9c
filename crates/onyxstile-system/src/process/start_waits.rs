//! What a process waits for at its start.
//!
//! An address that another process still holds, a disk that refuses a write or a settings file that is being replaced are
//! conditions that pass. A process that ended would meet the same one when it is started again, so it waits, tells what for,
//! and tries again.

mod retry_schedule;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::future::Future;
use std::time::Duration;

use crate::clock::{Instant, SteadyClock};
use crate::metrics::Metrics;
pub use retry_schedule::RetrySchedule;

/// Interval between log lines about the same wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What a start needs from the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// A settings file that can be used.
    Settings,
    /// The address for clients.
    Front,
    /// The address for readiness checks.
    Readiness,
    /// The address for the agent of the machine.
    Feed,
    /// The TCP address for other machines.
    Peers,
    /// The UDP address for other machines.
    Membership,
    /// The address for endpoints and operators.
    Control,
    /// The address for metrics.
    Metrics,
    /// The data folder, for this process alone.
    DataFolder,
    /// The records in the data folder.
    Records,
}

impl Display for Resource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Resource::Settings => "settings",
            Resource::Front => "front",
            Resource::Readiness => "readiness",
            Resource::Feed => "feed port",
            Resource::Peers => "peer port",
            Resource::Membership => "membership port",
            Resource::Control => "control port",
            Resource::Metrics => "metrics port",
            Resource::DataFolder => "data folder",
            Resource::Records => "records",
        })
    }
}

/// A wait that goes on.
struct Wait {
    since: Instant,
    reported_at: Instant,
    error: String,
}

/// The waits of a process.
pub struct StartWaits {
    clock: SteadyClock,
    waits: RefCell<BTreeMap<Resource, Wait>>,
    failures: RefCell<BTreeMap<Resource, u64>>,
}

impl StartWaits {
    /// Creates the state of a process that waits for nothing.
    pub fn new(clock: SteadyClock) -> StartWaits {
        StartWaits { clock, waits: RefCell::default(), failures: RefCell::default() }
    }

    /// Tries to get a resource until that succeeds.
    pub async fn acquire<T, E: Display>(
        &self, resource: Resource, mut attempt: impl FnMut() -> Result<T, E>,
    ) -> T {
        self.acquire_async(resource, || std::future::ready(attempt())).await
    }

    /// The same for an attempt that takes time.
    pub async fn acquire_async<T, E: Display, F: Future<Output = Result<T, E>>>(
        &self, resource: Resource, mut attempt: impl FnMut() -> F,
    ) -> T {
        let mut schedule = RetrySchedule::default();
        loop {
            match attempt().await {
                Ok(value) => {
                    self.end_wait(resource);
                    return value;
                }
                Err(error) => self.note_failure(resource, error.to_string()),
            }
            tokio::time::sleep(schedule.next_delay()).await;
        }
    }

    fn note_failure(&self, resource: Resource, error: String) {
        let now = self.clock.now();
        *self.failures.borrow_mut().entry(resource).or_default() += 1;
        let mut waits = self.waits.borrow_mut();
        let known = waits.get(&resource).filter(|wait| wait.error == error);
        let is_due = known.is_none_or(|wait| now.since(wait.reported_at) >= REPORT_INTERVAL);
        if is_due {
            log::warn!("waiting for {resource}: {error}");
        }
        let reported_at = known.filter(|_| !is_due).map_or(now, |wait| wait.reported_at);
        let since = waits.get(&resource).map_or(now, |wait| wait.since);
        waits.insert(resource, Wait { since, reported_at, error });
    }

    fn end_wait(&self, resource: Resource) {
        if let Some(wait) = self.waits.borrow_mut().remove(&resource) {
            let waited = self.clock.now().since(wait.since);
            log::info!("{resource} available after {} ms", waited.as_millis());
        }
    }

    /// Adds metrics of the waits.
    pub fn add_metrics(&self, metrics: &mut Metrics) {
        let now = self.clock.now();
        let waits: Vec<(String, f64)> = self
            .waits
            .borrow()
            .iter()
            .map(|(resource, wait)| {
                (format!("{resource}: {}", wait.error), now.since(wait.since).as_secs_f64())
            })
            .collect();
        metrics.gauges(
            "start_wait_seconds",
            "What the start waits for, and for how long so far.",
            "for",
            &waits,
        );
        let failures = self.failures.borrow();
        let failures: Vec<(String, u64)> =
            failures.iter().map(|(resource, count)| (resource.to_string(), *count)).collect();
        let failures: Vec<(&str, u64)> =
            failures.iter().map(|(name, count)| (name.as_str(), *count)).collect();
        metrics.counters("start_failures", "Failed attempts to get what a start needs.", "for", &failures);
    }
}

#[cfg(test)]
mod tests;
