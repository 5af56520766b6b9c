//! Storage planning by the head: its observations of storage machines and the next plan. The head is the first live
//! controller in the agreed order; its writes are fenced by the view number.

use std::rc::Rc;
use std::time::Duration;

use super::ControllerServer;
use crate::control::Operation;
use crate::storage_plan::{Observed, StorageNode, StoragePlan};
use crate::swim::{Class, MemberState};

/// Lifetime of the report of a storage machine.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Earliest time of the first plan after the start: machines start within some tenths of a second of each other.
const FIRST_PLAN_AFTER: Duration = Duration::from_millis(700);
/// A member that has not been seen for this part of `catch_up_s` since the start is considered dead. A machine that returns
/// later would have too little time left to catch up.
const UNSEEN_SHARE_OF_CATCH_UP: f64 = 0.5;
/// After this time the first plan may consist of fewer machines than are needed to tolerate all losses.
const REDUCED_PLAN_AFTER: Duration = Duration::from_secs(4);

impl ControllerServer {
    /// Writes the next storage plan if one is due.
    pub(super) fn plan(self: Rc<ControllerServer>) {
        if self.is_planning.get() {
            return;
        }
        let next = {
            let controller = self.controller.borrow();
            if !controller.is_head() || !controller.is_stable() {
                return;
            }
            let Some(state) = controller.committed_state() else { return };
            let age = self.clock.now().since(Default::default());
            if state.storage.epoch > 0 {
                let observed = match age.checked_sub(self.return_time()) {
                    Some(unseen_for) => state.storage.with_unseen(self.observe(), unseen_for),
                    None => self.observe(),
                };
                state.storage.next(&observed, self.tolerance())
            } else if age >= FIRST_PLAN_AFTER {
                StoragePlan::first(&self.observe(), self.tolerance(), age >= REDUCED_PLAN_AFTER)
            } else {
                None
            }
        };
        let Some(plan) = next else { return };
        log::info!(
            "storage plan {}: {} members, {} before",
            plan.epoch,
            plan.current.len(),
            plan.previous.len()
        );
        self.is_planning.set(true);
        tokio::task::spawn_local(async move {
            self.operate(Operation::Plan(Rc::new(plan))).await;
            self.is_planning.set(false);
        });
    }

    /// Members of the storage plan that the membership considers dead or does not know; only the head needs them.
    pub(super) fn dead_storage(&self) -> Vec<String> {
        let controller = self.controller.borrow();
        let Some(state) = controller.committed_state().filter(|_| controller.is_head()) else {
            return Vec::new();
        };
        let swim = self.swim.borrow();
        let is_alive = |node: &StorageNode| {
            swim.members().any(|member| {
                member.ip == node.ip && member.disk == node.disk && member.state != MemberState::Dead
            })
        };
        state.storage.members().filter(|node| !is_alive(node)).map(|node| node.name.clone()).collect()
    }

    /// Time after the start by which a machine that returns has been seen.
    fn return_time(&self) -> Duration {
        let catch_up_s = self.settings.borrow().bounds.catch_up_s;
        Duration::try_from_secs_f64(catch_up_s * UNSEEN_SHARE_OF_CATCH_UP).unwrap_or(Duration::MAX)
    }

    fn observe(&self) -> Vec<Observed> {
        let now = self.clock.now();
        let swim = self.swim.borrow();
        let sync_reports = self.sync_reports.borrow();
        let settings = self.settings.borrow();
        let storage = swim.members().filter(|member| member.class == Class::Storage);
        storage
            .map(|member| {
                let report = sync_reports.get(&member.ip).filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
                let is_dead = member.state == MemberState::Dead;
                Observed {
                    node: StorageNode {
                        name: member.name.clone(),
                        ip: member.ip,
                        disk: member.disk,
                        location: settings.location(&member.zone),
                    },
                    dead_for: is_dead.then(|| swim.dead_for(member.address(), now).unwrap_or_default()),
                    synced_epoch: report.map_or(0, |(epoch, _)| *epoch),
                }
            })
            .collect()
    }
}
