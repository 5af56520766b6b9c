//! What is in a datagram. One byte of version, then `postcard`'s form.

use crate::facts::Fact;
use crate::life::{Life, NodeNo};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram, at most: the platform's.
pub const DATAGRAM_MAX: usize = 256;
/// Another version's notes are dropped.
const VERSION: u8 = 2;
/// Digests in one question, at most: what fits beside the rest.
pub const DIGESTS_MAX: usize = 20;
/// Facts in one answer, at most.
pub const FACTS_MAX: usize = 12;

/// What a relay says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct About {
    /// Its life.
    pub life: Life,
    /// Seconds since its start.
    pub up_s: u32,
    /// Seconds since it lost what it knew of the world; `up_s` unless a power loss or a lost folder was before.
    pub sound_s: u32,
    /// The version of the list that it has.
    pub list_rev: u64,
    /// Its clock, Unix time in milliseconds.
    pub clock_ms: u64,
}

/// What became of a flow, by the digest of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fate {
    /// It was handed back before anything ran: it may be taken on again.
    Returned,
    /// It is held; its end is owed.
    Taken,
    /// It is over, and may have run.
    Ended,
    /// It was delivered.
    Delivered,
}

/// What is asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Question {
    /// Who are you, and who did you take me for?
    Who,
    /// What have you seen, from this fact on?
    Facts(u16),
    /// What became of the flows with these digests?
    Ids(Vec<u64>),
}

/// What is answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// This is me, and that is the latest life of yours, but for the process that asks, that I have heard of.
    Who(About, Option<Life>),
    /// These, and whether there are more.
    Facts(Vec<Fact>, bool),
    /// For each digest asked about: its fate, if I know it. And how far back I know them all, in seconds.
    Ids(Vec<Option<Fate>>, u32),
}

/// A datagram's contents.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Note {
    /// Membership's.
    Swim(Vec<u8>),
    /// A question, with the number that its answer has to bear.
    Ask(u32, Question),
    /// An answer.
    Tell(u32, Answer),
}

/// A note and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    /// The digest of its fleet's name. Guards folders: another fleet's relay of the same number would pass for a later life of
    /// this one's, which gives its folder up on hearing of one.
    pub fleet: u32,
    /// Its sender.
    pub from: NodeNo,
    /// Which life of it.
    pub life: Life,
    /// What it says.
    pub note: Note,
}

impl Letter {
    /// The datagram; none if it would be too long.
    pub fn write(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![VERSION]).ok()?;
        (bytes.len() <= DATAGRAM_MAX).then_some(bytes)
    }

    /// Reads a datagram; none if it cannot be understood, all of it.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION || bytes.len() > DATAGRAM_MAX {
            return None;
        }
        let (letter, rest) = postcard::take_from_bytes::<Letter>(rest).ok()?;
        let short = match &letter.note {
            Note::Ask(_, Question::Ids(ids)) => ids.len() <= DIGESTS_MAX,
            Note::Tell(_, Answer::Facts(facts, _)) => facts.len() <= FACTS_MAX,
            Note::Tell(_, Answer::Ids(fates, _)) => fates.len() <= DIGESTS_MAX,
            _ => true,
        };
        (rest.is_empty() && short).then_some(letter)
    }
}

#[cfg(test)]
mod tests;
