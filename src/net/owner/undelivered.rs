//! Keeps messages that could not be delivered, and resends them.
//!
//! The order of writes matters. A message is in the message store before the end of its flow is in the journal. A
//! resend is marked as begun in the store before its flow is in the journal, and that is written before its call is
//! sent. The end of a resend is in the store before it is in the journal. So after a kill at any point, either the
//! journal has the flow and the module decides as after any restart, or no call of it was sent, or the store has its
//! result.

use super::*;
use crate::net::undelivered::MachineClock;
use crate::net::undelivered::keeper::Keeper;
use onyxstile_undelivered::{Body, Kept, Ran, State, Traffic};

/// Resends may use one in this many of the call slots, and of the held flows.
const SLOTS_SHARE: usize = 4;
const HELD_SHARE: usize = 2;
/// Maximum number of resends begun in one step.
const AT_ONCE: usize = 4;
/// How long a destination is skipped that is unknown or has no capacity.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// A resend in progress.
#[derive(Debug)]
pub(super) struct Resend {
    /// Key of the message.
    pub key: u64,
    /// The flow as recorded in the journal.
    pub flow: TakenFlow,
}

impl Owner {
    /// Passes the outcome of a call to the resend planner as an observation of its destination.
    pub(super) fn record_traffic(&mut self, end: &CallEnd) {
        let Some(undelivered) = &mut self.undelivered else { return };
        let Some(destination) = self.flow_infos.get(&end.flow).map(|p| p.destination) else { return };
        let what = match end.outcome {
            Outcome::Success => Traffic::Well,
            Outcome::Withdrawn | Outcome::Void => return,
            _ => Traffic::Trouble,
        };
        undelivered.planner.traffic(destination.0, what, self.clock.now());
    }

    /// Whether a flow that ends may have run. `refused`: a call that the ledger may show as sent is proved not to have
    /// run.
    fn ran(&self, no: FlowNo, refused: bool, now: Duration, machine: &MachineClock) -> Ran {
        if self.refused_for_good(no) {
            return Ran::Never;
        }
        let progress = self.journal.ledger().open.get(&no).map(|(_, p)| p.clone()).unwrap_or_default();
        match progress.risk.or(progress.out.filter(|_| !refused)) {
            Some(sent) => Ran::MayHave(machine.stamp_of(sent.at, now), sent.server),
            None => Ran::Never,
        }
    }

    /// A 5yz reply states that the mail server did not accept the message and never will (RFC 5321, 4.2.1).
    fn refused_for_good(&self, no: FlowNo) -> bool {
        self.replies.get(&no).is_some_and(|s| s.starts_with('5'))
    }

    /// Turns a return into a failure if the flow's time is up and no client will submit it again: mail gets its
    /// notification, and a kept message is resent by the relay, so a client's retry would duplicate it.
    pub(super) fn fail_expired(&self, effects: &mut [Effect<Rc<Parcel>>], now: Duration) {
        for effect in effects {
            let Effect::Ended(no, parcel, end) = effect else { continue };
            let End::Returned(wait) = *end else { continue };
            let stays = self.undelivered.is_some() || parcel.mail.is_some();
            let flow = self.journal.ledger().open.get(no).filter(|_| stays);
            if flow.is_some_and(|(f, _)| f.deadline <= now + wait) {
                *end = End::Failed;
            }
        }
    }

    /// Ends an ordinary flow: if it failed and a rule applies, its message is kept.
    pub(super) fn keep_failed(&mut self, no: FlowNo, end: End, refused: bool, now: Duration) {
        let Some(mut undelivered) = self.undelivered.take() else { return };
        if end == End::Failed {
            let of_ledger = self.journal.ledger().open.get(&no).map(|(f, _)| f.clone());
            let flow = of_ledger.or_else(|| self.pending_submissions.get(&no).map(|w| w.flow.clone()));
            if let Some(flow) = flow {
                let (kept, body) = self.kept(no, &flow, refused, now, &undelivered);
                undelivered.keep(kept, &body);
            }
        } else {
            undelivered.not_failed(no);
        }
        self.undelivered = Some(undelivered);
    }

