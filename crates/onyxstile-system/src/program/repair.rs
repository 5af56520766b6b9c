//! How far a storage machine has copied what it should hold from the others, and what it may say because of it. Pure.
//!
//! Nothing here follows from time alone. The argument, for one key whose group has 2f + 1 members, of which f + 1 hold each
//! acknowledged record. *Settled* members are those before a change that is under way, else the current ones.
//!
//! - A settled member that lost its disk may itself have been one of the f + 1; f others of the remaining 2f still hold the
//!   record. It meets one of them once it has copied from all settled members but f - 1, each of which was whole. With another
//!   disk it is another member, and copies by the plan that takes that one in: by then whoever it copies from refuses writes
//!   that go by the plan before, so none is acknowledged by the lost disk and, after the copy, by one more machine.
//! - A newcomer, or a member that merely missed a write, needs one of f + 1 holders among 2f + 1, or among the other 2f:
//!   all settled members but f are enough.
//! - Newcomers are asked for nothing: what they hold was written by quorums of the settled members as well. So newcomers do
//!   not wait for each other, and a member that lost its disk does not wait for them.
//! - While a plan changes, a current member that is *synced* for its epoch holds every record of its keys from before that
//!   epoch, and records written since are on f + 1 current members. So a copy from all current members but f (f - 1 for one
//!   that is a member itself), each of them synced, is as good: a settled member that is gone for good is then not missed.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Instant;
use crate::storage_plan::{StorageNode, StoragePlan};
use crate::tolerance::{Location, Tolerance};

/// A machine that has not answered for this long counts as out of reach; it is then not waited for where it isn't needed.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);

/// How far the copy from one other machine is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Source {
    /// The life of that machine that the counter belongs to.
    pub origin: u64,
    /// The newest of its changes that was dealt with.
    pub counter: u64,
    /// The epoch that both went by when all its changes had been dealt with; 0 if they never were.
    copied_epoch: u64,
    /// The epoch for which that machine was synced when all its changes had been dealt with by that epoch.
    synced_epoch: u64,
    /// When it answered last as one that is whole.
    last_complete_reply: Option<Instant>,
}

/// One answer about the changes at another machine, once everything in it has been copied.
#[derive(Debug, Clone, Copy)]
pub struct CopiedChanges {
    /// The life of that machine.
    pub origin: u64,
    /// The newest change that was among the answer's.
    pub counter: u64,
    /// Whether there were no later ones.
    pub is_last: bool,
    /// The epoch that the machine went by.
    pub epoch: u64,
    /// Whether it holds all that it should.
    pub is_complete: bool,
    /// The newest epoch for which it was synced.
    pub synced_epoch: u64,
    /// The epoch that this machine went by when it looked which keys are its own.
    pub evaluated_epoch: u64,
}

/// What the progress allows a machine to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// It holds all that it should: its answers may count towards quorums.
    pub is_complete: bool,
    /// It holds all that the plan's epoch gives it.
    pub is_synced: bool,
}

/// The copies from all others.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    sources: BTreeMap<Ipv4Addr, Source>,
    members: Vec<Ipv4Addr>,
}

impl Progress {
    /// Goes by a newer plan; returns the machines that have to be copied from and weren't before.
    pub fn apply_plan(&mut self, own: Ipv4Addr, before: &StoragePlan, plan: &StoragePlan) -> Vec<Ipv4Addr> {
        if !plan.has_same_placement(before) {
            // Other keys are its own now: what was passed over has to be looked at again.
            self.sources.values_mut().for_each(|source| *source = Source::default());
        }
        let members: Vec<Ipv4Addr> =
            plan.all().iter().map(|node| node.address()).filter(|ip| *ip != own).collect();
        let added = members.iter().copied().filter(|ip| !self.members.contains(ip)).collect();
        self.members = members;
        added
    }

    /// Whether a machine is to be copied from.
    pub fn is_member(&self, ip: Ipv4Addr) -> bool {
        self.members.contains(&ip)
    }

