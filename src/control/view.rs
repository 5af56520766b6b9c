//! What the module shows of itself, for whoever reports it. Nothing is decided here.

use super::*;

impl Controller {
    /// What is known of each listed endpoint: its health, when it was last heard, and the limit that was told, calls a
    /// second; 0 if none was.
    pub fn seen(&self) -> impl Iterator<Item = (EndpointId, Health, Duration, f64)> {
        let listed = self.endpoints.values().filter(|e| e.info.state != ListState::Gone);
        let told = |e: &Endpoint| self.lanes.get(&e.lane).map_or(0.0, |l| l.told);
        listed.map(move |e| (e.info.id, e.health, e.last_heard, told(e)))
    }

    /// Listed endpoints that are down or in the first half of their cold time, or of which for some time nothing better
    /// than a refusal was heard: a process that begins anew would take them for well. Outages mostly take all endpoints
    /// that share a lane, so one that has answered nobody since another's failure is among them.
    pub fn ailing(&self) -> impl Iterator<Item = EndpointId> {
        let half = self.settings.cold_time / 2;
        let ill = move |e: &Endpoint| match e.health {
            // Silence alone is a suspicion, which any answer lifts.
            Health::Down => e.hard_run + e.refused_run > 0,
            Health::Warming(since) => self.now < since + half,
            Health::Well => e.refused_run > 0 && self.now.saturating_sub(e.last_ok) >= SHUT_QUIET,
        };
        let mut lanes: BTreeMap<LaneId, Duration> = BTreeMap::new();
        for e in self.endpoints.values().filter(|e| ill(e)) {
            let since = lanes.entry(e.lane).or_default();
            *since = e.last_failed.max(e.down_since).max(*since);
        }
        let listed = self.endpoints.values().filter(|e| e.info.state != ListState::Gone);
        let shares = move |e: &&Endpoint| lanes.get(&e.lane).is_some_and(|since| e.last_ok < *since);
        listed.filter(move |e| ill(e) || shares(e)).map(|e| e.info.id)
    }

    /// Endpoints that are listed and get nothing now, by the module's choice: down but for trials, or told to wait.
    pub fn avoided(&self) -> impl Iterator<Item = EndpointId> {
        let waits = |e: &Endpoint| self.lanes.get(&e.lane).is_some_and(|l| l.wait_until > self.now);
        let avoided = move |e: &&Endpoint| e.health == Health::Down || waits(e);
        self.endpoints.values().filter(avoided).map(|e| e.info.id)
    }
}
