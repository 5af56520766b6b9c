//! Passes the inputs and outputs of each step to the trace recorder.
//!
//! Events of individual flows are stored as a [`Fact`], and many facts are encoded together. A relay with little load
//! sleeps between messages and finds its caches cold, so encoding one event at a time costs several times as much.

mod effects;

use super::*;
use crate::api::Note;
use crate::net::trace::recorder::Recorder;
use crate::net::trace::scribe::{Incoming, Scribe};
use onyxstile_trace::events::{Stage, Why};

/// Approximate number of facts that are encoded together.
const FACTS: usize = 128;

/// Frequent event of a flow.
#[derive(Debug)]
enum Fact {
    Offered(FlowNo, FlowTerms, Duration, Rc<Parcel>),
    Taken(FlowNo),
    Sent(FlowNo, u32, ServerNo, Duration),
    AttemptEnded(CallEnd, DestinationId),
    Ended(FlowNo, End, bool),
}

/// A trace encoder and the recorder that receives its events.
#[derive(Debug)]
pub struct StepRecorder {
    pub(super) scribe: Scribe,
    recorder: Recorder,
    facts: Vec<(Duration, Fact)>,
}

impl StepRecorder {
    /// Creates a recorder without any facts.
    pub fn new(scribe: Scribe, recorder: Recorder) -> StepRecorder {
        StepRecorder { scribe, recorder, facts: Vec::with_capacity(2 * FACTS) }
    }

    /// Returns the recorder of the events.
    pub fn into_recorder(self) -> Recorder {
        self.recorder
    }

    /// Time at which facts must be encoded or events passed on.
    fn due(&self) -> Option<Duration> {
        let first = self.facts.first().map(|(at, _)| *at + self.recorder.patience());
        first.into_iter().chain(self.recorder.due()).min()
    }

    /// Encodes all stored facts.
    fn encode_facts(&mut self, directory: &Directory, independent_routes: &[bool]) {
        let StepRecorder { scribe, facts, .. } = self;
        for (at, fact) in facts.drain(..) {
            scribe.pass(at);
            match fact {
                Fact::Offered(no, terms, deadline, parcel) => {
                    scribe.offered(no, &incoming(&terms, deadline, &parcel), at);
                }
                Fact::Taken(no) => scribe.taken(no, at),
                Fact::Sent(no, attempt, server, timeout) => {
                    scribe.sent(no, attempt, directory.uid(server), timeout, at);
                }
                Fact::AttemptEnded(end, destination) => {
                    let kind = directory.get(end.server).map(|s| s.kind);
                    let alone = kind.and_then(|k| independent_routes.get(k.0)).copied().unwrap_or_default();
                    scribe.attempt_ended(&end, directory.uid(end.server), destination, alone, at);
                }
                Fact::Ended(no, end, owed) => scribe.ended(no, end, owed, at),
            }
        }
    }
}

impl Owner {
    /// The trace encoder, for events that are not stored as facts. All stored facts are encoded first, so that the
    /// events stay in order and the directory still contains the servers that they name.
    pub(super) fn scribe(&mut self) -> Option<&mut Scribe> {
        let recorder = self.recorder.as_mut()?;
        recorder.encode_facts(&self.directory, &self.independent_routes);
        Some(&mut recorder.scribe)
    }

    fn fact(&mut self, fact: Fact, at: Duration) {
        if let Some(recorder) = &mut self.recorder {
            recorder.facts.push((at, fact));
        }
    }

