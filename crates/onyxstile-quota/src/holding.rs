//! One quota at one relay: its rights, whatever its measure, and how busy it is.

use crate::account::{Account, Used};
use crate::demand::Demand;
use crate::escrow::{Escrow, Times};
use crate::fair::Claimant;
use crate::terms::Quota;
use crate::unit::Measure;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is held beyond what is handed in: messages do not come evenly.
const HEADROOM: f64 = 1.25;
/// How long a relay that turned something away counts as short, and how much more than the rate says it then wants at most.
const SHORT: Duration = Duration::from_millis(100);
const MOST_AHEAD: f64 = 4.0;
/// For how long ahead rights of a span are wanted.
const AHEAD: f64 = 3.0;
/// How long a claim counts after it was last heard.
const CLAIM: Duration = Duration::from_millis(1500);
/// How long a message that was too large for what was there is remembered.
const LARGE: Duration = Duration::from_secs(1);

/// Rights of either measure.
#[derive(Debug, Clone)]
pub(crate) enum Rights {
    Rate(Escrow),
    Span(Account),
}

/// A question whose answer has not come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    pub(crate) to: u16,
    pub(crate) at: Duration,
    /// Tokens that may come alone.
    pub(crate) room: u32,
    /// It was said a second time.
    pub(crate) again: bool,
    pub(crate) units: u32,
    pub(crate) renews: Option<u64>,
}

/// What is kept of a quota only while somebody hands in.
#[derive(Debug, Clone, Default)]
pub(crate) struct Busy {
    pub(crate) demand: Demand,
    /// The largest number of messages at once for which there was not enough, and when.
    pub(crate) large: (u32, Duration),
    /// When something was last turned away.
    pub(crate) short: Duration,
    pub(crate) asked: BTreeMap<u64, Asked>,
    /// Until when it is of no use to ask a relay.
    pub(crate) denied: BTreeMap<u16, Duration>,
    /// Rights of spans that were given to questions lately: the same question may come twice.
    pub(crate) given: BTreeMap<(u64, u16), (u32, u64)>,
    /// What others want of this relay's own, and when they said so.
    pub(crate) claims: BTreeMap<u16, (Claimant, Duration)>,
    /// When another relay was last heard on it.
    pub(crate) heard: Option<Duration>,
    /// When it was last looked at for anybody.
    pub(crate) used: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) quota: Quota,
    pub(crate) digest: u64,
    pub(crate) rights: Rights,
    /// Messages taken and turned away.
    pub(crate) counts: (u64, u64),
}

/// A new holding's rights. `before`: what was used of a span, if the folder can be believed.
pub(crate) fn rights(
    measure: Measure, own: u32, edge: Duration, rest: Duration, before: Option<Used>, now: Duration,
) -> Rights {
    match measure {
        Measure::Rate { .. } => Rights::Rate(Escrow::new(measure, Times::USUAL, own, rest, now)),
        Measure::Span { span, .. } => Rights::Span(Account::new(span, edge, own, before, now)),
    }
}

impl Holding {
    /// Units that can be spent here, now or as tokens come.
    pub(crate) fn units(&self, now: Duration) -> u32 {
        match &self.rights {
            Rights::Rate(e) => e.units(now),
            Rights::Span(a) => a.left(),
        }
    }

    pub(crate) fn own(&self) -> u32 {
        match &self.rights {
            Rights::Rate(e) => e.own(),
            Rights::Span(a) => a.own(),
        }
    }

    pub(crate) fn pass(&mut self, now: Duration) {
        match &mut self.rights {
            Rights::Rate(e) => e.pass(now),
            Rights::Span(a) => a.pass(now),
        }
    }

    pub(crate) fn has(&mut self, messages: u32, now: Duration) -> bool {
        match &mut self.rights {
            Rights::Rate(e) => e.has(messages, now),
            Rights::Span(a) => {
                a.pass(now);
                a.at_edge(now).is_none() && a.left() >= messages
            }
        }
    }

    /// Spends for so many messages; what has to be written before that counts.
    pub(crate) fn take(&mut self, messages: u32, now: Duration) -> Option<Used> {
        match &mut self.rights {
            Rights::Rate(e) => {
                e.take(messages, now);
                None
            }
            Rights::Span(a) => a.spend(messages, now).1,
        }
    }

    pub(crate) fn give_back(&mut self, messages: u32, span: u64, now: Duration) {
        match &mut self.rights {
            Rights::Rate(e) => e.give_back(messages, now),
            Rights::Span(a) => (0..messages).for_each(|_| a.give_back(span, now)),
        }
    }

    /// The span's number; 0 of a rate.
    pub(crate) fn span(&self) -> u64 {
        match &self.rights {
            Rights::Rate(_) => 0,
            Rights::Span(a) => a.number(),
        }
    }

    /// How many units would serve what is handed in here.
    pub(crate) fn wants(&self, busy: &Busy, now: Duration) -> u32 {
        let rate = busy.demand.rate(now);
        let measure = self.quota.measure;
        let large = Some(busy.large).filter(|(_, at)| now < *at + LARGE).map_or(0, |(n, _)| n);
        let steady = match measure {
            Measure::Rate { .. } => measure.units_for(rate * HEADROOM),
            Measure::Span { .. } => measure.units_for(rate * AHEAD),
        };
        // Turned away just now, it has less than it could use, whatever the rate says so far.
        let short = now < busy.short + SHORT;
        let more = if short { self.units(now).saturating_mul(2) + 1 } else { 0 };
        let most = measure.units_for(rate * MOST_AHEAD).max(steady);
        steady.max(more.min(most)).max(large).min(measure.units())
    }
}

impl Busy {
    /// The claims that still count.
    pub(crate) fn claimants(&self, now: Duration) -> impl Iterator<Item = Claimant> + '_ {
        self.claims.values().filter(move |(_, at)| now < *at + CLAIM).map(|(c, _)| *c)
    }
}
