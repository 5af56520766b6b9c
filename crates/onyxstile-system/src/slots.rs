//! Call slots of a relay: the number of concurrent calls, and how many of them one destination may hold. Performs no
//! I/O.
//!
//! A destination may hold at most half of the slots, and fewer while its calls exceed their latency target. The limit
//! applies only while calls to other destinations wait for a slot.

use std::collections::HashMap;
use std::hash::Hash;

/// Factor by which a destination's limit is reduced while all its calls exceed their latency target.
const LATE_CAP_FACTOR: f64 = 0.5;
/// Weight of a call in a destination's share of late calls.
const LATE_WEIGHT: f64 = 0.1;

#[derive(Debug, Default, Clone)]
struct Held {
    calls: u32,
    late_share: f64,
}

/// All slots of a relay.
#[derive(Debug)]
pub struct Slots<K> {
    total: u32,
    taken: u32,
    held: HashMap<K, Held>,
    waiting: HashMap<K, u32>,
}

impl<K: Hash + Eq + Clone> Slots<K> {
    /// Creates `total` free slots, at least two.
    pub fn new(total: u32) -> Slots<K> {
        Slots { total: total.max(2), taken: 0, held: HashMap::new(), waiting: HashMap::new() }
    }

    /// Number of slots.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Takes a slot for a call to `destination`; returns false if none is available.
    pub fn take(&mut self, destination: &K) -> bool {
        if self.taken >= self.total || (self.others_wait(destination) && self.is_at_cap(destination)) {
            return false;
        }
        self.taken += 1;
        self.held.entry(destination.clone()).or_default().calls += 1;
        true
    }

    /// Releases a slot; `is_late` states whether the call exceeded its latency target.
    pub fn release(&mut self, destination: &K, is_late: bool) {
        self.taken = self.taken.saturating_sub(1);
        let Some(held) = self.held.get_mut(destination) else { return };
        held.calls = held.calls.saturating_sub(1);
        held.late_share += LATE_WEIGHT * (f64::from(u8::from(is_late)) - held.late_share);
        if held.calls == 0 && held.late_share < 0.01 {
            self.held.remove(destination);
        }
    }

    /// Records that a call to `destination` waits for a slot.
    pub fn wait(&mut self, destination: &K) {
        *self.waiting.entry(destination.clone()).or_default() += 1;
    }

    /// Records that a call to `destination` no longer waits.
    pub fn stop_waiting(&mut self, destination: &K) {
        if let Some(count) = self.waiting.get_mut(destination) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(destination);
            }
        }
    }

    fn others_wait(&self, destination: &K) -> bool {
        self.waiting.keys().any(|waiting| waiting != destination)
    }

    fn is_at_cap(&self, destination: &K) -> bool {
        let Some(held) = self.held.get(destination) else { return false };
        let half = f64::from(self.total) / 2.0;
        let cap = half * (1.0 - (1.0 - LATE_CAP_FACTOR) * held.late_share);
        f64::from(held.calls) >= cap.max(1.0)
    }
}
