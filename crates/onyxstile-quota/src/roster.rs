//! Which version of the terms the others go by, and whether rights that are more than before may count yet.
//!
//! No moment may come at which relays of two versions hold more than the larger quota. What is less counts at once. What is
//! more counts once every relay that may have gone by an earlier version has said that it goes by this one, or is gone for good
//! by an operator's word, and a loan's time has passed since. A relay that says nothing keeps its part, unspent by others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    /// The latest version that each relay said it goes by.
    said: BTreeMap<u16, u32>,
    /// Relays that are gone for good.
    gone: BTreeSet<u16>,
    /// Who is waited for.
    awaited: Vec<u16>,
    version: u32,
    /// From when on rights may be more, once nobody is waited for.
    settled: Option<Duration>,
}

impl Roster {
    /// This relay goes by this version from now on.
    pub(crate) fn begin(&mut self, version: u32, before: &[u16], me: u16, now: Duration, loan: Duration) {
        self.version = version;
        self.awaited = before.iter().copied().filter(|n| *n != me).collect();
        // Alone it has nobody to wait for.
        self.settled = self.awaited.is_empty().then_some(now);
        self.look(now, loan);
    }

    /// A relay goes by this version.
    pub(crate) fn heard(&mut self, node: u16, version: u32, now: Duration, loan: Duration) {
        let said = self.said.entry(node).or_default();
        *said = version.max(*said);
        self.look(now, loan);
    }

    /// By an operator's word these are gone for good.
    pub(crate) fn set_gone(&mut self, gone: impl Iterator<Item = u16>, now: Duration, loan: Duration) {
        self.gone = gone.collect();
        self.look(now, loan);
    }

    fn look(&mut self, now: Duration, loan: Duration) {
        let there = |node: &u16| self.said.get(node).is_some_and(|v| *v >= self.version);
        if self.settled.is_none() && self.awaited.iter().all(|n| there(n) || self.gone.contains(n)) {
            self.settled = Some(now + loan);
        }
    }

    /// From when on rights may be more; none while somebody is waited for.
    pub(crate) fn settled(&self) -> Option<Duration> {
        self.settled
    }

    /// Who has not said that it goes by this version.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = u16> + '_ {
        let there = |node: &u16| self.said.get(node).is_some_and(|v| *v >= self.version);
        let open = self.settled.is_none();
        self.awaited.iter().copied().filter(move |n| open && !there(n) && !self.gone.contains(n))
    }
}
