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
pub struct Copies {
    is_whole: bool,
    /// Those whose drains were pulled while they held all; they need not be asked again.
    copied: BTreeSet<Address>,
    /// What each said last of itself.
    holds_all: BTreeMap<Address, bool>,
}

impl Copies {
    /// A controller whose disk says whether it holds all.
    pub fn new(is_whole: bool) -> Copies {
        Copies { is_whole, ..Copies::default() }
    }

    /// Whether this controller holds all.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// All drains that an elector holds have been taken in; `is_whole` is what it says of itself.
    pub fn pulled(&mut self, from: Address, is_whole: bool) {
        self.holds_all.insert(from, is_whole);
        if is_whole {
            self.copied.insert(from);
        }
    }

    /// Looks whether enough was pulled, given the electors of the newest view; true once, when it has become so.
    pub fn review(&mut self, own: Address, electors: &[Address]) -> bool {
        if self.is_whole || !electors.contains(&own) {
            return false;
        }
        let is_asked = |ip: &&Address| **ip != own && self.holds_all.get(*ip) != Some(&false);
        let asked: Vec<&Address> = electors.iter().filter(is_asked).collect();
        let copied = asked.iter().filter(|ip| self.copied.contains(**ip)).count();
        // Itself and those asked, as one electorate: a majority of it, none of which is itself.
        let needed = asked.len().div_ceil(2) + 1;
        self.is_whole = !asked.is_empty() && copied >= needed.min(asked.len());
        self.is_whole
    }
}

/// How many other electors have to hold a drain before it may be acknowledged: enough for any majority to meet one, and for
/// the losses that are to be borne.
pub fn holders_needed(electors: usize, losses: usize) -> usize {
    let majority = electors / 2 + 1;
    losses.max(electors.saturating_sub(majority))
}
