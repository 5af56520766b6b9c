//! Failure evidence about endpoints, shared among relays because each relay sees only a small part of all calls.
//! Performs no I/O.
//!
//! Relays report their call results for suspected endpoints to one controller, the first in address order that they can
//! reach; it sums them up and returns the sums to all relays. A sum is evidence and not a verdict: a relay uses it as
//! the prior until its own calls outweigh it (`balance::Health`).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::clock::Instant;
use crate::tally::Tally;

/// Maximum number of endpoints in one message, which bounds its size during large failures; those with the most
/// failures come first.
pub const ENDPOINTS_PER_MESSAGE: usize = 16;
/// Failures over all relays from which an endpoint is suspected; a single lost answer is not enough.
const FAILED_MIN: f64 = 1.5;
/// Age at which a report is removed; it has then decayed to a thirtieth.
const EXPIRE_AFTER: Duration = Duration::from_secs(25);
/// Upper limit of a relay's call count; higher values are clamped.
const COUNT_MAX: f32 = 1e6;

/// Recent calls at one endpoint.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Evidence {
    /// Incarnation of the endpoint.
    pub instance: String,
    /// Failed calls, with older ones weighted less.
    pub failed: f32,
    /// Answered calls, with older ones weighted less.
    pub answered: f32,
}

impl Evidence {
    /// Converts a tally into its transmitted form.
    pub fn new(instance: &str, tally: Tally) -> Evidence {
        Evidence {
            instance: instance.to_owned(),
            failed: tally.failed as f32,
            answered: tally.answered as f32,
        }
    }

    /// Converts a report into a tally, with invalid values clamped.
    pub fn tally(&self, now: Instant) -> Tally {
        // NaN becomes 0.
        let count = |reported: f32| f64::from(reported.clamp(0.0, COUNT_MAX).max(0.0));
        Tally::new(now, count(self.failed), count(self.answered))
    }
}

/// The evidence with the most failures, limited to one message.
pub fn most_failed(mut evidence: Vec<Evidence>) -> Vec<Evidence> {
    evidence.sort_by(|left, right| {
        right.failed.total_cmp(&left.failed).then_with(|| left.instance.cmp(&right.instance))
    });
    evidence.truncate(ENDPOINTS_PER_MESSAGE);
    evidence
}

/// Reports of all relays, kept by the controller that sums them up.
#[derive(Debug, Default)]
pub struct EvidencePool {
    by_instance: HashMap<String, BTreeMap<[u8; 4], (Tally, Instant)>>,
}

impl EvidencePool {
    /// Records a relay's current report, which replaces its previous one.
    pub fn note_report(&mut self, now: Instant, relay: [u8; 4], reported: &[Evidence]) {
        for evidence in reported.iter().take(ENDPOINTS_PER_MESSAGE) {
            let relays = self.by_instance.entry(evidence.instance.clone()).or_default();
            relays.insert(relay, (evidence.tally(now), now));
        }
    }

    /// Removes old reports.
    pub fn tick(&mut self, now: Instant) {
        self.by_instance.retain(|_, relays| {
            relays.retain(|_, (_, reported)| now.since(*reported) < EXPIRE_AFTER);
            !relays.is_empty()
        });
    }

    /// Suspected endpoints, summed over all relays.
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

    /// One status line per suspected endpoint, for operators.
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
