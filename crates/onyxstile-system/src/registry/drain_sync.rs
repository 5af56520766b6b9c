//! Whether a controller holds every drain that was acknowledged, so that relays may count it among those they have heard.
//!
//! A drain is on the disks of so many electors that any majority of them meets one. A controller whose disk was lost, or
//! that has just become an elector, may hold none of them: it counts once it has pulled the drains of a majority of those
//! that do hold what they should, itself taken for one of them whose copy is gone. Electors that say of themselves that they
//! don't hold all are not asked for anything, so that several newcomers do not wait for each other. Pure.

use std::collections::{BTreeMap, BTreeSet};

/// A machine's address.
type Address = [u8; 4];

/// What was pulled from the other electors.
#[derive(Debug, Clone, Default)]
pub struct DrainSync {
    is_complete: bool,
    /// Those whose drains were pulled while they held all; they need not be asked again.
    pulled_from: BTreeSet<Address>,
    /// What each said last of itself.
    reported_complete: BTreeMap<Address, bool>,
}

impl DrainSync {
    /// A controller whose disk says whether it holds all.
    pub fn new(is_complete: bool) -> DrainSync {
        DrainSync { is_complete, ..DrainSync::default() }
    }

    /// Whether this controller holds all.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// All drains that an elector holds have been taken in; `is_whole` is what it says of itself.
    pub fn record_pull(&mut self, from: Address, is_complete: bool) {
        self.reported_complete.insert(from, is_complete);
        if is_complete {
            self.pulled_from.insert(from);
        }
    }

    /// Looks whether enough was pulled, given the electors of the newest view; true once, when it has become so.
    pub fn check_complete(&mut self, own: Address, electors: &[Address]) -> bool {
        if self.is_complete || !electors.contains(&own) {
            return false;
        }
        let is_eligible = |ip: &&Address| **ip != own && self.reported_complete.get(*ip) != Some(&false);
        let eligible: Vec<&Address> = electors.iter().filter(is_eligible).collect();
        let pulled_from = eligible.iter().filter(|ip| self.pulled_from.contains(**ip)).count();
        // Itself and those asked, as one electorate: a majority of it, none of which is itself.
        let needed = eligible.len().div_ceil(2) + 1;
        self.is_complete = !eligible.is_empty() && pulled_from >= needed.min(eligible.len());
        self.is_complete
    }
}

/// How many other electors have to hold a drain before it may be acknowledged: enough for any majority to meet one, and for
/// the losses that are to be borne.
pub fn replicas_needed(electors: usize, losses: usize) -> usize {
    let majority = electors / 2 + 1;
    losses.max(electors.saturating_sub(majority))
}
