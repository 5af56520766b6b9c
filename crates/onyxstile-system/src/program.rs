//! Agent programs: their turns and budgets, where these are kept, and what one storage machine holds of them.

mod index;
mod placement;
mod quorum;
mod repair;
mod turn_cache;

pub use index::{Merge, RecordIndex, RecordNumber};
pub use placement::{Group, groups, nearest};
pub use quorum::Quorum;
pub use repair::{Assessment, Copied, Progress, Source};
pub use turn_cache::TurnCache;

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

/// One turn that was answered whole. It never changes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Turn {
    /// The request id of the turn.
    pub id: String,
    /// The ids of the turns that it goes on from, the first one first.
    pub ancestors: Vec<String>,
    /// What the client sent.
    pub input: Vec<u8>,
    /// The data of each event, with a line feed behind each.
    pub output: Vec<u8>,
    /// How long it is kept, in ms.
    pub retention_ms: u64,
    /// When it ended, in ms of the time of day of the relay that served it.
    pub ended_ms: u64,
}

impl Turn {
    /// What it takes in memory, about: its contents and the ids that it names.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len() + self.id.len() * (self.ancestors.len() + 2)
    }
}

/// One turn's claim on the budget of its program.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// The request id of the try.
    pub request: String,
    /// The most tokens that it may generate.
    pub most: u64,
    /// The tokens that it did generate, once that is known.
    pub settled: Option<u64>,
}

impl Entry {
    /// Rises when the claim changes: it is settled once.
    pub fn version(&self) -> u8 {
        u8::from(self.settled.is_some())
    }

    /// What the budget has to bear for it.
    pub fn charge(&self) -> u64 {
        self.settled.unwrap_or(self.most)
    }
}

/// What a storage machine keeps.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Record {
    /// A turn.
    Turn(Rc<Turn>),
    /// A claim on a program's budget.
    Entry {
        /// The program.
        program: String,
        /// The claim.
        entry: Entry,
    },
}

/// Names a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum Key {
    /// A turn's request id.
    Turn(String),
    /// A program and the request id of a claim.
    Entry(String, String),
}

impl Key {
    /// What the record is placed by.
    pub fn placed_by(&self) -> &str {
        match self {
            Key::Turn(id) => id,
            Key::Entry(program, _) => program,
        }
    }
}

impl Record {
    /// Its key.
    pub fn key(&self) -> Key {
        match self {
            Record::Turn(turn) => Key::Turn(turn.id.clone()),
            Record::Entry { program, entry } => Key::Entry(program.clone(), entry.request.clone()),
        }
    }

    /// Rises when the record changes.
    pub fn version(&self) -> u8 {
        match self {
            Record::Turn(_) => 0,
            Record::Entry { entry, .. } => entry.version(),
        }
    }
}

/// Adds claims to those known, each request once; what is settled counts before what isn't.
pub fn merge_claims(claims: &mut Vec<Entry>, entries: Vec<Entry>) {
    for entry in entries {
        match claims.iter_mut().find(|held| held.request == entry.request) {
            Some(held) if held.settled.is_none() => *held = entry,
            Some(_) => {}
            None => claims.push(entry),
        }
    }
}

/// Whether a turn of at most `most` tokens fits a budget beside all other claims.
///
/// Of two turns that are reserved side by side at least one sees the other, for their quorums meet; both fit only if
/// the budget holds both at their most.
pub fn fits(budget: u64, own: &str, most: u64, claims: &[Entry]) -> bool {
    let others = claims.iter().filter(|entry| entry.request != own).map(Entry::charge);
    // A sum that is no number is over every budget.
    others.fold(most, u64::saturating_add) <= budget
}
