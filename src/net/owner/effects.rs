//! Carries out the effects of a step after its records are written.

use super::*;
use onyxstile_peers::Fate as FlowFate;

impl Owner {
    pub(super) fn do_effect(
        &mut self, effect: Effect<Rc<Parcel>>, now: Duration, lasting: bool, resent: &BTreeSet<FlowNo>,
    ) {
        match effect {
            Effect::Accepted(no, parcel) if lasting => {
                self.record_fate(&parcel.id, FlowFate::Taken);
                if let Some(w) = self.pending_submissions.get(&no) {
                    let (class, to) = (&w.flow.class, w.flow.destination);
                    tracing::debug!(flow = no.0, id = parcel.id, class, destination = to, "flow taken");
                    if parcel.mail.is_none() {
                        self.watchdog.watch(no, &parcel.id, now, w.flow.deadline, false);
                    }
                }
                self.settle(no, Verdict::Accepted);
            }
            Effect::Accepted(no, parcel) => {
                // Keeps the 202 correct: a flow whose record was not written is not accepted.
                self.count(no, Fate::Refused);
                self.core.withdraw(no);
                if self.resends.contains_key(&no) {
                    self.settle_resend(no, None, false, now);
                }
                self.remove_flow(no, &parcel.id);
                self.settle(no, Verdict::Full);
            }
            Effect::Rejected(no, parcel, end) => {
                self.count_end(no, end);
                self.remove_flow(no, &parcel.id);
                let verdict = match end {
                    End::Returned(wait) => Verdict::Rejected(wait),
                    _ => Verdict::Failed,
                };
                self.settle(no, verdict);
            }
            Effect::Call { flow, attempt, server, give_up_at, payload } => {
                let to = self.directory.get(server).and_then(|s| Some((s.address?, s.wire)));
                let destination = self.flow_infos.get(&flow).map(|p| p.destination);
                let (Some((address, wire)), Some(destination), true) = (to, destination, lasting) else {
                    // Not recorded, or no address: the call is not sent.
                    let (outcome, elapsed) = (Outcome::Void, Duration::ZERO);
                    self.unwritten.extend(lasting.then_some(Record::CallEnded(flow, true)));
                    let end =
                        CallEnd { flow, attempt, server, outcome, finished: None, elapsed, limit: None };
                    self.core.call_ended(end);
                    return;
                };
                if wire != Wire::Http {
                    let item = Item { flow, attempt, parcel: payload };
                    self.mail_calls.push((server, give_up_at, destination, item));
                    return;
                }
                self.watchdog.record(flow, now, FlowEvent::Sent(attempt, server.0, give_up_at));
                tracing::debug!(flow = flow.0, attempt, uid = self.directory.uid(server), "call");
                let give_up_at = self.clock.instant(give_up_at);
                let deadline = self.journal.ledger().open.get(&flow).map(|(f, _)| f.deadline);
                let over_at = deadline.map_or(give_up_at, |d| self.clock.instant(d));
                let write_by = self.write_by(flow).map_or(over_at, |at| self.clock.instant(at).min(over_at));
                let item = upstream::Item { flow, attempt, over_at, parcel: payload };
                let kind = self.directory.get(server).map(|s| s.kind.0);
                let most = kind.and_then(|k| self.per_call.get(k)).copied().unwrap_or(1);
                // Calls of one step to one server share a request, up to the limit of the server's kind.
                let shared = self.http_calls.iter_mut().rev().find(|c| c.server == server);
                match shared.filter(|c| c.takes(&item, most)) {
                    Some(call) => {
                        call.give_up_at = call.give_up_at.min(give_up_at);
                        call.write_by = call.write_by.min(write_by);
                        call.items.push(item);
                    }
                    None => {
                        let items = vec![item];
                        self.http_calls.push(CallOrder { items, server, address, give_up_at, write_by })
                    }
                }
            }
            Effect::StopCall(flow, attempt) => {
                self.watchdog.record(flow, now, FlowEvent::Stopped(attempt));
                if let Some(call) = self.calls.get(&(flow, attempt)) {
                    call.switch.stop();
                }
            }
            Effect::HoldUnsent(destination) => {
                self.hold_destination(destination);
            }
            Effect::Ended(no, parcel, end) => {
                tracing::debug!(flow = no.0, id = parcel.id, end = end_name(end), "flow ended");
                let owed = needs_notice(&parcel, end) && !resent.contains(&no);
                self.watchdog.record(no, now, FlowEvent::Ended(end_name(end), owed));
                if !owed && let Some(history) = self.watchdog.resolve(no, now) {
                    tracing::error!("{history}");
                }
                if let Some(view) = self.views.remove(&no) {
                    self.hooks.flow_ended(&view, end_name(end));
                }
                self.record_fate(
                    &parcel.id,
                    match end {
                        End::Delivered | End::Over => FlowFate::Delivered,
                        End::Failed => FlowFate::Ended,
                        End::Returned(_) => FlowFate::Returned,
                    },
                );
                self.count_end(no, end);
                self.flow_infos.remove(&no);
                self.routing.flow_over(no);
                // A resend has the id of the flow that failed, which has its own entry here.
                if self.ids.get(&parcel.id) == Some(&no) {
                    self.over.push_back(parcel.id.clone());
                }
                if self.over.len() > MAX_REMEMBERED
                    && let Some(id) = self.over.pop_front()
                {
                    self.ids.remove(&id);
                }
            }
            Effect::Release(server) => {
                self.upstream.release(server);
                if let Some((_, mail)) = &self.mail {
                    mail.release(server);
                }
            }
            Effect::Wake(after) => self.wakes.add(now + after),
            Effect::Probe(server) => {
                let foreign = |kind: KindId| {
                    self.names.kinds.get(kind.0).is_some_and(|k| k == crate::net::routing::KIND)
                };
                let to = self.directory.get(server).and_then(|s| Some((s.address?, s.wire, foreign(s.kind))));
                match (to, &self.mail) {
                    (Some((address, Wire::Http, foreign)), _) => {
                        let switch = self.upstream.probe(server, address, foreign);
                        self.probes.retain(|(_, s)| s.is_used());
                        self.probes.push((server, switch));
                    }
                    (Some((address, Wire::Mail(dialect), _)), Some((_, mail))) => {
                        mail.probe(server, address, dialect)
                    }
                    _ => self.core.probe_ended(server, Outcome::Void, None),
                }
            }
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::Note(Note::Health(server, from, to, after)) => {
                let uid = self.directory.uid(server);
                tracing::info!(server = server.0, uid, ?from, ?to, ?after, "health");
            }
            Effect::Note(_) => {}
        }
    }

