//! Guards the state machine against a panic within a step, which leaves it half changed: no further step may run, since it
//! could vote or acknowledge by a state that is neither the old nor the new one.

use std::cell::Cell;

use tokio::sync::Notify;

/// State of the guard.
#[derive(Default)]
pub(super) struct StepGuard {
    is_broken: Cell<bool>,
    notify: Notify,
}

impl StepGuard {
    /// Marks a step as running until the returned value is dropped; `None` if an earlier one has panicked.
    pub(super) fn enter(&self) -> Option<RunningStep<'_>> {
        (!self.is_broken.get()).then_some(RunningStep(self))
    }

    /// Waits until a step has panicked.
    pub(super) async fn broken(&self) {
        self.notify.notified().await;
    }
}

/// A running step.
pub(super) struct RunningStep<'a>(&'a StepGuard);

impl Drop for RunningStep<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.is_broken.set(true);
            self.0.notify.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
