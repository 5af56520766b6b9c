//! Admission of new programs while the model endpoints of their service are busy. Performs no I/O.
//!
//! Only programs that end in time are useful, and a service that admits all programs under overload completes none in
//! time. First turns are therefore refused while turns take much longer than at idle endpoints; turns of programs that
//! have begun are not. Each relay decides by its own streams: all relays use the same endpoints, so that no
//! coordination is needed.
//!
//! The *slowdown* is the ratio of the recent stream times to the times of the same progress at idle endpoints. Up to a
//! target all programs are admitted. Above the target the *level*, the admitted fraction, falls; below it, it rises
//! again. A less urgent class never has a larger admitted fraction than a more urgent one. Admission is decided by a
//! hash of the program's name, so that all relays and all attempts decide alike.

use std::time::Duration;

use crate::clock::Instant;
use crate::tally::half_life_decay;
use crate::unit_hash::unit_hash;

/// Half-life of the weight of a stream measurement.
const HALF_LIFE: Duration = Duration::from_millis(1000);
/// Target slowdown. Target times are at least twice the time of a program on idle endpoints, and about half of that
/// time is spent on tools, pauses and the network, which don't slow down.
const TARGET: f64 = 2.5;
/// Ratio of the admitted fraction of the most urgent class to that of the least urgent one.
const MOST_URGENT_FACTOR: f64 = 1.3;
/// Change of the logarithm of the level per second, falling at twice the target and rising at the lowest slowdown. It
/// is slower than the duration of programs, because programs that have begun continue.
const FALL_PER_SECOND: f64 = 1.6;
const RISE_PER_SECOND: f64 = 0.8;
/// Longest interval for which the level is adjusted at once.
const STEP_MAX: Duration = Duration::from_millis(500);
/// Classes from this one on are refused first; class 0 is refused last.
const LEAST_URGENT: u8 = 1;
/// Fraction of the programs that is admitted at any load, so that free endpoints are noticed.
const LEVEL_MIN: f64 = 0.02;
/// Stream time, in ms, that must be measured before the slowdown is used.
const WARMUP_MS: f64 = 400.0;
/// A waiting stream counts up to this multiple of its expected wait, so that a silent endpoint is not counted as load.
const WAIT_FACTOR_MAX: f64 = 4.0;
/// Time after which a refused client may retry. It is short because a program that waits long before it begins ends
/// late.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// Recent progress of a service's streams.
#[derive(Debug, Clone)]
pub struct Admission {
    elapsed_ms: f64,
    idle_ms: f64,
    counted_at: Instant,
    waiting: Vec<(Instant, f64)>,
    level: f64,
    level_updated_at: Instant,
}

/// Admission request of a program.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Name of the program, or of a request that belongs to none.
    pub name: &'a str,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Time until the program should end, in ms, if stated.
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
    /// Records progress of a stream that took `elapsed_ms` and takes `idle_ms` at an idle endpoint.
    pub fn note(&mut self, now: Instant, elapsed_ms: f64, idle_ms: f64) {
        let decay = half_life_decay(now.since(self.counted_at), HALF_LIFE);
        self.elapsed_ms = self.elapsed_ms * decay + elapsed_ms;
        self.idle_ms = self.idle_ms * decay + idle_ms;
        self.counted_at = now;
    }

    /// Records a stream that is waited for since `now`; its first event takes `idle_ms` at an idle endpoint.
    pub fn wait(&mut self, now: Instant, idle_ms: f64) {
        self.waiting.push((now, idle_ms));
    }

    /// Removes the stream that is waited for since `since`: it has begun or is given up.
    pub fn stop_waiting(&mut self, since: Instant) {
        if let Some(index) = self.waiting.iter().position(|(sent, _)| *sent == since) {
            self.waiting.swap_remove(index);
        }
    }

    /// Ratio of the stream times to those at idle endpoints; 1 while too little is measured.
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

    /// Returns after which time a client may retry if its program is not admitted now, or `None` if it is admitted. A
    /// typical turn takes `turn_ms` at an idle endpoint.
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

    /// Fraction of the most urgent programs that is admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adjusts the level by the deviation of the slowdown from its target.
    fn update_level(&mut self, now: Instant, slowdown: f64) {
        let passed = now.since(self.level_updated_at).min(STEP_MAX).as_secs_f64();
        self.level_updated_at = now;
        let excess = (slowdown / TARGET - 1.0).clamp(-0.5, 1.0);
        let gain = if excess > 0.0 { FALL_PER_SECOND } else { RISE_PER_SECOND };
        self.level = (self.level * (-gain * excess * passed).exp()).clamp(LEVEL_MIN, 1.0);
    }
}

/// Admitted fraction of a class's programs at a level.
pub fn admitted_fraction(level: f64, priority: u8) -> f64 {
    let urgency = 1.0 - f64::from(priority.min(LEAST_URGENT)) / f64::from(LEAST_URGENT);
    (level * (1.0 + (MOST_URGENT_FACTOR - 1.0) * urgency)).min(1.0)
}
