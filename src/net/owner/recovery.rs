//! Recovery of open flows from the journal at start.

use super::*;
use onyxstile_recovery::{Held, Loss, Repeat, trust};

impl Owner {
    /// Restores the flows that an earlier process left open. A call that was sent may have run; the decision module
    /// determines what follows.
    pub(super) fn recover(&mut self, flows: &BTreeSet<FlowNo>, loss: Loss) {
        let now = self.clock.now();
        let ledger = self.journal.ledger();
        let open = ledger.open.iter().filter(|(no, _)| flows.contains(no));
        let open: Vec<_> = open.map(|(no, f)| (*no, f.clone())).collect();
        let mut lost = Vec::new();
        for (no, (flow, progress)) in open {
            if let Some(of) = flow.resend_of {
                match &self.undelivered {
                    Some(undelivered) if undelivered.goes_on(no, of) => {
                        self.resends.insert(no, undelivered::Resend { key: of.0, flow: flow.clone() });
                    }
                    // The message store was written last and contains the result of the resend.
                    Some(_) => {
                        lost.push(Record::Ended(no, None));
                        continue;
                    }
                    None => {
                        // Prevents a second effect if the message is kept again later: the journal retains the record
                        // that its resend was open.
                        tracing::warn!(
                            flow = no.0,
                            "a resend is open in the journal, but the message store is disabled"
                        );
                        continue;
                    }
                }
            }
            let progress = self.assumed_progress(no, &flow, progress, loss);
            let seen = now + self.fleet.as_ref().map_or(Duration::ZERO, |f| f.clock_offset);
            let past = progress.past(seen, |server| self.directory.number(server));
            if !self.restore_flow(no, &flow, Some(past), seen) {
                // Its class is no longer in the settings: the flow can only be ended.
                let owed = Owed { id: flow.parcel.id.clone(), returned_after: None };
                lost.push(Record::Ended(no, Some(owed).filter(|_| flow.parcel.mail.is_none())));
                continue;
            };
        }
        self.scribe();
        if let Some(StepRecorder { scribe, .. }) = &mut self.recorder {
            self.journal.ledger().owed.iter().for_each(|(no, owed)| scribe.owed_before(*no, &owed.id));
        }
        if let Err(e) = self.journal.write(&lost) {
            tracing::error!("journal: write failed: {e}");
        }
        tracing::info!(
            "recovered {} open flows and {} notices owed",
            self.core.open_flows(),
            self.journal.ledger().owed.len()
        );
    }

    /// Progress of a flow that must be assumed from its records, given what the folder may have lost.
    pub(super) fn assumed_progress(
        &self, no: FlowNo, flow: &TakenFlow, progress: Progress, loss: Loss,
    ) -> Progress {
        let class = position(&self.names.classes, &flow.class).and_then(|c| self.classes.get(c));
        let once = class.is_none_or(|c| c.0 == crate::api::Effect::Once);
        let repeat = if once { Repeat::Never } else { Repeat::Bounded };
        let call = progress.risk.is_some() || progress.out.is_some();
        // Without a recorded time the flow may have been accepted at any time.
        let taken = self.journal.ledger().taken.get(&no).copied().unwrap_or_default();
        match trust::held(loss, repeat, call, taken) {
            Held::MayHaveRun(at) => {
                let server = progress.risk.as_ref().or(progress.out.as_ref()).map(|s| s.server.clone());
                let risk = SentTo { at, server: server.unwrap_or_default() };
                Progress { risk: Some(risk), ..progress }
            }
            Held::AsWritten | Held::NotOurs => progress,
        }
    }

    /// Passes a durable flow to the core; false if its class is not in the settings. `past`: what an earlier process
    /// did for it, if there was one.
    pub(super) fn restore_flow(
        &mut self, no: FlowNo, flow: &TakenFlow, past: Option<Past>, now: Duration,
    ) -> bool {
        let resend = flow.resend_of.is_some();
        if !resend {
            self.ids.insert(flow.parcel.id.clone(), no);
        }
        let Some(class) = self.register_flow(no, flow, now) else { return false };
        let tenant = flow.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
        let destination = DestinationId(flow.destination);
        let remaining = flow.deadline.saturating_sub(now);
        let terms = FlowTerms { class: ClassId(class), tenant, destination, remaining };
        self.record_restored(no, &terms, flow, past);
        self.core.recover(no, terms, past.unwrap_or_default(), flow.parcel.clone());
        true
    }

    /// Registers the state that the owner keeps for a durable flow beside the core; returns its class if the settings
    /// contain it.
    pub(super) fn register_flow(&mut self, no: FlowNo, flow: &TakenFlow, now: Duration) -> Option<usize> {
        let class = position(&self.names.classes, &flow.class)?;
        let (destination, resend) = (DestinationId(flow.destination), flow.resend_of.is_some());
        if !self.hooks.is_empty() {
            let view = view(&flow.class, flow.tenant.as_deref(), destination, &flow.parcel);
            self.views.insert(no, view);
        }
        self.flow_infos.insert(no, FlowInfo { destination, class, resend });
        self.routing.flow_opens(no, &flow.parcel);
        if flow.parcel.mail.is_none() && !resend {
            self.watchdog.watch(no, &flow.parcel.id, now, flow.deadline, true);
        }
        Some(class)
    }
}
