//! Evidence about endpoints that relays share: each sees a small part of all calls. Pure.
//!
//! Relays tell one controller, the first in the order of addresses that they hear, what their calls show of endpoints that
//! are under suspicion; it sums that up and tells all of them. A sum is evidence and no verdict: a relay takes it for its own
//! expectation before its own calls say more (`balance::Health`).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::clock::Instant;
use crate::tally::Tally;

/// Endpoints in one message, so that no trouble makes it long; those with the most failures come first.
pub const ENDPOINTS_PER_MESSAGE: usize = 16;
/// Failures over all relays that make an endpoint a suspect: a single lost answer does not.
const FAILED_MIN: f64 = 1.5;
/// What a relay told this long ago is forgotten; it has faded to a thirtieth.
const EXPIRE_AFTER: Duration = Duration::from_secs(25);
/// No relay has more calls that count: what is told beyond is cut.
const COUNT_MAX: f32 = 1e6;

/// Calls at one endpoint lately.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Evidence {
    /// The endpoint's incarnation.
    pub instance: String,
    /// Calls that have failed, older ones worth less.
    pub failed: f32,
    /// Calls that were answered, likewise.
    pub answered: f32,
}

impl Evidence {
    /// A tally as it is told.
    pub fn new(instance: &str, tally: Tally) -> Evidence {
        Evidence {
            instance: instance.to_owned(),
            failed: tally.failed as f32,
            answered: tally.answered as f32,
        }
    }

    /// The tally, whatever was told.
    pub fn tally(&self, now: Instant) -> Tally {
        // What is no number becomes 0.
        let count = |reported: f32| f64::from(reported.clamp(0.0, COUNT_MAX).max(0.0));
        Tally::new(now, count(self.failed), count(self.answered))
    }
}

/// The evidence with the most failures, as much as one message holds.
pub fn most_failed(mut evidence: Vec<Evidence>) -> Vec<Evidence> {
    evidence.sort_by(|left, right| {
        right.failed.total_cmp(&left.failed).then_with(|| left.instance.cmp(&right.instance))
    });
    evidence.truncate(ENDPOINTS_PER_MESSAGE);
    evidence
}

/// What relays have told, at the controller that sums it up.
#[derive(Debug, Default)]
pub struct EvidencePool {
    by_instance: HashMap<String, BTreeMap<[u8; 4], (Tally, Instant)>>,
}

impl EvidencePool {
    /// A relay tells what its calls show now; that takes the place of what it told before.
    pub fn note_report(&mut self, now: Instant, relay: [u8; 4], reported: &[Evidence]) {
        for evidence in reported.iter().take(ENDPOINTS_PER_MESSAGE) {
            let relays = self.by_instance.entry(evidence.instance.clone()).or_default();
            relays.insert(relay, (evidence.tally(now), now));
        }
    }

    /// Forgets what was told long ago.
    pub fn tick(&mut self, now: Instant) {
        self.by_instance.retain(|_, relays| {
            relays.retain(|_, (_, reported)| now.since(*reported) < EXPIRE_AFTER);
            !relays.is_empty()
        });
    }

    /// The endpoints under suspicion, summed over all relays.
    pub fn suspects(&self, now: Instant) -> Vec<Evidence> {
        let sum = |relays: &BTreeMap<[u8; 4], (Tally, Instant)>| {
            let mut sum = Tally::new(now, 0.0, 0.0);
            relays.values().for_each(|(tally, _)| sum.add(tally.decayed(now)));
            sum
        };
        let sums = self.by_instance.iter().map(|(instance, relays)| (instance, sum(relays)));
        let suspects = sums.filter(|(_, sum)| sum.failed >= FAILED_MIN);
        most_failed(suspects.map(|(instance, sum)| Evidence::new(instance, sum)).collect())
    }

    /// A line for each suspect, for operators.
    pub fn lines(&self, now: Instant) -> Vec<String> {
        let line = |evidence: Evidence| {
            let relays = self.by_instance.get(&evidence.instance).map_or(0, BTreeMap::len);
            format!(
                "suspect {} failed {:.1} answered {:.1} by {relays} relays",
                evidence.instance, evidence.failed, evidence.answered
            )
        };
        self.suspects(now).into_iter().map(line).collect()
    }
}
