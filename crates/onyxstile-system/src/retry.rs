//! Retry stage: for each destination, decides whether and when a failed call is sent again. Performs no I/O.
//!
//! A destination is a model endpoint or the service of a tool route. Calls in flight or awaiting a retry are counted
//! per destination. The timer of a failed call fires after T1 and then after doubled times. At each firing the call is
//! resent with a probability that falls from 1 to [`RetryPolicy::min_probability`] as the count passes thresholds that
//! scale with the rate of first sends.

use std::time::Duration;

use crate::clock::Instant;

/// Parameters of the retry stage.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Time until the first timer fires (T1), and the time span that the lower threshold covers.
    pub first_timer: Duration,
    /// Resend probability at and beyond the upper threshold.
    pub min_probability: f64,
    /// Ratio of the upper to the lower threshold.
    pub threshold_ratio: f64,
    /// Weight of a new sample in the mean rate of first sends.
    pub rate_weight: f64,
    /// Minimum of the lower threshold, in calls.
    pub threshold_floor: f64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            first_timer: Duration::from_millis(500),
            min_probability: 0.1,
            threshold_ratio: 3.0,
            rate_weight: 0.002,
            threshold_floor: 4.0,
        }
    }
}

/// Sampling interval of the rate of first sends.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// Weight of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Longest timer.
const TIMER_MAX: Duration = Duration::from_secs(8);

/// Retry state of one destination.
#[derive(Debug, Clone)]
pub struct Destination {
    pending: u32,
    rate_per_s: f64,
    sends_in_sample: u32,
    sample_began: Instant,
    mean_latency_s: f64,
    held_until: Instant,
    refusals_in_row: u32,
}

impl Destination {
    /// Creates a destination without calls; its rate starts at `slots` divided by T1.
    pub fn new(now: Instant, slots: u32, policy: &RetryPolicy) -> Destination {
        Destination {
            pending: 0,
            rate_per_s: f64::from(slots) / policy.first_timer.as_secs_f64(),
            sends_in_sample: 0,
            sample_began: now,
            mean_latency_s: 0.0,
            held_until: Instant::default(),
            refusals_in_row: 0,
        }
    }

    /// Records the first send of a call.
    pub fn first_send(&mut self, now: Instant, policy: &RetryPolicy) {
        self.advance_sample(now, policy);
        self.sends_in_sample += 1;
        self.pending += 1;
    }

    /// Records that a call which was sent elsewhere before is sent here.
    pub fn resend(&mut self) {
        self.pending += 1;
    }

    /// Records the end of a counted call, answered or given up.
    pub fn end(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records an answered call and its latency.
    pub fn answered(&mut self, latency: Duration) {
        self.refusals_in_row = 0;
        let sample = latency.as_secs_f64();
        self.mean_latency_s = if self.mean_latency_s == 0.0 {
            sample
        } else {
            self.mean_latency_s + LATENCY_WEIGHT * (sample - self.mean_latency_s)
        };
    }

    /// Records a call that was refused without being executed. Endpoints do not state a retry time, so it is derived:
    /// T1, doubled with each consecutive refusal.
    pub fn refused(&mut self, now: Instant, first_timer: Duration) {
        let wait = timer(first_timer, self.refusals_in_row.min(4)).min(Duration::from_secs(1));
        self.refusals_in_row += 1;
        self.held_until = self.held_until.max(now + wait);
    }

    /// Time until which all sends are held.
    pub fn held_until(&self) -> Instant {
        self.held_until
    }

    /// Calls in flight or awaiting a retry.
    pub fn pending(&self) -> u32 {
        self.pending
    }

    /// Probability that a firing resends a call.
    pub fn resend_probability(&mut self, now: Instant, policy: &RetryPolicy) -> f64 {
        self.advance_sample(now, policy);
        let scaled = self.rate_per_s * policy.first_timer.as_secs_f64().max(self.mean_latency_s);
        let lower = scaled.max(policy.threshold_floor);
        let upper = lower * policy.threshold_ratio;
        let excess = (f64::from(self.pending) - lower) / (upper - lower);
        (1.0 - (1.0 - policy.min_probability) * excess).clamp(policy.min_probability, 1.0)
    }

    /// Time at which a timer that is due at `due` fires: a firing within a hold moves to its end.
    pub fn fire_time(&self, due: Instant) -> Instant {
        due.max(self.held_until)
    }

    fn advance_sample(&mut self, now: Instant, policy: &RetryPolicy) {
        let mut passed = now.since(self.sample_began).as_secs_f64();
        let span = SAMPLE_EVERY.as_secs_f64();
        let mut steps = 0;
        while passed >= span && steps < 200 {
            let sample = f64::from(self.sends_in_sample) / span;
            self.rate_per_s += policy.rate_weight * (sample - self.rate_per_s);
            self.sends_in_sample = 0;
            passed -= span;
            steps += 1;
        }
        if steps > 0 {
            self.sample_began = now;
        }
    }
}

/// Time before retry number `firing`, counted from 0.
pub fn timer(first: Duration, firing: u32) -> Duration {
    first.saturating_mul(1 << firing.min(16)).min(TIMER_MAX)
}