    fn kept(
        &self, no: FlowNo, flow: &TakenFlow, refused: bool, now: Duration, undelivered: &Keeper,
    ) -> (Kept, Body) {
        let parcel = &flow.parcel;
        let class = position(&self.names.classes, &flow.class).and_then(|c| self.classes.get(c));
        let window = match class.map(|c| c.0) {
            Some(crate::api::Effect::Keyed { window, .. }) => window,
            // May be repeated safely at any time.
            Some(crate::api::Effect::Repeatable) => Duration::from_secs(u64::MAX >> 32),
            _ => Duration::ZERO,
        };
        let stamp = undelivered.machine.stamp(now);
        let mut kept = Kept {
            key: no.0,
            id: parcel.id.clone(),
            class: flow.class.clone(),
            customer: flow.tenant.clone().unwrap_or_default(),
            destination: flow.destination,
            bytes: parcel.body.len() as u32,
            failed: stamp.into(),
            window_ms: window.as_millis() as u64,
            recipient: parcel.mail.as_ref().map(|m| m.to.clone()).unwrap_or_default(),
            ..Kept::default()
        };
        kept.settle_first(self.ran(no, refused, now, &undelivered.machine), stamp);
        if self.refused_for_good(no) {
            kept.set_state(State::GivenUp);
            kept.note(stamp, "refused for good", "");
        }
        let body = Body {
            body: parcel.body.to_vec(),
            key: parcel.key.clone(),
            mail_from: parcel.mail.as_ref().map(|m| m.from.clone()),
            mail_to: parcel.mail.as_ref().map(|m| m.to.clone()),
            routed_path: parcel.routed.as_ref().map(|r| r.path.clone()),
            routed_key: parcel.routed.as_ref().map(|r| r.key.clone()),
        };
        (kept, body)
    }

    /// Updates the message of a resend that ended or was not accepted.
    pub(super) fn settle_resend(&mut self, no: FlowNo, end: Option<End>, refused: bool, now: Duration) {
        let Some(resend) = self.resends.get(&no) else { return };
        let Some(mut undelivered) = self.undelivered.take() else { return };
        let (key, stamp) = (resend.key, undelivered.machine.stamp(now));
        let delivered = matches!(end, Some(End::Delivered | End::Over));
        // Held by the module until its end: says nothing about the destination and does not count as a try.
        let sent = self.journal.ledger().open.get(&no).is_some_and(|(_, p)| p.attempts > 0);
        if delivered || sent {
            undelivered.planner.resend_ended(key, delivered, now);
        } else {
            undelivered.planner.not_now(resend.flow.destination, now + RETRY_DELAY);
        }
        if delivered {
            undelivered.remove(key);
            undelivered.counts.delivered += 1;
            tracing::info!(flow = no.0, key, "undelivered: delivered by a resend");
        } else if let Ok(Some(mut kept)) = undelivered.shelf.get(key) {
            let rule = undelivered.planner.rules().of(&kept.class, kept.destination);
            let (tries, pause) = rule.map_or((0, RETRY_DELAY), |r| (r.tries, r.pause));
            let tries = if self.refused_for_good(no) { 0 } else { tries };
            if !sent {
                kept.not_begun(RETRY_DELAY, stamp);
            } else {
                kept.settle(self.ran(no, refused, now, &undelivered.machine), tries, pause, stamp);
                match kept.is() {
                    State::MayHaveRun => undelivered.counts.may_have_run += 1,
                    _ => undelivered.counts.failed += 1,
                }
                tracing::info!(flow = no.0, key, state = kept.is().name(), "undelivered: a resend failed");
            }
            undelivered.put(&kept);
        } else {
            tracing::error!(key, "undelivered: a message cannot be read and is not resent");
            undelivered.planner.remove(key);
        }
        self.replies.remove(&no);
        self.undelivered = Some(undelivered);
        self.resend_ends.push(no);
    }

    /// Writes the changes of the step to the message store; returns the resends whose ends may now be written to the
    /// journal.
    pub(super) fn write_kept_messages(&mut self) -> Vec<FlowNo> {
        let Some(undelivered) = &mut self.undelivered else { return Vec::new() };
        let began = self.clock.now();
        let done = undelivered.write(std::mem::take(&mut self.resend_ends), false).unwrap_or_else(|e| {
            tracing::error!("undelivered: write failed: {e}; retrying in the next step");
            Vec::new()
        });
        for no in &done {
            self.resends.remove(no);
        }
        let took = self.clock.now().saturating_sub(began);
        if took > Duration::from_millis(100) {
            tracing::warn!("undelivered: a write took {} ms", took.as_millis());
        }
        done
    }

