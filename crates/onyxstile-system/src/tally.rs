//! Counts of failed and answered calls that fade with time. Pure.

use std::time::Duration;

use crate::clock::Instant;

/// Counts of this age are worth half: of the order of what troubles of an endpoint last.
pub const HALF_LIFE: Duration = Duration::from_secs(5);

/// Failed and answered calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Calls that have failed.
    pub failed: f64,
    /// Calls that were answered.
    pub answered: f64,
    counted_at: Instant,
}

impl Tally {
    /// Counts as they were told at `now`.
    pub fn new(now: Instant, failed: f64, answered: f64) -> Tally {
        Tally { failed, answered, counted_at: now }
    }

    /// What is left of the counts at `now`.
    pub fn decayed(&self, now: Instant) -> Tally {
        let left = decay_factor(now.since(self.counted_at));
        Tally { failed: self.failed * left, answered: self.answered * left, counted_at: now }
    }

    /// Counts a call that was answered.
    pub fn note_answer(&mut self, now: Instant) {
        *self = self.decayed(now);
        self.answered += 1.0;
    }

    /// Counts a call that has failed.
    pub fn note_failure(&mut self, now: Instant) {
        *self = self.decayed(now);
        self.failed += 1.0;
    }

    /// Adds other counts of the same moment.
    pub fn add(&mut self, other: Tally) {
        self.failed += other.failed;
        self.answered += other.answered;
    }
}

/// What a count of an age is still worth.
pub fn decay_factor(age: Duration) -> f64 {
    half_life_decay(age, HALF_LIFE)
}

/// What is left at an age of something that loses half in `half_life`.
pub fn half_life_decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
