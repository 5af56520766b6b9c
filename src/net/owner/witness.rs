//! What the owner tells the recorder: all that goes into a step, and all that comes out of it.

use super::*;
use crate::api::Note;
use crate::net::trace::recorder::Recorder;
use crate::net::trace::scribe::{Incoming, Scribe};
use onyxstile_trace::events::{Stage, Why};

/// A scribe, and where its events go.
#[derive(Debug)]
pub struct Witness {
    /// Makes events.
    pub scribe: Scribe,
    /// Takes them.
    pub recorder: Recorder,
}

impl Owner {
    /// Something other than an offer came in.
    pub(super) fn witness_in(&mut self, message: &ToOwner) {
        let Some(Witness { scribe, .. }) = &mut self.witness else { return };
        let now = self.clock.now();
        match message {
            ToOwner::Offer(_) | ToOwner::List(_) | ToOwner::Control(..) | ToOwner::Rules(_) => {}
            ToOwner::CallEnded(end, _) => {
                let server = self.directory.uid(end.server);
                let destination = self.destinations.get(&end.flow).copied().unwrap_or_default();
                let kind = self.directory.get(end.server).map(|s| s.kind);
                let alone = kind.and_then(|k| self.apart.get(k.0)).copied().unwrap_or_default();
                scribe.attempt_ended(end, server, destination, alone, now);
            }
            ToOwner::Probed(server, outcome, limit) => {
                let destination = self.directory.destination(*server);
                scribe.probed(self.directory.uid(*server), destination, Some((*outcome, *limit)), now);
            }
            ToOwner::Operator(servers, _) => scribe.configuration(servers.len(), now),
            ToOwner::NoticesHeard(flows) => scribe.heard(flows, now),
        }
    }

    /// Flows were handed in and turned away before they had numbers: one of an offer, or all.
    pub(super) fn witness_away(&mut self, offer: &Offer, which: Option<usize>, verdict: Verdict) {
        let (why, wait) = match verdict {
            Verdict::Taken => return,
            Verdict::TurnedDown(wait) => (Why::Script, wait),
            Verdict::Ending(wait) => (Why::Ending, wait),
            Verdict::Full => (Why::Full, Duration::ZERO),
            Verdict::Failed => (Why::GivenUp, Duration::ZERO),
            Verdict::Unknown(_) => (Why::NamesUnknown, Duration::ZERO),
        };
        let Some(Witness { scribe, .. }) = &mut self.witness else { return };
        let (now, class) = (self.clock.now(), position(&self.names.classes, &offer.class));
        let tenant = offer.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
        for (_, (destination, parcel)) in
            offer.items.iter().enumerate().filter(|(n, _)| which.is_none_or(|w| w == *n))
        {
            let incoming = Incoming {
                id: &parcel.id,
                class: class.unwrap_or(usize::MAX),
                tenant,
                destination: *destination,
                deadline: offer.deadline,
                size: parcel.body.len(),
            };
            scribe.turned_away(&incoming, why, wait, now);
        }
    }

    /// A flow has its number: it is offered to the core.
    pub(super) fn witness_offer(
        &mut self, no: FlowNo, terms: &FlowTerms, deadline: Duration, parcel: &Parcel,
    ) {
        if let Some(Witness { scribe, .. }) = &mut self.witness {
            let now = self.clock.now();
            scribe.offered(no, &incoming(terms, deadline, parcel), now);
        }
    }

    /// A flow was taken up: one that an earlier process left, or a notification that is a flow of its own.
    pub(super) fn witness_up(&mut self, no: FlowNo, terms: &FlowTerms, flow: &TakenFlow, past: Option<Past>) {
        let now = self.clock.now();
        let Some(Witness { scribe, .. }) = &mut self.witness else { return };
        let incoming = incoming(terms, flow.deadline, &flow.parcel);
        match past {
            Some(past) => scribe.recovered(no, &incoming, past.attempts, past.risk.is_some(), now),
            None => {
                scribe.offered(no, &incoming, now);
                scribe.taken(no, now);
            }
        }
    }

    /// The effects of a step, which are about to be carried out; `lasting`: their records are written.
    pub(super) fn witness_out(
        &mut self, effects: &[Effect<Rc<Parcel>>], lasting: bool, now: Duration, resent: &BTreeSet<FlowNo>,
    ) {
        let Some(Witness { scribe, .. }) = &mut self.witness else { return };
        let there = |server: ServerNo| self.directory.get(server).is_some_and(|s| s.address.is_some());
        for effect in effects {
            match effect {
                Effect::Taken(no, _) if lasting => scribe.taken(*no, now),
                Effect::Taken(no, _) => scribe.turned_down(*no, Why::Journal, Duration::ZERO, now),
                Effect::TurnedDown(no, _, End::Returned(wait)) => {
                    scribe.turned_down(*no, Why::Module, *wait, now)
                }
                Effect::TurnedDown(no, ..) => scribe.turned_down(*no, Why::GivenUp, Duration::ZERO, now),
                Effect::Call { flow, attempt, server, give_up_at, .. } if lasting && there(*server) => {
                    let patience = give_up_at.saturating_sub(now);
                    scribe.sent(*flow, *attempt, self.directory.uid(*server), patience, now);
                }
                Effect::StopCall(flow, attempt) => scribe.stopped(*flow, *attempt, now),
                Effect::Ended(no, parcel, end) => {
                    let owed = owes_notice(parcel, *end) && !resent.contains(no);
                    scribe.ended(*no, *end, owed, now);
                }
                Effect::Probe(server) => {
                    let destination = self.directory.destination(*server);
                    scribe.probed(self.directory.uid(*server), destination, None, now);
                }
                Effect::Note(Note::Health(server, from, to, after)) => {
                    let destination = self.directory.destination(*server);
                    scribe.health(self.directory.uid(*server), destination, (*from, *to), *after, now);
                }
                Effect::Note(Note::Timer(no, firings, won)) => scribe.timer(*no, *firings, *won, now),
                _ => {}
            }
        }
    }

    /// The program's phase.
    pub(super) fn witness_phase(&mut self, stage: Stage) {
        let now = self.clock.now();
        if let Some(Witness { scribe, .. }) = &mut self.witness {
            scribe.phase(stage, now);
        }
    }

    /// When the recorder has to be given what it has.
    pub(super) fn witness_due(&self) -> Option<Duration> {
        self.witness.as_ref().and_then(|w| w.recorder.due())
    }

    /// The end of a step: what was made of it is handed over.
    pub(super) fn witness_step(&mut self) {
        if let Some(Witness { scribe, recorder }) = &mut self.witness {
            let now = self.clock.now();
            scribe.pass(now);
            recorder.take(scribe.made(), now);
        }
    }
}

fn incoming<'a>(terms: &FlowTerms, deadline: Duration, parcel: &'a Parcel) -> Incoming<'a> {
    Incoming {
        id: &parcel.id,
        class: terms.class.0,
        tenant: terms.tenant,
        destination: terms.destination,
        deadline,
        size: parcel.body.len(),
    }
}
