//! The fleet in virtual time.

use super::{Came, Scene, Way};
use onyxstile::api::{
    ClassId, ClassSettings, DestinationId, Effect as Class, EndpointId, EndpointInfo, KindId, KindSettings,
    LateWorth, LimitReport, ListState, Outcome, RateSource, RepeatGroup, Settings, ZoneId,
};
use onyxstile::core::wakes::Wakes;
use onyxstile::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms};
use onyxstile_peers::facts::{Evidence, Kind, Sight};
use onyxstile_peers::{
    About, Answer, Effect as Said, Fact, Fate, Heard, Life, NodeNo, Own, Peers, Question, Terms,
};
use onyxstile_recovery::{Effect as Order, Event as Turn, Loss, Ramp, Return, Stage, Times};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

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

struct Partner {
    /// Calls a second when warm.
    bears: f64,
    came: Vec<Duration>,
    fallen: bool,
    worst: f64,
}

impl Partner {
    fn capacity(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(BASE + BACK).as_secs_f64();
        let cold = now >= BASE + BACK;
        let warm = if cold { (age / COLD.as_secs_f64()).min(1.0) } else { 1.0 };
        self.bears * (COLD_FROM + (1.0 - COLD_FROM) * warm)
    }

    /// A call comes: whether it is taken.
    fn call(&mut self, now: Duration) -> Outcome {
        self.came.retain(|at| *at + SPAN > now);
        self.came.push(now);
        let n = FACTOR * self.capacity(now) * SPAN.as_secs_f64();
        if now >= BASE + BACK && now < BASE + BACK + COLD {
            let share = self.came.len() as f64 / (n + 2.0 * n.sqrt() + 2.0);
            self.worst = self.worst.max(share);
            self.fallen |= share > 1.0;
        }
        let second = self.came.iter().filter(|at| **at + Duration::from_secs(1) > now).count();
        match self.fallen {
            true => Outcome::TimedOut,
            false if second as f64 > self.capacity(now).max(1.0) * 1.3 => Outcome::Overloaded { wait: None },
            false => Outcome::Success,
        }
    }
}

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

struct View<'a>(&'a [Fact], u32, u32);

impl Own for View<'_> {
    fn about(&self) -> About {
        About { life: Life::UNKNOWN, up_s: self.1, sound_s: self.2, list_rev: 7, clock_ms: 0 }
    }
    fn facts(&self) -> Vec<Fact> {
        self.0.to_vec()
    }
    fn fate(&self, _: u64) -> Option<Fate> {
        None
    }
    fn whole_s(&self) -> u32 {
        self.1
    }
}

fn settings(relays: usize) -> Settings {
    let ms = Duration::from_millis;
    let class = |effect, aim, deadline, worth| ClassSettings {
        aim,
        deadline,
        worth,
        late_worth: 0.5,
        effect,
        ordered: false,
    };
    let window = ms(12_000);
    Settings {
        classes: vec![
            class(Class::Once, ms(2500), ms(28_000), 2.0),
            class(Class::Keyed { group: RepeatGroup::All, window }, ms(3000), ms(20_000), 1.0),
        ],
        kinds: vec![KindSettings { per_call: 1, routes_apart: false }],
        tenants: Vec::new(),
        over_share_worth: 0.1,
        late: LateWorth::Halves,
        rate_source: RateSource::None,
        senders: relays as u32,
        handshake_cost: 0.06,
        max_calls: 12,
        max_held: 64,
        max_attempts: 12,
        probes: true,
        cancelling: true,
        ask_for_list: false,
        must_ask_within: ms(10_000),
        max_client_wait: ms(2000),
        tick: ms(5),
        connect_timeout: ms(1000),
        keepalive: ms(15_000),
        start_capacity: 0.17,
        cold_time: ms(14_000),
        overload_factor: FACTOR,
        overload_span: SPAN,
        key_rest: ms(0),
    }
}

