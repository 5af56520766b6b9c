//! Effects of the state machine, carried out in their order; the disk may refuse for a while.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use super::ControllerServer;
use crate::clock::Instant;
use crate::control::Durable;
use crate::controller::Effect;

/// A write that the disk refused is tried again after this time.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(250);

impl ControllerServer {
    /// Writes what the disk refused before; false as long as there is such.
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

    /// Carries one effect out; false if the disk refused it, and then nothing after it may be done.
    pub(super) fn execute(&self, now: Instant, effect: Effect) -> bool {
        match effect {
            Effect::Persist(durable) => {
                let result = self.record.borrow_mut().save(&durable);
                return self.note_write_result(now, result, |_| durable);
            }
            Effect::Append { view, write } => {
                let result = self.record.borrow_mut().append(view, &write);
                // The whole of what this machine has come to goes in its place.
                return self.note_write_result(now, result, |server| server.durable());
            }
            Effect::Send { to, message } => self.send(to, message),
            Effect::Reply { number, outcome } => {
                if let Some(reply) = self.replies.borrow_mut().remove(&number) {
                    // Whoever asked may have gone.
                    reply.send(outcome).ok();
                }
            }
        }
        true
    }

    /// Whether the disk took a write; if it refused, `whole` is tried again until it does.
    fn note_write_result(
        &self, now: Instant, result: io::Result<()>,
        full_record: impl FnOnce(&ControllerServer) -> Rc<Durable>,
    ) -> bool {
        if let Err(error) = &result {
            log::error!("the disk refuses a write: {error}");
            *self.unwritten.borrow_mut() = Some((full_record(self), now));
        }
        result.is_ok()
    }

    fn durable(&self) -> Rc<Durable> {
        Rc::new(self.controller.borrow().durable().clone())
    }

    /// Folds writes into a snapshot where there are enough of them.
    pub(super) fn snapshot_if_due(&self, now: Instant) {
        if self.record.borrow().is_snapshot_due() {
            let durable = self.durable();
            let result = self.record.borrow_mut().save(&durable);
            self.note_write_result(now, result, |_| durable);
        }
    }
}
