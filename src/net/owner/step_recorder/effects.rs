//! Records the effects of a step.

use super::*;

impl Owner {
    /// Records the effects of a step before they are carried out; `lasting`: their journal records are written.
    pub(in crate::net::owner) fn record_effects(
        &mut self, effects: &[Effect<Rc<Parcel>>], lasting: bool, now: Duration, resent: &BTreeSet<FlowNo>,
    ) {
        if self.recorder.is_none() {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Accepted(no, _) if lasting => self.fact(Fact::Taken(*no), now),
                Effect::Call { flow, attempt, server, give_up_at, .. } if lasting => {
                    if self.directory.get(*server).is_some_and(|s| s.address.is_some()) {
                        let timeout = give_up_at.saturating_sub(now);
                        self.fact(Fact::Sent(*flow, *attempt, *server, timeout), now);
                    }
                }
                Effect::Ended(no, parcel, end) => {
                    let owed = needs_notice(parcel, *end) && !resent.contains(no);
                    self.fact(Fact::Ended(*no, *end, owed), now);
                }
                other => self.record_other_effect(other, now),
            }
        }
    }

    fn record_other_effect(&mut self, effect: &Effect<Rc<Parcel>>, now: Duration) {
        let server = match effect {
            Effect::Probe(server) | Effect::Note(Note::Health(server, ..)) => *server,
            Effect::Accepted(..)
            | Effect::Rejected(..)
            | Effect::StopCall(..)
            | Effect::Note(Note::Timer(..)) => ServerNo::default(),
            _ => return,
        };
        let (uid, destination) = (self.directory.uid(server), self.directory.destination(server));
        let Some(scribe) = self.scribe() else { return };
        match effect {
            Effect::Accepted(no, _) => scribe.turned_down(*no, Why::Journal, Duration::ZERO, now),
            Effect::Rejected(no, _, End::Returned(wait)) => scribe.turned_down(*no, Why::Module, *wait, now),
            Effect::Rejected(no, ..) => scribe.turned_down(*no, Why::GivenUp, Duration::ZERO, now),
            Effect::StopCall(flow, attempt) => scribe.stopped(*flow, *attempt, now),
            Effect::Probe(_) => scribe.probed(uid, destination, None, now),
            Effect::Note(Note::Health(_, from, to, after)) => {
                scribe.health(uid, destination, (*from, *to), *after, now);
            }
            Effect::Note(Note::Timer(no, firings, won)) => scribe.timer(*no, *firings, *won, now),
            _ => {}
        }
    }
}
