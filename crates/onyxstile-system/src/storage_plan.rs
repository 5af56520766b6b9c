//! The set of storage machines, as agreed through the chain, and the planning of membership changes.
//!
//! While a plan changes, quorums of both the previous and the current members are required. The change ends once all
//! current members report that they are in sync. All functions are pure.

mod planning;

use std::net::Ipv4Addr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::tolerance::{Location, Tolerance};

/// A storage machine together with its disk. The same machine with another disk is a different member: it does not hold
/// what the previous disk acknowledged. The plan therefore changes, and writes that use the previous plan are refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct StorageNode {
    /// Name assigned by the operator.
    pub name: String,
    /// IPv4 address.
    pub ip: [u8; 4],
    /// Identifier of the disk.
    pub disk: u64,
    /// Zone and region of the machine.
    pub location: Location,
}

impl StorageNode {
    /// The address of the machine.
    pub fn address(&self) -> Ipv4Addr {
        self.ip.into()
    }
}

/// The agreed set of storage machines.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct StoragePlan {
    /// Incremented with each plan; 0 before the first one.
    pub epoch: u64,
    /// The current members.
    pub current: Vec<StorageNode>,
    /// The previous members during a change; empty otherwise.
    pub previous: Vec<StorageNode>,
    /// Names of retired machines, which never become members again.
    pub retired: Vec<String>,
    /// The intended number of members.
    pub size: u32,
}

/// Observed state of a storage machine, the input of planning.
#[derive(Debug, Clone)]
pub struct Observed {
    /// The machine.
    pub node: StorageNode,
    /// How long the machine has been considered dead; `None` if it is alive.
    pub dead_for: Option<Duration>,
    /// The newest epoch for which the machine has reported that it is in sync.
    pub synced_epoch: u64,
}

/// Why a machine cannot be retired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireRefusal {
    /// There is no such member.
    Unknown,
    /// Too few members would remain.
    TooFew,
    /// Too few members would remain while some are dead.
    TooFewAlive,
    /// Another change is in progress, and its outcome is not known yet.
    Changing,
}

impl StoragePlan {
    /// Current and previous members; a member of both appears twice.
    pub fn members(&self) -> impl Iterator<Item = &StorageNode> {
        self.current.iter().chain(&self.previous)
    }

    /// Current and previous members without duplicates.
    pub fn all(&self) -> Vec<StorageNode> {
        let mut all = self.current.clone();
        all.extend(self.previous.iter().filter(|node| !self.current.contains(node)).cloned());
        all
    }

    /// The members whose quorums hold every acknowledged record: the previous members during a change, the current ones
    /// otherwise.
    pub fn committed_members(&self) -> &[StorageNode] {
        if self.is_changing() { &self.previous } else { &self.current }
    }

    /// Whether a machine with this disk is a current member, or a previous one during a change.
    pub fn includes(&self, ip: Ipv4Addr, disk: u64) -> bool {
        let is_same_disk = |node: &StorageNode| node.address() == ip && node.disk == disk;
        self.epoch > 0 && self.members().any(is_same_disk)
    }

    /// Whether each key has the same groups in both plans: the same machines at the same locations, regardless of their
    /// disks.
    pub fn has_same_placement(&self, other: &StoragePlan) -> bool {
        let placement = |nodes: &[StorageNode]| -> Vec<([u8; 4], Location)> {
            nodes.iter().map(|node| (node.ip, node.location.clone())).collect()
        };
        placement(&self.current) == placement(&other.current)
    }

    /// Whether a change is in progress.
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Returns the plan without one machine, or `None` if the machine has been retired before. Members in `dead` do not
    /// block a retirement as long as their loss is tolerated: the remaining live members must tolerate the same losses as
    /// before.
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

    /// Whether a retired machine may be switched off; `None` if it was never retired.
    pub fn is_retirement_complete(&self, name: &str) -> Option<bool> {
        let is_member = self.members().any(|node| node.name == name);
        self.retired.iter().any(|retired| retired == name).then_some(!is_member)
    }

    fn with_members(&self, current: Vec<StorageNode>) -> StoragePlan {
        let previous = if self.is_changing() { self.previous.clone() } else { self.current.clone() };
        let previous = if previous == current { Vec::new() } else { previous };
        StoragePlan { epoch: self.epoch + 1, current, previous, ..self.clone() }
    }

    /// Returns the first plan, which contains all live machines. A plan that does not tolerate the required losses is
    /// returned only if `has_timed_out` is set, which means that no further machines are expected.
    pub fn first(observed: &[Observed], tolerance: Tolerance, has_timed_out: bool) -> Option<StoragePlan> {
        let mut current: Vec<StorageNode> = observed
            .iter()
            .filter(|observation| observation.dead_for.is_none())
            .map(|observation| observation.node.clone())
            .collect();
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

/// Whether members may be removed: enough remain, and a loss that was tolerated before is still tolerated.
fn can_shrink(before: &[StorageNode], after: &[StorageNode], tolerance: Tolerance) -> bool {
    let is_loss_tolerated = |nodes: &[StorageNode]| tolerance.can_be_met_by(&places(nodes));
    after.len() >= tolerance.group_size() && (is_loss_tolerated(after) || !is_loss_tolerated(before))
}
