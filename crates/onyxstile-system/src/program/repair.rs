//! Repair progress of a storage machine: which records it has copied from the other machines, and which statements it
//! may make as a result. Performs no I/O.
//!
//! Nothing is derived from elapsed time alone. The argument, for one key whose group has 2f + 1 members, of which f + 1
//! store each acknowledged record. The *committed* members are the previous members while the plan changes, otherwise
//! the current ones.
//!
//! - A committed member that lost its disk may have been one of the f + 1; f of the remaining 2f still store the
//!   record. It reaches one of them once it has copied from all committed members but f - 1, each of which was
//!   complete. With a new disk it is a different member and copies under the plan that includes the new disk. By then
//!   its sources reject writes under the previous plan, so no record is acknowledged by the lost disk and, after the
//!   copy, by only one more machine.
//! - A new member, or a member that merely missed a write, needs one of f + 1 holders among 2f + 1, or among the other
//!   2f: all committed members but f are enough.
//! - New members are not required as sources: their records were also written by quorums of the committed members. So
//!   new members do not wait for each other, and a member that lost its disk does not wait for them.
//! - While a plan changes, a current member that is *synced* for the plan's epoch stores every record of its keys from
//!   before that epoch, and records written since are on f + 1 current members. A copy from all current members but f
//!   (f - 1 for a machine that is itself a member), each of them synced, is therefore equivalent, and a committed
//!   member that is permanently lost is not needed.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Instant;
use crate::storage_plan::{StorageNode, StoragePlan};
use crate::tolerance::{Location, Tolerance};

/// A machine that has not answered for this long counts as unreachable and is not waited for unless it is required.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);

/// Copy progress from one other machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Source {
    /// Incarnation of the machine that the counter belongs to.
    pub origin: u64,
    /// Newest change that was processed.
    pub counter: u64,
    /// Epoch of both machines when all changes had been processed; 0 if that has not happened.
    copied_epoch: u64,
    /// Epoch for which the machine was synced when all its changes had been processed under that epoch.
    synced_epoch: u64,
    /// Time of the last reply in which the machine was complete.
    last_complete_reply: Option<Instant>,
}

/// A reply with another machine's changes, after everything in it has been copied.
#[derive(Debug, Clone, Copy)]
pub struct CopiedChanges {
    /// Incarnation of the machine.
    pub origin: u64,
    /// Newest change in the reply.
    pub counter: u64,
    /// Whether there were no later changes.
    pub is_last: bool,
    /// Epoch of the machine.
    pub epoch: u64,
    /// Whether the machine stores all records that it should.
    pub is_complete: bool,
    /// Newest epoch for which the machine was synced.
    pub synced_epoch: u64,
    /// Epoch under which this machine determined which keys it has to store.
    pub evaluated_epoch: u64,
}

/// Statements that a machine may make, given its progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The machine stores all records that it should; its replies may count towards quorums.
    pub is_complete: bool,
    /// The machine stores all records that the plan's epoch assigns to it.
    pub is_synced: bool,
}

/// Copy progress from all other machines.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    sources: BTreeMap<Ipv4Addr, Source>,
    members: Vec<Ipv4Addr>,
}

impl Progress {
    /// Applies a newer plan; returns the machines that have become sources.
    pub fn apply_plan(&mut self, own: Ipv4Addr, before: &StoragePlan, plan: &StoragePlan) -> Vec<Ipv4Addr> {
        if !plan.has_same_placement(before) {
            // The machine has to store different keys, so that skipped records have to be examined again.
            self.sources.values_mut().for_each(|source| *source = Source::default());
        }
        let members: Vec<Ipv4Addr> =
            plan.all().iter().map(|node| node.address()).filter(|ip| *ip != own).collect();
        let added = members.iter().copied().filter(|ip| !self.members.contains(ip)).collect();
        self.members = members;
        added
    }

    /// Whether a machine is a source.
    pub fn is_member(&self, ip: Ipv4Addr) -> bool {
        self.members.contains(&ip)
    }

    /// Copy progress from a machine.
    pub fn source(&self, ip: Ipv4Addr) -> Source {
        self.sources.get(&ip).copied().unwrap_or_default()
    }

