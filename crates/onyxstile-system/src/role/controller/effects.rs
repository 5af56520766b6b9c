//! Executes the effects of the state machine in order; the disk may refuse writes for a while.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use super::ControllerServer;
use crate::clock::Instant;
use crate::control::Durable;
use crate::controller::Effect;

/// Interval between retries of a write that the disk refused.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(250);

impl ControllerServer {
    /// Retries a write that the disk refused; false while it is still refused.
    pub(super) fn retry_disk(&self, now: Instant) -> bool {
        let mut unwritten = self.unwritten.borrow_mut();
        let Some((durable, last_attempt)) = unwritten.as_mut() else { return true };
        if now.since(*last_attempt) < DISK_RETRY_DELAY {
            return false;
        }
        *last_attempt = now;
        let is_saved = self.record.borrow_mut().save(durable).is_ok();
        if is_saved {
            *unwritten = None;
        }
        is_saved
    }

    /// Executes one effect; false if the disk refused it, and then no later effect may be executed.
    pub(super) fn execute(&self, now: Instant, effect: Effect) -> bool {
        match effect {
            Effect::Persist(durable) => {
                let result = self.record.borrow_mut().save(&durable);
                return self.note_write_result(now, result, |_| durable);
            }
            Effect::Append { view, write } => {
                let result = self.record.borrow_mut().append(view, &write);
                // The complete durable state is written instead.
                return self.note_write_result(now, result, |server| server.durable());
            }
            Effect::Send { to, message } => self.send(to, message),
            Effect::Reply { number, outcome } => {
                if let Some(reply) = self.replies.borrow_mut().remove(&number) {
                    // The caller may have timed out.
                    reply.send(outcome).ok();
                }
            }
        }
        true
    }

    /// Returns whether a write succeeded; if not, `full_record` is retried until it does.
    fn note_write_result(
        &self, now: Instant, result: io::Result<()>,
        full_record: impl FnOnce(&ControllerServer) -> Rc<Durable>,
    ) -> bool {
        if let Err(error) = &result {
            log::error!("the disk refused a write: {error}");
            *self.unwritten.borrow_mut() = Some((full_record(self), now));
        }
        result.is_ok()
    }

    fn durable(&self) -> Rc<Durable> {
        Rc::new(self.controller.borrow().durable().clone())
    }

    /// Folds the written records into a snapshot if enough of them have accumulated.
    pub(super) fn snapshot_if_due(&self, now: Instant) {
        if self.record.borrow().is_snapshot_due() {
            let durable = self.durable();
            let result = self.record.borrow_mut().save(&durable);
            self.note_write_result(now, result, |_| durable);
        }
    }
}
