//! Writes to the control state. The size of a write depends on what it changes, not on the size of the state.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{AcceptedChange, ControlState, StoredConfiguration};
use crate::configuration::Revision;
use crate::storage_plan::StoragePlan;

/// Maximum number of accepted changes kept in the state; without a limit the state would grow with every change during
/// the lifetime of a deployment.
pub const ACCEPTED_CHANGES_MAX: usize = 8192;

/// The content of a write.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Change {
    /// Replaces the configuration.
    Configuration {
        /// The new configuration.
        configuration: Rc<StoredConfiguration>,
        /// Identifies the change if it is sent again.
        accepted: AcceptedChange,
    },
    /// Replaces the storage plan.
    Storage(Rc<StoragePlan>),
}

/// A write, bound to the state that it is based on.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Write {
    /// Sequence of the resulting state.
    pub sequence: u64,
    /// Digest of the state that it is based on.
    pub base_digest: u64,
    /// The change.
    pub change: Change,
}

impl ControlState {
    /// Creates the write that applies `change` to this state.
    pub fn write(&self, change: Change) -> Write {
        Write { sequence: self.sequence + 1, base_digest: self.digest, change }
    }

    /// Applies a write. Returns false and changes nothing if the write is based on another state.
    pub fn apply(&mut self, write: &Write) -> bool {
        if write.sequence != self.sequence + 1 || write.base_digest != self.digest {
            return false;
        }
        self.digest = digest(write);
        self.sequence = write.sequence;
        match &write.change {
            Change::Configuration { configuration, accepted } => {
                self.configuration = Some(configuration.clone());
                let history = Rc::make_mut(&mut self.accepted);
                history.push(*accepted);
                let surplus = history.len().saturating_sub(ACCEPTED_CHANGES_MAX);
                history.drain(..surplus);
            }
            Change::Storage(plan) => self.storage = plan.clone(),
        }
        true
    }

    /// Whether a change based on `base` may have been accepted and already dropped from the history.
    pub fn predates_history(&self, base: Revision) -> bool {
        let oldest = self.accepted.first().filter(|_| self.accepted.len() >= ACCEPTED_CHANGES_MAX);
        oldest.is_some_and(|oldest| base < oldest.base)
    }
}

fn digest(write: &Write) -> u64 {
    let bytes = borsh::to_vec(&write.change).unwrap_or_default();
    xxh3_64_with_seed(&bytes, write.base_digest ^ write.sequence)
}
