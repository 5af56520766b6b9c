//! Other terms: an operator's new version, and the moment from which it counts whole.

use crate::escrow::Times;
use crate::holding::{Holding, Rights, rights};
use crate::quotas::Quotas;
use crate::terms::{Quota, Terms};
use crate::unit::Measure;
use std::collections::BTreeMap;
use std::time::Duration;

/// A version that is not later than the one gone by, and not the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLater(pub u32, pub u32);

impl Quotas {
    /// Goes by other terms. What is less counts at once, what is more once nobody goes by earlier ones any more.
    ///
    /// # Errors
    /// The version is no later one.
    pub fn renew(&mut self, terms: Terms, now: Duration) -> Result<(), NotLater> {
        let same = terms.version == self.terms.version && terms.digest() == self.terms.digest();
        if !same && terms.version <= self.terms.version {
            return Err(NotLater(terms.version, self.terms.version));
        }
        self.roster.begin(terms.version, &terms.before, terms.me, now, Times::USUAL.gone());
        if same {
            self.terms = terms;
            return Ok(());
        }
        let mut before: BTreeMap<u64, Holding> = BTreeMap::new();
        for h in std::mem::take(&mut self.holdings) {
            before.insert(h.digest, h);
        }
        let mut busy: BTreeMap<u64, _> = std::mem::take(&mut self.busy)
            .into_iter()
            .filter_map(|(no, b)| self.by_digest.iter().find(|(_, n)| **n == no).map(|(d, _)| (*d, b)))
            .collect();
        self.terms = terms;
        self.grown = false;
        for quota in self.terms.quotas.clone() {
            let digest = quota.digest();
            let own = self.share(digest, quota.measure);
            let holding = match before.remove(&digest) {
                Some(h) => lowered(h, quota, own, self.terms.edge, now),
                // Unknown here so far, and maybe known to others by an earlier version.
                None => fresh(quota, self.terms.edge, now),
            };
            if let Some(b) = busy.remove(&digest) {
                self.busy.insert(self.holdings.len(), b);
            }
            self.holdings.push(holding);
        }
        self.index();
        self.write_gone();
        self.grow(now);
        Ok(())
    }

    /// By an operator's word these relays are gone for good.
    pub fn set_gone(&mut self, gone: impl Iterator<Item = u16>, now: Duration) {
        self.roster.set_gone(gone, now, Times::USUAL.gone());
    }

    /// Rights that are more than before count from now on, if they may.
    pub(crate) fn grow(&mut self, now: Duration) {
        if self.grown || self.roster.settled().is_none_or(|at| now < at) {
            return;
        }
        self.grown = true;
        for no in 0..self.holdings.len() {
            let (digest, measure) = (self.holdings[no].digest, self.holdings[no].quota.measure);
            let own = self.share(digest, measure);
            match &mut self.holdings[no].rights {
                Rights::Rate(e) => e.reset(measure, own, now),
                Rights::Span(a) => a.grow(own, now),
            }
        }
        self.write_gone();
    }
}

/// A holding of a quota that is another one now: no more than before, and no more than the new terms give.
fn lowered(mut h: Holding, quota: Quota, own: u32, edge: Duration, now: Duration) -> Holding {
    match (&mut h.rights, quota.measure) {
        (Rights::Rate(e), measure @ Measure::Rate { .. }) => {
            let (old, new) = (h.quota.measure.refill(), measure.refill());
            let gain = u64::from(e.own()) * old;
            let most = gain.checked_div(new).map_or(u32::MAX, |n| n.min(u64::from(u32::MAX)) as u32);
            e.reset(measure, own.min(e.own()).min(most), now);
        }
        (Rights::Span(a), Measure::Span { span, .. }) => a.reset(span, own.min(a.own()), now),
        (_, _) => return Holding { quota: quota.clone(), digest: h.digest, ..fresh(quota, edge, now) },
    }
    Holding { quota, ..h }
}

/// A holding of which nothing counts yet.
fn fresh(quota: Quota, edge: Duration, now: Duration) -> Holding {
    let rights = rights(quota.measure, 0, edge, now, None, now);
    Holding { digest: quota.digest(), quota, rights, counts: (0, 0) }
}
