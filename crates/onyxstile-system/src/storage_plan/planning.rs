//! Which plan should follow, given what is seen of storage machines.

use std::time::Duration;

use super::{Observed, StorageNode, StoragePlan, may_shrink};
use crate::tolerance::Tolerance;

/// A dead machine gives its place to a newcomer after this time.
const REPLACE_AFTER: Duration = Duration::from_millis(500);
/// A dead machine is dropped without a newcomer after this time, if enough are left.
const DROP_AFTER: Duration = Duration::from_secs(20);
/// A dead machine no longer holds up the end of a change after this time.
const SYNC_WAIT: Duration = Duration::from_millis(500);

impl StoragePlan {
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
