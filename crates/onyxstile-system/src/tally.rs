//! Decaying counts of failed and answered calls. Performs no I/O.

use std::time::Duration;

use crate::clock::Instant;

/// Half-life of the counts: the order of magnitude of an endpoint failure's duration.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// Failed and answered calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Failed calls.
    pub failed: f64,
    /// Answered calls.
    pub answered: f64,
    counted_at: Instant,
}

impl Tally {
    /// Counts as of `now`.
    pub fn new(now: Instant, failed: f64, answered: f64) -> Tally {
        Tally { failed, answered, counted_at: now }
    }

    /// The counts decayed to `now`.
    pub fn decayed(&self, now: Instant) -> Tally {
        let left = decay_factor(now.since(self.counted_at));
        Tally { failed: self.failed * left, answered: self.answered * left, counted_at: now }
    }

    /// Counts an answered call.
    pub fn note_answer(&mut self, now: Instant) {
        *self = self.decayed(now);
        self.answered += 1.0;
    }

    /// Counts a failed call.
    pub fn note_failure(&mut self, now: Instant) {
        *self = self.decayed(now);
        self.failed += 1.0;
    }

    /// Adds counts as of the same time.
    pub fn add(&mut self, other: Tally) {
        self.failed += other.failed;
        self.answered += other.answered;
    }
}

/// Remaining weight of a count of the given age.
pub fn decay_factor(age: Duration) -> f64 {
    half_life_decay(age, HALF_LIFE)
}

/// Remaining fraction, at an age, of a quantity that decays with `half_life`.
pub fn half_life_decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
