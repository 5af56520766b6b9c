//! Agent programs: their turns and budgets, their placement on storage machines, and the records of one storage
//! machine.

mod claims;
mod index;
mod lease;
mod placement;
mod quorum;
mod repair;
mod turn_cache;

pub use claims::{
    BudgetDecision, ClaimEntry, ClaimSummary, Settled, admit, fits_budget, is_first, merge_claims,
};
pub use index::{MergeResult, RecordIndex, RecordNumber};
pub use lease::{TurnLease, first_lease_end_ms, renewals};
pub use placement::{Group, groups, nearest};
pub use quorum::{Quorum, WriteQuorum};
pub use repair::{Assessment, CopiedChanges, Progress, Source};
pub use turn_cache::TurnCache;

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

/// One completely answered turn. Immutable.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Turn {
    /// Request id of the turn.
    pub id: String,
    /// Ids of the preceding turns, oldest first.
    pub ancestors: Vec<String>,
    /// Request body.
    pub input: Vec<u8>,
    /// Data of each event, each followed by a line feed.
    pub output: Vec<u8>,
    /// Retention time, in ms.
    pub retention_ms: u64,
    /// End of the turn, in ms of wall-clock time at the relay that served it.
    pub ended_ms: u64,
}

impl Turn {
    /// Approximate memory use, in bytes: contents and ids.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len() + self.id.len() * (self.ancestors.len() + 2)
    }
}

/// A record kept by a storage machine.
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
    /// A lease that prolongs the retention of a turn.
    TurnLease(TurnLease),
}

/// Key of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum Key {
    /// Request id of a turn.
    Turn(String),
    /// Program and request id of a claim.
    ClaimEntry(String, String),
    /// Lease on a turn.
    TurnLease {
        /// Request id of the turn.
        turn: String,
        /// End of the lease, in ms of wall-clock time.
        until_ms: u64,
    },
}

impl Key {
    /// The string that determines the record's placement.
    pub fn placed_by(&self) -> &str {
        match self {
            Key::Turn(id) => id,
            Key::ClaimEntry(program, _) => program,
            Key::TurnLease { turn, .. } => turn,
        }
    }

    /// Whether the record with this key can take the place of the one with the key `other`: it is the same record, or a
    /// lease on the same turn that ends no earlier.
    pub fn replaces(&self, other: &Key) -> bool {
        match (self, other) {
            (
                Key::TurnLease { turn, until_ms },
                Key::TurnLease { turn: other_turn, until_ms: other_until_ms },
            ) => turn == other_turn && until_ms >= other_until_ms,
            _ => self == other,
        }
    }
}

impl Record {
    /// Key of the record.
    pub fn key(&self) -> Key {
        match self {
            Record::Turn(turn) => Key::Turn(turn.id.clone()),
            Record::ClaimEntry { program, entry } => Key::ClaimEntry(program.clone(), entry.request.clone()),
            Record::TurnLease(lease) => Key::TurnLease { turn: lease.turn.clone(), until_ms: lease.until_ms },
        }
    }

    /// Version, which increases when the record changes.
    pub fn version(&self) -> u8 {
        match self {
            Record::Turn(_) | Record::TurnLease(_) => 0,
            Record::ClaimEntry { entry, .. } => entry.version(),
        }
    }
}
