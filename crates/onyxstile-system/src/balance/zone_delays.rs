//! How far the zones are from this relay, by the time that connections take to come up. Pure.

use std::collections::HashMap;
use std::time::Duration;

/// What crossing to another zone costs at the least, in ms there and back; the same until it was measured.
const OTHER_ZONE_MS: f64 = 3.0;
/// Weight of a sample above what is known. A sample below replaces it: only the shortest times are free of queues.
const LONGER_WEIGHT: f64 = 0.02;

/// The times by zone.
#[derive(Debug, Default)]
pub(super) struct ZoneDelays {
    local: String,
    connect_ms: HashMap<String, f64>,
}

impl ZoneDelays {
    /// A relay in the zone `own` that has measured nothing.
    pub(super) fn new(local: &str) -> ZoneDelays {
        ZoneDelays { local: local.to_owned(), connect_ms: HashMap::new() }
    }

    /// A connection to an endpoint in `zone` came up in this time.
    pub(super) fn note(&mut self, zone: &str, time: Duration) {
        let sample = time.as_secs_f64() * 1000.0;
        match self.connect_ms.get_mut(zone) {
            Some(shortest) if sample >= *shortest => *shortest += LONGER_WEIGHT * (sample - *shortest),
            Some(shortest) => *shortest = sample,
            None => {
                self.connect_ms.insert(zone.to_owned(), sample);
            }
        }
    }

    /// Whether a zone is the relay's own.
    pub(super) fn is_local_zone(&self, zone: &str) -> bool {
        zone == self.local
    }

    /// What a call to `zone` takes longer than one to the relay's own, in ms there and back.
    pub(super) fn extra_ms(&self, zone: &str) -> f64 {
        if self.is_local_zone(zone) {
            return 0.0;
        }
        let time = |zone: &str| self.connect_ms.get(zone).copied().unwrap_or(0.0);
        (time(zone) - time(&self.local)).max(OTHER_ZONE_MS)
    }
}
