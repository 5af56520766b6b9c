//! How far a proxy is, and which requests it is answering.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use crate::clock::Instant;
use crate::role::shortest_grace::ShortestGrace;
use crate::role::shutdown::Shutdown;

/// How far the process is; it only moves on.
#[derive(Default)]
pub(super) struct Phase {
    /// How long after the start it was ready.
    ready_after: Cell<Option<Duration>>,
    /// The time that is left, once SIGTERM has come.
    drain: OnceCell<ShortestGrace>,
    open_requests: Cell<usize>,
    shutdown: Rc<Shutdown>,
}

impl Phase {
    /// The proxy has all that it needs.
    pub(super) fn mark_ready(&self, now: Instant) {
        if self.ready_after.get().is_none() {
            log::info!("ready");
            self.ready_after.set(Some(now.since(Instant::default())));
        }
    }

    /// How long after the start it had all that it needs; `None` before.
    pub(super) fn ready_after(&self) -> Option<Duration> {
        self.ready_after.get()
    }

    /// Whether new clients are to be sent here.
    pub(super) fn is_ready(&self) -> bool {
        self.ready_after.get().is_some() && !self.is_draining()
    }

    /// Requests that are being answered.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// SIGTERM has come; the process has so long.
    pub(super) fn drain(&self, grace: ShortestGrace) -> &ShortestGrace {
        self.drain.get_or_init(|| grace)
    }

    /// The listener, clients' connections, and writes that no client waits for. Once it has begun no connection is taken up any
    /// more, and each ends with the answers that are due on it.
    pub(super) fn shutdown(&self) -> Rc<Shutdown> {
        self.shutdown.clone()
    }

    /// Whether the listener is closed and the process ends before an answer that may come until `last`.
    pub(super) fn ends_before(&self, last: Instant) -> bool {
        self.shutdown.is_begun() && self.drain.get().is_some_and(|grace| grace.deadline() < last)
    }

    /// Whether SIGTERM has come.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Counts a request that is being answered, for as long as the returned value lives.
    pub(super) fn begin_request(proxy: &Rc<Proxy>) -> OpenRequest {
        proxy.phase.open_requests.set(proxy.phase.open_requests.get() + 1);
        OpenRequest { proxy: proxy.clone() }
    }
}

/// A request that is being answered.
pub(super) struct OpenRequest {
    proxy: Rc<Proxy>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.proxy.phase.open_requests;
        open_requests.set(open_requests.get() - 1);
    }
}
