//! Whether a program may begin while the model endpoints of its service are busy. Pure.
//!
//! What earns is a program that ends in time, and a service that lets all of them begin ends none in time. So first turns are
//! refused while turns take much longer than they would at idle endpoints; turns of programs that have begun are not. Each
//! relay decides by its own streams: all see the same endpoints, and nothing is asked of anybody.
//!
//! The *stretch* is the time that streams have taken lately over the time of the same progress at idle endpoints. Up to a
//! target all programs begin; while it is beyond, the *level* falls, the part of programs that begin, and rises again below it. A
//! less urgent class never has the larger part. Which programs begin is drawn by their names, so that all relays, and all tries, draw alike.

use std::time::Duration;

use crate::clock::Instant;
use crate::tally::half_life_decay;
use crate::unit_hash::unit_hash;

/// Streams of this age are worth half.
const HALF_LIFE: Duration = Duration::from_millis(1000);
/// The stretch that is aimed at. Aims are two times and more of what a program takes on idle endpoints, and some half of that are
/// tools, pauses and the way, which don't stretch.
const TARGET: f64 = 2.5;
/// The part of the most urgent class that begins, as a multiple of that of the least urgent one.
const MOST_URGENT_FACTOR: f64 = 1.3;
/// By how much the logarithm of the level falls in a second at twice the target, and rises at none of it: slower than programs
/// take, for those that have begun stay.
const FALL_PER_SECOND: f64 = 1.6;
const RISE_PER_SECOND: f64 = 0.8;
/// A level that was not looked at for longer moves as if after this time.
const STEP_MAX: Duration = Duration::from_millis(500);
/// Ranks of urgency that differ: class 0 is refused last, this class and those behind it first.
const LEAST_URGENT: u8 = 1;
/// This part of the programs begins whatever the load, so that it shows when endpoints are free again.
const LEVEL_MIN: f64 = 0.02;
/// Time of streams, in ms, before their stretch is acted on.
const WARMUP_MS: f64 = 400.0;
/// A stream that waits counts up to this many times what its wait should be, so that a silent endpoint is not load.
const WAIT_FACTOR_MAX: f64 = 4.0;
/// When a refused client may come back: soon, for a program that has waited long before it begins ends late.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// How a service's streams go on lately.
#[derive(Debug, Clone)]
pub struct Admission {
    elapsed_ms: f64,
    idle_ms: f64,
    counted_at: Instant,
    waiting: Vec<(Instant, f64)>,
    level: f64,
    level_updated_at: Instant,
}

/// What is asked about a program.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Its name, or that of a request which belongs to none.
    pub name: &'a str,
    /// Its route's rank; 0 is the most urgent.
    pub priority: u8,
    /// The time until it should be over, in ms, if it tells that.
    pub remaining_ms: Option<f64>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            elapsed_ms: 0.0,
            idle_ms: 0.0,
            counted_at: Instant::default(),
            waiting: Vec::new(),
            level: 1.0,
            level_updated_at: Instant::default(),
        }
    }
}

impl Admission {
    /// A stream made progress in `took_ms` that takes `idle_ms` at an idle endpoint.
    pub fn note(&mut self, now: Instant, elapsed_ms: f64, idle_ms: f64) {
        let decay = half_life_decay(now.since(self.counted_at), HALF_LIFE);
        self.elapsed_ms = self.elapsed_ms * decay + elapsed_ms;
        self.idle_ms = self.idle_ms * decay + idle_ms;
        self.counted_at = now;
    }

    /// A stream is waited for since `now`; its first event takes `idle_ms` at an idle endpoint.
    pub fn wait(&mut self, now: Instant, idle_ms: f64) {
        self.waiting.push((now, idle_ms));
    }

    /// The stream that is waited for since `since` has begun or is given up.
    pub fn stop_waiting(&mut self, since: Instant) {
        if let Some(index) = self.waiting.iter().position(|(sent, _)| *sent == since) {
            self.waiting.swap_remove(index);
        }
    }

    /// How many times longer streams take than at idle endpoints; 1 while too little is known.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let decay = half_life_decay(now.since(self.counted_at), HALF_LIFE);
        let (mut elapsed, mut idle) = (self.elapsed_ms * decay, self.idle_ms * decay);
        for (sent, expected) in &self.waiting {
            let waited = now.since(*sent).as_secs_f64() * 1e3;
            elapsed += waited.min(expected * WAIT_FACTOR_MAX);
            idle += waited.min(*expected);
        }
        if elapsed < WARMUP_MS { 1.0 } else { elapsed / idle.max(1.0) }
    }

    /// When a program that may not begin now may come back; `None` if it may begin. A usual turn takes `turn_ms` at an idle
    /// endpoint.
    pub fn check(&mut self, now: Instant, request: AdmissionRequest<'_>, turn_ms: f64) -> Option<Duration> {
        let slowdown = self.slowdown(now);
        self.update_level(now, slowdown);
        let fraction = admitted_fraction(self.level, request.priority);
        let is_too_late = request.remaining_ms.is_some_and(|remaining_ms| remaining_ms < turn_ms * slowdown);
        if fraction >= 1.0 || (unit_hash(request.name) < fraction && !is_too_late) {
            return None;
        }
        Some(RETRY_AFTER)
    }

    /// The part of the most urgent programs that may begin.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Moves the level by how far the stretch is from its target.
    fn update_level(&mut self, now: Instant, slowdown: f64) {
        let passed = now.since(self.level_updated_at).min(STEP_MAX).as_secs_f64();
        self.level_updated_at = now;
        let excess = (slowdown / TARGET - 1.0).clamp(-0.5, 1.0);
        let gain = if excess > 0.0 { FALL_PER_SECOND } else { RISE_PER_SECOND };
        self.level = (self.level * (-gain * excess * passed).exp()).clamp(LEVEL_MIN, 1.0);
    }
}

/// The part of a class's programs that begin at a level.
pub fn admitted_fraction(level: f64, priority: u8) -> f64 {
    let urgency = 1.0 - f64::from(priority.min(LEAST_URGENT)) / f64::from(LEAST_URGENT);
    (level * (1.0 + (MOST_URGENT_FACTOR - 1.0) * urgency)).min(1.0)
}