fn entry(p: usize, state: ListState) -> EndpointInfo {
    let id = EndpointId(p as u32);
    EndpointInfo {
        id,
        destination: DestinationId(p as u64),
        kind: KindId(0),
        zone: ZoneId(0),
        state,
        rate: 0.0,
    }
}

impl Sim {
    pub(super) fn new(scene: Scene) -> Sim {
        let mut rng = Pcg32::seed_from_u64(scene.seed * 1000 + scene.relays as u64);
        let total = PER_RELAY * scene.relays as f64 * HEADROOM;
        // Some partners get much of the traffic; each bears in proportion to its own.
        let weight = |p: usize| 1.0 / (p as f64 + 1.0).powf(0.75);
        let all: f64 = (0..PARTNERS).map(weight).sum();
        let partner =
            |p| Partner { bears: total * weight(p) / all, came: Vec::new(), fallen: false, worst: 0.0 };
        let seconds = LENGTH.as_secs() as usize + 1;
        let mut sim = Sim {
            scene,
            now: BASE,
            queue: BinaryHeap::new(),
            order: 0,
            relays: Vec::new(),
            partners: (0..PARTNERS).map(partner).collect(),
            next: 1,
            handed: vec![0; seconds],
            delivered: vec![0; seconds],
            notes: (0, 0),
            rng: rng.clone(),
        };
        for i in 0..scene.relays {
            let kept = i * 100 < scene.kept * scene.relays;
            let relay = sim.relay(i, kept);
            sim.relays.push(relay);
            sim.wake(i, BASE);
            let rate = PER_RELAY;
            let mut at = 0.0;
            while at < LENGTH.as_secs_f64() {
                at += -(1.0 - f64::from(rng.next_u32()) / f64::from(u32::MAX)).max(1e-9).ln() / rate;
                let mut roll = f64::from(rng.next_u32()) / f64::from(u32::MAX) * all;
                let to = (0..PARTNERS).find(|p| {
                    roll -= weight(*p);
                    roll <= 0.0
                });
                let class = usize::from(rng.next_u32() % 100 >= 65);
                let when = BASE + Duration::from_secs_f64(at);
                let due = when + if class == 0 { Duration::from_secs(28) } else { Duration::from_secs(20) };
                sim.push(when, What::Hand { relay: i, class, to: to.unwrap_or(0), tries: 0, due });
            }
            if !kept {
                // Machines come back over half a second.
                let after = Duration::from_millis(u64::from(rng.next_u32() % 500));
                sim.push(BASE + BACK + after, What::PowerBack(i));
            }
        }
        sim.push(BASE + BACK - Duration::from_secs(2), What::PowerLost);
        sim
    }

    fn relay(&mut self, i: usize, kept: bool) -> Relay {
        let seed = self.rng.next_u64();
        let mut core =
            Core::new(settings(self.scene.relays), seed, self.now).unwrap_or_else(|e| panic!("{e}"));
        core.take_entries((0..PARTNERS).map(|p| entry(p, ListState::Live)).collect(), true);
        let life = Life { born: 1, folder: i as u32, start: 1, process: seed as u16, turn: 0 };
        let relays = self.scene.relays as u16;
        let terms = Terms { node: NodeNo(i as u16), life, relays, seed };
        let peers = (self.scene.way == Way::Peers).then(|| Peers::new(terms, self.now));
        Relay {
            core,
            wakes: Wakes::default(),
            up: true,
            kept,
            ret: None,
            ramp: None,
            peers,
            asked: 0,
            evidence: Evidence::default(),
            facts: Vec::new(),
            since: self.now,
            retries: BTreeMap::new(),
        }
    }

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
                let told: Vec<_> = self.relays[i].core.told_limits().collect();
                self.relays[i] = self.relay(i, false);
                if matches!(self.scene.way, Way::Peers | Way::Alone) {
                    // The folder has the limits that were told, as `net::owner::sights` writes them down.
                    told.into_iter().for_each(|(no, rate)| self.relays[i].core.know_limit(no, rate));
                }
                let life = Life { born: 1, folder: i as u32, start: 2, process: 9, turn: 0 };
                let terms =
                    Terms { node: NodeNo(i as u16), life, relays: self.scene.relays as u16, seed: i as u64 };
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

