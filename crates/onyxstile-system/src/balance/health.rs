//! How often calls have failed at an endpoint lately. Pure.
//!
//! What counts is what real calls showed: an error, a broken answer, silence, and calls that are out for longer than is
//! usual there. Health checks are not asked, for they may lie either way. Evidence fades, so that an endpoint that was bad
//! is tried again, and one that goes down and up by turns is not trusted at its first good answer. What other relays' calls
//! have shown is what a relay expects before its own calls say more.

use std::time::Duration;

use crate::clock::Instant;
use crate::tally::{Tally, decay_factor};

/// Calls that the expectation before one's own stands for, so that one failure among few calls is no proof.
const PRIOR_CALLS: f64 = 4.0;
/// A call is overdue after this many times the usual latency.
const OVERDUE_FACTOR: f64 = 6.0;
/// No call is overdue before.
const OVERDUE_MIN: Duration = Duration::from_millis(400);
/// A smaller part of calls that may fail is no reason to call another endpoint.
const NEGLIGIBLE: f64 = 0.03;

/// Evidence of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    own: Tally,
    /// The part of all relays' calls that failed, and when that was heard.
    shared: Option<(f64, Instant)>,
    unanswered: Vec<Instant>,
}

impl Health {
    /// A call is sent.
    pub fn sent(&mut self, at: Instant) {
        self.unanswered.push(at);
    }

    /// A call that was sent at `at` is answered, has failed or is given up.
    pub fn ended(&mut self, at: Instant) {
        if let Some(place) = self.unanswered.iter().position(|sent| *sent == at) {
            self.unanswered.swap_remove(place);
        }
    }

    /// A call was answered.
    pub fn note_answer(&mut self, now: Instant) {
        self.own.note_answer(now);
    }

    /// A call has failed after it was sent.
    pub fn note_failure(&mut self, now: Instant) {
        self.own.note_failure(now);
    }

    /// All relays' calls have shown this.
    pub fn merge_evidence(&mut self, now: Instant, sum: Tally) {
        self.shared = Some((sum.failed / (sum.failed + sum.answered + PRIOR_CALLS), now));
    }

    /// The part of calls that is to be expected to fail, beyond what is negligible, where answers usually take `usual`.
    pub fn suspicion(&self, now: Instant, typical: Duration) -> f64 {
        let own = self.tally(now, typical);
        let expected =
            (own.failed + PRIOR_CALLS * self.shared(now)) / (own.failed + own.answered + PRIOR_CALLS);
        (expected - NEGLIGIBLE).max(0.0)
    }

    /// What there is to tell others: all, where own calls have failed or others tell of failures.
    pub fn report(&self, now: Instant, typical: Duration) -> Option<Tally> {
        let own = self.tally(now, typical);
        let is_suspect = own.failed > NEGLIGIBLE || self.shared(now) > NEGLIGIBLE;
        (is_suspect && own.failed + own.answered > NEGLIGIBLE).then_some(own)
    }

    /// Own calls, those that are overdue counted as failed.
    fn tally(&self, now: Instant, typical: Duration) -> Tally {
        let overdue_after = typical.mul_f64(OVERDUE_FACTOR).max(OVERDUE_MIN);
        let overdue = self.unanswered.iter().filter(|sent| now.since(**sent) > overdue_after).count();
        let mut tally = self.own.decayed(now);
        tally.failed += overdue as f64;
        tally
    }

    fn shared(&self, now: Instant) -> f64 {
        self.shared.map_or(0.0, |(part, at)| part * decay_factor(now.since(at)))
    }
}
