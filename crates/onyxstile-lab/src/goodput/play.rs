//! One play: programs, clients, relays and engines in one queue of events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use onyxstile_system::admission::AdmissionRequest;
use onyxstile_system::clock::Instant;
use onyxstile_system::prefix::Part;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::calls::Call;
use super::clients::Tries;
use super::engine::Engine;
use super::programs::{Program, Turn, draw, first_part, roll};
use super::relay::Relay;
use super::shape::{SPEEDS, Shape};

pub(super) const SERVICE: &str = "llm";
/// The way between a client and a relay, in ms.
pub(super) const CLIENT_MS: f64 = 1.5;
/// Claim and chain before a turn, and its keeping after it, in ms.
pub(super) const STORAGE_MS: f64 = 10.0;
/// The part of turns that come through any relay of the client's zone, not the one before.
const OTHER_RELAY: f64 = 0.4;
/// Programs that end later than this many times their aim earn nothing.
const LATE_TIMES: f64 = 2.0;

/// What became of a class's programs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Programs that wished to begin, by class.
    pub asked: Vec<u32>,
    /// Those that ended within their aim.
    pub in_aim: Vec<u32>,
    /// Those that ended within twice their aim.
    pub late: Vec<u32>,
    /// Answers that refused a first turn.
    pub refusals: u32,
    /// Turns that clients gave up.
    pub given_up: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Begin(usize),
    Try(usize),
    Send(usize),
    Arrive(u64),
    Step(usize),
    Check(u64),
}

/// A line of turns: a program's own, or a sub-agent's.
pub(super) struct Line {
    pub(super) program: usize,
    pub(super) turns: Vec<Turn>,
    pub(super) next: usize,
    pub(super) parts: Vec<Part>,
    pub(super) parent: Option<usize>,
    pub(super) open_children: usize,
    pub(super) relay: usize,
    pub(super) tries: Tries,
}

impl Line {
    /// A line that has taken no turn yet.
    pub(super) fn new(
        program: usize, turns: Vec<Turn>, parts: Vec<Part>, parent: Option<usize>, relay: usize,
    ) -> Line {
        Line { program, turns, next: 0, parts, parent, open_children: 0, relay, tries: Tries::default() }
    }
}

pub(super) struct Play<'a> {
    pub(super) shape: &'a Shape,
    pub(super) random: Pcg64Mcg,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) queued: u64,
    pub(super) now_ms: f64,
    pub(super) programs: Vec<Program>,
    pub(super) is_over: Vec<bool>,
    pub(super) lines: Vec<Line>,
    pub(super) calls: HashMap<u64, Call>,
    pub(super) next_call: u64,
    pub(super) engines: Vec<Engine>,
    pub(super) relays: Vec<Relay>,
    pub(super) outcome: Outcome,
}

/// Plays a shape to the end of its last program.
pub fn play(shape: &Shape) -> Outcome {
    let mut random = Pcg64Mcg::new(u128::from(shape.seed) << 1 | 1);
    let programs = draw(shape, &mut random);
    let mut play = Play::new(shape, random, programs);
    for number in 0..play.programs.len() {
        play.at(play.programs[number].begins_ms, Event::Begin(number));
    }
    while let Some(Reverse((micros, _, event))) = play.queue.pop() {
        play.now_ms = micros as f64 / 1e3;
        play.step(event);
    }
    play.outcome
}

impl<'a> Play<'a> {
    fn new(shape: &'a Shape, random: Pcg64Mcg, programs: Vec<Program>) -> Play<'a> {
        let engines = (0..shape.engines).map(|number| Engine::new(shape.engine.clone(), SPEEDS[number % 3]));
        let mut outcome = Outcome::default();
        for counts in [&mut outcome.asked, &mut outcome.in_aim, &mut outcome.late] {
            counts.resize(shape.classes.len(), 0);
        }
        Play {
            shape,
            random,
            queue: BinaryHeap::new(),
            queued: 0,
            now_ms: 0.0,
            is_over: vec![false; programs.len()],
            programs,
            lines: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            engines: engines.collect(),
            relays: (0..shape.relays).map(|number| Relay::new(shape, number)).collect(),
            outcome,
        }
    }

    pub(super) fn at(&mut self, ms: f64, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse(((ms.max(self.now_ms) * 1e3) as u64, self.queued, event)));
    }

