//! The fleet in virtual time.

mod begin;
mod fleet;
mod partner;
mod terms;
mod traffic;

use super::{Came, Scene, Way};
use fleet::View;
use onyxstile::api::{
    ClassId, ClassSettings, DestinationId, Effect as Class, EndpointId, EndpointInfo, KindId, KindSettings,
    LimitReport, ListState, Outcome, RateSource, RepeatGroup, Settings, UtilityDecay, ZoneId,
};
use onyxstile::core::wakes::Wakes;
use onyxstile::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms};
use onyxstile_peers::facts::{Evidence, Kind, Sight};
use onyxstile_peers::{
    About, Answer, Effect as Said, Fact, Fate, Heard, Life, NodeNo, Own, Peers, Question, Terms,
};
use onyxstile_recovery::{Effect as Order, Event as Turn, Loss, Ramp, Return, Stage, Times};
use partner::Partner;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use terms::{entry, settings};

/// The site's figures (rates for each relay scaled so that a fleet of any size has the same load).
const PARTNERS: usize = 12;
const SPAN: Duration = Duration::from_secs(3);
const COLD: Duration = Duration::from_secs(13);
const COLD_FROM: f64 = 0.2;
const FACTOR: f64 = 2.0;
const LATENCY_MS: u64 = 110;
/// Messages a second that each relay is handed, and what the partners bear together, as a multiple of that.
const PER_RELAY: f64 = 6.0;
const HEADROOM: f64 = 1.5;
/// Power is back at this time; before, the fleet ran well.
const BACK: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(46);
const BASE: Duration = Duration::from_secs(1_000_000);
/// A note is lost by this chance, and takes up to this long.
const LOST_PERCENT: u64 = 2;
const NOTE_MS: u64 = 21;

struct Relay {
    core: Core<()>,
    wakes: Wakes,
    up: bool,
    kept: bool,
    ret: Option<Return>,
    ramp: Option<Ramp>,
    peers: Option<Peers>,
    asked: usize,
    evidence: Evidence,
    facts: Vec<Fact>,
    since: Duration,
    retries: BTreeMap<FlowNo, u32>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Hand { relay: usize, class: usize, to: usize, tries: u32, due: Duration },
    Ended { relay: usize, flow: FlowNo, attempt: u32, server: u32, sent: Duration, outcome: u8, told: u64 },
    Note { to: usize, bytes: Vec<u8> },
    Wake(usize),
    PowerLost,
    PowerBack(usize),
}

pub(super) struct Sim {
    scene: Scene,
    now: Duration,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64, What)>>,
    order: u64,
    rng: Pcg32,
    relays: Vec<Relay>,
    partners: Vec<Partner>,
    next: u64,
    handed: Vec<u32>,
    delivered: Vec<u32>,
    notes: (u64, u64),
}

impl Sim {
    fn push(&mut self, at: Duration, what: What) {
        self.order += 1;
        self.queue.push(std::cmp::Reverse((at, self.order, what)));
    }

    fn wake(&mut self, i: usize, at: Duration) {
        self.push(at.max(self.now), What::Wake(i));
    }

    fn second(&self, at: Duration) -> usize {
        (at.saturating_sub(BASE).as_secs() as usize).min(self.handed.len() - 1)
    }

