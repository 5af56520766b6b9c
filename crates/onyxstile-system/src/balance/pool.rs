//! Among which endpoints a call has the choice, and which may be homes. Pure.

use std::collections::HashSet;

use super::{CallRequirements, EndpointKey, Endpoints};
use crate::clock::Instant;

/// Homes are in the relay's own zone where as many endpoints as this are well there: clients of a zone come through its
/// relays, and a conversation that crosses zones is paid for by its bytes.
const LOCAL_ENDPOINTS_MIN: usize = 2;
/// A zone with less than this part of the endpoints that zones have on average can't carry an even share of the programs.
const LOCAL_FRACTION_MIN: f64 = 0.67;

/// Endpoints at which a larger part of calls is expected to fail are left out of samples.
const SUSPICION_MAX: f64 = 0.05;

impl Endpoints {
    /// The endpoints among which a call has the choice: those that are well and to which this relay may hold one more
    /// connection, as long as there are any; of these, this relay's subset.
    pub(super) fn pool(&self, now: Instant, requirements: &CallRequirements<'_>) -> Vec<EndpointKey> {
        let keys = self.keys(requirements.service);
        let candidates: Vec<EndpointKey> =
            keys.iter().copied().filter(|key| self.is_eligible(*key, requirements)).collect();
        let share = self.connections.share(requirements.service, keys.len());
        let healthy = only_if_any(candidates, |key| self.slots[key].is_healthy(now));
        let with_capacity = only_if_any(healthy, |key| self.slots[key].in_flight() < share);
        self.subset(with_capacity, self.connections.subset_size(requirements.service, keys.len()))
    }

    /// Those that come first in this relay's own order: one that goes is replaced by the next, and all others stay.
    fn subset(&self, mut pool: Vec<EndpointKey>, size: usize) -> Vec<EndpointKey> {
        if pool.len() > size {
            pool.select_nth_unstable_by_key(size, |key| self.slots[*key].rank);
            pool.truncate(size);
        }
        pool
    }

    /// Those of a tool's endpoints from which a sample is drawn: without the suspects, but half of them at least, the least
    /// suspect ones. Evidence never leaves a service empty.
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

    /// Those of `pool` in the relay's own zone.
    pub(super) fn in_local_zone(&self, pool: &[EndpointKey]) -> Vec<EndpointKey> {
        let is_local = |key: &EndpointKey| self.zone_delays.is_local_zone(&self.slots[*key].instance.zone);
        pool.iter().copied().filter(is_local).collect()
    }

    /// The endpoints that a zone must have for the programs of its clients to be at home there.
    pub(super) fn local_endpoints_min(&self, pool: &[EndpointKey]) -> usize {
        let zones: HashSet<&str> = pool.iter().map(|key| self.slots[*key].instance.zone.as_str()).collect();
        let mean = pool.len() as f64 / zones.len().max(1) as f64;
        ((mean * LOCAL_FRACTION_MIN).ceil() as usize).max(LOCAL_ENDPOINTS_MIN)
    }
}

/// Those of `keys` that pass, or all of them where none does.
fn only_if_any(keys: Vec<EndpointKey>, passes: impl Fn(EndpointKey) -> bool) -> Vec<EndpointKey> {
    let passing: Vec<EndpointKey> = keys.iter().copied().filter(|key| passes(*key)).collect();
    if passing.is_empty() { keys } else { passing }
}