    pub(super) fn after(&mut self, ms: f64, event: Event) {
        self.at(self.now_ms + ms, event);
    }

    pub(super) fn now(&self) -> Instant {
        Instant::from_elapsed(Duration::from_secs_f64(self.now_ms / 1e3))
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Begin(program) => self.begin(program),
            Event::Try(line) => self.try_turn(line),
            Event::Send(line) => self.send(line),
            Event::Arrive(call) => self.arrive(call),
            Event::Step(engine) => self.end_step(engine),
            Event::Check(call) => self.check(call),
        }
    }

    fn begin(&mut self, program: usize) {
        self.outcome.asked[self.programs[program].class] += 1;
        let turns = self.programs[program].turns.clone();
        let parts = vec![first_part(self.programs[program].first_part)];
        let relay = self.any_relay(program);
        self.lines.push(Line::new(program, turns, parts, None, relay));
        self.after(CLIENT_MS, Event::Try(self.lines.len() - 1));
    }

    /// A relay of the zone where the program's client is.
    fn any_relay(&mut self, program: usize) -> usize {
        let zones = self.shape.zones.min(self.shape.relays);
        let zone = program % zones;
        let in_zone = (self.shape.relays - zone).div_ceil(zones);
        zone + zones * (self.random.next_u32() as usize % in_zone)
    }

    fn try_turn(&mut self, number: usize) {
        let program = self.lines[number].program;
        if self.is_over[program] {
            return;
        }
        if roll(&mut self.random) < OTHER_RELAY {
            self.lines[number].relay = self.any_relay(program);
        }
        match self.refused(number) {
            Some(wait) => {
                self.outcome.refusals += 1;
                let again = self.lines[number].tries.refused(wait.as_secs_f64() * 1e3, &mut self.random);
                self.again_or_over(number, again);
            }
            None => self.after(STORAGE_MS, Event::Send(number)),
        }
    }

    /// When the client may come back, if the turn is a program's first and its relay refuses it.
    fn refused(&mut self, number: usize) -> Option<Duration> {
        let line = &self.lines[number];
        if line.next > 0 || line.parent.is_some() || !self.shape.admits {
            return None;
        }
        let (relay, program) = (line.relay, &self.programs[line.program]);
        let name = format!("{:x}", (line.program as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let remaining_ms = Some((program.begins_ms + program.aim_ms - self.now_ms).max(0.0));
        let priority = self.shape.classes[program.class].priority;
        let now = self.now();
        self.relays[relay].endpoints.check_admission(
            now,
            SERVICE,
            AdmissionRequest { name: &name, priority, remaining_ms },
        )
    }

    pub(super) fn again_or_over(&mut self, line: usize, again: Option<f64>) {
        match again {
            Some(ms) => self.after(ms + 2.0 * CLIENT_MS, Event::Try(line)),
            None => self.is_over[self.lines[line].program] = true,
        }
    }

    /// The next turn of a line, or what comes behind its end.
    pub(super) fn go_on(&mut self, number: usize, ms: f64) {
        let line = &self.lines[number];
        if line.next < line.turns.len() {
            self.after(ms, Event::Try(number));
            return;
        }
        match line.parent {
            Some(parent) => {
                self.lines[parent].open_children -= 1;
                if self.lines[parent].open_children == 0 {
                    self.go_on(parent, ms);
                }
            }
            None => self.finish(line.program, ms),
        }
    }

    pub(super) fn finish(&mut self, number: usize, ms: f64) {
        let program = &self.programs[number];
        if std::mem::replace(&mut self.is_over[number], true) {
            return;
        }
        let took = self.now_ms + ms - program.begins_ms;
        if took <= program.aim_ms {
            self.outcome.in_aim[program.class] += 1;
        } else if took <= program.aim_ms * LATE_TIMES {
            self.outcome.late[program.class] += 1;
        }
    }
}
