//! Distribution of plans to relays and storage machines, and planning by the head controller.

use super::*;

impl TierSimulation {
    /// Sends plans to storage machines and relays from any controller that they can reach.
    pub(super) fn distribute_plans(&mut self) {
        let controllers = self.control.present();
        let plan = |tier: &TierSimulation, ip: Ipv4Addr| {
            let state =
                tier.control.controller_at(ip).filter(|_| tier.control.is_up(ip))?.committed_state()?;
            Some(state.storage.clone())
        };
        for ip in self.members() {
            let from = controllers[self.random_below(controllers.len() as u32) as usize];
            let is_reached = self.is_reachable(ip) && !self.control.is_cut_off(from);
            if let Some(plan) = plan(self, from).filter(|_| is_reached)
                && let Some(store) = self.stores.get_mut(&ip)
            {
                store.apply_plan(&plan, self.flaw);
                self.reports.insert(ip, (store.synced_epoch(), self.control.now));
            }
        }
        for relay in 0..RELAYS {
            let from = controllers[self.random_below(controllers.len() as u32) as usize];
            let is_late =
                relay > 0 && self.relays[relay].epoch > 0 && self.random_below(LATE_UPDATE_ONE_IN) > 0;
            if let Some(plan) =
                plan(self, from).filter(|plan| !is_late && plan.epoch > self.relays[relay].epoch)
            {
                self.relays[relay] = plan;
            }
        }
    }

    /// Lets the head write the next plan.
    pub(super) fn write_plans(&mut self) {
        let now = self.now();
        let Some(head) = self.control.head().filter(|head| self.control.is_up(*head)) else { return };
        for ip in self.members() {
            if self.is_reachable(ip) && !self.control.is_cut_off(head) {
                self.dead_since.remove(&ip);
                self.seen.insert(ip);
            } else {
                self.dead_since.entry(ip).or_insert(now);
            }
        }
        for (ip, store) in &self.stores {
            if store.is_gone {
                self.dead_since.entry(*ip).or_insert(now);
            }
        }
        let is_dead = |ip: &Ipv4Addr| self.dead_since.get(ip).is_some_and(|since| now >= since + DETECTION);
        let dead = self.stores.iter().filter(|(ip, _)| is_dead(ip)).map(|(_, store)| store.node.name.clone());
        let dead = dead.collect();
        self.control.set_dead_storage(head, dead);
        let Some(controller) = self.control.controller_at(head).filter(|head| head.is_stable()) else {
            return;
        };
        let Some(state) = controller.committed_state() else { return };
        if now < self.last_planned_at + 100 {
            return;
        }
        let mut observed = self.observe(now);
        if let Some(unseen_for) = now.checked_sub(self.restarted_at + UNSEEN_AFTER)
            && self.flaw != StoreFault::ForgetsUnseen
        {
            observed = state.storage.with_unseen(observed, Duration::from_millis(unseen_for));
        }
        let next = if state.storage.epoch > 0 {
            state.storage.next(&observed, self.tolerance)
        } else {
            StoragePlan::first(&observed, self.tolerance, false)
        };
        if let Some(plan) = next {
            if !plan.is_changing() && plan.epoch > 1 {
                self.count_event("plan changes ended");
            }
            self.last_planned_at = now;
            self.control.submit(head, Operation::Plan(Rc::new(plan)));
        }
    }

    pub(super) fn observe(&self, now: u64) -> Vec<Observed> {
        let observe = |(ip, store): (&Ipv4Addr, &Store)| {
            let dead_for = self.dead_since.get(ip).and_then(|since| (now - since).checked_sub(DETECTION));
            let report = self.reports.get(ip).filter(|(_, at)| now - at < REPORT_LIFETIME);
            Observed {
                node: store.node.clone(),
                dead_for: dead_for.map(Duration::from_millis),
                synced_epoch: report.map_or(0, |(epoch, _)| *epoch),
            }
        };
        self.stores.iter().filter(|(ip, _)| self.seen.contains(ip)).map(observe).collect()
    }
}
