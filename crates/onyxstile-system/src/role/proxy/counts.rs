//! Counters of sends and requests by outcome, since the start of the process.

use std::cell::Cell;

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

const SEND_FAILURES: [(SendFailure, &str); 4] = [
    (SendFailure::NotExecuted, "not_executed"),
    (SendFailure::NotSent, "not_sent"),
    (SendFailure::Unknown, "unknown"),
    (SendFailure::ServerError, "server_error"),
];

const REFUSALS: [(Refusal, &str); 9] = [
    (Refusal::NoConfiguration, "no_configuration"),
    (Refusal::NoRoute, "no_route"),
    (Refusal::NoEndpoint, "no_endpoint"),
    (Refusal::Busy, "busy"),
    (Refusal::NoStorage, "no_storage"),
    (Refusal::NotAccepted, "not_taken"),
    (Refusal::BudgetSpent, "budget_spent"),
    (Refusal::NoPrevious, "no_previous"),
    (Refusal::ShuttingDown, "ending"),
];

/// Request and send counters.
#[derive(Debug, Default)]
pub(super) struct Counts {
    requests: Cell<u64>,
    failures: [Cell<u64>; SEND_FAILURES.len()],
    refusals: [Cell<u64>; REFUSALS.len()],
    cut_off: Cell<u64>,
}

impl Counts {
    /// Counts a client request.
    pub fn count_request(&self) {
        add(&self.requests);
    }

    /// Counts a failed send.
    pub fn count_failure(&self, failure: SendFailure) {
        add(&self.failures[failure as usize]);
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, refusal: Refusal) {
        add(&self.refusals[refusal as usize]);
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
        self.refusals[Refusal::ShuttingDown as usize].get()
    }

    /// Number of client requests.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Failed sends by cause.
    pub fn failures(&self) -> Vec<(&'static str, u64)> {
        SEND_FAILURES.iter().map(|(failure, name)| (*name, self.failures[*failure as usize].get())).collect()
    }

    /// Refused requests by cause.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        REFUSALS.iter().map(|(refusal, name)| (*name, self.refusals[*refusal as usize].get())).collect()
    }
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
