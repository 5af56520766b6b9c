//! How many connections one relay may hold to an endpoint, so that all relays together stay within what the endpoint
//! takes, and which endpoints of a tool service a relay calls at all. Pure.
//!
//! An endpoint resets connections beyond its limit, and what was sent on one of these may not be sent again where a call
//! must not run twice.

use std::collections::HashMap;

/// The part of an endpoint's connections that relays share out. The rest is for relays that nobody has counted yet and
/// for connections that lost relays have left behind.
const SHARED_FRACTION: f64 = 0.9;
/// The most endpoints of a tool service that one relay calls while they are well: enough to compare several, and that
/// the loss of some leaves a choice.
const SUBSET_MAX: usize = 8;
/// The fewest endpoints that a relay calls: with one alone there would be no choice.
const SUBSET_MIN: usize = 2;

/// What one endpoint of a service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// Connections from all callers together.
    pub connections: u64,
    /// Whether all relays call all of its endpoints, as those of model services; else each calls a subset.
    pub is_called_by_all: bool,
}

/// The limits, and how many relays share them.
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

    /// How many of a service's `endpoints` this relay calls while they are well: all, or a subset where that is enough or
    /// where an endpoint takes fewer connections than there are relays.
    pub(super) fn subset_size(&self, service: &str, endpoints: usize) -> usize {
        let Some(limit) = self.limits.get(service) else { return endpoints };
        let wanted = if limit.is_called_by_all { endpoints } else { endpoints.min(SUBSET_MAX) };
        let Some(relays) = self.relays else { return wanted };
        let connections = limit.connections as f64 * SHARED_FRACTION * endpoints as f64;
        wanted.min((connections / f64::from(relays)) as usize).max(SUBSET_MIN.min(endpoints))
    }

    /// The connections that this relay may hold to each of `endpoints` endpoints of a service, one at the least; without
    /// bound while the relays or the limit are not known.
    pub(super) fn share(&self, service: &str, endpoints: usize) -> u32 {
        let (Some(relays), Some(limit)) = (self.relays, self.limits.get(service)) else { return u32::MAX };
        let callers = callers(relays, endpoints, self.subset_size(service, endpoints));
        let share = limit.connections as f64 * SHARED_FRACTION / callers;
        share.max(1.0).min(f64::from(u32::MAX)) as u32
    }
}

/// How many relays may call one endpoint: all, or those whose subset it is in, three standard deviations over their mean.
fn callers(relays: u32, endpoints: usize, subset_size: usize) -> f64 {
    let relays = f64::from(relays);
    if subset_size >= endpoints {
        return relays;
    }
    let mean = relays * subset_size as f64 / endpoints as f64;
    (mean + 3.0 * mean.sqrt()).min(relays)
}
