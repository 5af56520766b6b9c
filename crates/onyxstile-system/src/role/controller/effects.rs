//! Effects of the state machine, carried out in their order; the disk may refuse for a while.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::clock::Instant;
use crate::control::Durable;
use crate::controller::Effect;

/// A write that the disk refused is tried again after this time.
const DISK_PAUSE: Duration = Duration::from_millis(250);

impl Node {
    /// Writes what the disk refused before; false as long as there is such.
    pub(super) fn retry_disk(&self, now: Instant) -> bool {
        let mut unwritten = self.unwritten.borrow_mut();
        let Some((durable, tried)) = unwritten.as_mut() else { return true };
        if now.since(*tried) < DISK_PAUSE {
            return false;
        }
        *tried = now;
        let is_written = self.record.borrow_mut().save(durable).is_ok();
        if is_written {
            *unwritten = None;
        }
        is_written
    }

    /// Carries one effect out; false if the disk refused it, and then nothing after it may be done.
    pub(super) fn carry_out(&self, now: Instant, effect: Effect) -> bool {
        match effect {
            Effect::Persist(durable) => {
                let result = self.record.borrow_mut().save(&durable);
                return self.is_written(now, result, |_| durable);
            }
            Effect::Append { view, write } => {
                let result = self.record.borrow_mut().append(view, &write);
                // The whole of what this machine has come to goes in its place.
                return self.is_written(now, result, |node| node.durable());
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
    fn is_written(
        &self, now: Instant, result: io::Result<()>, whole: impl FnOnce(&Node) -> Rc<Durable>,
    ) -> bool {
        if let Err(error) = &result {
            log::error!("the disk refuses a write: {error}");
            *self.unwritten.borrow_mut() = Some((whole(self), now));
        }
        result.is_ok()
    }

    fn durable(&self) -> Rc<Durable> {
        Rc::new(self.controller.borrow().durable().clone())
    }

    /// Folds writes into a snapshot where there are enough of them.
    pub(super) fn fold_writes(&self, now: Instant) {
        if self.record.borrow().is_snapshot_due() {
            let durable = self.durable();
            let result = self.record.borrow_mut().save(&durable);
            self.is_written(now, result, |_| durable);
        }
    }
}
