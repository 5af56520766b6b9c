//! A step: the core decides, the records of its decisions are written, and then the effects are carried out.

use super::*;

impl Owner {
    /// Steps the core until it has no events left, and carries out its effects.
    pub(super) fn step(&mut self) {
        self.begin_resends();
        let mut effects = Vec::new();
        loop {
            self.core.step(self.clock.now(), &mut effects);
            self.carry_out(std::mem::take(&mut effects));
            if !self.core.has_events() {
                break;
            }
        }
        let may_notify = self.restart.as_ref().is_none_or(|c| c.notifying);
        if may_notify && !self.notifying && !self.journal.ledger().owed.is_empty() {
            let owed = self.journal.ledger().owed.iter().take(notices::BATCH);
            let batch: Vec<_> = owed.map(|(no, owed)| (*no, owed.clone())).collect();
            let now = self.clock.now();
            batch.iter().for_each(|(no, _)| self.watchdog.record(*no, now, FlowEvent::Notifying));
            self.notifying = self.notices.try_send(batch).is_ok();
        }
        let now = self.clock.now();
        self.watchdog.overdue(now).into_iter().for_each(|history| tracing::error!("{history}"));
        self.update_metrics(now);
        self.flush_recorder(false);
    }

    /// Writes the records of the effects, then carries them out.
    fn carry_out(&mut self, effects: Vec<Effect<Rc<Parcel>>>) {
        let now = self.clock.now();
        let mut effects = self.accept_groups_together(effects);
        self.fail_expired(&mut effects, now);
        let mut records = std::mem::take(&mut self.unwritten);
        let mut resent = BTreeSet::new();
        // Flows accepted or ended from here on have this time, in case a later process has to decide by it.
        if self.times_written && !effects.is_empty() {
            records.insert(0, Record::Moment(now));
        }
        for effect in &effects {
            match effect {
                Effect::Accepted(no, _) => {
                    let flow = self.pending_submissions.get(no).map(|w| &w.flow);
                    let flow = flow.or_else(|| self.resends.get(no).map(|r| &r.flow));
                    records.extend(flow.map(|f| Record::Taken(*no, f.clone())));
                }
                Effect::Rejected(no, ..) if self.resends.contains_key(no) => {
                    resent.insert(*no);
                    self.settle_resend(*no, None, false, now);
                }
                Effect::Call { flow, server, .. } => {
                    let server = self.directory.uid(*server);
                    records.push(Record::Sent(*flow, SentTo { at: now, server }));
                }
                Effect::Ended(no, parcel, end) => {
                    let refused = records.contains(&Record::CallEnded(*no, true));
                    if self.resends.contains_key(no) {
                        resent.insert(*no);
                        self.settle_resend(*no, Some(*end), refused, now);
                        continue;
                    }
                    self.keep_failed(*no, *end, refused, now);
                    records.push(self.end_record(*no, parcel, *end, refused, now));
                }
                _ => {}
            }
        }
        // A kept message is in the message store before the journal records the end of its flow; the same holds for the
        // end of a resend.
        records.extend(self.write_kept_messages().into_iter().map(|no| Record::Ended(no, None)));
        let began = self.clock.now();
        let lasting = self.journal.write(&records);
        // A reported wait delays no step, but should soon survive a power failure.
        let soon = records.iter().any(|r| matches!(r, Record::Wait(..)));
        let took = self.clock.now().saturating_sub(began);
        if took >= STALL {
            tracing::warn!("journal: a write blocked the owner for {took:?}");
        }
        if let Err(e) = &lasting {
            tracing::error!("journal: write failed: {e}; new flows are rejected");
            // Records of ends are written once the journal works again; flows whose acceptance was not written were
            // neither accepted nor sent.
            let not_taken = |no: &FlowNo| records.iter().any(|r| matches!(r, Record::Taken(n, _) if n == no));
            let keep = |r: &&Record| match r {
                Record::Ended(no, _) | Record::Bounced(no, ..) | Record::CallEnded(no, _) => !not_taken(no),
                Record::Noticed(_) => true,
                _ => false,
            };
            self.unwritten = records.iter().filter(keep).cloned().collect();
        } else {
            for record in &records {
                if let Record::Bounced(_, no, flow) = record {
                    self.restore_flow(*no, flow, None, now);
                }
            }
        }
        self.record_effects(&effects, lasting.is_ok(), now, &resent);
        self.carry_out_durably(effects, now, lasting.is_ok(), resent);
        if soon && self.journal.syncs() {
            self.begin_sync();
        }
    }
}
