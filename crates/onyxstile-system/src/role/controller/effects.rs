//! Effects of the state machine, carried out in their order; the disk may refuse for a while.

use std::time::Duration;

use super::Node;
use crate::clock::Instant;
use crate::controller::Effect;
use crate::disk;

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
        let is_written = self.versions.borrow_mut().write(&disk::encode(&**durable)).is_ok();
        if is_written {
            *unwritten = None;
        }
        is_written
    }

    /// Carries one effect out; false if the disk refused it, and then nothing after it may be done.
    pub(super) fn carry_out(&self, now: Instant, effect: Effect) -> bool {
        match effect {
            Effect::Persist(durable) => {
                let result = self.versions.borrow_mut().write(&disk::encode(&*durable));
                if let Err(error) = result {
                    log::error!("the disk refuses a write: {error}");
                    *self.unwritten.borrow_mut() = Some((durable, now));
                    return false;
                }
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
}
