//! The rights that one relay holds in one quota, and what it has lent and borrowed of them. Nothing here depends on a note
//! arriving; integers only, so that every state can be searched.
//!
//! The invariant: over all relays, units that can be spent and those under way never come to more than the quota's. A unit is
//! spent by one relay at a time: its owner has put it aside before the note of a loan leaves, counts it as gone for the loan's
//! time and a margin from then on, and the borrower, who counts from the moment at which it *asked*, stops a margin before. So
//! no clock is compared with another: only how long a loan takes is measured twice, by clocks that may run apart by two
//! margins in a loan's time. Tokens go with units, and are never more than those are worth.

mod loans;

use crate::unit::{Measure, TOKEN};
use std::time::Duration;

/// How long loans last, the same at every relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Times {
    /// How long a loan of a rate's units lasts.
    pub loan: Duration,
    /// What a lender adds to that, and a borrower takes off.
    pub margin: Duration,
}

impl Times {
    /// Those of the program: clocks may run apart by a tenth.
    pub const USUAL: Times = Times { loan: Duration::from_secs(2), margin: Duration::from_millis(100) };

    /// How long units are gone for who lends them; so long a start has to wait for what it may have lent before.
    pub fn gone(self) -> Duration {
        self.loan + self.margin
    }
}

/// What is lent, or borrowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Loan {
    /// The other relay.
    pub with: u16,
    /// The number that the borrower gave its question.
    pub nonce: u64,
    /// How many units.
    pub units: u32,
    /// Until when they are gone, or there.
    pub until: Duration,
    /// What was given along, in parts of a token.
    pub tokens: u64,
}

/// One relay's rights in one quota of a rate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    measure: Measure,
    times: Times,
    /// Its own units, and until when they rest: for a loan's time after a start nobody knows what was lent of them.
    own: u32,
    rest: Duration,
    out: Vec<Loan>,
    into: Vec<Loan>,
    tokens: u64,
    /// What has been gained beside, in millionths of a part: looked at often, a slow quota would gain nothing.
    fraction: u64,
    at: Duration,
}

impl Escrow {
    /// Rights that begin to count at `rest`, with no token.
    pub fn new(measure: Measure, times: Times, own: u32, rest: Duration, now: Duration) -> Escrow {
        let (out, into) = (Vec::new(), Vec::new());
        Escrow { measure, times, own, rest, out, into, tokens: 0, fraction: 0, at: now }
    }

    /// What is lent out, as far as it is not over.
    pub fn lent(&self) -> u32 {
        self.out.iter().map(|l| l.units).sum()
    }

    /// What is borrowed, as far as it is not over.
    pub fn borrowed(&self) -> u32 {
        self.into.iter().map(|l| l.units).sum()
    }

    /// Its own units that it could spend or lend.
    pub fn home(&self, now: Duration) -> u32 {
        if now < self.rest { 0 } else { self.own.saturating_sub(self.lent()) }
    }

    /// The units that count here.
    pub fn units(&self, now: Duration) -> u32 {
        self.home(now) + self.borrowed()
    }

    /// Its own units, lent or not.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Until when its own units rest.
    pub fn rest(&self) -> Duration {
        self.rest
    }

    /// The loans that it has from others.
    pub fn loans(&self) -> &[Loan] {
        &self.into
    }

    /// The loans that others have from it.
    pub fn debtors(&self) -> &[Loan] {
        &self.out
    }

    fn cap(&self, now: Duration) -> u64 {
        u64::from(self.units(now)) * TOKEN
    }

    fn clip(&mut self, now: Duration) {
        self.tokens = self.tokens.min(self.cap(now));
    }

    /// Brings all up to `now`. What units there are changes at the moments at which loans end, so time passes in pieces.
    pub fn pass(&mut self, now: Duration) {
        while self.at < now {
            let ends = self.out.iter().chain(&self.into).map(|l| l.until).chain([self.rest]);
            let next = ends.filter(|t| *t > self.at).min().map_or(now, |t| t.min(now));
            let units = u64::from(self.units(self.at));
            let gain = u128::from(units) * u128::from(self.measure.refill()) * (next - self.at).as_micros();
            let gain = gain + u128::from(self.fraction);
            self.fraction = (gain % 1_000_000) as u64;
            let whole = u64::try_from(gain / 1_000_000).unwrap_or(u64::MAX);
            self.tokens = self.tokens.saturating_add(whole).min(units * TOKEN);
            self.at = next;
            self.out.retain(|l| l.until > next);
            self.into.retain(|l| l.until > next);
            self.clip(next);
        }
    }

    /// Whether there are so many tokens.
    pub fn has(&mut self, tokens: u32, now: Duration) -> bool {
        self.pass(now);
        self.tokens >= u64::from(tokens) * TOKEN
    }

    /// Spends so many tokens, or none.
    pub fn take(&mut self, tokens: u32, now: Duration) -> bool {
        let there = self.has(tokens, now);
        self.tokens -= if there { u64::from(tokens) * TOKEN } else { 0 };
        there
    }

    /// Tokens that were spent for nothing are there again.
    pub fn give_back(&mut self, tokens: u32, now: Duration) {
        self.pass(now);
        self.tokens = self.tokens.saturating_add(u64::from(tokens) * TOKEN);
        self.clip(now);
    }

    /// How long until there are so many tokens, if nothing changes; none if there never are.
    pub fn until_tokens(&self, tokens: u32, now: Duration) -> Option<Duration> {
        let rate = u64::from(self.units(now)) * self.measure.refill();
        let missing = (u64::from(tokens) * TOKEN).saturating_sub(self.tokens);
        let fits = rate > 0 && tokens <= self.units(now);
        fits.then(|| Duration::from_micros((u128::from(missing) * 1_000_000).div_ceil(rate.into()) as u64))
    }
}
