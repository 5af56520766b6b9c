//! Storage machines that copy from each other.

use super::*;

impl Tier {
    /// Storage machines ask each other for changes and copy what is theirs.
    pub(super) fn copy(&mut self) {
        let now = self.now();
        for to in self.members() {
            if !self.is_in_reach(to) {
                continue;
            }
            let plan = self.stores[&to].plan.clone();
            for from in plan.all().iter().map(|node| node.address()).filter(|from| *from != to) {
                if !self.is_in_reach(from) || self.roll(self.copies_one_in) > 0 {
                    continue;
                }
                let before = self.stores[&to].progress.source(from);
                let changes = self.stores[&from].changes(before);
                let (at, began_by) = (now + u64::from(self.roll(6)) * STEP, self.stores[&to].incarnation());
                self.copying.push(Copying { at, to, from, began_by, before, changes });
            }
        }
        let (due, waiting) =
            std::mem::take(&mut self.copying).into_iter().partition(|copying| copying.at <= now);
        self.copying = waiting;
        let due: Vec<Copying> = due;
        due.into_iter().for_each(|copying| self.finish_copy(copying));
        for ip in self.members() {
            let (tolerance, flaw) = (self.tolerance, self.flaw);
            if let Some(store) = self.stores.get_mut(&ip).filter(|store| store.is_up(now)) {
                store.review(now, tolerance, flaw);
            }
        }
    }

    pub(super) fn finish_copy(&mut self, copying: Copying) {
        let Copying { to, from, began_by, before, changes, .. } = copying;
        if !self.is_in_reach(to) || !self.is_in_reach(from) || self.roll(20) == 0 {
            return;
        }
        let Some(store) = self.stores.get(&to).filter(|store| store.incarnation() == began_by) else {
            return;
        };
        let evaluated_epoch = store.plan.epoch;
        let wanted = store.wanted(&changes, self.tolerance);
        let records: Vec<Record> = wanted.iter().filter_map(|key| self.stores[&from].record(key)).collect();
        let now = self.now();
        if let Some(store) = self.stores.get_mut(&to) {
            records.iter().for_each(|record| store.write(now, record));
            store.copied(now, from, before, &changes, evaluated_epoch);
        }
    }
}