    /// Begins due resends. Each is marked as begun in the message store before it is submitted to the core.
    pub(super) fn begin_resends(&mut self) {
        if self.restart.as_ref().is_some_and(|c| !c.kept) {
            return;
        }
        let now = self.clock.now();
        let Some(mut undelivered) = self.undelivered.take() else { return };
        if undelivered.due() <= now {
            undelivered.tidy(now);
            // A draining relay begins no resends, but marks the check as done; otherwise the owner would never sleep
            // again.
            let most = if self.phase.state() == crate::net::phase::State::Serving { AT_ONCE } else { 0 };
            for _ in 0..most {
                let slots = (self.max_calls / SLOTS_SHARE).max(1);
                if undelivered.is_late()
                    || self.resends.len() >= slots
                    || !self.core.has_capacity(self.max_held / HELD_SHARE)
                {
                    break;
                }
                let Some(pick) = undelivered.planner.pick(now) else { break };
                if !self.begin_resend(&mut undelivered, pick.key, now) {
                    undelivered.planner.not_now(pick.destination, now + RETRY_DELAY);
                }
            }
            undelivered.looked(now);
        }
        self.undelivered = Some(undelivered);
    }

    /// Begins a resend; false if it is not possible now.
    fn begin_resend(&mut self, undelivered: &mut Keeper, key: u64, now: Duration) -> bool {
        let stamp = undelivered.machine.stamp(now);
        let (mut kept, body) = match (undelivered.shelf.get(key), undelivered.shelf.body(key)) {
            (Ok(Some(kept)), Ok(Some(body))) => (kept, body),
            (kept, _) => {
                tracing::error!(key, "undelivered: a message cannot be read and is put on hold");
                let mut kept = kept.ok().flatten();
                match kept.as_mut().map(|k| k.hold("the relay: it cannot be read", stamp)) {
                    Some(Ok(())) => kept.iter().for_each(|k| undelivered.put(k)),
                    _ => undelivered.planner.remove(key),
                }
                return true;
            }
        };
        if !kept.may_go(stamp) {
            // The window in which it may be repeated has passed.
            kept.set_state(State::MayHaveRun);
            kept.note(stamp, "its window has passed; may-have-run", "");
            undelivered.put(&kept);
            return true;
        }
        let destination = DestinationId(kept.destination);
        let bytes = body.body.len() + 1024;
        let class = position(&self.names.classes, &kept.class);
        let (Some(class), true, true) =
            (class, self.directory.was_named(destination), self.journal.has_room(1, bytes))
        else {
            return false;
        };
        let no = self.number();
        if !kept.begin(no.0, stamp) {
            return false;
        }
        undelivered.put(&kept);
        if let Err(e) = undelivered.write(Vec::new(), true) {
            tracing::error!("undelivered: write failed: {e}; the resend is postponed");
            undelivered.take_back(&kept);
            kept.not_begun(RETRY_DELAY, stamp);
            undelivered.plan(&kept);
            return false;
        }
        undelivered.counts.resends += 1;
        let life = self.classes.get(class).map_or(Duration::ZERO, |c| c.1);
        let mail = body.mail_to.map(|to| Envelope { from: body.mail_from.unwrap_or_default(), to });
        let routed = body.routed_path.map(|path| Routed { path, key: body.routed_key.unwrap_or_default() });
        let parcel =
            Rc::new(Parcel { id: kept.id.clone(), key: body.key, mail, routed, body: body.body.into() });
        let tenant = position(&self.names.tenants, &kept.customer).map(TenantId);
        let terms = FlowTerms { class: ClassId(class), tenant, destination, remaining: life };
        let risk = kept.past(stamp).map(|(age, server)| (age, server.to_string()));
        let risk = risk.map(|(age, server)| (age, self.directory.number(&server)));
        let flow = TakenFlow {
            deadline: now + life,
            class: kept.class.clone(),
            tenant: Some(kept.customer.clone()).filter(|c| !c.is_empty()),
            destination: kept.destination,
            parcel: parcel.clone(),
            resend_of: Some(FlowNo(key)),
        };
        tracing::info!(flow = no.0, key, id = parcel.id, "undelivered: a resend begins");
        self.flow_infos.insert(no, FlowInfo { destination, class, resend: true });
        self.routing.flow_opens(no, &parcel);
        self.record_submission(no, &terms, flow.deadline, &parcel);
        self.resends.insert(no, Resend { key, flow });
        self.core.resubmit(no, terms, Past { risk, ..Past::default() }, parcel);
        true
    }
}
