//! What can no longer be lost, known from what electors say of their disks.
//!
//! After a loss of power the chain as a whole may take long to return; relays need not wait for it. A write of the installed
//! view that is on the disks of a majority of its electors is in every later view: a machine writes nothing in its view once
//! it has promised for the next, so whoever holds the write promises with it, a later view begins with the newest state
//! among the promises of a majority, and any two majorities meet. In one view a sequence stands for one state. An elector
//! that loses its disk is another elector, so its word stays with the disk that it was about.
//!
//! This settles what relays and storage machines are told. What an operator is told still waits for the whole chain, for
//! reads are answered by its tail alone.

use super::Controller;
use crate::control::{ElectorId, Message};

impl Controller {
    /// How far this controller is, for the others.
    pub(super) fn status(&self) -> Message {
        Message::Status {
            from: self.id,
            view: self.installed(),
            committed: self.committed,
            written: self.durable.state.sequence,
        }
    }

    /// Takes in how far an elector's disk has come; one that is heard for the first time is answered at once, for it may
    /// have started a moment ago.
    pub(super) fn receive_written(&mut self, from: ElectorId, view: u64, written: u64) {
        let is_elector = self.durable.view.as_ref().is_some_and(|view| view.electors.contains(&from));
        if view != self.installed() || !is_elector || from == self.id {
            return;
        }
        let is_first = !self.written.contains_key(&from);
        let known = self.written.entry(from).or_default();
        *known = written.max(*known);
        if is_first {
            let status = self.status();
            self.send(from.address(), status);
        }
        self.update_stable();
    }

    /// Settles what is on the disks of a majority.
    fn update_stable(&mut self) {
        let Some(view) = &self.durable.view else { return };
        let newest = self.durable.state.sequence;
        if self.stable.sequence == newest || !view.electors.contains(&self.id) {
            return;
        }
        let holds = |id: &&ElectorId| {
            **id == self.id || self.written.get(*id).is_some_and(|written| *written >= newest)
        };
        let holders = view.electors.iter().filter(holds).count();
        let needed = view.majority().max(self.tolerance.losses() + 1);
        if holders >= needed {
            self.stable = self.durable.state.clone();
        }
    }
}
