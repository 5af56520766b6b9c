//! How far a proxy is, and which requests it is answering.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::Node;
use crate::clock::Instant;
use crate::role::watched::Answering;

/// How far the process is; it only moves on.
#[derive(Default)]
pub(super) struct Phase {
    /// How long after the start it was ready.
    ready_after: Cell<Option<Duration>>,
    is_draining: Cell<bool>,
    is_closing: Cell<bool>,
    open: Cell<usize>,
    connections: Cell<usize>,
    closing: Notify,
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

    /// Connections of clients.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// SIGTERM has come.
    pub(super) fn drain(&self) {
        self.is_draining.set(true);
    }

    /// The door closes: no connection is taken up any more, and each ends with the answers that are due on it.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
        self.closing.notify_waiters();
    }

    /// Whether the door is closed.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Waits for the door to close from now on.
    pub(super) fn closed(&self) -> Notified<'_> {
        self.closing.notified()
    }

    /// Whether SIGTERM has come.
    pub(super) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Counts a request that is being answered, for as long as the returned value lives.
    pub(super) fn enter(node: &Rc<Node>, answering: Answering) -> Entered {
        node.phase.open.set(node.phase.open.get() + 1);
        Entered { node: node.clone(), _answering: answering }
    }
}

/// A connection of a client, for as long as this lives.
pub(super) struct Connected(Rc<Node>);

impl Connected {
    /// Counts a connection that has just come.
    pub(super) fn new(node: Rc<Node>) -> Connected {
        node.phase.connections.set(node.phase.connections.get() + 1);
        Connected(node)
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        let connections = &self.0.phase.connections;
        connections.set(connections.get() - 1);
    }
}

/// A request that is being answered.
pub(super) struct Entered {
    node: Rc<Node>,
    _answering: Answering,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let open = &self.node.phase.open;
        open.set(open.get() - 1);
    }
}
