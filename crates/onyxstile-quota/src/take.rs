//! Verdicts: messages are taken, or are beyond a quota, and why.

use crate::holding::Rights;
use crate::quotas::{Effect, Quotas, SOON, Spent, WAIT_MAX};
use crate::refusal::{Refusal, Why};
use crate::terms::Beyond;
use crate::unit::Measure;
use std::time::Duration;

impl Quotas {
    /// Takes so many messages of a customer and class, all of them or none. A customer without a quota is free.
    ///
    /// # Errors
    /// They are beyond a quota.
    pub fn take(
        &mut self, customer: &str, class: &str, messages: u32, now: Duration,
    ) -> Result<Spent, Refusal> {
        let which: Vec<usize> = self.which(customer, class).collect();
        for no in &which {
            self.busy_of(*no, now).demand.came(messages, now);
        }
        let short = which.iter().copied().find(|no| !self.holdings[*no].has(messages, now));
        if let Some(no) = short {
            self.holdings[no].counts.1 += u64::from(messages);
            let busy = self.busy_of(no, now);
            busy.short = now;
            if busy.large.0 < messages || now >= busy.large.1 {
                busy.large = (messages, now);
            }
            self.ask_for(no, now);
            return Err(self.refusal(no, messages, now));
        }
        let mut spent = Spent(Vec::new(), messages);
        for no in which {
            let h = &mut self.holdings[no];
            let written = h.take(messages, now);
            h.counts.0 += u64::from(messages);
            spent.0.push((no, h.span()));
            self.effects.extend(written.map(|used| Effect::Write(h.digest, used)));
        }
        Ok(spent)
    }

    /// The messages were not taken on after all, or only so many of them were not.
    pub fn give_back(&mut self, spent: &Spent, messages: u32, now: Duration) {
        for (no, span) in &spent.0 {
            if let Some(h) = self.holdings.get_mut(*no) {
                h.give_back(messages.min(spent.1), *span, now);
                h.counts.0 = h.counts.0.saturating_sub(u64::from(messages));
            }
        }
    }

    fn refusal(&mut self, no: usize, messages: u32, now: Duration) -> Refusal {
        let (h, busy) = (&self.holdings[no], self.busy.get(&no));
        let (units, measure) = (h.units(now), h.quota.measure);
        // Others that could have some, as far as they have not denied it.
        let others = self.terms.members.iter().filter(|m| **m != self.terms.me);
        let open = |m: &&u16| busy.is_none_or(|b| b.denied.get(*m).is_none_or(|until| now >= *until));
        let may_come = others.clone().any(|m| open(&m));
        let (why, wait, lent, borrowed) = match &h.rights {
            _ if messages > measure.units() => (Why::Never, WAIT_MAX, 0, 0),
            Rights::Rate(e) => {
                let why = match (now < e.rest(), units) {
                    (true, 0) => Why::Resting,
                    (_, 0) => Why::NoRights,
                    _ => Why::Spent,
                };
                // What is to come here, or in the whole fleet at the quota's rate, whichever is known.
                let fleet = u64::from(messages) * 1_000_000_000_000 / rate_of(measure).max(1);
                let fleet = Duration::from_micros(fleet).min(WAIT_MAX);
                let here = e.until_tokens(messages, now).unwrap_or(fleet.max(SOON));
                (why, if may_come { here.min(SOON) } else { here }, e.lent(), e.borrowed())
            }
            Rights::Span(a) => match a.at_edge(now) {
                Some(left) => (Why::Edge, left, 0, 0),
                None if may_come => (if units == 0 { Why::NoRights } else { Why::Spent }, SOON, 0, 0),
                None => (Why::Spent, a.next(now), 0, 0),
            },
        };
        Refusal {
            customer: h.quota.customer.clone(),
            class: h.quota.class.clone(),
            why,
            wait: wait.clamp(Duration::from_millis(1), WAIT_MAX),
            spare: h.quota.beyond == Beyond::Spare,
            own: h.own(),
            lent,
            borrowed,
            taken: h.counts.0,
            demand: busy.map_or(0.0, |b| b.demand.rate(now)),
            heard: busy.and_then(|b| b.heard).map(|at| now.saturating_sub(at)),
        }
    }
}

/// The rate of a quota, in millionths of a message a second.
fn rate_of(measure: Measure) -> u64 {
    match measure {
        Measure::Rate { micros, .. } => micros,
        Measure::Span { .. } => 0,
    }
}
