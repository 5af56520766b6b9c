//! One write to the control state. Its size is that of what it changes, however much the state holds.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{AcceptedChange, ControlState, StoredConfiguration};
use crate::configuration::Revision;
use crate::storage_plan::StoragePlan;

/// Taken changes that are remembered; without a bound the state grows with every change of a deployment's life.
pub const ACCEPTED_CHANGES_MAX: usize = 8192;

/// What a write changes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Change {
    /// A configuration that replaces the one before.
    Configuration {
        /// The configuration.
        configuration: Rc<StoredConfiguration>,
        /// What it is known by if it is sent again.
        accepted: AcceptedChange,
    },
    /// A storage plan that replaces the one before.
    Storage(Rc<StoragePlan>),
}

/// One write, and the state that it follows.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Write {
    /// The sequence of the state that it makes.
    pub sequence: u64,
    /// The digest of the state that it is made to.
    pub base_digest: u64,
    /// What it changes.
    pub change: Change,
}

impl ControlState {
    /// The write that makes `change` to this state.
    pub fn write(&self, change: Change) -> Write {
        Write { sequence: self.sequence + 1, base_digest: self.digest, change }
    }

    /// Makes a write; false, and nothing is changed, if it follows another state than this.
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

    /// Whether a change built on `base` may have been taken so long ago that it is no longer remembered.
    pub fn predates_history(&self, base: Revision) -> bool {
        let oldest = self.accepted.first().filter(|_| self.accepted.len() >= ACCEPTED_CHANGES_MAX);
        oldest.is_some_and(|oldest| base < oldest.base)
    }
}

fn digest(write: &Write) -> u64 {
    let bytes = borsh::to_vec(&write.change).unwrap_or_default();
    xxh3_64_with_seed(&bytes, write.base_digest ^ write.sequence)
}
