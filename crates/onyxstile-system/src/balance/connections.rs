//! Connection limits of one relay: how many connections it may hold to an endpoint so that all relays together stay
//! within the endpoint's limit, and which subset of a tool service it calls. Performs no I/O.
//!
//! An endpoint resets connections beyond its limit, and a request sent on such a connection may not be resent if the
//! call must not run twice.

use std::collections::HashMap;

/// Fraction of an endpoint's connections that is divided among the relays. The rest is reserved for relays that are not
/// counted yet and for connections left behind by failed relays.
const SHARED_FRACTION: f64 = 0.9;
/// Maximum number of endpoints of a tool service that one relay calls while they are healthy: enough to compare several
/// and to leave a choice when some fail.
const SUBSET_MAX: usize = 8;
/// Minimum number of endpoints that a relay calls: a single one would leave no choice.
const SUBSET_MIN: usize = 2;

/// Connection limit of one endpoint of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// Maximum number of connections from all callers together.
    pub connections: u64,
    /// Whether every relay calls all endpoints, as for model services; otherwise each relay calls a subset.
    pub is_called_by_all: bool,
}

/// Connection limits and the number of relays that share them.
#[derive(Debug, Default)]
pub(super) struct Connections {
    relays: Option<u32>,
    limits: HashMap<String, ConnectionLimit>,
}

impl Connections {
    pub(super) fn set_relays(&mut self, relays: u32) {
        self.relays = Some(relays.max(1));
    }

    pub(super) fn set_limits(&mut self, limits: HashMap<String, ConnectionLimit>) {
        self.limits = limits;
    }

    /// Number of a service's `endpoints` that this relay calls while they are healthy: all of them, or a subset if that
    /// is sufficient or if an endpoint accepts fewer connections than there are relays.
    pub(super) fn subset_size(&self, service: &str, endpoints: usize) -> usize {
        let Some(limit) = self.limits.get(service) else { return endpoints };
        let wanted = if limit.is_called_by_all { endpoints } else { endpoints.min(SUBSET_MAX) };
        let Some(relays) = self.relays else { return wanted };
        let connections = limit.connections as f64 * SHARED_FRACTION * endpoints as f64;
        wanted.min((connections / f64::from(relays)) as usize).max(SUBSET_MIN.min(endpoints))
    }

    /// Maximum number of connections of this relay to each of a service's `endpoints` endpoints, at least one;
    /// unlimited while the number of relays or the limit is unknown.
    pub(super) fn share(&self, service: &str, endpoints: usize) -> u32 {
        let (Some(relays), Some(limit)) = (self.relays, self.limits.get(service)) else { return u32::MAX };
        let callers = callers(relays, endpoints, self.subset_size(service, endpoints));
        let share = limit.connections as f64 * SHARED_FRACTION / callers;
        share.max(1.0).min(f64::from(u32::MAX)) as u32
    }
}

/// Upper estimate of the relays that call one endpoint: all relays, or the mean number whose subset contains it plus
/// three standard deviations.
fn callers(relays: u32, endpoints: usize, subset_size: usize) -> f64 {
    let relays = f64::from(relays);
    if subset_size >= endpoints {
        return relays;
    }
    let mean = relays * subset_size as f64 / endpoints as f64;
    (mean + 3.0 * mean.sqrt()).min(relays)
}
