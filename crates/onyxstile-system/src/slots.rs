//! The relay's slots: how many calls may be out at once, and how many of them one destination may hold. Pure.
//!
//! A destination holds at most half of the slots, fewer while its calls run past their aim; the cap binds only while
//! calls to others wait for a slot.

use std::collections::HashMap;
use std::hash::Hash;

/// While calls run past their aim, a destination's cap falls to this share of it.
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
    /// `total` slots, all free.
    pub fn new(total: u32) -> Slots<K> {
        Slots { total: total.max(2), taken: 0, held: HashMap::new(), waiting: HashMap::new() }
    }

    /// How many slots there are.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Takes a slot for a call to `destination`, if one is to be had.
    pub fn take(&mut self, destination: &K) -> bool {
        if self.taken >= self.total || (self.others_wait(destination) && self.is_at_cap(destination)) {
            return false;
        }
        self.taken += 1;
        self.held.entry(destination.clone()).or_default().calls += 1;
        true
    }

    /// Gives a slot back; `is_late` says whether the call ran past its aim.
    pub fn release(&mut self, destination: &K, is_late: bool) {
        self.taken = self.taken.saturating_sub(1);
        let Some(held) = self.held.get_mut(destination) else { return };
        held.calls = held.calls.saturating_sub(1);
        held.late_share += LATE_WEIGHT * (f64::from(u8::from(is_late)) - held.late_share);
        if held.calls == 0 && held.late_share < 0.01 {
            self.held.remove(destination);
        }
    }

    /// A call to `destination` begins to wait for a slot.
    pub fn wait(&mut self, destination: &K) {
        *self.waiting.entry(destination.clone()).or_default() += 1;
    }

    /// A call to `destination` waits no more.
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
