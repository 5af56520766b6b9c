//! What answers say.

use crate::api::LimitReport;
use crate::core::{End, Outcome};
use crate::net::http::Head;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest told wait that is believed: no flow lives so long.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Calls a second and share left that a report may state; anything else is noise.
const RATE_MAX: f64 = 1e6;
const LEFT_MAX: f64 = 2.0;

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    pub(super) outcome: Outcome,
    pub(super) finished: Option<End>,
    pub(super) limit: Option<LimitReport>,
}

/// An answer as it was read: its status, its head if that could be read, and its body.
pub(super) type Said = (u16, Option<Head>, Vec<u8>);

impl Answer {
    pub(super) fn of(outcome: Outcome) -> Self {
        Answer { outcome, finished: None, limit: None }
    }

    /// What one answer says of each of several messages. A message that it leaves out, or of which it says two things,
    /// may have run.
    pub(super) fn read_bulk(ids: &[&str], status: u16, head: Option<&Head>, body: &[u8]) -> Vec<Self> {
        let whole = Answer::read(status, head);
        match status {
            200 => {}
            // It could not be read, or has too many: none has run.
            400 | 413 => {
                tracing::warn!("a call for {} messages is answered {status}", ids.len());
                return vec![Answer::of(Outcome::Void); ids.len()];
            }
            429 | 503 => return vec![whole; ids.len()],
            _ => return vec![Answer::of(Outcome::Failure); ids.len()],
        }
        let wait = head.and_then(|h| h.field("wait-ms")).and_then(told_wait);
        let mut said: BTreeMap<&str, Option<&str>> = BTreeMap::new();
        for line in std::str::from_utf8(body).unwrap_or_default().lines() {
            let mut words = line.split_ascii_whitespace();
            if let (Some(id), Some(word), None) = (words.next(), words.next(), words.next()) {
                let same = said.get(id).is_none_or(|before| *before == Some(word));
                said.insert(id, Some(word).filter(|_| same));
            }
        }
        let of = |id: &&str| {
            let (outcome, finished) = match said.get(id).copied().flatten() {
                Some("delivered") => (Outcome::Success, None),
                Some("failed") => (Outcome::Failure, None),
                Some("refused") => (Outcome::Overloaded { wait }, None),
                Some("over") => (Outcome::Void, Some(End::Over)),
                Some("spent") => (Outcome::Void, None),
                _ => (Outcome::Broken, None),
            };
            Answer { outcome, finished, limit: whole.limit }
        };
        ids.iter().map(of).collect()
    }

    pub(super) fn read(status: u16, head: Option<&Head>) -> Self {
        let field = |name: &str| head.and_then(|h| h.field(name));
        let outcome = match status {
            200 => Outcome::Success,
            429 => Outcome::Overloaded { wait: field("wait-ms").and_then(told_wait) },
            503 if field("slots-taken").is_some() => Outcome::Void,
            503 => Outcome::Overloaded { wait: None },
            504 | 410 => Outcome::Void,
            _ => Outcome::Failure,
        };
        let finished = (status == 410).then_some(End::Over);
        Answer { outcome, finished, limit: field("x-backend-load").and_then(limit) }
    }
}

/// What the answer to a probe says. Its report may stand in the head or be the body.
pub(super) fn probed(status: u16, head: Option<&Head>, body: &[u8]) -> (Outcome, Option<LimitReport>) {
    let outcome = match status {
        200 => Outcome::Success,
        429 | 503 => Outcome::Overloaded { wait: None },
        _ => Outcome::Failure,
    };
    let body = std::str::from_utf8(body).unwrap_or_default();
    (outcome, limit(head.and_then(|h| h.field("x-backend-load")).unwrap_or(body)))
}

/// How long to send nothing, as an answer words it.
pub(super) fn told_wait(text: &str) -> Option<Duration> {
    let wait = text.parse::<f64>().ok().and_then(crate::settings::duration_ms).filter(|w| !w.is_zero());
    wait.map(|w| w.min(WAIT_MAX))
}

/// Reads `x0=0.4,x1=25`.
pub(super) fn limit(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pair = text.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name)?;
        pair.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let (left, rate) = (value("x0")?, value("x1")?);
    let plain = (0.0..=LEFT_MAX).contains(&left) && (0.0..=RATE_MAX).contains(&rate);
    plain.then_some(LimitReport { left, rate })
}
