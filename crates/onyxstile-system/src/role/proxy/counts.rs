//! What became of sends and requests, counted since the start of the process.

use std::cell::Cell;

/// Why a send brought no answer that is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The endpoint did not run it.
    NotExecuted,
    /// Nothing of it was sent.
    NotSent,
    /// It may have run.
    Unknown,
    /// The endpoint answered with an error of its own.
    ServerError,
}

/// Why the proxy itself answered a request, which then did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration has no such route.
    NoRoute,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// Endpoints are busy, and no program may begin.
    Busy,
    /// Too few storage machines answer.
    NoStorage,
    /// No endpoint took it.
    NotAccepted,
    /// The program's budget is spent.
    BudgetSpent,
    /// There is no such turn to go on from.
    NoPrevious,
    /// The process ends before the answer may be there.
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

/// The counts.
#[derive(Debug, Default)]
pub(super) struct Counts {
    requests: Cell<u64>,
    failures: [Cell<u64>; SEND_FAILURES.len()],
    refusals: [Cell<u64>; REFUSALS.len()],
}

impl Counts {
    /// A request of a client has come.
    pub fn count_request(&self) {
        add(&self.requests);
    }

    /// A send has missed.
    pub fn count_failure(&self, failure: SendFailure) {
        add(&self.failures[failure as usize]);
    }

    /// A request was answered by the proxy itself.
    pub fn count_refusal(&self, refusal: Refusal) {
        add(&self.refusals[refusal as usize]);
    }

    /// Requests of clients.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Sends that missed, by cause.
    pub fn failures(&self) -> Vec<(&'static str, u64)> {
        SEND_FAILURES.iter().map(|(failure, name)| (*name, self.failures[*failure as usize].get())).collect()
    }

    /// Requests that the proxy answered, by cause.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        REFUSALS.iter().map(|(refusal, name)| (*name, self.refusals[*refusal as usize].get())).collect()
    }
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
