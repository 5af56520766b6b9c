//! Loans and gifts, on both sides.

use super::*;

impl Escrow {
    /// The same question, come again: what was granted to it stands.
    pub fn granted(&self, to: u16, nonce: u64) -> Option<Loan> {
        self.out.iter().copied().find(|l| l.with == to && l.nonce == nonce)
    }

    /// Lends `units` to a relay, or fewer if there are fewer at home. `renews`: an earlier loan of the same relay goes over into
    /// this one, as far as that has as many; what this one has less comes home when that one is over.
    pub fn lend(
        &mut self, to: u16, nonce: u64, units: u32, renews: Option<u64>, now: Duration,
    ) -> Option<Loan> {
        self.pass(now);
        let old = self.out.iter().position(|l| l.with == to && Some(l.nonce) == renews);
        let kept = old.map_or(0, |i| self.out[i].units);
        let fresh = units.saturating_sub(kept).min(self.home(now));
        let again = units.min(kept);
        if fresh + again == 0 {
            return None;
        }
        let before = self.units(now);
        let tokens =
            (u128::from(self.tokens) * u128::from(fresh)).checked_div(before.into()).unwrap_or(0) as u64;
        self.tokens -= tokens;
        if let Some(i) = old {
            self.out[i].units -= again;
            self.out.retain(|l| l.units > 0);
        }
        let loan = Loan { with: to, nonce, units: fresh + again, until: now + self.times.gone(), tokens };
        self.out.push(loan);
        self.clip(now);
        Some(loan)
    }

    /// A loan came, for a question asked at `asked`; how long it lasts is counted from there. `renews`: an earlier one from the same relay is over with it.
    pub fn borrow(&mut self, said: Loan, renews: Option<u64>, asked: Duration, now: Duration) {
        self.pass(now);
        let until = asked + self.times.loan - self.times.margin;
        if until <= now || said.units == 0 {
            return;
        }
        self.into.retain(|l| !(l.with == said.with && Some(l.nonce) == renews));
        self.into.push(Loan { until, ..said });
        self.tokens = self.tokens.saturating_add(said.tokens.min(u64::from(said.units) * TOKEN));
        self.clip(now);
    }

    /// Gives whole tokens away, and nothing else: units stay where they are, and so does how much all may hold. As many as asked
    /// for, and no more than `most`.
    pub fn gift(&mut self, tokens: u32, most: u64, now: Duration) -> u64 {
        self.pass(now);
        let whole = (self.tokens.min(most) / TOKEN).min(tokens.into()) * TOKEN;
        self.tokens -= whole;
        whole
    }

    /// Whole tokens that would find room.
    pub fn room(&self, now: Duration) -> u32 {
        (self.cap(now).saturating_sub(self.tokens) / TOKEN) as u32
    }

    /// Whether the next half of a token would be gained for nothing.
    pub fn is_full(&self, now: Duration) -> bool {
        self.tokens + TOKEN / 2 >= self.cap(now)
    }

    /// What there is to spend, in parts of a token.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens came alone. What does not fit is gone.
    pub fn gifted(&mut self, tokens: u64, now: Duration) {
        self.pass(now);
        self.tokens = self.tokens.saturating_add(tokens);
        self.clip(now);
    }

    /// Gives units of a loan back before its time: what is left of the loan, and the tokens that go along. None if there is no
    /// such loan.
    pub fn repay(&mut self, from: u16, nonce: u64, units: u32, now: Duration) -> Option<(u32, u64)> {
        self.pass(now);
        let before = self.units(now);
        let loan = self.into.iter_mut().find(|l| l.with == from && l.nonce == nonce)?;
        let back = units.min(loan.units);
        loan.units -= back;
        let left = loan.units;
        self.into.retain(|l| l.units > 0);
        let tokens =
            (u128::from(self.tokens) * u128::from(back)).checked_div(before.into()).unwrap_or(0) as u64;
        self.tokens -= tokens;
        self.clip(now);
        Some((left, tokens))
    }

    /// Units came back: so many are left of the loan, and these tokens came along. What says nothing new changes nothing, as a
    /// note that comes twice.
    pub fn repaid(&mut self, by: u16, nonce: u64, left: u32, tokens: u64, now: Duration) -> bool {
        self.pass(now);
        let Some(loan) = self.out.iter_mut().find(|l| l.with == by && l.nonce == nonce && l.units > left)
        else {
            return false;
        };
        let back = loan.units - left;
        loan.units = left;
        self.out.retain(|l| l.units > 0);
        self.tokens = self.tokens.saturating_add(tokens.min(u64::from(back) * TOKEN));
        self.clip(now);
        true
    }

    /// It holds so many units of its own from now on, of a quota of this measure. Fewer count at once. Where the measure changes,
    /// units that others have were of another worth: nothing of its own counts before they are over, and what is borrowed ends.
    pub fn reset(&mut self, measure: Measure, own: u32, now: Duration) {
        self.pass(now);
        if measure != self.measure {
            self.into.clear();
            let over = self.out.iter().map(|l| l.until).max().unwrap_or_default();
            self.rest = self.rest.max(over);
            self.out.clear();
            self.measure = measure;
        }
        self.own = own;
        self.clip(now);
    }
}
