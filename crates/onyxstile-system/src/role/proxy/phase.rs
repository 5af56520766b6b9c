//! How far a proxy is, and which requests it is answering.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::clock::Instant;
use crate::role::shutdown::Shutdown;

/// How far the process is; it only moves on.
#[derive(Default)]
pub(super) struct Phase {
    /// How long after the start it was ready.
    ready_after: Cell<Option<Duration>>,
    is_draining: Cell<bool>,
    open: Cell<usize>,
    shutdown: Rc<Shutdown>,
    /// When the process ends, once the listener is to close.
    ends: Cell<Option<Instant>>,
}

impl Phase {
    /// The proxy has all that it needs.
    pub(super) fn become_ready(&self, now: Instant) {
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
        self.ready_after.get().is_some() && !self.is_draining.get()
    }

    /// Requests that are being answered.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// SIGTERM has come.
    pub(super) fn drain(&self) {
        self.is_draining.set(true);
    }

    /// The listener closes: no connection is taken up any more, and each ends with the answers that are due on it, by `ends` at
    /// the latest.
    pub(super) fn close(&self, ends: Instant) {
        self.ends.set(Some(ends));
        self.shutdown.begin();
    }

    /// The process ends by `ends` now, if the listener is to close and that is sooner.
    pub(super) fn shorten(&self, ends: Instant) {
        self.ends.set(self.ends.get().map(|before| before.min(ends)));
    }

    /// Clients' connections and writes that no client waits for.
    pub(super) fn shutdown(&self) -> Rc<Shutdown> {
        self.shutdown.clone()
    }

    /// Whether the process ends before an answer that may come until `last`.
    pub(super) fn ends_before(&self, last: Instant) -> bool {
        self.ends.get().is_some_and(|ends| ends < last)
    }

    /// Whether SIGTERM has come.
    pub(super) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Counts a request that is being answered, for as long as the returned value lives.
    pub(super) fn enter(node: &Rc<Node>) -> Entered {
        node.phase.open.set(node.phase.open.get() + 1);
        Entered { node: node.clone() }
    }
}

/// A request that is being answered.
pub(super) struct Entered {
    node: Rc<Node>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let open = &self.node.phase.open;
        open.set(open.get() - 1);
    }
}
