//! Leases that prolong turns, by the id of the turn. A lease may arrive before its turn and is kept without it.

use std::collections::HashMap;

use super::RecordNumber;
use crate::clock::Instant;
use crate::program::TurnLease;

struct HeldLease {
    until_ms: u64,
    number: RecordNumber,
    counter: u64,
    expires: Instant,
}

/// The lease of each turn that ends last.
#[derive(Default)]
pub(super) struct Leases {
    by_turn: HashMap<String, HeldLease>,
}

impl Leases {
    /// Number of leases.
    pub(super) fn len(&self) -> usize {
        self.by_turn.len()
    }

    /// Record number of the lease on a turn if it ends at `until_ms` or later.
    pub(super) fn number_of(&self, turn: &str, until_ms: u64) -> Option<RecordNumber> {
        self.by_turn.get(turn).filter(|held| held.until_ms >= until_ms).map(|held| held.number)
    }

    /// End of the lease on a turn by the relay's wall clock, and the time at which it expires here.
    pub(super) fn end(&self, turn: &str) -> Option<(u64, Instant)> {
        self.by_turn.get(turn).map(|held| (held.until_ms, held.expires))
    }

    /// Whether a lease keeps a turn.
    pub(super) fn keeps(&self, now: Instant, turn: &str) -> bool {
        self.by_turn.get(turn).is_some_and(|held| held.expires > now)
    }

    /// Adds a lease that ends later than the one held; returns the record number and the change counter of that one.
    pub(super) fn insert(
        &mut self, lease: &TurnLease, number: RecordNumber, counter: u64, expires: Instant,
    ) -> Option<(RecordNumber, u64)> {
        let expires = self.by_turn.get(&lease.turn).map_or(expires, |held| held.expires.max(expires));
        let added = HeldLease { until_ms: lease.until_ms, number, counter, expires };
        let replaced = self.by_turn.insert(lease.turn.clone(), added)?;
        Some((replaced.number, replaced.counter))
    }

    /// Removes expired leases; returns their record numbers and change counters.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<(RecordNumber, u64)> {
        let expired = self.by_turn.extract_if(|_, held| held.expires <= now);
        expired.map(|(_, held)| (held.number, held.counter)).collect()
    }
}
