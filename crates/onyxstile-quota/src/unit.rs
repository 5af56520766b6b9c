//! What a quota comes to: a number of units, each of which is a right to a part of it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parts of a token: one message costs a whole one.
pub const TOKEN: u64 = 1_000_000;

/// A span of time for which messages are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Span {
    /// From the full minute to the next.
    Minute,
    /// From midnight to midnight, UTC.
    Day,
}

impl Span {
    /// How long it is.
    pub fn length(self) -> Duration {
        match self {
            Span::Minute => Duration::from_secs(60),
            Span::Day => Duration::from_secs(86_400),
        }
    }

    /// The number of the span that a moment (Unix time) is in, how long it has been on, and how long it goes on.
    pub fn at(self, now: Duration) -> (u64, Duration, Duration) {
        let number = (now.as_micros() / self.length().as_micros()) as u64;
        let on = now - self.length() * number as u32;
        (number, on, self.length() - on)
    }
}

/// How much a customer may hand in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Measure {
    /// So many at once, and a steady number a second: in any time `t` at most `burst + t * rate`. The rate is in
    /// millionths of a message a second.
    Rate {
        /// Messages at once.
        burst: u32,
        /// Messages a second, in millionths.
        micros: u64,
    },
    /// So many in each span.
    Span {
        /// Messages.
        count: u32,
        /// Of this length.
        span: Span,
    },
}

impl Measure {
    /// A rate with a burst; none where either is no number that a quota can be. A burst is one message at least, unless
    /// nothing is allowed at all.
    pub fn rate(per_s: f64, burst: u32) -> Option<Measure> {
        let micros = (per_s * TOKEN as f64).floor();
        let fits = per_s.is_finite() && (0.0..=1e12).contains(&micros);
        fits.then(|| match micros as u64 {
            0 => Measure::Rate { burst: 0, micros: 0 },
            micros => Measure::Rate { burst: burst.max(1), micros },
        })
    }

    /// How many units there are, over all relays.
    pub fn units(self) -> u32 {
        match self {
            Measure::Rate { burst, .. } => burst,
            Measure::Span { count, .. } => count,
        }
    }

    /// What a unit of a rate gives a second, in parts of a token; rounded down, or all together would be more than the whole.
    pub fn refill(self) -> u64 {
        match self {
            Measure::Rate { burst, micros } => micros.checked_div(burst.into()).unwrap_or(0),
            Measure::Span { .. } => 0,
        }
    }

    /// How many units it takes for so many messages a second.
    pub fn units_for(self, per_s: f64) -> u32 {
        match self {
            Measure::Rate { burst, .. } if self.refill() > 0 => {
                let steady = per_s * TOKEN as f64 / self.refill() as f64;
                (steady.max(per_s).ceil() as u32).min(burst)
            }
            Measure::Rate { .. } => 0,
            Measure::Span { count, .. } => (per_s.ceil() as u32).min(count),
        }
    }
}
