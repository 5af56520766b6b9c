//! Lists as they come over a watch: in pieces, and now and then older than one that came before.

use super::LINE_MAX;
use crate::net::http::HttpError;
use crate::net::listed::RawList;
use std::time::{Duration, Instant};

/// How long a version older than what is known is taken for one that is late. Where discovery goes on with it for
/// longer, its versions have begun anew.
const LATE: Duration = Duration::from_secs(30);

/// What has come of a watch and is no whole list yet. Guards lists that come over many lines, indented as they may
/// be: read line by line, none of them ever came whole, and the relay asked again and again for a list it had.
#[derive(Default)]
pub(super) struct Lists(pub(super) Vec<u8>);

impl Lists {
    /// The lists that are whole with these bytes. Each ends with a brace, and nothing is read anew before one comes.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Result<Vec<RawList>, HttpError> {
        self.0.extend_from_slice(bytes);
        if self.0.len() > LINE_MAX {
            return Err(HttpError::BodyTooLarge);
        }
        if self.0.trim_ascii_end().last().is_some_and(|b| *b != b'}') {
            return Ok(Vec::new());
        }
        let mut whole = Vec::new();
        let mut found = serde_json::Deserializer::from_slice(&self.0).into_iter::<RawList>();
        let mut read = 0;
        loop {
            match found.next() {
                Some(Ok(list)) => whole.push(list),
                Some(Err(e)) if e.is_eof() => break,
                Some(Err(_)) => return Err(HttpError::Malformed("a list")),
                None => break,
            }
            read = found.byte_offset();
        }
        self.0.drain(..read);
        Ok(whole)
    }
}

/// What is to be done with a list.
#[derive(Debug, PartialEq)]
pub(super) enum Judged {
    /// Taken in.
    News,
    /// Older than what is known: let go.
    Late,
    /// Discovery's versions have begun anew: the whole list is asked for.
    BegunAnew,
}

/// Tells old lists from new ones. Guards drains: an agent that is behind, as one may be that was moved to, would put
/// endpoints back that are known to drain.
#[derive(Debug, Default)]
pub(super) struct Versions {
    /// Since when nothing but older versions has come.
    behind: Option<Instant>,
}

impl Versions {
    /// What to do with version `rev`, where `known` is the newest that was taken in.
    pub(super) fn judge(&mut self, rev: u64, known: u64, now: Instant) -> Judged {
        if rev >= known {
            self.behind = None;
            return Judged::News;
        }
        let since = *self.behind.get_or_insert(now);
        if now.saturating_duration_since(since) < LATE {
            return Judged::Late;
        }
        self.behind = None;
        Judged::BegunAnew
    }
}
