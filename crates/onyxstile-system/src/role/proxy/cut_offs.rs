//! Answers of endpoints that were cut off: counters by reason and by endpoint, and log lines at a limited rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::label_counts::LabelCounts;
use crate::clock::Instant;
use crate::metrics::{LABEL_VALUES_MAX, Metrics};

/// Minimum time between two log lines about one endpoint.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why an answer was cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutReason {
    /// It was not complete in time.
    NotInTime,
    /// The connection failed.
    ConnectionLost,
    /// Its told length, or what has come of it, exceeds the limit of one answer.
    TooLong,
    /// Too many bytes came without a whole head, chunk or event.
    NoWholeUnit,
    /// The stream has more events than the turn may have.
    TooManyEvents,
    /// All answers together take all the memory that there is for them.
    NoMemory,
}

/// Names of the reasons in metrics and logs, in the order of their declaration.
const REASONS: [&str; 6] =
    ["not_in_time", "connection_lost", "too_long", "no_whole_unit", "too_many_events", "no_memory"];

impl CutReason {
    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        REASONS[self as usize]
    }

    /// Whether the endpoint sent more than it may, which is rare enough to be logged.
    fn is_excess(self) -> bool {
        !matches!(self, CutReason::NotInTime | CutReason::ConnectionLost)
    }
}

/// Cut off answers of one endpoint.
#[derive(Default)]
struct EndpointCutOffs {
    count: u64,
    logged_at: Option<Instant>,
}

/// Counters of answers that were cut off.
pub(super) struct CutOffs {
    by_reason: LabelCounts<{ REASONS.len() }>,
    /// At most as many as a metric has label values.
    by_endpoint: RefCell<BTreeMap<String, EndpointCutOffs>>,
}

impl Default for CutOffs {
    fn default() -> CutOffs {
        CutOffs { by_reason: LabelCounts::new(REASONS), by_endpoint: RefCell::default() }
    }
}

impl CutOffs {
    /// Counts an answer of `endpoint` on `route` that was cut off.
    pub fn record(&self, now: Instant, reason: CutReason, endpoint: &str, route: &str) {
        self.by_reason.add(reason as usize);
        let mut endpoints = self.by_endpoint.borrow_mut();
        if !endpoints.contains_key(endpoint) && endpoints.len() >= LABEL_VALUES_MAX {
            return;
        }
        let entry = endpoints.entry(endpoint.to_owned()).or_default();
        entry.count += 1;
        let is_due = entry.logged_at.is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if reason.is_excess() && is_due {
            entry.logged_at = Some(now);
            let (name, count) = (reason.name(), entry.count);
            log::warn!("answer of {endpoint} on route {route} cut off: {name}; {count} of it so far");
        }
    }

    /// Adds the counters.
    pub fn add_metrics(&self, metrics: &mut Metrics) {
        let help = "Answers of endpoints that were cut off.";
        metrics.counters("answers_cut_off", help, "reason", &self.by_reason.all());
        let endpoints = self.by_endpoint.borrow();
        let by_endpoint: Vec<(&str, u64)> =
            endpoints.iter().map(|(endpoint, entry)| (endpoint.as_str(), entry.count)).collect();
        let help = "Answers that were cut off, by endpoint.";
        metrics.counters("answers_cut_off_by_endpoint", help, "endpoint", &by_endpoint);
    }
}
