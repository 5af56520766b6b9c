//! Admission of requests to the log: what may wait for the disk, in bytes and by time. Performs no I/O.

use std::time::Duration;

use crate::byte_budget::ByteBudget;
use crate::clock::Instant;

/// A call to the disk that lasts this long counts as stalled. Callers time out soon after it.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Copies of the records of a waiting request: as received, and encoded for the log.
pub(super) const RECORD_COPIES: usize = 2;

/// Why a request was refused. Nothing of a refused request is ever written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The disk does not answer.
    DiskStalled,
    /// As many bytes wait as may wait.
    BacklogFull,
    /// The disk did not get to it in time.
    WaitedTooLong,
}

impl Refusal {
    /// Every reason, in the order of the enum.
    pub(super) const ALL: [Refusal; 3] = [Refusal::DiskStalled, Refusal::BacklogFull, Refusal::WaitedTooLong];

    /// Label of the reason in the metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Refusal::DiskStalled => "disk_stalled",
            Refusal::BacklogFull => "backlog_full",
            Refusal::WaitedTooLong => "waited_too_long",
        }
    }
}

/// Requests that wait for the disk, queued or with the writer.
#[derive(Debug)]
pub(super) struct Backlog {
    budget: ByteBudget,
    requests: usize,
    disk_call_since: Option<Instant>,
    refusals: [u64; Refusal::ALL.len()],
}

impl Backlog {
    /// An empty backlog of at most `max_bytes` bytes; a single request may exceed them.
    pub(super) fn new(max_bytes: usize) -> Backlog {
        let refusals = [0; Refusal::ALL.len()];
        Backlog { budget: ByteBudget::new(max_bytes), requests: 0, disk_call_since: None, refusals }
    }

    /// Decides on a request of `bytes` bytes and adds it if it is admitted.
    pub(super) fn admit(&mut self, now: Instant, bytes: usize) -> Result<(), Refusal> {
        if self.is_stalled(now) {
            return Err(self.refuse(Refusal::DiskStalled));
        }
        if !self.budget.try_take(bytes) {
            return Err(self.refuse(Refusal::BacklogFull));
        }
        self.requests += 1;
        Ok(())
    }

    /// Adds a request without a decision.
    pub(super) fn add(&mut self, bytes: usize) {
        self.budget.take(bytes);
        self.requests += 1;
    }

    /// Removes a request that is answered or refused.
    pub(super) fn remove(&mut self, bytes: usize) {
        self.budget.give_back(bytes);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Counts a refusal and returns it.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Refusal {
        self.refusals[refusal as usize] += 1;
        refusal
    }

    /// Notes that a call to the disk begins.
    pub(super) fn begin_disk_call(&mut self, now: Instant) {
        self.disk_call_since = Some(now);
    }

    /// Notes that the disk has answered.
    pub(super) fn end_disk_call(&mut self) {
        self.disk_call_since = None;
    }

    /// How long the current call to the disk has lasted; zero without one.
    pub(super) fn disk_call_time(&self, now: Instant) -> Duration {
        self.disk_call_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    fn is_stalled(&self, now: Instant) -> bool {
        self.disk_call_time(now) >= STALL_TIME
    }

    /// Bytes that wait.
    pub(super) fn bytes(&self) -> usize {
        self.budget.used_bytes()
    }

    /// Number of requests that wait.
    pub(super) fn requests(&self) -> usize {
        self.requests
    }

    /// Number of refusals for a reason.
    pub(super) fn refusals(&self, refusal: Refusal) -> u64 {
        self.refusals[refusal as usize]
    }
}

#[cfg(test)]
mod tests;
