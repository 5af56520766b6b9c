//! Requests of other machines that are being answered: how many, their bytes and their age. Performs no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::byte_budget::{ByteBudget, REQUEST_OVERHEAD_BYTES};
use crate::clock::Instant;

/// Identifies an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

struct OpenRequest {
    since: Instant,
    bytes: usize,
}

/// The open requests of a server.
pub struct OpenRequests {
    budget: ByteBudget,
    last_id: u64,
    /// By id, so the oldest comes first.
    requests: BTreeMap<RequestId, OpenRequest>,
    refused: u64,
}

impl OpenRequests {
    /// No open requests; they may take `max_bytes` bytes of memory, which a single one may exceed.
    pub fn new(max_bytes: usize) -> OpenRequests {
        OpenRequests { budget: ByteBudget::new(max_bytes), last_id: 0, requests: BTreeMap::new(), refused: 0 }
    }

    /// Adds a request whose message has `message_bytes` bytes; `None` if the server has no memory left for it.
    pub fn open(&mut self, now: Instant, message_bytes: usize) -> Option<RequestId> {
        let bytes = message_bytes.saturating_add(REQUEST_OVERHEAD_BYTES);
        if !self.budget.try_take(bytes) {
            self.refused += 1;
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.requests.insert(id, OpenRequest { since: now, bytes });
        Some(id)
    }

    /// Takes memory for further bytes of a request's message; false, and counted as refused, if there is none left. A request
    /// that is the only one may exceed the limit.
    pub fn grow(&mut self, id: RequestId, more_bytes: usize) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let is_alone = request.bytes == self.budget.used_bytes();
        if is_alone {
            self.budget.take(more_bytes);
        } else if !self.budget.try_take(more_bytes) {
            self.refused += 1;
            return false;
        }
        request.bytes += more_bytes;
        true
    }

    /// Removes a request that has been answered.
    pub fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.budget.give_back(request.bytes);
        }
    }

    /// Number of open requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Memory of the open requests, in bytes.
    pub fn bytes(&self) -> usize {
        self.budget.used_bytes()
    }

    /// Age of the oldest open request; zero without one.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        self.requests.values().next().map_or(Duration::ZERO, |oldest| now.since(oldest.since))
    }

    /// Number of requests that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
