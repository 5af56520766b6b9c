//! Endpoint directory: incarnations by key, id and service, from their registration until they are removed. Performs no
//! I/O.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint::Endpoint;
use super::{EndpointKey, Endpoints};
use crate::clock::Instant;
use crate::registry::{Instance, RELAY_TOMBSTONE_LIFETIME, Stage};

impl Endpoints {
    /// Applies a registration; returns the incarnation if it must not be called any more.
    pub fn update(&mut self, now: Instant, instance: Instance) -> Option<EndpointKey> {
        let key = match self.by_id.get(&instance.id) {
            Some(key) => *key,
            None => {
                let rank = xxh3_64_with_seed(instance.id.as_bytes(), self.relay);
                let key = self.slots.insert(Endpoint::new(now, instance.clone(), rank));
                self.by_id.insert(instance.id.clone(), key);
                self.by_service.entry(instance.service.clone()).or_default().push(key);
                key
            }
        };
        let endpoint = &mut self.slots[key];
        endpoint.update(now, instance);
        (endpoint.instance.stage != Stage::Ready).then_some(key)
    }

    /// Removes endpoints that left or became silent long ago; returns their keys, which are then invalid.
    pub fn forget(&mut self, now: Instant) -> Vec<EndpointKey> {
        let is_expired = |endpoint: &Endpoint| endpoint.is_expired(now, RELAY_TOMBSTONE_LIFETIME);
        let over: Vec<EndpointKey> =
            self.slots.iter().filter(|(_, endpoint)| is_expired(endpoint)).map(|(key, _)| key).collect();
        for key in &over {
            let Some(endpoint) = self.slots.remove(*key) else { continue };
            self.by_id.remove(&endpoint.instance.id);
            if let Some(keys) = self.by_service.get_mut(&endpoint.service) {
                keys.retain(|other| other != key);
            }
        }
        self.by_service.retain(|_, keys| !keys.is_empty());
        over
    }

    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.slots.get(key)
    }

    /// Returns the key of an incarnation.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns an endpoint for recording the outcome of a call.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.slots.get_mut(key)
    }

    /// Names of the services that have endpoints, sorted.
    pub fn services(&self) -> Vec<String> {
        let mut services: Vec<String> = self.by_service.keys().cloned().collect();
        services.sort_unstable();
        services
    }

    /// Number of endpoints of a service that may be called.
    pub fn usable(&self, service: &str) -> usize {
        self.keys(service).iter().filter(|key| self.slots[**key].may_be_called()).count()
    }

    pub(super) fn keys(&self, service: &str) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}
