//! The owner's side of the exchange with the other relays: datagrams, requests and answers.

mod view;

use super::claims::Claims;
use super::*;
use crate::net::peers::Link;
use crate::net::peers::settings::{ID_MEMORY, IDS_MOST};
use onyxstile_peers::book::{Book, id_digest, name_digest};
use onyxstile_peers::facts::Evidence;
use onyxstile_peers::roster::Turn;
use onyxstile_peers::{
    About, Answer, Counts, Effect as PeerEffect, Fate as FlowFate, Heard, Life, NodeNo, Number, Peers,
};
use onyxstile_peers::{Question, Terms};
use std::net::SocketAddr;
use view::View;

/// Maximum number of remembered source addresses of dropped datagrams. Each is logged once; further ones are only
/// counted.
const MAX_REJECTED_SENDERS: usize = 64;

/// State of the exchange with the other relays.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) peers: Peers,
    link: Link,
    /// Flow outcomes by id digest.
    pub(super) book: Book,
    pub(super) claims: Claims,
    /// Facts received from other relays after a loss.
    pub(super) evidence: Evidence,
    /// Number of facts received from each relay.
    pub(super) facts_received: BTreeMap<NodeNo, u16>,
    /// Open requests of the restart recovery.
    pub(super) asked: BTreeMap<Number, NodeNo>,
    /// Highest list version reported by any relay, and the largest lead of their clocks over the local one.
    pub(super) peer_list_rev: u64,
    pub(super) clock_offset: Duration,
    /// Drains and bans reported by other relays. Each is held until the list reaches the given version or an operator
    /// changes it.
    pub(super) peer_holds: BTreeMap<String, Option<u64>>,
    /// Start time of this process, and the time since which its records are complete.
    pub(super) began: Duration,
    pub(super) complete_since: Duration,
    /// Source addresses of dropped datagrams.
    rejected_senders: BTreeSet<SocketAddr>,
}

impl Fleet {
    pub(super) fn new(terms: Terms, link: Link, complete_since: Duration, now: Duration) -> Fleet {
        Fleet {
            peers: Peers::new(terms, now),
            link,
            book: Book::new(IDS_MOST, ID_MEMORY, now),
            claims: Claims::default(),
            evidence: Evidence::default(),
            facts_received: BTreeMap::new(),
            asked: BTreeMap::new(),
            peer_list_rev: 0,
            clock_offset: Duration::ZERO,
            peer_holds: BTreeMap::new(),
            began: now,
            complete_since,
            rejected_senders: BTreeSet::new(),
        }
    }

    /// Logs a dropped datagram, once per address.
    fn dropped(&mut self, from: SocketAddr, bytes: usize) {
        if self.rejected_senders.len() < MAX_REJECTED_SENDERS && self.rejected_senders.insert(from) {
            tracing::warn!(%from, bytes, "a datagram is dropped: truncated, forged, of another version or fleet, or above the rate limit");
        }
    }

    /// Logs the datagram counters.
    pub(super) fn log_counts(&self) {
        let Counts { sent, sent_bytes, came, dropped } = self.peers.counts();
        tracing::info!(sent, sent_bytes, came, dropped, "datagrams");
    }
}

impl Owner {
    fn about(&self, fleet: &Fleet, now: Duration) -> About {
        let s = |from: Duration| now.saturating_sub(from).as_secs() as u32;
        About {
            life: fleet.peers.life(),
            up_s: s(fleet.began),
            sound_s: s(fleet.complete_since),
            list_rev: self.list_rev,
            clock_ms: now.as_millis() as u64,
        }
    }

