//! Chain replication inside a view: a write goes down the chain, its acknowledgement comes up from the tail.

use std::net::Ipv4Addr;

use super::{Controller, RESEND_AFTER};
use crate::clock::Instant;
use crate::control::{ControlState, ElectorId, Message};

impl Controller {
    fn neighbour(&self, step: isize) -> Option<ElectorId> {
        let view = self.durable.view.as_ref()?;
        let place = view.chain.iter().position(|id| *id == self.id)?;
        let other = place.checked_add_signed(step)?;
        view.chain.get(other).copied()
    }

    /// Whether this controller stands in the chain of the installed view.
    pub(super) fn is_chained(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.chain.contains(&self.id))
    }

    pub(super) fn is_tail(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.chain.last() == Some(&self.id))
    }

    /// A write from the predecessor. One that came before is passed on again, for what followed it may have been lost.
    pub(super) fn apply(&mut self, from: Ipv4Addr, view: u64, state: ControlState) {
        let installed = self.installed();
        if view != installed {
            let message = Message::Status { from: self.id, view: installed, committed: self.committed };
            self.send(from, message);
            return;
        }
        let is_predecessor = self.neighbour(-1).is_some_and(|id| id.address() == from);
        if self.is_wedged() || !is_predecessor {
            return;
        }
        if state.sequence == self.durable.state.sequence + 1 {
            self.durable.state = state;
            self.persist();
        } else if state.sequence != self.durable.state.sequence {
            return;
        }
        self.pass_down();
    }

    /// Sends the newest write to the successor; the tail commits it.
    pub(super) fn pass_down(&mut self) {
        let view = self.installed();
        let state = self.durable.state.clone();
        match self.neighbour(1) {
            Some(successor) => self.send(successor.address(), Message::Apply { view, state }),
            None => {
                let sequence = state.sequence;
                self.loopback.push_back(Message::Applied { view, sequence });
            }
        }
    }

    pub(super) fn applied(&mut self, now: Instant, view: u64, sequence: u64) {
        if view != self.installed() || !self.is_chained() || sequence > self.durable.state.sequence {
            return;
        }
        self.commit(sequence);
        if let Some(predecessor) = self.neighbour(-1) {
            self.send(predecessor.address(), Message::Applied { view, sequence });
        }
        self.settle_write(now);
    }

    /// Sends a write again that nobody has acknowledged.
    pub(super) fn resend(&mut self, now: Instant) {
        if self.is_wedged() {
            return;
        }
        let is_due = self.write.as_ref().is_some_and(|write| now.since(write.sent) >= RESEND_AFTER);
        if is_due {
            if let Some(write) = &mut self.write {
                write.sent = now;
            }
            self.pass_down();
        }
    }
}
