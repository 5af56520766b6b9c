//! Counts replies towards a quorum in each group of a key. Performs no I/O.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::placement::{Group, groups};
use crate::storage_plan::StoragePlan;
use crate::tolerance::Tolerance;

/// Replies to a request about one key.
#[derive(Debug, Clone)]
pub struct Quorum {
    groups: Vec<Group>,
    answered: BTreeSet<Ipv4Addr>,
}

impl Quorum {
    /// Creates a request for `key` without replies.
    pub fn new(plan: &StoragePlan, key: &str, tolerance: Tolerance) -> Quorum {
        Quorum { groups: groups(plan, key, tolerance), answered: BTreeSet::new() }
    }

    /// All machines to query, without duplicates.
    pub fn members(&self) -> Vec<Ipv4Addr> {
        let mut members: Vec<Ipv4Addr> = self.groups.iter().flat_map(|group| group.members.clone()).collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Counts a reply; returns true once each group has a quorum.
    pub fn count(&mut self, member: Ipv4Addr) -> bool {
        self.answered.insert(member);
        self.is_reached()
    }

    /// Whether each group has a quorum.
    pub fn is_reached(&self) -> bool {
        self.groups.iter().all(|group| {
            let answered = group.members.iter().filter(|member| self.answered.contains(member)).count();
            group.quorum > 0 && answered >= group.quorum
        })
    }
}
