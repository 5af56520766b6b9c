//! Read-only accessors for the state of a controller.

use std::rc::Rc;

use super::Controller;
use crate::control::{ControlState, Durable, View};

impl Controller {
    /// The installed view.
    pub fn view(&self) -> Option<&Rc<View>> {
        self.durable.view.as_ref()
    }

    /// The record that must be on the disk.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// The newest state that every later view contains; `None` if this machine has never belonged to a view.
    pub fn committed_state(&self) -> Option<&ControlState> {
        self.durable.view.as_ref().map(|_| &self.stable)
    }

    /// Whether every later view contains all writes on this controller's disk.
    pub fn is_stable(&self) -> bool {
        self.durable.view.is_some() && self.stable.sequence == self.durable.state.sequence
    }

    /// Whether this controller is the head of a chain that accepts writes.
    pub fn is_head(&self) -> bool {
        !self.has_promised_next_view()
            && self.durable.view.as_ref().is_some_and(|view| view.chain.first() == Some(&self.id))
    }

    /// Number of queued writes, including the one in progress.
    pub fn waiting_writes(&self) -> usize {
        self.queue.len() + usize::from(self.write.is_some())
    }

    /// The number of the installed view; 0 for none.
    pub fn installed(&self) -> u64 {
        self.durable.view.as_ref().map_or(0, |view| view.number)
    }

    /// Whether this machine votes in the installed view; a machine that does not is a standby.
    pub fn is_elector(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.electors.contains(&self.id))
    }
}
