//! Copying between storage machines.

use super::*;

impl TierSimulation {
    /// Lets storage machines request changes from each other and copy the records that they are responsible for.
    pub(super) fn copy(&mut self) {
        let now = self.now();
        for to in self.members() {
            if !self.is_reachable(to) {
                continue;
            }
            let plan = self.stores[&to].plan.clone();
            for from in plan.all().iter().map(|node| node.address()).filter(|from| *from != to) {
                if !self.is_reachable(from) || self.random_below(self.copies_one_in) > 0 {
                    continue;
                }
                let before = self.stores[&to].progress.source(from);
                let changes = self.stores[&from].changes(before);
                let (at, incarnation) =
                    (now + u64::from(self.random_below(6)) * STEP, self.stores[&to].incarnation());
                self.pending_copies.push(PendingCopy { at, to, from, incarnation, before, changes });
            }
        }
        let (due, waiting) =
            std::mem::take(&mut self.pending_copies).into_iter().partition(|copying| copying.at <= now);
        self.pending_copies = waiting;
        let due: Vec<PendingCopy> = due;
        due.into_iter().for_each(|copying| self.finish_copy(copying));
        for ip in self.members() {
            let (tolerance, flaw) = (self.tolerance, self.flaw);
            if let Some(store) = self.stores.get_mut(&ip).filter(|store| store.is_up(now)) {
                store.review(now, tolerance, flaw);
            }
        }
    }

    pub(super) fn finish_copy(&mut self, copying: PendingCopy) {
        let PendingCopy { to, from, incarnation, before, changes, .. } = copying;
        if !self.is_reachable(to) || !self.is_reachable(from) || self.random_below(20) == 0 {
            return;
        }
        let Some(store) = self.stores.get(&to).filter(|store| store.incarnation() == incarnation) else {
            return;
        };
        let compared_epoch = store.plan.epoch;
        let wanted = store.wanted(&changes, self.tolerance);
        let now = self.now();
        let records: Vec<Record> =
            wanted.iter().filter_map(|key| self.stores[&from].record(now, key)).collect();
        if let Some(store) = self.stores.get_mut(&to) {
            records.iter().for_each(|record| store.write(now, record));
            store.copied(now, from, before, &changes, compared_epoch);
        }
    }
}
