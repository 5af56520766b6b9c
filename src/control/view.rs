//! Read-only views of the module's state for reporting; nothing is decided here.

use super::*;

impl Controller {
    /// Health record of each listed endpoint: health, time of the last answer, and reported limit in calls
    /// per second (0 if none was reported).
    pub fn health_records(&self) -> impl Iterator<Item = (EndpointId, Health, Duration, f64)> {
        let listed = self.endpoints.values().filter(|e| e.info.state != ListState::Gone);
        let limit_of = |e: &Endpoint| self.limiters.get(&e.limiter_id).map_or(0.0, |l| l.reported_limit);
        listed.map(move |e| (e.info.id, e.health, e.last_answer, limit_of(e)))
    }

    /// Listed endpoints that are down, in the first half of their cold time, or have answered only with
    /// refusals for some time: a new process without this record would take them for healthy. Outages mostly
    /// affect all endpoints that share a rate limiter, so an endpoint without a success since another's
    /// failure is included.
    pub fn unhealthy_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let half = self.settings.cold_time / 2;
        let unhealthy = move |e: &Endpoint| match e.health {
            // Silence alone is a suspicion, which any answer lifts.
            Health::Down => e.hard_run + e.refused_run > 0,
            Health::Warming(since) => self.now < since + half,
            Health::Well => e.refused_run > 0 && self.now.saturating_sub(e.last_ok) >= OUTAGE_QUIET,
        };
        let mut limiters: BTreeMap<LimiterId, Duration> = BTreeMap::new();
        for e in self.endpoints.values().filter(|e| unhealthy(e)) {
            let since = limiters.entry(e.limiter_id).or_default();
            *since = e.last_failed.max(e.down_since).max(*since);
        }
        let listed = self.endpoints.values().filter(|e| e.info.state != ListState::Gone);
        let shares = move |e: &&Endpoint| limiters.get(&e.limiter_id).is_some_and(|since| e.last_ok < *since);
        listed.filter(move |e| unhealthy(e) || shares(e)).map(|e| e.info.id)
    }

    /// Listed endpoints that receive no calls now by the module's decision: down except for trials, or within
    /// a wait.
    pub fn avoided(&self) -> impl Iterator<Item = EndpointId> {
        let waits = |e: &Endpoint| self.limiters.get(&e.limiter_id).is_some_and(|l| l.wait_until > self.now);
        let avoided = move |e: &&Endpoint| e.health == Health::Down || waits(e);
        self.endpoints.values().filter(avoided).map(|e| e.info.id)
    }
}