    pub(super) fn run(mut self) -> Came {
        while let Some(std::cmp::Reverse((at, _, what))) = self.queue.pop() {
            if at > BASE + LENGTH {
                break;
            }
            self.now = at;
            self.happens(what);
        }
        self.came()
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Hand { relay, class, to, tries, due } => self.hand(relay, class, to, tries, due),
            What::Ended { relay, flow, attempt, server, sent, outcome, told } => {
                let outcome = match outcome {
                    0 => Outcome::Success,
                    1 => Outcome::Overloaded { wait: None },
                    _ => Outcome::TimedOut,
                };
                let limit = (told > 0).then_some(LimitReport { left: 0.3, rate: told as f64 / 1e3 });
                let (server, elapsed) = (EndpointId(server), self.now - sent);
                let end = CallEnd { flow, attempt, server, outcome, finished: None, elapsed, limit };
                let r = &mut self.relays[relay];
                if r.up {
                    r.core.call_ended(end);
                    self.step(relay);
                }
            }
            What::Note { to, bytes } => {
                let r = &mut self.relays[to];
                let (up, sound) = (self.now - r.since, self.now - r.since);
                let sound_s = if r.kept { 3600 } else { sound.as_secs() as u32 };
                let view = View(&r.facts, up.as_secs() as u32, sound_s);
                if let Some(peers) = r.peers.as_mut().filter(|_| r.up) {
                    let said = peers.take(&bytes, &view, self.now);
                    self.heed(to, said);
                }
            }
            What::Wake(i) => {
                let r = &mut self.relays[i];
                if !r.up {
                    return;
                }
                if r.wakes.take_due(self.now) {
                    r.core.wake();
                }
                if let Some(said) =
                    r.peers.as_mut().filter(|p| p.next() <= self.now).map(|p| p.tick(self.now))
                {
                    self.heed(i, said);
                }
                self.turn(i, Turn::Tick);
                self.step(i);
            }
            What::PowerLost => self.relays.iter_mut().filter(|r| !r.kept).for_each(|r| r.up = false),
            What::PowerBack(i) => {
                let told: Vec<_> = self.relays[i].core.reported_limits().collect();
                self.relays[i] = self.relay(i, false);
                if matches!(self.scene.way, Way::Peers | Way::Alone) {
                    // The folder has the limits that were told, as `net::owner::endpoint_records` writes them down.
                    told.into_iter().for_each(|(no, rate)| self.relays[i].core.restore_limit(no, rate));
                }
                let life = Life { born: 1, folder: i as u32, start: 2, process: 9, turn: 0 };
                let terms = Terms {
                    fleet: 0,
                    node: NodeNo(i as u16),
                    life,
                    relays: self.scene.relays as u16,
                    seed: i as u64,
                };
                let r = &mut self.relays[i];
                r.peers = r.peers.as_ref().map(|_| Peers::new(terms, self.now));
                if self.scene.way != Way::AtOnce {
                    r.ret = Some(Return::new(Times::of(Duration::from_secs(14)), self.now));
                    let peers = r.peers.is_some();
                    self.turn(i, Turn::Judged { loss: Loss::Unsynced, peers });
                    if !peers {
                        // Its agent has the list at once; with peers, they say first that it is the latest.
                        self.turn(i, Turn::ListHad);
                    }
                    [Turn::OwedTold, Turn::OnceSettled, Turn::KeyedSettled]
                        .into_iter()
                        .for_each(|t| self.turn(i, t));
                }
                self.step(i);
                self.wake(i, self.now);
            }
        }
    }

    fn came(self) -> Came {
        let from = BACK.as_secs() as usize;
        // What is handed in on average, and what of it is delivered in a second.
        let mean =
            self.handed[1..self.handed.len() - 1].iter().sum::<u32>() as f64 / (self.handed.len() - 2) as f64;
        let curve: Vec<f64> = self.delivered.iter().map(|n| f64::from(*n) / mean).collect();
        let reached = |share: f64| {
            let held = |s: &usize| (curve[*s] + curve[*s + 1]) / 2.0 >= share;
            (from..curve.len() - 2).find(held).map(|s| Duration::from_secs((s - from + 1) as u64))
        };
        let back = self.relays.iter().filter(|r| !r.kept).count().max(1) as f64;
        let minutes = (LENGTH - BACK).as_secs_f64() / 60.0;
        Came {
            back: [0.5, 0.9, 0.99].map(reached),
            notes: self.notes.0 as f64 / back / minutes,
            note_bytes: self.notes.1 as f64 / back / minutes,
            coldest: self.partners.iter().map(|p| p.worst).fold(0.0, f64::max),
            fallen: self.partners.iter().filter(|p| p.fallen).count(),
            curve,
        }
    }
}
