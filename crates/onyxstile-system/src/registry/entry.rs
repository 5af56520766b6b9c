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
    Heard,
    /// They come to another controller, in this life of it.
    HeardBy(u64),
    /// Nobody is known to hear it: it was on the disk, or whoever heard it has gone.
    Kept,
}

impl Source {
    /// Whether a record of this source replaces one of the same sequence from `held`.
    pub(super) fn overrides(self, held: Source) -> bool {
        match self {
            Source::Heard => true,
            // What the same hearer says later, or the first word of one that hears it.
            Source::HeardBy(_) => held == self || held == Source::Kept,
            Source::Kept => false,
        }
    }

    /// Whose word an entry is once a record of this source has come to it.
    pub(super) fn following(self, held: Source, is_later: bool) -> Source {
        match (self, held) {
            // Somebody heard it later than this controller, and nobody hears it now.
            (Source::Kept, Source::Heard) if is_later => Source::Kept,
            (Source::Kept, _) => held,
            _ if is_later || self.overrides(held) => self,
            _ => held,
        }
    }
}

/// One endpoint in a registry.
pub(super) struct Entry {
    pub instance: Instance,
    /// The change of the registry that made it what it is, if it is told on from here.
    pub counter: u64,
    /// When it was heard or told of last.
    pub heard: Instant,
    pub source: Source,
}

impl Entry {
    /// Whether its hearer tells of it by itself to all who ask.
    pub(super) fn is_told_elsewhere(&self) -> bool {
        matches!(self.source, Source::HeardBy(_)) && self.instance.stage == Stage::Ready
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        let is_due = now.since(self.heard) >= TOMBSTONE_LIFETIME;
        is_due && (self.instance.is_away() || !matches!(self.source, Source::HeardBy(_)))
    }
}
