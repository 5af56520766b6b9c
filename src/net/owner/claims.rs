//! Flows that a client hands in again, marked as such: the others are asked what they know before one is taken on.

use super::*;
use onyxstile_peers::book::id_digest;
use onyxstile_peers::{Answer, Heard, NodeNo, Number, Peers, Question};
use onyxstile_recovery::claims::decide;
use onyxstile_recovery::{Claim, MayKnow};

/// How long the others may take to answer: a client waits 400 ms for its own answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(180);
/// Claims open at once, at most: each holds its body.
const MAX_OPEN_CLAIMS: usize = 64;
/// How long a client is asked to stay away where nobody can tell now.
const CLAIM_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Claims whose answers have not all come.
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

/// What a relay is that was not asked, or did not answer. One that is gone for good has taken nothing on since.
fn silent(peers: &Peers, node: NodeNo, now: Duration) -> MayKnow {
    peers.gone_for(node, now).map_or(MayKnow::Silent, MayKnow::Unknown)
}

impl Owner {
    /// Takes a marked offer aside, if the others have to be asked about it first. Gives it back if not.
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
        // This relay may have lost what it took on, like any other.
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

    /// By the operator's file these relays are gone for good: once a message's life has passed since, their silence holds no
    /// claim back any more. What they took on before may have run, and stays theirs for as long as it lives.
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
        // Word of it is enough; that nobody knows it takes all of them.
        if open.left > 0 && !matches!(is, Claim::Theirs | Claim::Over) {
            return;
        }
        let Some(Open { offer, .. }) = fleet.claims.open.remove(&claim) else { return };
        tracing::debug!(
            id = offer.items.first().map(|(_, p)| p.id.as_str()),
            ?is,
            ?heard,
            "a flow was claimed"
        );
        let verdict = match is {
            Claim::Free => return self.handle_submission(offer),
            Claim::Theirs => Verdict::Accepted,
            Claim::Over => Verdict::Failed,
            Claim::Later => Verdict::Rejected(CLAIM_RETRY_AFTER),
        };
        let _ = offer.reply.send(vec![verdict; offer.items.len()]);
    }
}
