//! Handling of a folder that turns out to be an outdated copy.

use super::*;

impl Owner {
    /// Another relay has seen a later incarnation of this one, so the folder is an outdated copy. Its contents are
    /// ignored, and the relay continues as the first incarnation of a new folder.
    pub(in crate::net::owner) fn superseded(&mut self, later: Life, now: Duration) {
        let Some(c) = &mut self.restart else { return };
        tracing::error!(?later, mine = ?c.life, "this folder is an outdated copy; its contents are ignored");
        let born = (now.as_secs() as u32).max(later.born).saturating_add(1);
        c.life = Life { born, folder: c.rng.next_u32(), start: 1, ..c.life };
        c.cold_until = now + self.cold_time;
        let (life, node, boot) = (c.life, c.node, c.boot.clone());
        self.on_restart_event(Event::Overtaken, now);
        let durability = self.journal.durability();
        let started = Record::Started(Started { life, node, boot, durability, at: now });
        if let Err(e) = self.journal.write(&[started]).and_then(|()| self.journal.sync_all()) {
            tracing::error!("journal: write failed: {e}");
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.complete_since = now;
        }
        self.use_incarnation(life, now);
    }

    pub(super) fn give_up_folder(&mut self) {
        let now = self.clock.now();
        let Some(c) = &mut self.restart else { return };
        c.left.clear();
        let flows: Vec<FlowNo> = c.once.iter().chain(&c.others).copied().collect();
        let ledger = self.journal.ledger();
        let mut records: Vec<_> = flows
            .iter()
            .filter(|no| ledger.open.contains_key(no))
            .map(|no| Record::Ended(*no, None))
            .collect();
        records
            .extend(c.owed.iter().filter(|no| ledger.owed.contains_key(no)).map(|no| Record::Noticed(*no)));
        records.extend(ledger.bans.iter().map(|uid| Record::Banned(uid.clone(), false)));
        let bans: Vec<String> = ledger.bans.iter().cloned().collect();
        tracing::warn!(flows = flows.len(), owed = c.owed.len(), bans = bans.len(), "the folder is given up");
        for no in &flows {
            self.core.withdraw(*no);
            let id = self.journal.ledger().open.get(no).map(|(f, _)| f.parcel.id.clone());
            id.into_iter().for_each(|id| self.remove_flow(*no, &id));
        }
        for uid in bans {
            if let Some((_, entry)) = self.directory.ban(&uid, false) {
                self.core.update_entries(vec![entry], false);
            }
        }
        if let Err(e) = self.journal.write(&records) {
            tracing::error!("journal: write failed: {e}");
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.book =
                Book::new(crate::net::peers::settings::IDS_MOST, crate::net::peers::settings::ID_MEMORY, now);
        }
    }
}
