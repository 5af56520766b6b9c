//! Admission of requests to the log: what may wait for the disk, in bytes and by time. Performs no I/O.

use std::time::Duration;

use crate::clock::Instant;

/// A call to the disk that lasts this long counts as stalled. Callers time out soon after it.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Memory of a waiting request besides its records, in bytes: its task, its answer and its place in the queue.
pub(super) const REQUEST_OVERHEAD_BYTES: usize = 2048;
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
    /// Every reason, in the order of [`Refusal::index`].
    pub(super) const ALL: [Refusal; 3] = [Refusal::DiskStalled, Refusal::BacklogFull, Refusal::WaitedTooLong];

    /// Label of the reason in the metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Refusal::DiskStalled => "disk_stalled",
            Refusal::BacklogFull => "backlog_full",
            Refusal::WaitedTooLong => "waited_too_long",
        }
    }

    fn index(self) -> usize {
        match self {
            Refusal::DiskStalled => 0,
            Refusal::BacklogFull => 1,
            Refusal::WaitedTooLong => 2,
        }
    }
}

/// Requests that wait for the disk, queued or with the writer.
#[derive(Debug)]
pub(super) struct Backlog {
    max_bytes: usize,
    bytes: usize,
    requests: usize,
    disk_call_since: Option<Instant>,
    refusals: [u64; Refusal::ALL.len()],
}

impl Backlog {
    /// An empty backlog of at most `max_bytes` bytes; a single request may exceed them.
    pub(super) fn new(max_bytes: usize) -> Backlog {
        let refusals = [0; Refusal::ALL.len()];
        Backlog { max_bytes, bytes: 0, requests: 0, disk_call_since: None, refusals }
    }

    /// Decides on a request of `bytes` bytes and adds it if it is admitted.
    pub(super) fn admit(&mut self, now: Instant, bytes: usize) -> Result<(), Refusal> {
        let refusal = if self.is_stalled(now) {
            Some(Refusal::DiskStalled)
        } else if self.bytes > 0 && self.bytes.saturating_add(bytes) > self.max_bytes {
            Some(Refusal::BacklogFull)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.count(refusal);
            return Err(refusal);
        }
        self.add(bytes);
        Ok(())
    }

    /// Adds a request without a decision.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.requests += 1;
    }

    /// Removes a request that is answered or refused.
    pub(super) fn remove(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.requests = self.requests.saturating_sub(1);
    }

    /// Counts a refusal.
    pub(super) fn count(&mut self, refusal: Refusal) {
        self.refusals[refusal.index()] += 1;
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
        self.bytes
    }

    /// Number of requests that wait.
    pub(super) fn requests(&self) -> usize {
        self.requests
    }

    /// Number of refusals for a reason.
    pub(super) fn refusals(&self, refusal: Refusal) -> u64 {
        self.refusals[refusal.index()]
    }
}

#[cfg(test)]
mod tests;
