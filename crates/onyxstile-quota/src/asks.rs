//! The borrower's side: what is lacked is asked for, what is too much goes back.
//!
//! A relay asks those that hold rights of their own, in an order that is its own for each quota, some at a time, and leaves who
//! has denied for the time that was said. It wants a quarter more than it is handed in, and gives back only what is half as much
//! again as it wants: between the two nothing moves, so traffic that merely scatters moves nothing.

use crate::escrow::{Loan, Times};
use crate::holding::{Asked, Rights};
use crate::note::Say;
use crate::quotas::Quotas;
use crate::rendezvous::{score, share};
use std::time::Duration;

/// Relays that are asked for a quota at once, at most.
const AT_ONCE: usize = 8;
/// When a question is said again, and when its answer is waited for no more.
const AGAIN: Duration = Duration::from_millis(80);
const PATIENCE: Duration = Duration::from_millis(250);
/// How long a relay that was silent is left.
const SILENT: Duration = Duration::from_secs(1);
/// Questions of one relay in a second, at most.
const ASKS_A_SECOND: f64 = 200.0;

impl Quotas {
    /// Asks for what is lacked of a quota, and for loans that are needed longer.
    pub(crate) fn ask_for(&mut self, no: usize, now: Duration) {
        if self.ending {
            return;
        }
        let (Some(busy), h) = (self.busy.get(&no), &self.holdings[no]) else { return };
        if matches!(&h.rights, Rights::Span(a) if a.at_edge(now).is_some()) {
            // What came now would be of no span, or of one that has not begun here.
            return;
        }
        let (wants, units) = (h.wants(busy, now), h.units(now));
        let open: Vec<Asked> = busy.asked.values().copied().filter(|a| now < a.at + PATIENCE).collect();
        if let Rights::Rate(e) = &h.rights {
            let (mut left, half) = (wants.saturating_sub(e.home(now)), Times::USUAL.loan / 2);
            let mut renewed: Vec<(Loan, u32)> = Vec::new();
            for loan in e.loans() {
                let keep = loan.units.min(left);
                left -= keep;
                let due = loan.until.saturating_sub(now) < half;
                if due && keep > 0 && !open.iter().any(|a| a.renews == Some(loan.nonce)) {
                    renewed.push((*loan, keep));
                }
            }
            for (loan, keep) in renewed {
                self.ask(no, loan.with, keep, 0, Some(loan.nonce), now);
            }
        }
        let coming: u32 = open.iter().filter(|a| a.renews.is_none()).map(|a| a.units).sum();
        let mut lacks = wants.saturating_sub(units + coming);
        let room = AT_ONCE.saturating_sub(open.iter().filter(|a| a.renews.is_none()).count());
        if lacks == 0 || room == 0 {
            return;
        }
        let coming: u32 = open.iter().map(|a| a.room).sum();
        let mut tokens = match &self.holdings[no].rights {
            Rights::Rate(e) => e.room(now).saturating_sub(coming),
            Rights::Span(_) => 0,
        };
        let holders = self.holders(no, now, &open, room);
        let among = holders.len() as u32;
        for (i, (to, own)) in holders.into_iter().enumerate() {
            let part = lacks.div_ceil(among - i as u32).min(own.max(1));
            let token = tokens.min(1);
            if part > 0 && self.ask(no, to, part, token, None, now) {
                tokens -= token;
                lacks -= part;
            }
        }
    }

    /// Relays that may have some of a quota, with what they have of their own: the first few that can be asked now.
    fn holders(&self, no: usize, now: Duration, open: &[Asked], most: usize) -> Vec<(u16, u32)> {
        let (Some(busy), h) = (self.busy.get(&no), &self.holdings[no]) else { return Vec::new() };
        let (me, members) = (self.terms.me, &self.terms.members);
        let free = |n: &&u16| {
            **n != me
                && busy.denied.get(n).is_none_or(|until| now >= *until)
                && !open.iter().any(|a| a.to == **n && a.renews.is_none())
        };
        let own = |n: u16| share(h.digest, h.quota.measure.units(), members, n);
        let mut free: Vec<_> =
            members.iter().filter(free).map(|n| (*n, own(*n))).filter(|(_, o)| *o > 0).collect();
        // Each relay's order is its own, or all would ask the same first.
        free.sort_by_key(|(n, _)| score(h.digest ^ (u64::from(me) << 32), *n));
        free.truncate(most);
        free
    }

    fn ask(&mut self, no: usize, to: u16, units: u32, room: u32, renews: Option<u64>, now: Duration) -> bool {
        let (left, at) = self.allowance;
        let left = (left + (now.saturating_sub(at)).as_secs_f64() * ASKS_A_SECOND).min(ASKS_A_SECOND);
        self.allowance = (left, now);
        if left < 1.0 {
            return false;
        }
        self.allowance.0 -= 1.0;
        let nonce = self.nonce();
        let asked = Asked { to, at: now, again: false, units, room, renews };
        self.say_ask(no, nonce, asked, now);
        if let Some(busy) = self.busy.get_mut(&no) {
            busy.asked.insert(nonce, asked);
        }
        true
    }

