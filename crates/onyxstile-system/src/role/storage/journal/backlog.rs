//! Requests to the log that wait for the disk: their bytes, and how long the disk has not answered. Performs no I/O.

use std::time::Duration;

use crate::clock::Instant;

/// Memory of a waiting request besides its records, in bytes: its task, its answer and its place in the queue.
pub(super) const REQUEST_OVERHEAD_BYTES: usize = 2048;
/// Copies of the records of a waiting request: as received, and encoded for the log.
pub(super) const RECORD_COPIES: usize = 2;

/// Requests that wait for the disk, queued or with the writer.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    bytes: usize,
    requests: usize,
    disk_call_since: Option<Instant>,
}

impl Backlog {
    /// Adds a request of `bytes` bytes.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.requests += 1;
    }

    /// Removes a request that is answered.
    pub(super) fn remove(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.requests = self.requests.saturating_sub(1);
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

    /// Bytes that wait.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of requests that wait.
    pub(super) fn requests(&self) -> usize {
        self.requests
    }
}