    /// Whether all changes of a machine have been processed under the plan's epoch.
    pub fn is_copied(&self, ip: Ipv4Addr, epoch: u64) -> bool {
        self.sources.get(&ip).is_some_and(|source| source.copied_epoch >= epoch)
    }

    /// Records the reply to a request that was sent with the progress `before`.
    pub fn note(&mut self, now: Instant, ip: Ipv4Addr, before: Source, copied: CopiedChanges, epoch: u64) {
        let source = self.sources.entry(ip).or_default();
        if copied.is_complete {
            source.last_complete_reply = Some(now);
        }
        let was_reset = source.origin != before.origin || source.counter != before.counter;
        if was_reset || copied.evaluated_epoch != epoch {
            // The plan has changed in the meantime; the reply was evaluated under the previous one.
            return;
        }
        source.origin = copied.origin;
        source.counter = copied.counter;
        if copied.is_last && copied.is_complete {
            source.copied_epoch = copied.epoch.min(epoch);
        }
        if copied.is_last && copied.epoch >= copied.synced_epoch {
            source.synced_epoch = copied.synced_epoch.min(epoch);
        }
    }

    /// Removes a machine that is no longer a member.
    pub fn forget(&mut self, ip: Ipv4Addr) {
        self.sources.remove(&ip);
    }

    /// Statements that a machine with this disk may make; `is_complete` is the previous assessment.
    pub fn assess(
        &self, now: Instant, own: (Ipv4Addr, u64), plan: &StoragePlan, is_complete: bool,
        tolerance: Tolerance,
    ) -> Assessment {
        let (own, disk) = own;
        if !plan.includes(own, disk) {
            // The plan assigns no keys to this machine, which implies nothing about later plans.
            return Assessment { is_complete, is_synced: false };
        }
        let committed = plan.committed_members();
        let is_copied = |node: &StorageNode| self.is_copied(node.address(), plan.epoch);
        let missing = missing(committed, own, is_copied);
        let has_copied_current = self.has_copied_current(own, plan, tolerance);
        let is_complete =
            is_complete || has_copied_current || tolerance.covers(&with_own_loss(&missing, committed, own));
        // An incomplete machine is not waited for: it may itself wait for this machine or be about to leave
        // permanently.
        let is_reachable = |node: &&StorageNode| {
            let answered = self.sources.get(&node.address()).and_then(|source| source.last_complete_reply);
            answered.is_some_and(|at| now.since(at) < UNREACHABLE_AFTER)
        };
        let has_copied_committed = tolerance.covers(&locations(&missing))
            && !missing.iter().copied().any(|node| is_reachable(&node));
        Assessment { is_complete, is_synced: is_complete && (has_copied_committed || has_copied_current) }
    }

    /// Whether enough current members that were synced for the plan's epoch have been copied from.
    fn has_copied_current(&self, own: Ipv4Addr, plan: &StoragePlan, tolerance: Tolerance) -> bool {
        let is_synced = |node: &StorageNode| {
            self.sources.get(&node.address()).is_some_and(|source| source.synced_epoch >= plan.epoch)
        };
        let missing = missing(&plan.current, own, is_synced);
        plan.is_changing() && tolerance.covers(&with_own_loss(&missing, &plan.current, own))
    }
}

/// The other machines for which `is_done` is false.
fn missing(
    nodes: &[StorageNode], own: Ipv4Addr, is_done: impl Fn(&StorageNode) -> bool,
) -> Vec<&StorageNode> {
    nodes.iter().filter(|node| node.address() != own && !is_done(node)).collect()
}

fn locations<'a>(nodes: &[&'a StorageNode]) -> Vec<&'a Location> {
    nodes.iter().map(|node| &node.location).collect()
}

/// Locations of the missing machines and of this one if its lost disk may have been part of a quorum of `members`.
fn with_own_loss<'a>(
    missing: &[&'a StorageNode], members: &'a [StorageNode], own: Ipv4Addr,
) -> Vec<&'a Location> {
    let own_loss = members.iter().filter(|node| node.address() == own).map(|node| &node.location);
    locations(missing).into_iter().chain(own_loss).collect()
}
