//! Current state of an agent's subscription, from which a restarted proxy receives a full snapshot. Performs no I/O.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::evidence::Evidence;
use crate::registry::{Instance, RELAY_TOMBSTONE_LIFETIME};
use crate::wire::{Feed, PublishedState};

/// An update, in order of arrival.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// A newer control state.
    State(PublishedState),
    /// Endpoints that changed.
    Endpoints(Vec<Instance>),
    /// A majority of the controllers has answered, and all their data has been received.
    Fresh,
    /// Number of relays.
    Relays(u32),
    /// Call results of all relays for suspected endpoints.
    Evidence(Vec<Evidence>),
}

/// The received state.
#[derive(Debug, Default)]
pub struct FeedState {
    state: Option<PublishedState>,
    endpoints: HashMap<String, (Instance, Instant)>,
    fresh_since: Option<Instant>,
    relays: Option<u32>,
}

impl FeedState {
    /// Applies an update and adds to `feed` the changes that an up-to-date proxy needs.
    pub fn apply(&mut self, now: Instant, update: FeedUpdate, feed: &mut Feed) {
        match update {
            FeedUpdate::State(mut state) => {
                let before = self.state.take().and_then(|state| state.configuration);
                state.configuration = state.configuration.or(before);
                feed.state = Some(state.clone());
                self.state = Some(state);
            }
            FeedUpdate::Endpoints(mut endpoints) => {
                // Each controller sends all endpoints at first.
                endpoints.retain(|instance| self.store(now, instance));
                self.forget(now);
                feed.endpoints.extend(endpoints);
            }
            FeedUpdate::Fresh => {
                self.fresh_since.get_or_insert(now);
            }
            FeedUpdate::Relays(count) => self.relays = Some(count),
            // Evidence is sent again for as long as it applies.
            FeedUpdate::Evidence(evidence) => feed.evidence = evidence,
        }
        (feed.is_fresh, feed.relays) = (self.fresh_since.is_some(), self.relays);
    }

    /// Time from the start of the clock until a majority of the controllers had answered; `None` before.
    pub fn fresh_after(&self) -> Option<Duration> {
        self.fresh_since.map(|since| since.since(Instant::default()))
    }

    /// A feed without changes.
    pub fn unchanged(&self) -> Feed {
        Feed { is_fresh: self.fresh_since.is_some(), relays: self.relays, ..Feed::default() }
    }

    /// Stores a record; returns false if it contains nothing new.
    fn store(&mut self, now: Instant, instance: &Instance) -> bool {
        let held = self.endpoints.get(&instance.id);
        let is_update = held.is_none_or(|(held, _)| is_newer(instance, held) && instance != held);
        if is_update {
            self.endpoints.insert(instance.id.clone(), (instance.clone(), now));
        }
        is_update
    }

    fn forget(&mut self, now: Instant) {
        let is_expired = |instance: &Instance, received| {
            instance.is_unavailable() && now.since(received) >= RELAY_TOMBSTONE_LIFETIME
        };
        self.endpoints.retain(|_, (instance, received)| !is_expired(instance, *received));
    }

    /// The full state, for a proxy without state.
    pub fn snapshot(&self) -> Feed {
        Feed {
            state: self.state.clone(),
            endpoints: self.endpoints.values().map(|(instance, _)| instance.clone()).collect(),
            is_fresh: self.fresh_since.is_some(),
            relays: self.relays,
            evidence: Vec::new(),
        }
    }
}

/// Whether a record of an incarnation supersedes another: it has a later stage, or the same stage and a later sequence
/// number.
pub fn is_newer(new: &Instance, held: &Instance) -> bool {
    (new.stage, new.sequence) >= (held.stage, held.sequence)
}
