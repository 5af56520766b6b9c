//! Candidate endpoints of a call and the selection of the local zone. Performs no I/O.

use std::collections::HashSet;

use super::{CallRequirements, EndpointKey, Endpoints};
use crate::clock::Instant;

/// Preferred endpoints are taken from the relay's own zone if at least this many endpoints are healthy there: clients
/// of a zone connect to its relays, and traffic across zones is charged by the byte.
const LOCAL_ENDPOINTS_MIN: usize = 2;
/// A zone with less than this fraction of the mean number of endpoints per zone can't serve an even share of the
/// programs.
const LOCAL_FRACTION_MIN: f64 = 0.67;

/// Endpoints with a higher expected failure rate are left out of samples.
const SUSPICION_MAX: f64 = 0.05;

impl Endpoints {
    /// Candidates of a call: endpoints that are healthy and to which this relay may hold one more connection; each of
    /// these conditions is dropped if no endpoint meets it. Limited to this relay's subset.
    pub(super) fn pool(&self, now: Instant, requirements: &CallRequirements<'_>) -> Vec<EndpointKey> {
        let keys = self.keys(requirements.service);
        let candidates: Vec<EndpointKey> =
            keys.iter().copied().filter(|key| self.is_eligible(*key, requirements)).collect();
        let share = self.connections.share(requirements.service, keys.len());
        let healthy = only_if_any(candidates, |key| self.slots[key].is_healthy(now));
        let with_capacity = only_if_any(healthy, |key| self.slots[key].in_flight() < share);
        self.subset(with_capacity, self.connections.subset_size(requirements.service, keys.len()))
    }

    /// The first endpoints in this relay's own order. One that leaves is replaced by the next, and all others stay.
    fn subset(&self, mut pool: Vec<EndpointKey>, size: usize) -> Vec<EndpointKey> {
        if pool.len() > size {
            pool.select_nth_unstable_by_key(size, |key| self.slots[*key].rank);
            pool.truncate(size);
        }
        pool
    }

    /// Tool endpoints to sample from: the unsuspected ones, but at least the less suspected half. Evidence therefore
    /// never leaves a service without endpoints.
    pub(super) fn trusted(
        &self, now: Instant, requirements: &CallRequirements<'_>, mut pool: Vec<EndpointKey>,
    ) -> Vec<EndpointKey> {
        if !requirements.parts.is_empty() {
            return pool;
        }
        let suspicion = |key: &EndpointKey| self.slots[*key].suspicion(now);
        let trusted = pool.iter().filter(|key| suspicion(key) < SUSPICION_MAX).count();
        if trusted < pool.len() {
            pool.sort_by(|left, right| suspicion(left).total_cmp(&suspicion(right)));
            pool.truncate(trusted.max(pool.len().div_ceil(2)));
        }
        pool
    }

    fn is_eligible(&self, key: EndpointKey, requirements: &CallRequirements<'_>) -> bool {
        self.slots[key].may_be_called()
            && !requirements.excluded.contains(&key)
            && requirements.only.is_none_or(|only| only.contains(&key))
    }

    /// Endpoints of `pool` in the relay's own zone.
    pub(super) fn in_local_zone(&self, pool: &[EndpointKey]) -> Vec<EndpointKey> {
        let is_local = |key: &EndpointKey| self.zone_delays.is_local_zone(&self.slots[*key].instance.zone);
        pool.iter().copied().filter(is_local).collect()
    }

    /// Number of endpoints that a zone needs for programs to prefer local endpoints.
    pub(super) fn local_endpoints_min(&self, pool: &[EndpointKey]) -> usize {
        let zones: HashSet<&str> = pool.iter().map(|key| self.slots[*key].instance.zone.as_str()).collect();
        let mean = pool.len() as f64 / zones.len().max(1) as f64;
        ((mean * LOCAL_FRACTION_MIN).ceil() as usize).max(LOCAL_ENDPOINTS_MIN)
    }
}

/// The keys that pass the filter, or all keys if none does.
fn only_if_any(keys: Vec<EndpointKey>, passes: impl Fn(EndpointKey) -> bool) -> Vec<EndpointKey> {
    let passing: Vec<EndpointKey> = keys.iter().copied().filter(|key| passes(*key)).collect();
    if passing.is_empty() { keys } else { passing }
}
