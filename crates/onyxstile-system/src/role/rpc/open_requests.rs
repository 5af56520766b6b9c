//! Requests of other machines that are being answered: how many, their bytes and their age. Performs no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Memory of an open request besides its message, in bytes: its task and its place in the tables.
const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// Identifies an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

struct OpenRequest {
    since: Instant,
    bytes: usize,
}

/// The open requests of a server.
#[derive(Default)]
pub struct OpenRequests {
    bytes: usize,
    last_id: u64,
    /// By id, so the oldest comes first.
    requests: BTreeMap<RequestId, OpenRequest>,
}

impl OpenRequests {
    /// Adds a request whose message has `message_bytes` bytes.
    pub fn open(&mut self, now: Instant, message_bytes: usize) -> RequestId {
        let bytes = message_bytes.saturating_add(REQUEST_OVERHEAD_BYTES);
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.bytes += bytes;
        self.requests.insert(id, OpenRequest { since: now, bytes });
        id
    }

    /// Removes a request that has been answered.
    pub fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.bytes -= request.bytes;
        }
    }

    /// Number of open requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Memory of the open requests, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Age of the oldest open request; zero without one.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        self.requests.values().next().map_or(Duration::ZERO, |oldest| now.since(oldest.since))
    }
}