    /// Handles a received datagram.
    pub(super) fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        if !self.has_started() {
            return;
        }
        let Some(mut fleet) = self.fleet.take() else { return };
        let now = self.clock.now();
        let about = self.about(&fleet, now);
        let view = View {
            core: &self.core,
            directory: &self.directory,
            journal: &self.journal,
            book: &fleet.book,
            about,
            now,
        };
        let before = fleet.peers.counts().dropped;
        let effects = fleet.peers.take(bytes, &view, now);
        if fleet.peers.counts().dropped > before {
            fleet.dropped(from, bytes.len());
        }
        self.fleet = Some(fleet);
        self.apply_peer_effects(effects, now);
    }

    /// Runs the periodic work of the exchange when it is due.
    pub(super) fn tick_fleet(&mut self) {
        if !self.has_started() {
            return;
        }
        let now = self.clock.now();
        if let Some(effects) =
            self.fleet.as_mut().filter(|f| f.peers.next() <= now).map(|f| f.peers.tick(now))
        {
            self.apply_peer_effects(effects, now);
        }
    }

    pub(super) fn fleet_due(&self) -> Option<Duration> {
        self.fleet.as_ref().filter(|_| self.has_started()).map(|f| f.peers.next())
    }

    fn apply_peer_effects(&mut self, effects: Vec<PeerEffect>, now: Duration) {
        for effect in effects {
            match effect {
                PeerEffect::Send(to, bytes) => {
                    if let Some(fleet) = &self.fleet {
                        fleet.link.send(to, &bytes);
                    }
                }
                PeerEffect::Turn(node, Turn::Came(comeback)) => {
                    tracing::info!(node = node.0, ?comeback, "a relay came");
                }
                PeerEffect::Turn(node, turn) => tracing::info!(node = node.0, ?turn, "a relay"),
                PeerEffect::Overtaken(life) => self.superseded(life, now),
                PeerEffect::Heard(node, number, heard) => {
                    let asked = self.fleet.as_mut().and_then(|f| f.asked.remove(&number));
                    match asked {
                        Some(_) => self.loss_answered(node, heard, now),
                        None => self.claim_answered(node, number, heard),
                    }
                }
            }
        }
    }

    /// Sends a request of the restart recovery, if that is possible.
    pub(super) fn ask_about_loss(&mut self, to: NodeNo, question: Question, timeout: Duration) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet
            && let Some(number) = fleet.peers.ask(to, question, now, timeout)
        {
            fleet.asked.insert(number, to);
        }
    }

    /// Handles an answer to a request of the restart recovery, or its timeout.
    fn loss_answered(&mut self, node: NodeNo, heard: Heard, now: Duration) {
        let (cold, mut more) = (self.cold_time, None);
        if let Some(fleet) = &mut self.fleet {
            match heard {
                Heard::Answer(Answer::Who(about, _)) => {
                    fleet.peer_list_rev = fleet.peer_list_rev.max(about.list_rev);
                    let theirs = Duration::from_millis(about.clock_ms);
                    fleet.clock_offset = fleet.clock_offset.max(theirs.saturating_sub(now));
                    more = Some(0);
                }
                Heard::Answer(Answer::Facts(facts, rest)) => {
                    let about = fleet.peers.roster.get(node).and_then(|s| s.about);
                    let sound = about.is_some_and(|(a, _)| Duration::from_secs(a.sound_s.into()) >= cold);
                    fleet.evidence.take(&facts, sound);
                    let next = fleet.facts_received.entry(node).or_default();
                    *next += facts.len() as u16;
                    more = Some(*next).filter(|_| rest);
                }
                Heard::Answer(Answer::Ids(..)) | Heard::Nothing => {}
            }
        }
        if let (Some(from), Some(left)) = (more, self.asking_left(now)) {
            self.ask_about_loss(node, Question::Facts(from), left);
        }
        self.check_asked(now);
    }

    /// Records the outcome of a flow for requests of other relays.
    pub(super) fn record_fate(&mut self, id: &str, fate: FlowFate) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.book.write(id_digest(id), fate, now);
        }
    }

    /// Switches to another incarnation.
    pub(super) fn use_incarnation(&mut self, life: Life, now: Duration) {
        if let Some(effects) = self.fleet.as_mut().map(|f| f.peers.become_life(life, now)) {
            self.apply_peer_effects(effects, now);
        }
    }
}