    /// How far the copy from a machine is.
    pub fn source(&self, ip: Ipv4Addr) -> Source {
        self.sources.get(&ip).copied().unwrap_or_default()
    }

    /// Whether all changes of a machine have been dealt with by the plan's epoch.
    pub fn is_copied(&self, ip: Ipv4Addr, epoch: u64) -> bool {
        self.sources.get(&ip).is_some_and(|source| source.copied_epoch >= epoch)
    }

    /// Notes an answer that followed a question with `before`.
    pub fn note(&mut self, now: Instant, ip: Ipv4Addr, before: Source, copied: CopiedChanges, epoch: u64) {
        let source = self.sources.entry(ip).or_default();
        if copied.is_complete {
            source.last_complete_reply = Some(now);
        }
        let was_reset = source.origin != before.origin || source.counter != before.counter;
        if was_reset || copied.evaluated_epoch != epoch {
            // A plan came in between; the answer was looked at by the old one.
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

    /// Forgets a machine that is no member any more.
    pub fn forget(&mut self, ip: Ipv4Addr) {
        self.sources.remove(&ip);
    }

    /// What the progress allows a machine with this disk to say; `is_whole` is what was allowed before.
    pub fn assess(
        &self, now: Instant, own: (Ipv4Addr, u64), plan: &StoragePlan, is_complete: bool,
        tolerance: Tolerance,
    ) -> Assessment {
        let (own, disk) = own;
        if !plan.includes(own, disk) {
            // It is to hold nothing, which says nothing of what a later plan gives it.
            return Assessment { is_complete, is_synced: false };
        }
        let settled = plan.committed_members();
        let is_copied = |node: &StorageNode| self.is_copied(node.address(), plan.epoch);
        let missing = missing(settled, own, is_copied);
        let has_copied_current = self.has_copied_current(own, plan, tolerance);
        let is_complete =
            is_complete || has_copied_current || tolerance.covers(&with_own_loss(&missing, settled, own));
        // One that holds nothing itself is not waited for: it may wait for this machine, or be about to leave for good.
        let is_reachable = |node: &&StorageNode| {
            let answered = self.sources.get(&node.address()).and_then(|source| source.last_complete_reply);
            answered.is_some_and(|at| now.since(at) < UNREACHABLE_AFTER)
        };
        let has_copied_settled = tolerance.covers(&locations(&missing))
            && !missing.iter().copied().any(|node| is_reachable(&node));
        Assessment { is_complete, is_synced: is_complete && (has_copied_settled || has_copied_current) }
    }

    /// Whether enough current members were copied from that were synced for the plan's epoch.
    fn has_copied_current(&self, own: Ipv4Addr, plan: &StoragePlan, tolerance: Tolerance) -> bool {
        let is_synced = |node: &StorageNode| {
            self.sources.get(&node.address()).is_some_and(|source| source.synced_epoch >= plan.epoch)
        };
        let missing = missing(&plan.current, own, is_synced);
        plan.is_changing() && tolerance.covers(&with_own_loss(&missing, &plan.current, own))
    }
}

/// Those of some other machines that are not as far as `is_done` asks.
fn missing(
    nodes: &[StorageNode], own: Ipv4Addr, is_done: impl Fn(&StorageNode) -> bool,
) -> Vec<&StorageNode> {
    nodes.iter().filter(|node| node.address() != own && !is_done(node)).collect()
}

fn locations<'a>(nodes: &[&'a StorageNode]) -> Vec<&'a Location> {
    nodes.iter().map(|node| &node.location).collect()
}

/// The places of missing machines, and of this one where its lost disk may have been one of a quorum among `members`.
fn with_own_loss<'a>(
    missing: &[&'a StorageNode], members: &'a [StorageNode], own: Ipv4Addr,
) -> Vec<&'a Location> {
    let own_loss = members.iter().filter(|node| node.address() == own).map(|node| &node.location);
    locations(missing).into_iter().chain(own_loss).collect()
}
