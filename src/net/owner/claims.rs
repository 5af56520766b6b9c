//! Flows that a client marks as submitted before: the other relays are asked about them before they are accepted.

use super::*;
use onyxstile_peers::book::id_digest;
use onyxstile_peers::{Answer, Heard, NodeNo, Number, Peers, Question};
use onyxstile_recovery::claims::decide;
use onyxstile_recovery::{Claim, MayKnow};

/// Time allowed for the other relays to answer: a client waits 400 ms for its own answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(180);
/// Maximum number of open claims: each holds the message body.
const MAX_OPEN_CLAIMS: usize = 64;
/// Retry-after time for a claim that cannot be decided at present.
const CLAIM_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Claims that wait for answers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: BTreeMap<u64, Open>,
    last: u64,
    asked: BTreeMap<Number, u64>,
}

#[derive(Debug)]
struct Open {
    submission: Submission,
    answers: BTreeMap<NodeNo, MayKnow>,
    left: usize,
}

/// Knowledge assumed for a relay that was not asked or did not answer. A relay that is permanently gone has accepted
/// nothing since then.
fn silent(peers: &Peers, node: NodeNo, now: Duration) -> MayKnow {
    peers.gone_for(node, now).map_or(MayKnow::Silent, MayKnow::Unknown)
}

impl Owner {
    /// Holds back a repeated submission if the other relays have to be asked about it first; otherwise returns it.
    pub(super) fn claim(&mut self, submission: Submission) -> Result<(), Submission> {
        let now = self.clock.now();
        let class = position(&self.names.classes, &submission.class).and_then(|c| self.classes.get(c));
        let free = class.is_none_or(|c| c.0 == crate::api::Effect::Repeatable);
        let Some(fleet) = self.fleet.as_mut().filter(|_| submission.repeat && !free) else {
            return Err(submission);
        };
        if fleet.claims.open.len() >= MAX_OPEN_CLAIMS {
            let _ = submission.reply.send(vec![Verdict::Rejected(CLAIM_RETRY_AFTER); submission.items.len()]);
            return Ok(());
        }
        let known = submission.items.iter().any(|(_, p)| self.ids.contains_key(&p.id));
        if known || fleet.book.fate(id_digest(&submission.items[0].1.id)).is_some() {
            return Err(submission);
        }
        let ids: Vec<u64> = submission.items.iter().map(|(_, p)| id_digest(&p.id)).collect();
        fleet.claims.last += 1;
        let claim = fleet.claims.last;
        let mut open = Open { submission, answers: BTreeMap::new(), left: 0 };
        // This relay, like any other, may have lost flows that it had accepted.
        open.answers.insert(NodeNo(u16::MAX), MayKnow::Unknown(fleet.book.whole_for(now)));
        for node in fleet.peers.others() {
            match fleet.peers.ask(node, Question::Ids(ids.clone()), now, PEER_TIMEOUT) {
                Some(number) => {
                    fleet.claims.asked.insert(number, claim);
                    open.left += 1;
                }
                None => drop(open.answers.insert(node, silent(&fleet.peers, node, now))),
            }
        }
        fleet.claims.open.insert(claim, open);
        self.settle_claim(claim);
        self.tick_fleet();
        Ok(())
    }

    /// Applies the operator's list of permanently gone relays: once a message's lifetime has passed since then, a
    /// missing answer of such a relay no longer delays a claim. Flows that it accepted before may have run and belong
    /// to it for the rest of their lifetime.
    pub(super) fn set_gone_relays(&mut self, gone: BTreeSet<NodeNo>) {
        if let Some(fleet) = &mut self.fleet {
            tracing::info!(nodes = ?gone.iter().map(|n| n.0).collect::<Vec<_>>(), "relays that are gone for good");
            fleet.peers.set_gone(&gone, self.clock.now());
        }
    }

    pub(super) fn claim_answered(&mut self, node: NodeNo, number: Number, heard: Heard) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        let Some(claim) = fleet.claims.asked.remove(&number) else { return };
        let knowledge = match heard {
            Heard::Answer(Answer::Ids(fates, whole_s)) => match fates.into_iter().flatten().max() {
                Some(fate) => MayKnow::Fate(fate),
                None => MayKnow::Unknown(Duration::from_secs(whole_s.into())),
            },
            _ => silent(&fleet.peers, node, now),
        };
        if let Some(open) = fleet.claims.open.get_mut(&claim) {
            open.left -= 1;
            open.answers.insert(node, knowledge);
        }
        self.settle_claim(claim);
    }

    fn settle_claim(&mut self, claim: u64) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(open) = fleet.claims.open.get(&claim) else { return };
        let class = position(&self.names.classes, &open.submission.class).and_then(|c| self.classes.get(c));
        let life = class.map_or(Duration::ZERO, |c| c.1);
        let answers: Vec<_> = open.answers.values().copied().collect();
        let decision = decide(&answers, life);
        // One relay that has the flow decides the claim; ruling it out requires all answers.
        if open.left > 0 && !matches!(decision, Claim::Theirs | Claim::Over) {
            return;
        }
        let Some(Open { submission, .. }) = fleet.claims.open.remove(&claim) else { return };
        tracing::debug!(
            id = submission.items.first().map(|(_, p)| p.id.as_str()),
            is = ?decision,
            heard = ?answers,
            "claim decided"
        );
        let verdict = match decision {
            Claim::Free => return self.handle_submission(submission),
            Claim::Theirs => Verdict::Accepted,
            Claim::Over => Verdict::Failed,
            Claim::Later => Verdict::Rejected(CLAIM_RETRY_AFTER),
        };
        let _ = submission.reply.send(vec![verdict; submission.items.len()]);
    }
}
