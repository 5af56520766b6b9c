//! Tracks whether a controller holds every acknowledged drain, so that relays may count it towards their majority.
//!
//! A drain is on the disks of enough electors that any majority of them includes one. A controller that lost its disk,
//! or that has just become an elector, may hold none: it is complete once it has pulled the drains of a majority of the
//! complete electors, counting itself as one of them whose copy is lost. Electors that report themselves incomplete are
//! left out, so that several new electors do not wait for each other. No I/O is performed here.

use std::collections::{BTreeMap, BTreeSet};

/// A machine's address.
type Address = [u8; 4];

/// Progress of pulling drains from the other electors.
#[derive(Debug, Clone, Default)]
pub struct DrainSync {
    is_complete: bool,
    /// Electors whose drains were pulled while they were complete; they need not be pulled again.
    pulled_from: BTreeSet<Address>,
    /// Last reported completeness of each elector.
    reported_complete: BTreeMap<Address, bool>,
}

impl DrainSync {
    /// Creates the state of a controller whose disk records whether it is complete.
    pub fn new(is_complete: bool) -> DrainSync {
        DrainSync { is_complete, ..DrainSync::default() }
    }

    /// Whether this controller holds all acknowledged drains.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that all drains of an elector were merged; `is_complete` is its own report.
    pub fn record_pull(&mut self, from: Address, is_complete: bool) {
        self.reported_complete.insert(from, is_complete);
        if is_complete {
            self.pulled_from.insert(from);
        }
    }

    /// Checks whether enough electors of the newest view were pulled; returns true once, when that becomes the case.
    pub fn check_complete(&mut self, own: Address, electors: &[Address]) -> bool {
        if self.is_complete || !electors.contains(&own) {
            return false;
        }
        let is_eligible = |ip: &&Address| **ip != own && self.reported_complete.get(*ip) != Some(&false);
        let eligible: Vec<&Address> = electors.iter().filter(is_eligible).collect();
        let pulled_from = eligible.iter().filter(|ip| self.pulled_from.contains(**ip)).count();
        // This controller and the eligible electors form one electorate: a majority of it is needed, not counting this
        // controller.
        let needed = eligible.len().div_ceil(2) + 1;
        self.is_complete = !eligible.is_empty() && pulled_from >= needed.min(eligible.len());
        self.is_complete
    }
}

/// Number of other electors that must store a drain before it may be acknowledged: enough to intersect any majority,
/// and enough for the tolerated losses.
pub fn replicas_needed(electors: usize, losses: usize) -> usize {
    let majority = electors / 2 + 1;
    losses.max(electors.saturating_sub(majority))
}
