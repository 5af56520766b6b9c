//! How what the configuration allows is divided.

use super::admin::CALLERS;
use super::http::BODY_MAX;

/// Descriptors for the journal and its successor, discovery, notices, the listener, the runtime and the log; and for
/// operators, who must get through when clients have taken all of theirs.
const OWN_DESCRIPTORS: usize = 24 + CALLERS + 2;
/// Room in the owner's queue for all else: news of the list, probes, notices.
const QUEUE_OVER: usize = 64;
/// Edge connections that may be closing while others take their place.
const EDGES_OVER: usize = 8;
/// Part of the memory allowed that half-read bodies may take: one in so many.
const BODIES_SHARE: usize = 8;

/// How the descriptors and the memory allowed are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Edge connections. Usual clients hold a third of the descriptors at most; the rest is for others.
    pub edges: usize,
    /// Client connections that may be closing beside those.
    pub closing: usize,
    /// Idle connections to real servers.
    pub idle: usize,
    /// Bytes of requests' bodies that are coming in or wait for the owner.
    pub bodies: usize,
    /// Sockets of clients and real servers that two processes may hold together, as one takes over from the other.
    pub together: usize,
    /// Messages that may wait for the owner: one for each edge connection and call, and some.
    pub queue: usize,
}

impl Shares {
    /// What is left beside so many calls, each with one connection, and the program's own files and sockets.
    pub(super) fn of(sockets: usize, memory_mb: f64, calls: usize) -> Self {
        let edges = (sockets / 2).max(16);
        let idle = sockets.saturating_sub(edges + EDGES_OVER + OWN_DESCRIPTORS + calls).clamp(8, 256);
        let bodies = ((memory_mb.max(0.0) * 1e6) as usize / BODIES_SHARE).max(BODY_MAX);
        let queue = edges + 2 * calls + QUEUE_OVER;
        let together = sockets.saturating_sub(2 * OWN_DESCRIPTORS);
        Shares { edges, closing: EDGES_OVER, idle, bodies, together, queue }
    }
}
