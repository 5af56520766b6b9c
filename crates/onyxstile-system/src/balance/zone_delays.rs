//! Additional latency of each zone, derived from connection times. Performs no I/O.

use std::collections::HashMap;
use std::time::Duration;

/// Minimum additional round-trip time to another zone, in ms; also the default before the first measurement.
const OTHER_ZONE_MS: f64 = 3.0;
/// Weight of a sample above the current value. A lower sample replaces the value, because only the shortest times are
/// free of queueing.
const LONGER_WEIGHT: f64 = 0.02;

/// Connection times by zone.
#[derive(Debug, Default)]
pub(super) struct ZoneDelays {
    local: String,
    connect_ms: HashMap<String, f64>,
}

impl ZoneDelays {
    /// Creates an empty record for a relay in the zone `local`.
    pub(super) fn new(local: &str) -> ZoneDelays {
        ZoneDelays { local: local.to_owned(), connect_ms: HashMap::new() }
    }

    /// Records the time in which a connection to an endpoint in `zone` was established.
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

    /// Additional round-trip time to `zone` compared with the relay's own zone, in ms.
    pub(super) fn extra_ms(&self, zone: &str) -> f64 {
        if self.is_local_zone(zone) {
            return 0.0;
        }
        let time = |zone: &str| self.connect_ms.get(zone).copied().unwrap_or(0.0);
        (time(zone) - time(&self.local)).max(OTHER_ZONE_MS)
    }
}
