//! Determines which state can no longer be lost, from the reports of electors about their disks.
//!
//! After a power loss the complete chain may take long to return, and relays need not wait for it. A write of the
//! installed view that is on the disks of a majority of its electors is in every later view: a machine does not write
//! in its view after it has promised for the next, so every holder of the write promises with it; a later view begins
//! with the newest state among the promises of a majority; and any two majorities intersect. Within one view a sequence
//! identifies one state. An elector that loses its disk becomes another elector, so its reports stay bound to the lost
//! disk.
//!
//! This determines what relays and storage machines receive. Operators still wait for the whole chain, because reads
//! are answered by its tail alone.

use super::Controller;
use crate::control::{ElectorId, Message};

impl Controller {
    /// The status message of this controller.
    pub(super) fn status(&self) -> Message {
        Message::Status {
            from: self.id,
            view: self.installed(),
            committed: self.committed,
            written: self.durable.state.sequence,
        }
    }

    /// Records the progress of an elector's disk. The first report of an elector is answered at once, because it may
    /// have just started.
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

    /// Marks the newest state stable if a majority has it on disk.
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
