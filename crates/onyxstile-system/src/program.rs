//! Agent programs: their turns and budgets, where these are kept, and what one storage machine holds of them.

mod claims;
mod index;
mod placement;
mod quorum;
mod repair;
mod turn_cache;

pub use claims::{
    BudgetDecision, ClaimEntry, ClaimSummary, Settled, admit, fits_budget, is_first, merge_claims,
};
pub use index::{MergeResult, RecordIndex, RecordNumber};
pub use placement::{Group, groups, nearest};
pub use quorum::Quorum;
pub use repair::{Assessment, CopiedChanges, Progress, Source};
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

/// What a storage machine keeps.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Record {
    /// A turn.
    Turn(Rc<Turn>),
    /// A claim on a program's budget.
    ClaimEntry {
        /// The program.
        program: String,
        /// The claim.
        entry: ClaimEntry,
    },
}

/// Names a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum Key {
    /// A turn's request id.
    Turn(String),
    /// A program and the request id of a claim.
    ClaimEntry(String, String),
}

impl Key {
    /// What the record is placed by.
    pub fn placed_by(&self) -> &str {
        match self {
            Key::Turn(id) => id,
            Key::ClaimEntry(program, _) => program,
        }
    }
}

impl Record {
    /// Its key.
    pub fn key(&self) -> Key {
        match self {
            Record::Turn(turn) => Key::Turn(turn.id.clone()),
            Record::ClaimEntry { program, entry } => Key::ClaimEntry(program.clone(), entry.request.clone()),
        }
    }

    /// Rises when the record changes.
    pub fn version(&self) -> u8 {
        match self {
            Record::Turn(_) => 0,
            Record::ClaimEntry { entry, .. } => entry.version(),
        }
    }
}