    /// Holds calls and probes to these servers that have not begun to be sent.
    pub(super) fn hold_unsent(&self, to: impl Fn(ServerNo) -> bool) {
        let calls = self.calls.values().map(|c| (c.server, &c.switch));
        let all = calls.chain(self.probes.iter().map(|(no, switch)| (*no, switch)));
        all.filter(|(no, _)| to(*no)).for_each(|(_, switch)| switch.hold());
    }

    /// Holds unsent calls and probes of a whole destination.
    pub(super) fn hold_destination(&self, destination: DestinationId) {
        self.hold_unsent(|no| self.directory.destination(no) == destination);
    }

    /// Time until which a keyed flow that may have run may be written again.
    fn write_by(&self, flow: FlowNo) -> Option<Duration> {
        let (_, progress) = self.journal.ledger().open.get(&flow)?;
        let (effect, _) = self.classes.get(self.flow_infos.get(&flow)?.class)?;
        match effect {
            crate::api::Effect::Keyed { window, .. } => progress.risk.as_ref().map(|sent| sent.at + *window),
            _ => None,
        }
    }

    /// Makes the calls of this step; a call's switch applies to all of its attempts.
    pub(super) fn make_calls(&mut self) {
        for order in std::mem::take(&mut self.http_calls) {
            let server = order.server;
            let keys: Vec<_> = order.items.iter().map(|i| (i.flow, i.attempt)).collect();
            let switch = self.upstream.call(order);
            self.register_call(keys, server, &switch);
        }
    }

    /// Registers the attempts carried by a call to a server.
    pub(super) fn register_call(&mut self, keys: Vec<(FlowNo, u32)>, server: ServerNo, switch: &Switch) {
        for key in keys {
            self.calls.insert(key, OpenCall { switch: switch.clone(), server });
        }
    }
}
