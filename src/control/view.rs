//! What the module shows of itself, for whoever reports it. Nothing is decided here.

use super::*;

impl Controller {
    /// Endpoints that are listed and get nothing now, by the module's choice: down but for trials, or told to wait.
    pub fn avoided(&self) -> impl Iterator<Item = EndpointId> {
        let waits = |e: &Endpoint| self.lanes.get(&e.lane).is_some_and(|l| l.wait_until > self.now);
        let avoided = move |e: &&Endpoint| e.health == Health::Down || waits(e);
        self.endpoints.values().filter(avoided).map(|e| e.info.id)
    }
}
