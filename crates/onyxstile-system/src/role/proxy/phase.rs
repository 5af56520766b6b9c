//! Lifecycle phase of a proxy, and its open requests.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use crate::clock::Instant;
use crate::role::shortest_grace::ShortestGrace;
use crate::role::shutdown::Shutdown;

/// Lifecycle phase. It only moves forward.
#[derive(Default)]
pub(super) struct Phase {
    /// Time from the start until the proxy was ready.
    ready_after: Cell<Option<Duration>>,
    /// Grace period; set on SIGTERM.
    drain: OnceCell<ShortestGrace>,
    open_requests: Cell<usize>,
    shutdown: Rc<Shutdown>,
}

impl Phase {
    /// Marks the proxy as ready: it has the configuration and fresh endpoints.
    pub(super) fn mark_ready(&self, now: Instant) {
        if self.ready_after.get().is_none() {
            log::info!("ready");
            self.ready_after.set(Some(now.since(Instant::default())));
        }
    }

    /// Time from the start until the proxy was ready; `None` before that.
    pub(super) fn ready_after(&self) -> Option<Duration> {
        self.ready_after.get()
    }

    /// Whether new clients may be directed to this proxy.
    pub(super) fn is_ready(&self) -> bool {
        self.ready_after.get().is_some() && !self.is_draining()
    }

    /// Number of open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Starts the drain with the grace period that the process has.
    pub(super) fn drain(&self, grace: ShortestGrace) -> &ShortestGrace {
        self.drain.get_or_init(|| grace)
    }

    /// Tracks the listener, client connections and background writes. Once the shutdown has begun, no connection is accepted,
    /// and each open connection ends after its pending responses.
    pub(super) fn shutdown(&self) -> Rc<Shutdown> {
        self.shutdown.clone()
    }

    /// Whether the listener is closed and the process may exit before a response that may last until `last`.
    pub(super) fn ends_before(&self, last: Instant) -> bool {
        self.shutdown.is_begun() && self.drain.get().is_some_and(|grace| grace.deadline() < last)
    }

    /// Whether SIGTERM has been received.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Counts a request as open until the returned value is dropped.
    pub(super) fn begin_request(proxy: &Rc<Proxy>) -> OpenRequest {
        proxy.phase.open_requests.set(proxy.phase.open_requests.get() + 1);
        OpenRequest { proxy: proxy.clone() }
    }
}

/// An open request.
pub(super) struct OpenRequest {
    proxy: Rc<Proxy>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.proxy.phase.open_requests;
        open_requests.set(open_requests.get() - 1);
    }
}