    fn hand(&mut self, relay: usize, class: usize, to: usize, tries: u32, due: Duration) {
        let second = self.second(self.now);
        self.handed[second] += u32::from(tries == 0);
        if self.now >= due {
            return;
        }
        let roll = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let r = &mut self.relays[relay];
        let returning = r.ret.is_some() && r.ramp.is_none();
        let share = r.ramp.as_ref().map_or(1.0, |ramp| ramp.share(class, self.now));
        if !r.up || returning || roll >= share || !r.core.has_room(1) {
            let wait = r.ramp.as_ref().map_or(Duration::ZERO, |ramp| ramp.come_back(self.now));
            return self.again(relay, class, to, tries, due, wait);
        }
        let flow = FlowNo(self.next);
        self.next += 1;
        r.retries.insert(flow, tries);
        let remaining = due - self.now;
        let terms = FlowTerms {
            class: ClassId(class),
            tenant: None,
            destination: DestinationId(to as u64),
            remaining,
        };
        r.core.offer(flow, terms, ());
        self.step(relay);
    }

    /// The client comes again, up to thrice, after a wait.
    fn again(&mut self, relay: usize, class: usize, to: usize, tries: u32, due: Duration, wait: Duration) {
        if tries < 3 {
            let jitter = Duration::from_millis(400 + u64::from(self.rng.next_u32() % 800));
            self.push(self.now + wait.max(jitter), What::Hand { relay, class, to, tries: tries + 1, due });
        }
    }

