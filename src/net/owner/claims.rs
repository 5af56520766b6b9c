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
    offer: Submission,
    heard: BTreeMap<NodeNo, MayKnow>,
    left: usize,
}

/// Knowledge assumed for a relay that was not asked or did not answer. A relay that is permanently gone has accepted
/// nothing since then.
fn silent(peers: &Peers, node: NodeNo, now: Duration) -> MayKnow {
    peers.gone_for(node, now).map_or(MayKnow::Silent, MayKnow::Unknown)
}

impl Owner {
    /// Holds back a repeated submission if the other relays have to be asked about it first; otherwise returns it.
    pub(super) fn claim(&mut self, offer: Submission) -> Result<(), Submission> {
        let now = self.clock.now();
        let class = position(&self.names.classes, &offer.class).and_then(|c| self.classes.get(c));
        let free = class.is_none_or(|c| c.0 == crate::api::Effect::Repeatable);
        let Some(fleet) = self.fleet.as_mut().filter(|_| offer.repeat && !free) else { return Err(offer) };
        if fleet.claims.open.len() >= MAX_OPEN_CLAIMS {
            let _ = offer.reply.send(vec![Verdict::Rejected(CLAIM_RETRY_AFTER); offer.items.len()]);
            return Ok(());
        }
        let known = offer.items.iter().any(|(_, p)| self.ids.contains_key(&p.id));
        if known || fleet.book.fate(id_digest(&offer.items[0].1.id)).is_some() {
            return Err(offer);
        }
        let ids: Vec<u64> = offer.items.iter().map(|(_, p)| id_digest(&p.id)).collect();
        fleet.claims.last += 1;
        let claim = fleet.claims.last;
        let mut open = Open { offer, heard: BTreeMap::new(), left: 0 };
        // This relay, like any other, may have lost flows that it had accepted.
        open.heard.insert(NodeNo(u16::MAX), MayKnow::Unknown(fleet.book.whole_for(now)));
        for node in fleet.peers.others() {
            match fleet.peers.ask(node, Question::Ids(ids.clone()), now, PEER_TIMEOUT) {
                Some(number) => {
                    fleet.claims.asked.insert(number, claim);
                    open.left += 1;
                }
                None => drop(open.heard.insert(node, silent(&fleet.peers, node, now))),
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
        let knows = match heard {
            Heard::Answer(Answer::Ids(fates, whole_s)) => match fates.into_iter().flatten().max() {
                Some(fate) => MayKnow::Fate(fate),
                None => MayKnow::Unknown(Duration::from_secs(whole_s.into())),
            },
            _ => silent(&fleet.peers, node, now),
        };
        if let Some(open) = fleet.claims.open.get_mut(&claim) {
            open.left -= 1;
            open.heard.insert(node, knows);
        }
        self.settle_claim(claim);
    }

    fn settle_claim(&mut self, claim: u64) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(open) = fleet.claims.open.get(&claim) else { return };
        let class = position(&self.names.classes, &open.offer.class).and_then(|c| self.classes.get(c));
        let life = class.map_or(Duration::ZERO, |c| c.1);
        let heard: Vec<_> = open.heard.values().copied().collect();
        let is = decide(&heard, life);
        // One relay that has the flow decides the claim; ruling it out requires all answers.
        if open.left > 0 && !matches!(is, Claim::Theirs | Claim::Over) {
            return;
        }
        let Some(Open { offer, .. }) = fleet.claims.open.remove(&claim) else { return };
        tracing::debug!(id = offer.items.first().map(|(_, p)| p.id.as_str()), ?is, ?heard, "claim decided");
        let verdict = match is {
            Claim::Free => return self.handle_submission(offer),
            Claim::Theirs => Verdict::Accepted,
            Claim::Over => Verdict::Failed,
            Claim::Later => Verdict::Rejected(CLAIM_RETRY_AFTER),
        };
        let _ = offer.reply.send(vec![verdict; offer.items.len()]);
    }
}
