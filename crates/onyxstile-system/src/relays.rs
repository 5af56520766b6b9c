//! The relays that a controller hears of: how many there are, and how far each is behind. Pure.
//!
//! Guarantees to relays: the count is of those that asked within [`FORGOTTEN_AFTER`], or unknown while this controller
//! has not listened for that long; so a controller that starts never tells too few.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// A relay that has not asked for this long is no longer counted: several polls at their longest.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(5);

/// What one relay said when it asked last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The name of its machine.
    pub name: String,
    /// The revision that it has in force.
    pub revision: u64,
}

/// All relays that asked lately.
#[derive(Debug)]
pub struct Relays {
    listening_since: Instant,
    by_address: BTreeMap<[u8; 4], (Relay, Instant)>,
}

impl Relays {
    /// A controller that begins to listen.
    pub fn new(now: Instant) -> Relays {
        Relays { listening_since: now, by_address: BTreeMap::new() }
    }

    /// A relay has asked for news.
    pub fn note_poll(&mut self, now: Instant, address: [u8; 4], relay: Relay) {
        self.by_address.insert(address, (relay, now));
    }

    /// Forgets who has not asked for too long.
    pub fn tick(&mut self, now: Instant) {
        self.by_address.retain(|_, (_, polled)| now.since(*polled) < EXPIRE_AFTER);
    }

    /// How many relays there are; `None` as long as some may not have asked yet.
    pub fn count(&self, now: Instant) -> Option<u32> {
        let is_known = now.since(self.listening_since) >= EXPIRE_AFTER;
        let polled = |entry: &&(Relay, Instant)| now.since(entry.1) < EXPIRE_AFTER;
        is_known.then(|| self.by_address.values().filter(polled).count() as u32)
    }

    /// How many relays have an older revision in force than `revision`.
    pub fn behind(&self, revision: u64) -> usize {
        self.by_address.values().filter(|(relay, _)| relay.revision < revision).count()
    }

    /// A line for each relay, for operators: what it has in force, whether that is behind `revision`, and how long ago it
    /// said so.
    pub fn lines(&self, now: Instant, revision: u64) -> Vec<String> {
        let line = |(relay, polled): &(Relay, Instant)| {
            let lag = if relay.revision < revision { "behind" } else { "current" };
            let age = now.since(*polled).as_millis();
            format!("relay {} revision {} {lag} heard {age} ms ago", relay.name, relay.revision)
        };
        self.by_address.values().map(line).collect()
    }
}