    fn step(&mut self, i: usize) {
        loop {
            let mut effects = Vec::new();
            self.relays[i].core.step(self.now, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Call { flow, attempt, server, give_up_at, .. } => {
                        let p = &mut self.partners[server.0 as usize];
                        let outcome = p.call(self.now);
                        let told = (p.bears * 1e3) as u64;
                        let jitter = u64::from(self.rng.next_u32()) % LATENCY_MS;
                        let ended = self.now + Duration::from_millis(LATENCY_MS / 2 + jitter);
                        let (at, kind) = match outcome {
                            Outcome::Success => (ended, 0),
                            Outcome::Overloaded { .. } => (self.now + Duration::from_millis(20), 1),
                            _ => (give_up_at, 2),
                        };
                        let sent = self.now;
                        let told = if kind == 2 { 0 } else { told };
                        self.push(
                            at,
                            What::Ended {
                                relay: i,
                                flow,
                                attempt,
                                server: server.0,
                                sent,
                                outcome: kind,
                                told,
                            },
                        );
                        if kind == 0 && ended < BASE + LENGTH {
                            let second = self.second(ended);
                            self.delivered[second] += 1;
                        }
                    }
                    Effect::Wake(after) => {
                        let at = self.now + after;
                        self.relays[i].wakes.add(at);
                        self.wake(i, at);
                    }
                    Effect::Probe(server) => {
                        let outcome = self.partners[server.0 as usize].call(self.now);
                        self.relays[i].core.probe_ended(server, outcome, None);
                    }
                    Effect::Ended(flow, (), end) | Effect::TurnedDown(flow, (), end) => {
                        self.relays[i].retries.remove(&flow);
                        // Who comes again after this is another message's worth of traffic; it is left out, at all ways.
                        debug_assert!(!matches!(end, End::Over));
                    }
                    _ => {}
                }
            }
            if !self.relays[i].core.has_events() {
                break;
            }
        }
        self.see(i);
    }

    /// What the relay knows of partners, for others who ask.
    fn see(&mut self, i: usize) {
        let (now, r) = (self.now, &mut self.relays[i]);
        if r.peers.is_none() || !r.kept {
            return;
        }
        r.facts = r
            .core
            .seen()
            .flat_map(|(no, health, heard, told)| {
                let sight = match health {
                    onyxstile::api::Health::Well => Sight::Well,
                    onyxstile::api::Health::Warming(_) => Sight::Warming,
                    onyxstile::api::Health::Down => Sight::Down,
                };
                let age_ms = now.saturating_sub(heard).as_millis() as u32;
                let limit = (told > 0.0).then_some(Kind::Limit((told * 1e3) as u32));
                [Some(Kind::Sight(sight)), limit].into_iter().flatten().map(move |kind| Fact {
                    of: no.0,
                    age_ms,
                    kind,
                })
            })
            .filter(|f| f.age_ms < 60_000)
            .collect();
    }

    fn heed(&mut self, i: usize, said: Vec<Said>) {
        for said in said {
            match said {
                Said::Send(to, bytes) => {
                    if self.now >= BASE + BACK && !self.relays[i].kept {
                        (self.notes.0, self.notes.1) = (self.notes.0 + 1, self.notes.1 + bytes.len() as u64);
                    }
                    if u64::from(self.rng.next_u32() % 100) >= LOST_PERCENT {
                        let late = 2 + u64::from(self.rng.next_u32()) % NOTE_MS;
                        self.push(
                            self.now + Duration::from_millis(late),
                            What::Note { to: to.0.into(), bytes },
                        );
                    }
                }
                Said::Heard(node, _, heard) => {
                    let r = &mut self.relays[i];
                    match heard {
                        Heard::Answer(Answer::Who(..)) => {
                            r.asked += 1;
                            let patience = Duration::from_millis(500);
                            if let Some(p) = &mut r.peers {
                                p.ask(node, Question::Facts(0), self.now, patience);
                            }
                        }
                        Heard::Answer(Answer::Facts(facts, _)) => {
                            let about =
                                r.peers.as_ref().and_then(|p| p.roster.get(node)).and_then(|s| s.about);
                            r.evidence.take(&facts, about.is_some_and(|(a, _)| a.sound_s >= 14));
                        }
                        _ => {}
                    }
                    r.asked = r.asked.saturating_sub(1);
                    if r.asked == 0 {
                        let sound = r.evidence.any_sound;
                        self.turn(i, Turn::ListHad);
                        self.turn(i, Turn::PeersHeard { sound });
                    }
                }
                Said::Turn(..) | Said::Overtaken(_) => {}
            }
        }
        if let Some(at) = self.relays[i].peers.as_ref().map(Peers::next) {
            self.wake(i, at);
        }
    }

    fn turn(&mut self, i: usize, turn: Turn) {
        let Some(orders) = self.relays[i].ret.as_mut().map(|r| r.on(turn, self.now)) else { return };
        for order in orders {
            match order {
                Order::AskPeers(patience) => {
                    let now = self.now;
                    let r = &mut self.relays[i];
                    if let Some(p) = &mut r.peers {
                        let mut others: Vec<_> = p.others().collect();
                        while others.len() > 16 {
                            let no = self.rng.next_u32() as usize % others.len();
                            others.swap_remove(no);
                        }
                        r.asked = others.len();
                        for to in others {
                            p.ask(to, Question::Who, now, patience);
                        }
                        let said = p.tick(now);
                        self.heed(i, said);
                    }
                }
                Order::Entered(_, Stage::Owed, ..) => {
                    let r = &mut self.relays[i];
                    for p in 0..PARTNERS {
                        let w = r.evidence.of(p as u32);
                        if !(r.evidence.any_sound && w.sight.is_some_and(|(s, _)| s == Sight::Well)) {
                            r.core.take_entries(vec![entry(p, ListState::Draining)], false);
                            r.core.take_entries(vec![entry(p, ListState::Live)], false);
                        }
                        if let Some(rate) = w.limit {
                            let report = LimitReport { left: 0.0, rate: f64::from(rate) / 1e3 };
                            r.core.probe_ended(EndpointId(p as u32), Outcome::Success, Some(report));
                        }
                    }
                }
                Order::Admit(length) => self.relays[i].ramp = Some(Ramp::new(self.now, length, &[2.0, 1.0])),
                _ => {}
            }
        }
        if let Some(due) = self.relays[i].ret.as_ref().and_then(Return::due) {
            self.wake(i, due);
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
