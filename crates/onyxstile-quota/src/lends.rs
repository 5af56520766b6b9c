//! The lender's side: what it holds of its own is divided among those that want of it.

use crate::fair::{Claimant, divide};
use crate::holding::Rights;
use crate::note::Say;
use crate::quotas::{Effect, Quotas};
use crate::rendezvous::mix;
use std::time::Duration;

/// When a relay that is denied may ask again: where others have been asked to give back, where all is divided, and where
/// there is nothing to divide.
const RECALLED: Duration = Duration::from_millis(20);
const DIVIDED: Duration = Duration::from_millis(500);
const NOTHING: Duration = Duration::from_millis(1000);
/// Rights of spans given lately that are remembered, of each quota.
const GIVEN_MOST: usize = 64;

impl Quotas {
    /// A relay lacks some.
    pub(crate) fn asked(&mut self, ask: Ask, now: Duration) {
        let Some(no) = self.by_digest.get(&ask.quota).copied() else { return };
        self.busy_of(no, now).heard = Some(now);
        self.holdings[no].pass(now);
        let says = match &self.holdings[no].rights {
            Rights::Rate(_) => self.lend(no, ask, now),
            Rights::Span(_) => self.give(no, ask, now),
        };
        for (to, say) in says {
            self.says.entry(to).or_default().push(say);
        }
    }

    fn lend(&mut self, no: usize, ask: Ask, now: Duration) -> Vec<(u16, Say)> {
        let Ask { from, quota, nonce, lacks, held: elsewhere, room, demand, renews } = ask;
        let (me, luck) = (self.terms.me, quota ^ mix(u64::from(self.terms.me) + 1));
        let (h, Some(busy)) = (&mut self.holdings[no], self.busy.get_mut(&no)) else { return Vec::new() };
        if let Rights::Rate(e) = &h.rights
            && let Some(l) = e.granted(from, nonce)
        {
            return vec![(from, Say::Grant { quota, nonce, units: l.units, with: l.tokens })];
        }
        if let Some((units, with)) = busy.given.get(&(nonce, from)).copied() {
            return vec![(from, Say::Grant { quota, nonce, units, with })];
        }
        while busy.given.len() >= GIVEN_MOST {
            busy.given.pop_first();
        }
        let own_wants = h.wants(busy, now);
        let Rights::Rate(e) = &mut h.rights else { return Vec::new() };
        let held = |node: u16| e.debtors().iter().filter(|l| l.with == node).map(|l| l.units).sum::<u32>();
        let old = e.debtors().iter().find(|l| l.with == from && Some(l.nonce) == renews);
        let kept = old.map_or(0, |l| l.units);
        let others = held(from) - kept;
        let claim = Claimant { node: from, wants: lacks.saturating_add(others), held: elsewhere, demand };
        busy.claims.insert(from, (claim, now));
        let own = Claimant {
            node: me,
            wants: own_wants.saturating_sub(e.borrowed()),
            held: e.borrowed(),
            demand: busy.demand.rate(now),
        };
        let claimants: Vec<Claimant> = [own].into_iter().chain(busy.claimants(now)).collect();
        let home = e.home(now);
        let parts = divide(home + e.lent(), &claimants, luck);
        let part = |node: u16| claimants.iter().position(|c| c.node == node).map_or(0, |i| parts[i]);
        let mut allowed = part(from).saturating_sub(others).min(lacks);
        // Where there is not enough for all, what is handed in scatters more than it is worth to move units for.
        let [elsewhere, part_from, lent] = [elsewhere, part(from), others + kept].map(u64::from);
        let (had, due) = (elsewhere + lent, elsewhere + part_from);
        let near = had * 3 >= due * 2 && due * 3 >= had * 2 || due < had + 2;
        if part(me) < own.wants && had > 0 && near {
            allowed = kept.min(lacks);
        }
        let units = allowed.min(kept.max(kept.saturating_add(home.saturating_sub(part(me)))));
        let mut says = Vec::new();
        if units < allowed {
            // Somebody has more than its part.
            for l in e.debtors().iter().filter(|l| l.with != from) {
                let over = held(l.with).saturating_sub(part(l.with)).min(l.units);
                let keep = l.units - over;
                says.extend((over > 0).then_some((l.with, Say::Recall { quota, nonce: l.nonce, keep })));
            }
        }
        let loan = if units > 0 { e.lend(from, nonce, units, renews, now) } else { None };
        // What is not to be lent may be given: tokens that lie here unspent, while messages are turned away there.
        let share = demand / (demand + own.demand).max(1e-9);
        let most = if e.is_full(now) { e.tokens() } else { (e.tokens() as f64 * share) as u64 };
        let gift = if loan.is_none() { e.gift(room, most, now) } else { 0 };
        says.push(match loan {
            Some(l) => (from, Say::Grant { quota, nonce, units: l.units, with: l.tokens }),
            None if gift > 0 => {
                busy.given.insert((nonce, from), (0, gift));
                (from, Say::Grant { quota, nonce, units: 0, with: gift })
            }
            None => {
                let wait = match (home + e.lent(), says.is_empty()) {
                    (0, _) => NOTHING,
                    (_, false) => RECALLED,
                    _ => DIVIDED,
                };
                (from, Say::Deny { quota, nonce, wait_ms: wait.as_millis() as u32 })
            }
        });
        says
    }

