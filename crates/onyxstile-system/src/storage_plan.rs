//! Which storage machines there are, as agreed through the chain, and how the plan follows what happens to them.
//!
//! While a plan changes, quorums of both the old and the new members are needed; the change ends once all new members
//! say that they hold what is theirs. Pure.

mod planning;

use std::net::Ipv4Addr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::tolerance::{Location, Tolerance};

/// One storage machine with one particular disk. With another disk it is another member: what was acknowledged by the one
/// is no word of the other's, so the plan changes, and writes that go by the plan before are refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct StorageNode {
    /// Its name, as the operator calls it.
    pub name: String,
    /// Its address.
    pub ip: [u8; 4],
    /// The id of its disk.
    pub disk: u64,
    /// Where it stands.
    pub location: Location,
}

impl StorageNode {
    /// Its address.
    pub fn address(&self) -> Ipv4Addr {
        self.ip.into()
    }
}

/// The agreed storage machines.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct StoragePlan {
    /// Rises by one with each plan; 0 before the first.
    pub epoch: u64,
    /// The members.
    pub current: Vec<StorageNode>,
    /// The members before a change that is under way; empty otherwise.
    pub previous: Vec<StorageNode>,
    /// Names of machines that were retired and take no part again.
    pub retired: Vec<String>,
    /// How many members the deployment is meant to have.
    pub size: u32,
}

/// What the one that plans knows of a storage machine.
#[derive(Debug, Clone)]
pub struct Observed {
    /// The machine.
    pub node: StorageNode,
    /// How long it has been held dead; `None` while it is not.
    pub dead_for: Option<Duration>,
    /// The newest epoch for which it said that it holds what is its own.
    pub synced_epoch: u64,
}

/// Why a machine can't be retired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireRefusal {
    /// There is no such machine.
    Unknown,
    /// Too few would be left.
    TooFew,
    /// Too few would be left as long as some members are dead.
    TooFewAlive,
    /// Another change is under way; whom it leaves is not known yet.
    Changing,
}

impl StoragePlan {
    /// Members of the plan and of the one before; those of both twice.
    pub fn members(&self) -> impl Iterator<Item = &StorageNode> {
        self.current.iter().chain(&self.previous)
    }

    /// Members of the plan and of the one before, each once.
    pub fn all(&self) -> Vec<StorageNode> {
        let mut all = self.current.clone();
        all.extend(self.previous.iter().filter(|node| !self.current.contains(node)).cloned());
        all
    }

    /// The members whose quorums hold every acknowledged record: those before a change that is under way, else the current.
    pub fn committed_members(&self) -> &[StorageNode] {
        if self.is_changing() { &self.previous } else { &self.current }
    }

    /// Whether a machine with this disk is a member, or was one before a change that is under way.
    pub fn includes(&self, ip: Ipv4Addr, disk: u64) -> bool {
        let is_same_disk = |node: &StorageNode| node.address() == ip && node.disk == disk;
        self.epoch > 0 && self.members().any(is_same_disk)
    }

    /// Whether each key has the same groups by this plan as by another: the same machines at the same places, whatever disks
    /// they have.
    pub fn has_same_placement(&self, other: &StoragePlan) -> bool {
        let placement = |nodes: &[StorageNode]| -> Vec<([u8; 4], Location)> {
            nodes.iter().map(|node| (node.ip, node.location.clone())).collect()
        };
        placement(&self.current) == placement(&other.current)
    }

    /// Whether a change is under way.
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }

    /// The plan without one machine; `None` if it was retired before. Members that are `dead` hold nothing up that may be lost:
    /// without them the rest has to bear what it bore.
    pub fn retire(
        &self, name: &str, tolerance: Tolerance, dead: &[String],
    ) -> Result<Option<StoragePlan>, RetireRefusal> {
        if self.retired.iter().any(|retired| retired == name) {
            return Ok(None);
        }
        if !self.current.iter().any(|node| node.name == name) {
            return Err(RetireRefusal::Unknown);
        }
        let current: Vec<StorageNode> =
            self.current.iter().filter(|node| node.name != name).cloned().collect();
        if !can_shrink(&self.current, &current, tolerance) {
            return Err(RetireRefusal::TooFew);
        }
        if self.is_changing() {
            return Err(RetireRefusal::Changing);
        }
        let alive = |nodes: &[StorageNode]| -> Vec<StorageNode> {
            nodes.iter().filter(|node| !dead.contains(&node.name)).cloned().collect()
        };
        if !can_shrink(&alive(&self.current), &alive(&current), tolerance) {
            return Err(RetireRefusal::TooFewAlive);
        }
        let mut next = self.with_members(current);
        next.retired.push(name.to_owned());
        next.size = next.size.saturating_sub(1);
        Ok(Some(next))
    }

    /// Whether a retired machine may be taken away; `None` if it was never retired.
    pub fn is_retirement_complete(&self, name: &str) -> Option<bool> {
        let is_member = self.members().any(|node| node.name == name);
        self.retired.iter().any(|retired| retired == name).then_some(!is_member)
    }

    fn with_members(&self, current: Vec<StorageNode>) -> StoragePlan {
        let previous = if self.is_changing() { self.previous.clone() } else { self.current.clone() };
        let previous = if previous == current { Vec::new() } else { previous };
        StoragePlan { epoch: self.epoch + 1, current, previous, ..self.clone() }
    }

    /// The first plan: all machines that are there. One that can't bear all losses that should be is made only once
    /// `has_waited` says that no more will come.
    pub fn first(observed: &[Observed], tolerance: Tolerance, has_timed_out: bool) -> Option<StoragePlan> {
        let mut current: Vec<StorageNode> =
            observed.iter().filter(|seen| seen.dead_for.is_none()).map(|seen| seen.node.clone()).collect();
        current.sort();
        let is_enough = if has_timed_out {
            current.len() > tolerance.losses()
        } else {
            tolerance.can_be_met_by(&places(&current))
        };
        is_enough.then(|| StoragePlan {
            epoch: 1,
            size: current.len() as u32,
            current,
            ..StoragePlan::default()
        })
    }
}

fn places(nodes: &[StorageNode]) -> Vec<&Location> {
    nodes.iter().map(|node| &node.location).collect()
}

/// Whether members may be given up: enough are left, and a loss that was borne before is borne after.
fn can_shrink(before: &[StorageNode], after: &[StorageNode], tolerance: Tolerance) -> bool {
    let is_loss_tolerated = |nodes: &[StorageNode]| tolerance.can_be_met_by(&places(nodes));
    after.len() >= tolerance.group_size() && (is_loss_tolerated(after) || !is_loss_tolerated(before))
}
