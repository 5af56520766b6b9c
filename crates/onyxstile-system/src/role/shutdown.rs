//! The orderly end of a role's work: nothing new is begun once it has been told to end, and it has ended once all that was
//! begun has.
//!
//! Both are states that whoever asks later finds as well, not notices for those who wait at that moment.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// How far the end is.
#[derive(Default)]
pub struct Shutdown {
    is_begun: Cell<bool>,
    begin_notify: Notify,
    open: Cell<usize>,
    end_notify: Notify,
}

impl Shutdown {
    /// From now on nothing new is begun.
    pub fn begin(&self) {
        self.is_begun.set(true);
        self.begin_notify.notify_waiters();
        self.end_notify.notify_waiters();
    }

    /// Whether it has begun.
    pub fn is_begun(&self) -> bool {
        self.is_begun.get()
    }

    /// Whether it has begun and nothing is open that was begun before.
    pub fn is_ended(&self) -> bool {
        self.is_begun() && self.open() == 0
    }

    /// Returns once it has begun, at once if that was before.
    pub async fn begun(&self) {
        wait_until(&self.begin_notify, || self.is_begun()).await;
    }

    /// Returns once it has ended, at once if that was before.
    pub async fn ended(&self) {
        wait_until(&self.end_notify, || self.is_ended()).await;
    }

    /// Work that is open, in pieces.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Begins a piece of work.
    pub fn enter(self: &Rc<Shutdown>) -> WorkGuard {
        self.open.set(self.open() + 1);
        WorkGuard(self.clone())
    }
}

/// Waits for a state of which `notify` tells those who wait. It is looked at after the wait has begun: between the two no notice
/// can pass unheard.
async fn wait_until(notify: &Notify, condition: impl Fn() -> bool) {
    loop {
        let notified = notify.notified();
        if condition() {
            return;
        }
        notified.await;
    }
}

/// A piece of work; the end waits for as long as it lives.
pub struct WorkGuard(Rc<Shutdown>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open() - 1);
        if self.0.is_ended() {
            self.0.end_notify.notify_waiters();
        }
    }
}
