//! How far a controller is, for whoever carries it and for those who ask.

use std::rc::Rc;

use super::Controller;
use crate::control::{ControlState, Durable, View};

impl Controller {
    /// The installed view.
    pub fn view(&self) -> Option<&Rc<View>> {
        self.durable.view.as_ref()
    }

    /// What is to be on the disk.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// The newest state that no later view can lack; `None` where no view has taken this machine in.
    pub fn committed_state(&self) -> Option<&ControlState> {
        self.durable.view.as_ref().map(|_| &self.stable)
    }

    /// Whether no later view can lack anything that this controller has on its disk.
    pub fn is_stable(&self) -> bool {
        self.durable.view.is_some() && self.stable.sequence == self.durable.state.sequence
    }

    /// Whether this controller is the head of a chain that still writes.
    pub fn is_head(&self) -> bool {
        !self.is_wedged()
            && self.durable.view.as_ref().is_some_and(|view| view.chain.first() == Some(&self.id))
    }

    /// Writes that wait here, and the one that is under way.
    pub fn waiting_writes(&self) -> usize {
        self.queue.len() + usize::from(self.write.is_some())
    }

    /// The number of the installed view; 0 for none.
    pub fn installed(&self) -> u64 {
        self.durable.view.as_ref().map_or(0, |view| view.number)
    }

    /// Whether this machine votes in the installed view; one that doesn't is a standby.
    pub fn is_elector(&self) -> bool {
        self.durable.view.as_ref().is_some_and(|view| view.electors.contains(&self.id))
    }
}
