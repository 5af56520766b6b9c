//! Chain replication inside a view: a write travels from head to tail, its acknowledgement from tail to head.

use std::net::Ipv4Addr;

use super::{Controller, Effect, RESEND_INTERVAL};
use crate::clock::Instant;
use std::rc::Rc;

use crate::control::{ChainUpdate, ElectorId, Message, Write};

impl Controller {
    fn neighbour(&self, step: isize) -> Option<ElectorId> {
        let view = self.durable.view.as_ref()?;
        let index = view.chain.iter().position(|id| *id == self.id)?;
        let other = index.checked_add_signed(step)?;
        view.chain.get(other).copied()
    }

    /// Whether this controller belongs to the chain of the installed view.
    pub(super) fn is_chain_member(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.chain.contains(&self.id))
    }

    pub(super) fn is_tail(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.chain.last() == Some(&self.id))
    }

    /// Handles a write from the predecessor. A repeated write is forwarded again, because the messages that followed
    /// the first one may have been lost.
    pub(super) fn apply(&mut self, from: Ipv4Addr, view: u64, written: ChainUpdate) {
        let installed = self.installed();
        if view != installed {
            let message = self.status();
            self.send(from, message);
            return;
        }
        let is_predecessor = self.neighbour(-1).is_some_and(|id| id.address() == from);
        if self.has_promised_next_view() || !is_predecessor {
            return;
        }
        let is_duplicate = written.sequence() == self.durable.state.sequence;
        let is_next = written.sequence() == self.durable.state.sequence + 1;
        if is_next && !self.apply_update(written) {
            log::error!("view {view}: received a write that is based on a different state");
            return;
        }
        if is_next || is_duplicate {
            self.send_to_successor();
        }
    }

    fn apply_update(&mut self, written: ChainUpdate) -> bool {
        match written {
            ChainUpdate::Write(write) => self.append(write),
            ChainUpdate::State(state) => {
                self.durable.state = state;
                self.last_write = None;
                self.persist();
                true
            }
        }
    }

    /// Applies a write to the newest state and appends it to the disk; returns false if the write is based on another
    /// state.
    pub(super) fn append(&mut self, write: Rc<Write>) -> bool {
        if !self.durable.state.apply(&write) {
            return false;
        }
        self.last_write = Some(write.clone());
        self.effects.push(Effect::Append { view: self.installed(), write });
        true
    }

    /// Sends the newest write to the successor; the tail commits it.
    pub(super) fn send_to_successor(&mut self) {
        let view = self.installed();
        let sequence = self.durable.state.sequence;
        match self.neighbour(1) {
            Some(successor) => {
                let written = match self.last_write.clone() {
                    Some(write) => ChainUpdate::Write(write),
                    None => ChainUpdate::State(self.durable.state.clone()),
                };
                self.send(successor.address(), Message::Apply { view, written });
            }
            None => {
                self.loopback.push_back(Message::Applied { view, sequence });
            }
        }
    }

    pub(super) fn applied(&mut self, now: Instant, view: u64, sequence: u64) {
        if view != self.installed() || !self.is_chain_member() || sequence > self.durable.state.sequence {
            return;
        }
        self.commit(sequence);
        if let Some(predecessor) = self.neighbour(-1) {
            self.send(predecessor.address(), Message::Applied { view, sequence });
        }
        self.complete_write(now);
    }

    /// Resends an unacknowledged write.
    pub(super) fn resend(&mut self, now: Instant) {
        if self.has_promised_next_view() {
            return;
        }
        let is_due = self.write.as_ref().is_some_and(|write| now.since(write.sent) >= RESEND_INTERVAL);
        if is_due {
            if let Some(write) = &mut self.write {
                write.sent = now;
            }
            self.send_to_successor();
        }
    }
}
