//! Load of an RPC server, shared between its connections and the metrics.

use std::cell::RefCell;
use std::rc::Rc;

use super::open_requests::{OpenRequests, RequestId};
use crate::clock::SteadyClock;
use crate::metrics::Metrics;

/// Load of a server.
pub struct ServerLoad {
    clock: SteadyClock,
    requests: RefCell<OpenRequests>,
}

/// An open request, which is closed when this is dropped.
pub(super) struct RequestGuard {
    load: Rc<ServerLoad>,
    id: RequestId,
}

impl ServerLoad {
    /// No load; open requests may take `max_bytes` bytes of memory.
    pub fn new(clock: SteadyClock, max_bytes: usize) -> Rc<ServerLoad> {
        Rc::new(ServerLoad { clock, requests: RefCell::new(OpenRequests::new(max_bytes)) })
    }

    /// Opens a request of which no byte has come; `None` if it has to be refused.
    pub(super) fn open(self: &Rc<ServerLoad>) -> Option<RequestGuard> {
        let id = self.requests.borrow_mut().open(self.clock.now(), 0)?;
        Some(RequestGuard { load: self.clone(), id })
    }

    /// Adds metrics of the load.
    pub fn add_metrics(&self, metrics: &mut Metrics) {
        let requests = self.requests.borrow();
        metrics.gauge(
            "peer_requests_open",
            "Requests of other processes that are being answered.",
            requests.count() as f64,
        );
        metrics.gauge("peer_request_bytes", "Memory of these requests.", requests.bytes() as f64);
        metrics.gauge(
            "peer_request_age_seconds",
            "Age of the oldest of these requests.",
            requests.oldest_age(self.clock.now()).as_secs_f64(),
        );
        metrics.counter(
            "peer_requests_refused",
            "Requests of other processes that were refused for lack of memory.",
            requests.refused(),
        );
    }
}

impl RequestGuard {
    /// Takes memory for further bytes of the message; false if the request has to be refused.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        self.load.requests.borrow_mut().grow(self.id, bytes)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.load.requests.borrow_mut().close(self.id);
    }
}
