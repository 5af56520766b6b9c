//! Which storage machines there are, as agreed through the chain, and how the plan follows what happens to them.
//!
//! While a plan changes, quorums of both the old and the new members are needed; the change ends once all new members
//! say that they hold what is theirs. Pure.

use std::net::Ipv4Addr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::tolerance::{Place, Tolerance};

/// A dead machine gives its place to a newcomer after this time.
const REPLACE_AFTER: Duration = Duration::from_millis(500);
/// A dead machine is dropped without a newcomer after this time, if enough are left.
const DROP_AFTER: Duration = Duration::from_secs(20);
/// A dead machine no longer holds up the end of a change after this time.
const SYNC_WAIT: Duration = Duration::from_millis(500);

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
    pub place: Place,
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
    pub synced: u64,
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
    /// Members of the plan and of the one before, each once.
    pub fn all(&self) -> Vec<StorageNode> {
        let mut all = self.current.clone();
        all.extend(self.previous.iter().filter(|node| !self.current.contains(node)).cloned());
        all
    }

    /// The members whose quorums hold every acknowledged record: those before a change that is under way, else the current.
    pub fn settled(&self) -> &[StorageNode] {
        if self.is_changing() { &self.previous } else { &self.current }
    }

    /// Whether a machine with this disk is a member, or was one before a change that is under way.
    pub fn holds(&self, ip: Ipv4Addr, disk: u64) -> bool {
        let is_own = |node: &StorageNode| node.address() == ip && node.disk == disk;
        self.epoch > 0 && self.current.iter().chain(&self.previous).any(is_own)
    }

    /// Whether each key has the same groups by this plan as by another: the same machines at the same places, whatever disks
    /// they have.
    pub fn places_as(&self, other: &StoragePlan) -> bool {
        let stands = |nodes: &[StorageNode]| -> Vec<([u8; 4], Place)> {
            nodes.iter().map(|node| (node.ip, node.place.clone())).collect()
        };
        stands(&self.current) == stands(&other.current)
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
        if !may_shrink(&self.current, &current, tolerance) {
            return Err(RetireRefusal::TooFew);
        }
        if self.is_changing() {
            return Err(RetireRefusal::Changing);
        }
        let alive = |nodes: &[StorageNode]| -> Vec<StorageNode> {
            nodes.iter().filter(|node| !dead.contains(&node.name)).cloned().collect()
        };
        if !may_shrink(&alive(&self.current), &alive(&current), tolerance) {
            return Err(RetireRefusal::TooFewAlive);
        }
        let mut next = self.with_current(current);
        next.retired.push(name.to_owned());
        next.size = next.size.saturating_sub(1);
        Ok(Some(next))
    }

    /// Whether a retired machine may be taken away; `None` if it was never retired.
    pub fn retirement(&self, name: &str) -> Option<bool> {
        self.retired.iter().any(|retired| retired == name).then_some(!self.is_changing())
    }

    fn with_current(&self, current: Vec<StorageNode>) -> StoragePlan {
        let previous = if self.is_changing() { self.previous.clone() } else { self.current.clone() };
        let previous = if previous == current { Vec::new() } else { previous };
        StoragePlan { epoch: self.epoch + 1, current, previous, ..self.clone() }
    }

    /// The plan that should follow this one, given what is seen; `None` if it is to stay.
    ///
    /// A change that all newcomers have copied for is ended before another begins: until its end the members before are
    /// needed, and one of them that is gone for good would be missed at the next loss.
    pub fn next(&self, observed: &[Observed], tolerance: Tolerance) -> Option<StoragePlan> {
        if self.are_newcomers_synced(observed) && self.is_synced(observed, tolerance) {
            return Some(self.ended());
        }
        let target = self.target(observed, tolerance);
        if target != self.current {
            return Some(self.with_current(target));
        }
        self.is_synced(observed, tolerance).then(|| self.ended())
    }

    fn ended(&self) -> StoragePlan {
        StoragePlan { epoch: self.epoch + 1, previous: Vec::new(), ..self.clone() }
    }

    fn are_newcomers_synced(&self, observed: &[Observed]) -> bool {
        let mut newcomers = self.current.iter().filter(|node| !self.previous.contains(node));
        newcomers.all(|node| self.has_synced(node, observed))
    }

    /// Whether a machine has said that it holds what this plan gives it.
    fn has_synced(&self, node: &StorageNode, observed: &[Observed]) -> bool {
        observed.iter().any(|seen| seen.node == *node && seen.synced >= self.epoch)
    }

    /// The first plan: all machines that are there. One that can't bear all losses that should be is made only once
    /// `has_waited` says that no more will come.
    pub fn first(observed: &[Observed], tolerance: Tolerance, has_waited: bool) -> Option<StoragePlan> {
        let mut current: Vec<StorageNode> =
            observed.iter().filter(|seen| seen.dead_for.is_none()).map(|seen| seen.node.clone()).collect();
        current.sort();
        let is_enough = if has_waited {
            current.len() > tolerance.losses()
        } else {
            tolerance.is_borne_by(&places(&current))
        };
        is_enough.then(|| StoragePlan {
            epoch: 1,
            size: current.len() as u32,
            current,
            ..StoragePlan::default()
        })
    }

    fn target(&self, observed: &[Observed], tolerance: Tolerance) -> Vec<StorageNode> {
        let newcomers: Vec<&StorageNode> = observed
            .iter()
            .filter(|seen| seen.dead_for.is_none())
            .map(|seen| &seen.node)
            .filter(|node| !self.current.contains(node) && !self.retired.contains(&node.name))
            .collect();
        let mut target: Vec<StorageNode> = self.current.clone();
        for newcomer in newcomers {
            // The machine has lost the disk that it was a member with.
            target.retain(|node| node.ip != newcomer.ip);
            target.push(newcomer.clone());
        }
        for seen in observed.iter() {
            let Some(dead_for) = seen.dead_for else { continue };
            // Where a successor is there, the loss of the dead one soon counts no more, and another may follow.
            let has_successor = target.len() > self.size as usize;
            // One that no change has filled yet is taken out again as soon: as a member that holds nothing it would be a loss
            // that nobody counts.
            let is_unfilled = self.is_changing() && !self.previous.contains(&seen.node);
            let patience = if has_successor || is_unfilled { REPLACE_AFTER } else { DROP_AFTER };
            let rest: Vec<StorageNode> = target.iter().filter(|node| **node != seen.node).cloned().collect();
            let may_go =
                may_shrink(&target, &rest, tolerance) || (is_unfilled && rest.len() > tolerance.losses());
            if dead_for >= patience && may_go {
                target = rest;
            }
        }
        target.sort();
        target
    }

    /// Whether a change is under way and may end: all current members are synced but for dead ones of those before that may be
    /// lost, and for none as long as a member that leaves is there to be asked.
    fn is_synced(&self, observed: &[Observed], tolerance: Tolerance) -> bool {
        let mut missing = Vec::new();
        for node in self.current.iter().filter(|node| !self.has_synced(node, observed)) {
            let seen = observed.iter().find(|seen| seen.node == *node);
            let is_dead = seen.is_none_or(|seen| seen.dead_for.is_some_and(|time| time >= SYNC_WAIT));
            if !is_dead || !self.previous.contains(node) {
                return false;
            }
            missing.push(&node.place);
        }
        self.is_changing()
            && tolerance.covers(&missing)
            && (missing.is_empty() || !self.is_one_leaving_alive(observed))
    }

    fn is_one_leaving_alive(&self, observed: &[Observed]) -> bool {
        let is_alive =
            |node: &&StorageNode| observed.iter().any(|seen| seen.node == **node && seen.dead_for.is_none());
        self.previous.iter().filter(|node| !self.current.contains(node)).any(|node| is_alive(&node))
    }
}

fn places(nodes: &[StorageNode]) -> Vec<&Place> {
    nodes.iter().map(|node| &node.place).collect()
}

/// Whether members may be given up: enough are left, and a loss that was borne before is borne after.
fn may_shrink(before: &[StorageNode], after: &[StorageNode], tolerance: Tolerance) -> bool {
    let is_borne = |nodes: &[StorageNode]| tolerance.is_borne_by(&places(nodes));
    after.len() >= tolerance.group_size() && (is_borne(after) || !is_borne(before))
}
