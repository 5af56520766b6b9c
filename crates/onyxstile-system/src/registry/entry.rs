//! A controller's record of one endpoint, and the source of that record.

use std::time::Duration;

use super::{Instance, Stage};
use crate::clock::Instant;

/// How long the record of an unavailable incarnation is kept, so that a late heartbeat does not revive it.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);

/// Source of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The endpoint sends its heartbeats to this controller.
    Local,
    /// The endpoint sends its heartbeats to this incarnation of another controller.
    Remote(u64),
    /// No owner is known: the record was read from disk, or its owner has ended.
    Unowned,
}

impl Source {
    /// Whether a record of this source replaces one of the same sequence from `current`.
    pub(super) fn overrides(self, current: Source) -> bool {
        match self {
            Source::Local => true,
            // A later update of the same owner, or the first update of a known owner.
            Source::Remote(_) => current == self || current == Source::Unowned,
            Source::Unowned => false,
        }
    }

    /// The source of an entry after a record of this source has been merged into it.
    pub(super) fn after_merge(self, current: Source, is_newer: bool) -> Source {
        match (self, current) {
            // The heartbeat was received elsewhere after this controller's last one, and no owner is known now.
            (Source::Unowned, Source::Local) if is_newer => Source::Unowned,
            (Source::Unowned, _) => current,
            _ if is_newer || self.overrides(current) => self,
            _ => current,
        }
    }
}

/// An endpoint in a registry.
pub(super) struct Entry {
    pub instance: Instance,
    /// Registry counter of its last change, if this controller publishes it.
    pub counter: u64,
    /// When it was last received or reported.
    pub updated_at: Instant,
    pub source: Source,
}

impl Entry {
    /// Whether its owner publishes it itself.
    pub(super) fn is_published_elsewhere(&self) -> bool {
        matches!(self.source, Source::Remote(_)) && self.instance.stage == Stage::Ready
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let is_due = now.since(self.updated_at) >= TOMBSTONE_LIFETIME;
        is_due && (self.instance.is_unavailable() || !matches!(self.source, Source::Remote(_)))
    }
}
