//! What a controller holds of one endpoint, and whose word that is.

use std::time::Duration;

use super::{Instance, Stage};
use crate::clock::Instant;

/// A record of an incarnation that is gone is kept this long, so that a late heartbeat doesn't bring it back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);

/// Whose word a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// Its heartbeats come here.
    Local,
    /// They come to another controller, in this life of it.
    Remote(u64),
    /// Nobody is known to hear it: it was on the disk, or whoever heard it has gone.
    Unowned,
}

impl Source {
    /// Whether a record of this source replaces one of the same sequence from `held`.
    pub(super) fn overrides(self, current: Source) -> bool {
        match self {
            Source::Local => true,
            // What the same hearer says later, or the first word of one that hears it.
            Source::Remote(_) => current == self || current == Source::Unowned,
            Source::Unowned => false,
        }
    }

    /// Whose word an entry is once a record of this source has come to it.
    pub(super) fn merged(self, current: Source, is_newer: bool) -> Source {
        match (self, current) {
            // Somebody heard it later than this controller, and nobody hears it now.
            (Source::Unowned, Source::Local) if is_newer => Source::Unowned,
            (Source::Unowned, _) => current,
            _ if is_newer || self.overrides(current) => self,
            _ => current,
        }
    }
}

/// One endpoint in a registry.
pub(super) struct Entry {
    pub instance: Instance,
    /// The change of the registry that made it what it is, if it is told on from here.
    pub counter: u64,
    /// When it was heard or told of last.
    pub updated_at: Instant,
    pub source: Source,
}

impl Entry {
    /// Whether its hearer tells of it by itself to all who ask.
    pub(super) fn is_published_elsewhere(&self) -> bool {
        matches!(self.source, Source::Remote(_)) && self.instance.stage == Stage::Ready
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let is_due = now.since(self.updated_at) >= TOMBSTONE_LIFETIME;
        is_due && (self.instance.is_unavailable() || !matches!(self.source, Source::Remote(_)))
    }
}
