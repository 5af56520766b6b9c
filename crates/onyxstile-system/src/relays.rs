//! Relays that poll a controller: their number and their configuration revisions. Performs no I/O.
//!
//! Guarantees to relays: the count covers the relays that polled within [`EXPIRE_AFTER`], or is unknown while this
//! controller has not listened for that long. A controller that has just started therefore never reports too few
//! relays.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Time without a poll after which a relay is no longer counted: several of the longest poll intervals.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(5);

/// Data of a relay's last poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Name of its machine.
    pub name: String,
    /// Active configuration revision.
    pub revision: u64,
}

/// All relays that polled recently.
#[derive(Debug)]
pub struct Relays {
    listening_since: Instant,
    by_address: BTreeMap<[u8; 4], (Relay, Instant)>,
}

impl Relays {
    /// Creates the record of a controller that starts listening at `now`.
    pub fn new(now: Instant) -> Relays {
        Relays { listening_since: now, by_address: BTreeMap::new() }
    }

    /// Records a relay's poll.
    pub fn note_poll(&mut self, now: Instant, address: [u8; 4], relay: Relay) {
        self.by_address.insert(address, (relay, now));
    }

    /// Removes relays that have not polled for too long.
    pub fn tick(&mut self, now: Instant) {
        self.by_address.retain(|_, (_, polled)| now.since(*polled) < EXPIRE_AFTER);
    }

    /// Number of relays; `None` while some may not have polled yet.
    pub fn count(&self, now: Instant) -> Option<u32> {
        let is_known = now.since(self.listening_since) >= EXPIRE_AFTER;
        let polled = |entry: &&(Relay, Instant)| now.since(entry.1) < EXPIRE_AFTER;
        is_known.then(|| self.by_address.values().filter(polled).count() as u32)
    }

    /// Number of relays whose active revision is older than `revision`.
    pub fn behind(&self, revision: u64) -> usize {
        self.by_address.values().filter(|(relay, _)| relay.revision < revision).count()
    }

    /// One status line per relay, for operators: its active revision, whether that is older than `revision`, and the
    /// time since its last poll.
    pub fn lines(&self, now: Instant, revision: u64) -> Vec<String> {
        let line = |(relay, polled): &(Relay, Instant)| {
            let lag = if relay.revision < revision { "behind" } else { "current" };
            let age = now.since(*polled).as_millis();
            format!("relay {} revision {} {lag} heard {age} ms ago", relay.name, relay.revision)
        };
        self.by_address.values().map(line).collect()
    }
}