    fn say_ask(&mut self, no: usize, nonce: u64, asked: Asked, now: Duration) {
        let demand = self.busy.get(&no).map_or(0.0, |b| b.demand.rate(now));
        let h = &self.holdings[no];
        let theirs = match &h.rights {
            Rights::Rate(e) => e.loans().iter().filter(|l| l.with == asked.to).map(|l| l.units).sum(),
            Rights::Span(_) => 0,
        };
        let (quota, demand) = (h.digest, (demand * 1e3).min(4e9) as u32);
        let held = h.units(now) - theirs;
        let say = Say::Ask {
            quota,
            nonce,
            lacks: asked.units,
            held,
            room: asked.room,
            demand,
            renews: asked.renews,
        };
        self.says.entry(asked.to).or_default().push(say);
    }

    /// Questions without an answer: said again once, then let go of.
    pub(crate) fn settle_asked(&mut self, no: usize, now: Duration) {
        let Some(busy) = self.busy.get_mut(&no) else { return };
        let mut again = Vec::new();
        for (nonce, asked) in &mut busy.asked {
            if !asked.again && now >= asked.at + AGAIN {
                asked.again = true;
                again.push((*nonce, *asked));
            }
            if now >= asked.at + PATIENCE && now < asked.at + PATIENCE * 2 {
                busy.denied.entry(asked.to).or_insert(now + SILENT);
            }
        }
        // A loan that comes late is still one, as long as it lasts.
        busy.asked.retain(|_, a| now < a.at + Times::USUAL.loan);
        busy.denied.retain(|_, until| now < *until);
        again.into_iter().for_each(|(nonce, asked)| self.say_ask(no, nonce, asked, now));
    }

    /// Rights came.
    pub(crate) fn granted(
        &mut self, from: u16, quota: u64, nonce: u64, units: u32, with: u64, now: Duration,
    ) {
        let Some(no) = self.by_digest.get(&quota).copied() else { return };
        let Some(busy) = self.busy.get_mut(&no) else { return };
        // What nobody asked for, or has had already, is a note that came twice, or another process's.
        let Some(asked) = busy.asked.get(&nonce).copied().filter(|a| a.to == from) else { return };
        busy.asked.remove(&nonce);
        busy.denied.remove(&from);
        busy.heard = Some(now);
        match &mut self.holdings[no].rights {
            Rights::Rate(e) if units == 0 => e.gifted(with, now),
            Rights::Rate(e) => {
                let said =
                    Loan { with: from, nonce, units: units.min(asked.units), until: now, tokens: with };
                e.borrow(said, asked.renews, asked.at, now);
            }
            Rights::Span(a) => a.receive(units.min(asked.units), with, now),
        }
        self.repay_surplus(no, now);
    }

    /// There is none.
    pub(crate) fn denied(&mut self, from: u16, quota: u64, nonce: u64, wait_ms: u32, now: Duration) {
        let Some(busy) = self.by_digest.get(&quota).and_then(|no| self.busy.get_mut(no)) else { return };
        if busy.asked.remove(&nonce).is_some_and(|a| a.to == from) {
            let wait = Duration::from_millis(wait_ms.min(5000).into());
            busy.denied.insert(from, now + wait);
            busy.heard = Some(now);
        }
    }

    /// What is borrowed and much more than wanted goes back at once: somebody else may want it.
    pub(crate) fn repay_surplus(&mut self, no: usize, now: Duration) {
        let (Some(busy), h) = (self.busy.get(&no), &self.holdings[no]) else { return };
        let (wants, Rights::Rate(e)) = (h.wants(busy, now), &h.rights) else { return };
        let wants = if self.ending { 0 } else { wants };
        let units = h.units(now);
        if units <= wants + wants / 2 + u32::from(wants > 0) {
            return;
        }
        let mut surplus = units - wants;
        let mut back = Vec::new();
        for loan in e.loans() {
            let part = loan.units.min(surplus);
            surplus -= part;
            back.extend((part > 0).then_some((*loan, part)));
        }
        for (loan, part) in back {
            self.repay(no, loan.with, loan.nonce, part, now);
        }
    }

    fn repay(&mut self, no: usize, to: u16, nonce: u64, units: u32, now: Duration) {
        let h = &mut self.holdings[no];
        let Rights::Rate(e) = &mut h.rights else { return };
        if let Some((left, tokens)) = e.repay(to, nonce, units, now) {
            let say = Say::Repay { quota: h.digest, nonce, left, tokens };
            self.says.entry(to).or_default().push(say);
        }
    }

    /// Others want of what is borrowed: what is over this relay's part, or over what it wants by now, goes back.
    pub(crate) fn recalled(&mut self, from: u16, quota: u64, nonce: u64, keep: u32, now: Duration) {
        let Some(no) = self.by_digest.get(&quota).copied() else { return };
        let (Some(busy), h) = (self.busy.get(&no), &self.holdings[no]) else { return };
        let (Rights::Rate(e), wants) = (&h.rights, h.wants(busy, now)) else { return };
        let loan = e.loans().iter().copied().find(|l| l.with == from && l.nonce == nonce);
        let Some(loan) = loan else { return };
        let surplus = h.units(now).saturating_sub(wants);
        let back = loan.units.saturating_sub(keep).max(surplus.min(loan.units));
        if back > 0 {
            self.repay(no, from, nonce, back, now);
        }
    }

    /// The relay ends: what it has of others goes back, and it asks for no more.
    pub fn end(&mut self, now: Duration) {
        self.ending = true;
        (0..self.holdings.len()).for_each(|no| {
            let Rights::Rate(e) = &self.holdings[no].rights else { return };
            let all: Vec<Loan> = e.loans().to_vec();
            all.into_iter().for_each(|l| self.repay(no, l.with, l.nonce, l.units, now));
        });
    }
}