    fn give(&mut self, no: usize, ask: Ask, now: Duration) -> Vec<(u16, Say)> {
        let Ask { from, quota, nonce, lacks, demand, .. } = ask;
        let luck = quota ^ mix(u64::from(self.terms.me) + 1);
        let (h, Some(busy)) = (&mut self.holdings[no], self.busy.get_mut(&no)) else { return Vec::new() };
        let own_wants = h.wants(busy, now);
        let Rights::Span(a) = &mut h.rights else { return Vec::new() };
        if let Some((units, span)) = busy.given.get(&(nonce, from)).copied() {
            return vec![(from, Say::Grant { quota, nonce, units, with: span })];
        }
        let deny = |wait: Duration| {
            vec![(from, Say::Deny { quota, nonce, wait_ms: wait.as_millis().min(5000) as u32 })]
        };
        if let Some(wait) = a.at_edge(now) {
            return deny(wait);
        }
        let asks = Claimant { node: from, wants: lacks, held: ask.held, demand };
        busy.claims.insert(from, (asks, now));
        let own = Claimant { node: self.terms.me, wants: own_wants, held: 0, demand: busy.demand.rate(now) };
        let claimants: Vec<Claimant> = [own].into_iter().chain(busy.claimants(now)).collect();
        let parts = divide(a.left(), &claimants, luck);
        let part = claimants.iter().position(|c| c.node == from).map_or(0, |i| parts[i]);
        let (units, written) = a.spend(part.min(lacks), now);
        if units == 0 {
            return deny(if a.left() == 0 { NOTHING } else { DIVIDED });
        }
        let span = a.number();
        busy.given.insert((nonce, from), (units, span));
        while busy.given.len() > GIVEN_MOST {
            busy.given.pop_first();
        }
        // It is written before the note leaves: effects go out in their order, and notes after them.
        self.effects.extend(written.map(|used| Effect::Write(h.digest, used)));
        vec![(from, Say::Grant { quota, nonce, units, with: span })]
    }

    /// Units came back.
    pub(crate) fn repaid(&mut self, by: u16, quota: u64, nonce: u64, left: u32, tokens: u64, now: Duration) {
        let Some(no) = self.by_digest.get(&quota).copied() else { return };
        if let Rights::Rate(e) = &mut self.holdings[no].rights {
            e.repaid(by, nonce, left, tokens, now);
        }
    }
}

/// What a relay asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask {
    pub(crate) from: u16,
    pub(crate) quota: u64,
    pub(crate) nonce: u64,
    pub(crate) lacks: u32,
    /// What it has from elsewhere.
    pub(crate) held: u32,
    /// Tokens that it could take alone.
    pub(crate) room: u32,
    pub(crate) demand: f64,
    pub(crate) renews: Option<u64>,
}