    /// Records an input other than a submission.
    pub(super) fn record_input(&mut self, message: &OwnerMessage) {
        if self.recorder.is_none() {
            return;
        }
        let now = self.clock.now();
        match message {
            OwnerMessage::Submission(_)
            | OwnerMessage::List(_)
            | OwnerMessage::Control(..)
            | OwnerMessage::Admin(..)
            | OwnerMessage::Rules(_)
            | OwnerMessage::Gone(_)
            | OwnerMessage::HandOver(_)
            | OwnerMessage::Synced(_) => {}
            OwnerMessage::CallEnded(end, _) => {
                let destination = self.flow_infos.get(&end.flow).map(|p| p.destination).unwrap_or_default();
                self.fact(Fact::AttemptEnded(*end, destination), now);
            }
            OwnerMessage::Probed(server, outcome, limit) => {
                let (uid, destination) = (self.directory.uid(*server), self.directory.destination(*server));
                if let Some(scribe) = self.scribe() {
                    scribe.probed(uid, destination, Some((*outcome, *limit)), now);
                }
            }
            OwnerMessage::Operator(servers, _) => {
                if let Some(scribe) = self.scribe() {
                    scribe.configuration(servers.len(), now);
                }
            }
            OwnerMessage::NoticesAcknowledged(flows) => {
                if let Some(scribe) = self.scribe() {
                    scribe.heard(flows, now);
                }
            }
        }
    }

    /// Records submitted flows that were rejected before a number was assigned: the flow `which`, or all of the
    /// submission.
    pub(super) fn record_rejection(
        &mut self, submission: &Submission, which: Option<usize>, verdict: Verdict,
    ) {
        let (why, wait) = match verdict {
            Verdict::Accepted => return,
            Verdict::Rejected(wait) => (Why::Script, wait),
            Verdict::Ending(wait) => (Why::Ending, wait),
            Verdict::Full => (Why::Full, Duration::ZERO),
            Verdict::Failed => (Why::GivenUp, Duration::ZERO),
            Verdict::Unknown(_) => (Why::NamesUnknown, Duration::ZERO),
        };
        let (now, class) = (self.clock.now(), position(&self.names.classes, &submission.class));
        let tenant = submission.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
        let Some(scribe) = self.scribe() else { return };
        for (_, (destination, parcel)) in
            submission.items.iter().enumerate().filter(|(n, _)| which.is_none_or(|w| w == *n))
        {
            let incoming = Incoming {
                id: &parcel.id,
                class: class.unwrap_or(usize::MAX),
                tenant,
                destination: *destination,
                deadline: submission.deadline,
                size: parcel.body.len(),
            };
            scribe.turned_away(&incoming, why, wait, now);
        }
    }

    /// Records a numbered flow that is submitted to the core.
    pub(super) fn record_submission(
        &mut self, no: FlowNo, terms: &FlowTerms, deadline: Duration, parcel: &Rc<Parcel>,
    ) {
        let now = self.clock.now();
        if self.recorder.is_some() {
            self.fact(Fact::Offered(no, *terms, deadline, parcel.clone()), now);
        }
    }

    /// Records a restored flow: one left by an earlier process, or a notification that is a flow of its own.
    pub(super) fn record_restored(
        &mut self, no: FlowNo, terms: &FlowTerms, flow: &TakenFlow, past: Option<Past>,
    ) {
        let now = self.clock.now();
        let Some(scribe) = self.scribe() else { return };
        let incoming = incoming(terms, flow.deadline, &flow.parcel);
        match past {
            Some(past) => scribe.recovered(no, &incoming, past.attempts, past.risk.is_some(), now),
            None => {
                scribe.offered(no, &incoming, now);
                scribe.taken(no, now);
            }
        }
    }

    /// Records the phase of the program.
    pub(super) fn record_phase(&mut self, stage: Stage) {
        let now = self.clock.now();
        if let Some(scribe) = self.scribe() {
            scribe.phase(stage, now);
        }
    }

    /// Time at which the recorder must be flushed.
    pub(super) fn recorder_due(&self) -> Option<Duration> {
        self.recorder.as_ref().and_then(StepRecorder::due)
    }

    /// End of a step: encodes the facts and passes the events on, if there are enough of them or they have waited long
    /// enough; `last` does so in any case.
    pub(super) fn flush_recorder(&mut self, last: bool) {
        let Some(recorder) = &mut self.recorder else { return };
        let now = self.clock.now();
        if recorder.facts.len() >= FACTS || last || recorder.due().is_some_and(|due| due <= now) {
            recorder.encode_facts(&self.directory, &self.independent_routes);
            recorder.scribe.pass(now);
            recorder.recorder.take(recorder.scribe.made(), now);
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
