//! Counts replies towards a quorum in each group of a key, for one key or for the keys of several records. Performs no
//! I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use super::Record;
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

/// Acknowledgements of a write of several records, each of which needs a quorum in each group of its own key.
#[derive(Debug, Clone)]
pub struct WriteQuorum {
    records: Vec<(Record, Quorum)>,
}

impl WriteQuorum {
    /// Creates a write without acknowledgements.
    pub fn new(plan: &StoragePlan, records: &[Record], tolerance: Tolerance) -> WriteQuorum {
        let quorum = |record: &Record| Quorum::new(plan, record.key().placed_by(), tolerance);
        WriteQuorum { records: records.iter().map(|record| (record.clone(), quorum(record))).collect() }
    }

    /// The records that each machine has to write.
    pub fn assignments(&self) -> BTreeMap<Ipv4Addr, Vec<Record>> {
        let mut assignments: BTreeMap<Ipv4Addr, Vec<Record>> = BTreeMap::new();
        for (record, quorum) in &self.records {
            for member in quorum.members() {
                assignments.entry(member).or_default().push(record.clone());
            }
        }
        assignments
    }

    /// Counts the acknowledgement of a machine for all its records; returns true once each record has its quorums.
    pub fn count(&mut self, member: Ipv4Addr) -> bool {
        self.records.iter_mut().fold(true, |is_reached, (_, quorum)| quorum.count(member) && is_reached)
    }
}
