//! Health record: recent failure rate of the calls to an endpoint. Performs no I/O.
//!
//! Only real calls count: errors, incomplete answers, time-outs, and calls in flight for much longer than usual. Health
//! checks are ignored, because they can be wrong in both directions. Evidence decays, so that a failed endpoint is
//! tried again, and an endpoint that alternates between failing and working is not trusted after its first good answer.
//! Call results of other relays serve as the prior until the relay's own calls outweigh them.

use std::time::Duration;

use crate::clock::Instant;
use crate::tally::{Tally, decay_factor};

/// Number of calls that the prior counts for, so that one failure among few calls is not decisive.
const PRIOR_CALLS: f64 = 4.0;
/// A call is overdue after this multiple of the typical latency.
const OVERDUE_FACTOR: f64 = 6.0;
/// No call is overdue before this time.
const OVERDUE_MIN: Duration = Duration::from_millis(400);
/// Failure rates below this value do not affect the choice of an endpoint.
const NEGLIGIBLE: f64 = 0.03;

/// Health record of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    own: Tally,
    /// Failure rate over all relays' calls, and the time at which it was received.
    shared: Option<(f64, Instant)>,
    unanswered: Vec<Instant>,
}

impl Health {
    /// Records that a call was sent.
    pub fn sent(&mut self, at: Instant) {
        self.unanswered.push(at);
    }

    /// Records that a call sent at `at` was answered, has failed or was given up.
    pub fn ended(&mut self, at: Instant) {
        if let Some(index) = self.unanswered.iter().position(|sent| *sent == at) {
            self.unanswered.swap_remove(index);
        }
    }

    /// Records an answered call.
    pub fn note_answer(&mut self, now: Instant) {
        self.own.note_answer(now);
    }

    /// Records a call that failed after it was sent.
    pub fn note_failure(&mut self, now: Instant) {
        self.own.note_failure(now);
    }

    /// Records the sum of all relays' call results.
    pub fn merge_evidence(&mut self, now: Instant, sum: Tally) {
        self.shared = Some((sum.failed / (sum.failed + sum.answered + PRIOR_CALLS), now));
    }

    /// Expected failure rate beyond the negligible part; `typical` is the typical latency.
    pub fn suspicion(&self, now: Instant, typical: Duration) -> f64 {
        let own = self.tally(now, typical);
        let expected =
            (own.failed + PRIOR_CALLS * self.shared(now)) / (own.failed + own.answered + PRIOR_CALLS);
        (expected - NEGLIGIBLE).max(0.0)
    }

    /// Call results to report to other relays: present if own calls have failed or other relays report failures.
    pub fn report(&self, now: Instant, typical: Duration) -> Option<Tally> {
        let own = self.tally(now, typical);
        let is_suspect = own.failed > NEGLIGIBLE || self.shared(now) > NEGLIGIBLE;
        (is_suspect && own.failed + own.answered > NEGLIGIBLE).then_some(own)
    }

    /// The relay's own call results, with overdue calls counted as failed.
    fn tally(&self, now: Instant, typical: Duration) -> Tally {
        let overdue_after = typical.mul_f64(OVERDUE_FACTOR).max(OVERDUE_MIN);
        let overdue = self.unanswered.iter().filter(|sent| now.since(**sent) > overdue_after).count();
        let mut tally = self.own.decayed(now);
        tally.failed += overdue as f64;
        tally
    }

    fn shared(&self, now: Instant) -> f64 {
        self.shared.map_or(0.0, |(fraction, at)| fraction * decay_factor(now.since(at)))
    }
}
