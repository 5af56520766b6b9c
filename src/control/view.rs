//! What the module shows of itself, for whoever reports it. Nothing is decided here.

use super::*;

impl Controller {
    /// What is known of each listed endpoint: its health, when it was last heard, and the limit that was told, calls a
    /// second; 0 if none was.
    pub fn health_records(&self) -> impl Iterator<Item = (EndpointId, Health, Duration, f64)> {
        let listed = self.endpoints.values().filter(|e| e.info.state != ListState::Gone);
        let limit_of = |e: &Endpoint| self.limiters.get(&e.limiter_id).map_or(0.0, |l| l.reported_limit);
        listed.map(move |e| (e.info.id, e.health, e.last_answer, limit_of(e)))
    }

    /// Listed endpoints that are down or in the first half of their cold time, or of which for some time nothing better
    /// than a refusal was heard: a process that begins anew would take them for well. Outages mostly take all endpoints
    /// that share a lane, so one that has answered nobody since another's failure is among them.
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

    /// Endpoints that are listed and get nothing now, by the module's choice: down but for trials, or told to wait.
    pub fn avoided(&self) -> impl Iterator<Item = EndpointId> {
        let waits = |e: &Endpoint| self.limiters.get(&e.limiter_id).is_some_and(|l| l.wait_until > self.now);
        let avoided = move |e: &&Endpoint| e.health == Health::Down || waits(e);
        self.endpoints.values().filter(avoided).map(|e| e.info.id)
    }
}
