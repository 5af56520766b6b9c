//! The rights that one relay holds in one quota that counts by spans: whole messages, spent or given away once a span.
//!
//! A right given to another relay for a span is gone for that span; the next one begins with each relay's own rights again. So
//! nothing comes back, no loan ends, and a note that is late by a span, or comes twice, changes nothing. Relays' clocks may
//! differ by `edge`: nothing is spent or given so near to a span's end or beginning, where another's clock, or a client's, may
//! say that it is another span.
//!
//! What is spent and given has to outlast the process. It is written ahead, a part of the own rights at a time: a start takes for
//! gone what was set aside, and all of the span's own rights where the folder may be an older one.

use crate::unit::Span;
use std::time::Duration;

/// How much of the own rights is set aside by one record, and how much at most.
const PARTS: u32 = 16;
const PART_MOST: u32 = 1000;

/// What is written down: in which span, and how many of its own rights were spent, given or set aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Used {
    /// The span's number.
    pub number: u64,
    /// How many.
    pub rights: u32,
}

/// One relay's rights in one quota of spans.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Account {
    span: Span,
    edge: Duration,
    own: u32,
    number: u64,
    /// Own rights that were spent or given away in this span, and how many of them are written down as gone.
    used: u32,
    written: u32,
    /// Rights that others gave, and are not spent.
    given: u32,
}

impl Account {
    /// Rights of a process that begins. `before`: what the folder says was used, if it can be believed; without, nothing of this
    /// span is left.
    pub fn new(span: Span, edge: Duration, own: u32, before: Option<Used>, now: Duration) -> Account {
        let (number, ..) = span.at(now);
        let used = match before {
            None => own,
            Some(used) if used.number == number => used.rights.min(own),
            // A span that the folder's clock has not come to yet: somebody's clock was set.
            Some(used) if used.number > number => own,
            Some(_) => 0,
        };
        let written = if before.is_some_and(|b| b.number == number) { used } else { 0 };
        Account { span, edge, own, number, used, written, given: 0 }
    }

    /// Its own rights in a span.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// What can be spent or given now.
    pub fn left(&self) -> u32 {
        self.own.saturating_sub(self.used) + self.given
    }

    /// Whether it is too near to a span's edge: how long that goes on.
    pub fn at_edge(&self, now: Duration) -> Option<Duration> {
        let (number, on, left) = self.span.at(now);
        if left <= self.edge {
            Some(left + self.edge)
        } else if on < self.edge {
            Some(self.edge - on)
        } else if number < self.number {
            // The clock went back over an edge: the later span goes on.
            Some(left + self.edge)
        } else {
            None
        }
    }

    /// How long until the next span's rights can be spent.
    pub fn next(&self, now: Duration) -> Duration {
        self.span.at(now).2 + self.edge
    }

    /// Brings it up to `now`.
    pub fn pass(&mut self, now: Duration) {
        let (number, ..) = self.span.at(now);
        if number > self.number {
            (self.number, self.used, self.written, self.given) = (number, 0, 0, 0);
        }
    }

    /// The number of its span.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Spends rights, or gives them away; how many there were. What has to be written before this counts, if anything.
    pub fn spend(&mut self, rights: u32, now: Duration) -> (u32, Option<Used>) {
        self.pass(now);
        if self.at_edge(now).is_some() {
            return (0, None);
        }
        let rights = rights.min(self.left());
        // What others gave goes first: it is lost with the process.
        let foreign = rights.min(self.given);
        self.given -= foreign;
        self.used += rights - foreign;
        let part = (self.own / PARTS).clamp(1, PART_MOST);
        (rights, self.unwritten(part - 1))
    }

    /// What has to be written down, if anything, with so many set aside beside.
    fn unwritten(&mut self, aside: u32) -> Option<Used> {
        (self.used > self.written).then(|| {
            self.written = self.used.saturating_add(aside).min(self.own.max(self.used));
            Used { number: self.number, rights: self.written }
        })
    }

    /// What a start, or other terms, have taken for gone: the next process must not know less.
    pub fn taken_for_gone(&mut self) -> Option<Used> {
        self.unwritten(0)
    }

    /// A right that was spent for nothing is there again.
    pub fn give_back(&mut self, number: u64, now: Duration) {
        self.pass(now);
        if number == self.number {
            match self.used {
                0 => self.given += 1,
                used => self.used = used - 1,
            }
        }
    }

    /// Rights came, of the span with this number.
    pub fn receive(&mut self, rights: u32, number: u64, now: Duration) {
        self.pass(now);
        if number == self.number && self.at_edge(now).is_none() {
            self.given = self.given.saturating_add(rights);
        }
    }

    /// It holds so many rights of its own from now on; of spans of another length from the next one on.
    pub fn reset(&mut self, span: Span, own: u32, now: Duration) {
        self.pass(now);
        if span != self.span {
            let (number, ..) = span.at(now);
            (self.span, self.number, self.used, self.written, self.given) = (span, number, own, 0, 0);
        }
        self.own = own;
    }

    /// It holds so many rights of its own from now on, and may spend all of them in the next span. In this one nobody can tell
    /// what others have spent of what is new.
    pub fn grow(&mut self, own: u32, now: Duration) {
        self.pass(now);
        self.used = self.used.saturating_add(own.saturating_sub(self.own));
        self.own = own;
    }
}
