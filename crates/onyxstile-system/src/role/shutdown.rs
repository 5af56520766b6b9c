//! Graceful shutdown of a role: no new work is accepted once it has begun, and it is complete once all open work has
//! ended.
//!
//! Both are persistent states rather than events: a waiter that arrives later sees them as well.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// State of a shutdown.
#[derive(Default)]
pub struct Shutdown {
    is_begun: Cell<bool>,
    begin_notify: Notify,
    open: Cell<usize>,
    end_notify: Notify,
}

impl Shutdown {
    /// Begins the shutdown: no new work may be accepted from now on.
    pub fn begin(&self) {
        self.is_begun.set(true);
        self.begin_notify.notify_waiters();
        self.end_notify.notify_waiters();
    }

    /// Whether the shutdown has begun.
    pub fn is_begun(&self) -> bool {
        self.is_begun.get()
    }

    /// Whether the shutdown has begun and no work is open.
    pub fn is_ended(&self) -> bool {
        self.is_begun() && self.open() == 0
    }

    /// Waits until the shutdown has begun; returns at once if it has.
    pub async fn begun(&self) {
        wait_until(&self.begin_notify, || self.is_begun()).await;
    }

    /// Waits until the shutdown is complete; returns at once if it is.
    pub async fn ended(&self) {
        wait_until(&self.end_notify, || self.is_ended()).await;
    }

    /// Number of open work items.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Registers a work item, which is open until the guard is dropped.
    pub fn enter(self: &Rc<Shutdown>) -> WorkGuard {
        self.open.set(self.open() + 1);
        WorkGuard(self.clone())
    }
}

/// Waits for a condition whose changes `notify` signals. The condition is checked after the waiter is registered, so that
/// no notification is missed.
async fn wait_until(notify: &Notify, condition: impl Fn() -> bool) {
    loop {
        let notified = notify.notified();
        if condition() {
            return;
        }
        notified.await;
    }
}

/// Guard of an open work item; the shutdown completes only after it is dropped.
pub struct WorkGuard(Rc<Shutdown>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open() - 1);
        if self.0.is_ended() {
            self.0.end_notify.notify_waiters();
        }
    }
}
