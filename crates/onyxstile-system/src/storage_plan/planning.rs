//! Computes the next plan from the observed state of the storage machines.

use std::time::Duration;

use super::{Observed, StorageNode, StoragePlan, can_shrink};
use crate::tolerance::Tolerance;

/// A dead machine is replaced by a new one after this time.
const REPLACE_AFTER: Duration = Duration::from_millis(500);
/// A dead machine is removed without a replacement after this time, if enough members remain.
const DROP_AFTER: Duration = Duration::from_secs(20);
/// A dead machine stops blocking the end of a change after this time.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

impl StoragePlan {
    /// Returns the plan that should follow this one, or `None` if it should stay.
    ///
    /// A change that all new members are in sync for is ended before another one begins. Until it ends, the previous
    /// members are required, and one that is permanently lost would count against the next loss.
    pub fn next(&self, observed: &[Observed], tolerance: Tolerance) -> Option<StoragePlan> {
        if self.are_new_members_synced(observed) && self.is_synced(observed, tolerance) {
            return Some(self.completed());
        }
        let target = self.target(observed, tolerance);
        if target != self.current {
            return Some(self.with_members(target));
        }
        self.is_synced(observed, tolerance).then(|| self.completed())
    }

    /// Adds the members at whose address no machine has been observed: after a restart, an observer does not see machines
    /// that are gone for good. They count as dead for `unseen_for`, the time by which they should have been seen.
    pub fn with_unseen(&self, observed: Vec<Observed>, unseen_for: Duration) -> Vec<Observed> {
        let is_unseen =
            |node: &StorageNode| observed.iter().all(|observation| observation.node.ip != node.ip);
        let unseen = self.all().into_iter().filter(is_unseen);
        let unseen: Vec<Observed> =
            unseen.map(|node| Observed { node, dead_for: Some(unseen_for), synced_epoch: 0 }).collect();
        observed.into_iter().chain(unseen).collect()
    }

    fn completed(&self) -> StoragePlan {
        StoragePlan { epoch: self.epoch + 1, previous: Vec::new(), ..self.clone() }
    }

    fn are_new_members_synced(&self, observed: &[Observed]) -> bool {
        let mut new_members = self.current.iter().filter(|node| !self.previous.contains(node));
        new_members.all(|node| self.has_synced(node, observed))
    }

    /// Whether a machine has reported that it is in sync with this plan.
    fn has_synced(&self, node: &StorageNode, observed: &[Observed]) -> bool {
        observed.iter().any(|observation| observation.node == *node && observation.synced_epoch >= self.epoch)
    }

    fn target(&self, observed: &[Observed], tolerance: Tolerance) -> Vec<StorageNode> {
        let new_members: Vec<&StorageNode> = observed
            .iter()
            .filter(|observation| observation.dead_for.is_none())
            .map(|observation| &observation.node)
            .filter(|node| !self.current.contains(node) && !self.retired.contains(&node.name))
            .collect();
        let mut target: Vec<StorageNode> = self.current.clone();
        for new_member in new_members {
            // The machine has lost the disk that it was a member with.
            target.retain(|node| node.ip != new_member.ip);
            target.push(new_member.clone());
        }
        for observation in observed.iter() {
            let Some(dead_for) = observation.dead_for else { continue };
            // With a replacement present, the loss of the dead machine soon stops counting, and another loss is tolerated
            // again.
            let has_replacement = target.len() > self.size as usize;
            // A new member that is not in sync yet is also removed early: it holds no data, so it would be a loss that is
            // not accounted for.
            let is_unsynced = self.is_changing() && !self.previous.contains(&observation.node);
            let timeout = if has_replacement || is_unsynced { REPLACE_AFTER } else { DROP_AFTER };
            let remaining: Vec<StorageNode> =
                target.iter().filter(|node| **node != observation.node).cloned().collect();
            let can_remove = can_shrink(&target, &remaining, tolerance)
                || (is_unsynced && remaining.len() > tolerance.losses());
            if dead_for >= timeout && can_remove {
                target = remaining;
            }
        }
        target.sort();
        target
    }

    /// Whether a change is in progress and may end. All current members must be in sync. Dead ones that were already
    /// previous members are exempt if their loss is tolerated, but only if no leaving member is alive that could still be
    /// copied from.
    fn is_synced(&self, observed: &[Observed], tolerance: Tolerance) -> bool {
        let mut missing = Vec::new();
        for node in self.current.iter().filter(|node| !self.has_synced(node, observed)) {
            let observation = observed.iter().find(|observation| observation.node == *node);
            let is_dead = observation
                .is_none_or(|observation| observation.dead_for.is_some_and(|time| time >= SYNC_TIMEOUT));
            if !is_dead || !self.previous.contains(node) {
                return false;
            }
            missing.push(&node.location);
        }
        self.is_changing()
            && tolerance.covers(&missing)
            && (missing.is_empty() || !self.is_any_leaving_member_alive(observed))
    }

    fn is_any_leaving_member_alive(&self, observed: &[Observed]) -> bool {
        let is_alive = |node: &&StorageNode| {
            observed.iter().any(|observation| observation.node == **node && observation.dead_for.is_none())
        };
        self.previous.iter().filter(|node| !self.current.contains(node)).any(|node| is_alive(&node))
    }
}
