//! Counters of sends and requests by outcome, since the start of the process.

use std::cell::Cell;

use super::label_counts::LabelCounts;

/// Why a send produced no response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The endpoint did not execute the request.
    NotExecuted,
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been executed.
    Unknown,
    /// The endpoint responded with a server error.
    ServerError,
}

/// Why the proxy refused a request, which was then not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// The endpoints are busy; no new program is admitted.
    Busy,
    /// Too few storage machines responded.
    NoStorage,
    /// No endpoint executed the request.
    NotAccepted,
    /// The program's budget is spent.
    BudgetSpent,
    /// The previous turn does not exist.
    NoPrevious,
    /// The process may exit before the response ends.
    ShuttingDown,
}

/// Names of the failures in metrics, in the order of their declaration.
const SEND_FAILURES: [&str; 4] = ["not_executed", "not_sent", "unknown", "server_error"];

/// Names of the refusals in metrics, in the order of their declaration.
const REFUSALS: [&str; 9] = [
    "no_configuration",
    "no_route",
    "no_endpoint",
    "busy",
    "no_storage",
    "not_taken",
    "budget_spent",
    "no_previous",
    "ending",
];

/// Request and send counters.
#[derive(Debug)]
pub(super) struct Counts {
    requests: Cell<u64>,
    failures: LabelCounts<{ SEND_FAILURES.len() }>,
    refusals: LabelCounts<{ REFUSALS.len() }>,
    cut_off: Cell<u64>,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts {
            requests: Cell::default(),
            failures: LabelCounts::new(SEND_FAILURES),
            refusals: LabelCounts::new(REFUSALS),
            cut_off: Cell::default(),
        }
    }
}

impl Counts {
    /// Counts a client request.
    pub fn count_request(&self) {
        add(&self.requests);
    }

    /// Counts a failed send.
    pub fn count_failure(&self, failure: SendFailure) {
        self.failures.add(failure as usize);
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, refusal: Refusal) {
        self.refusals.add(refusal as usize);
    }

    /// Counts a call that was at an endpoint when the process ended.
    pub fn count_cut_off(&self) {
        add(&self.cut_off);
    }

    /// Number of calls that were at an endpoint when the process ended.
    pub fn cut_off(&self) -> u64 {
        self.cut_off.get()
    }

    /// Number of requests that were refused because the process ends.
    pub fn refused_at_end(&self) -> u64 {
        self.refusals.get(Refusal::ShuttingDown as usize)
    }

    /// Number of client requests.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Failed sends by cause.
    pub fn failures(&self) -> Vec<(&'static str, u64)> {
        self.failures.all()
    }

    /// Refused requests by cause.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        self.refusals.all()
    }
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
