//! All that an agent has heard, so that a proxy that starts anew can be told the whole of it. Pure.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::evidence::Evidence;
use crate::registry::{Instance, RELAY_TOMBSTONE_LIFETIME};
use crate::wire::{Feed, PublishedState};

/// News, in the order in which it came.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// A newer control state.
    State(PublishedState),
    /// Endpoints that changed.
    Endpoints(Vec<Instance>),
    /// A majority of the controllers has been heard, and everything that they told is here.
    Fresh,
    /// How many relays there are.
    Relays(u32),
    /// What all relays' calls show of endpoints under suspicion.
    Evidence(Vec<Evidence>),
}

/// What was heard.
#[derive(Debug, Default)]
pub struct FeedState {
    state: Option<PublishedState>,
    endpoints: HashMap<String, (Instance, Instant)>,
    fresh_since: Option<Instant>,
    relays: Option<u32>,
}

impl FeedState {
    /// Takes news in and adds to `feed` what a proxy that knows the rest has to be told.
    pub fn apply(&mut self, now: Instant, update: FeedUpdate, feed: &mut Feed) {
        match update {
            FeedUpdate::State(mut state) => {
                let before = self.state.take().and_then(|state| state.configuration);
                state.configuration = state.configuration.or(before);
                feed.state = Some(state.clone());
                self.state = Some(state);
            }
            FeedUpdate::Endpoints(mut endpoints) => {
                // Each controller tells of all endpoints at first.
                endpoints.retain(|instance| self.store(now, instance));
                self.forget(now);
                feed.endpoints.extend(endpoints);
            }
            FeedUpdate::Fresh => {
                self.fresh_since.get_or_insert(now);
            }
            FeedUpdate::Relays(count) => self.relays = Some(count),
            // It is told anew as long as it holds.
            FeedUpdate::Evidence(evidence) => feed.evidence = evidence,
        }
        (feed.is_fresh, feed.relays) = (self.fresh_since.is_some(), self.relays);
    }

    /// When a majority of the controllers had been heard, from the start of the clock; `None` before.
    pub fn fresh_after(&self) -> Option<Duration> {
        self.fresh_since.map(|since| since.since(Instant::default()))
    }

    /// A feed that tells of nothing that changed.
    pub fn unchanged(&self) -> Feed {
        Feed { is_fresh: self.fresh_since.is_some(), relays: self.relays, ..Feed::default() }
    }

    /// Holds a record; false if it says nothing that is not known.
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

    /// Everything, for a proxy that knows nothing.
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

/// Whether a record of an incarnation supersedes another: it is further on its way, or was sent later.
pub fn is_newer(new: &Instance, held: &Instance) -> bool {
    (new.stage, new.sequence) >= (held.stage, held.sequence)
}
