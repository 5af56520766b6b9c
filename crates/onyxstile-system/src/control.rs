//! Data of the control plane: views, the control state, and the messages by which controllers agree on both.

mod message;
mod write;

pub use message::{ChainUpdate, Message};
pub use write::{ACCEPTED_CHANGES_MAX, Change, Write};

use std::net::Ipv4Addr;
use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::Revision;
use crate::storage_plan::StoragePlan;

/// A machine with one particular disk. A machine that returns with another disk is another elector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct ElectorId {
    /// The machine's address.
    pub ip: [u8; 4],
    /// Id assigned to the disk when it was empty.
    pub disk: u64,
}

impl ElectorId {
    /// The machine's address.
    pub fn address(&self) -> Ipv4Addr {
        self.ip.into()
    }
}

/// The disk id of a seed at the first start of the system; the same on every machine that computes it.
pub fn bootstrap_disk(ip: Ipv4Addr) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&ip.octets(), 1) | 1
}

/// A configuration as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoredConfiguration {
    /// Its revision.
    pub revision: Revision,
    /// Its bytes, unchanged.
    pub body: Vec<u8>,
}

/// A change that was accepted, kept to recognise a repetition of the same change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AcceptedChange {
    /// The revision that it was based on.
    pub base: Revision,
    /// The digest of its body.
    pub digest: u128,
}

/// The replicated control state.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// Increases by one with each write.
    pub sequence: u64,
    /// Digest of all writes so far: states with the same digest were produced by the same writes.
    pub digest: u64,
    /// The newest configuration.
    pub configuration: Option<Rc<StoredConfiguration>>,
    /// The accepted changes, oldest first.
    pub accepted: Rc<Vec<AcceptedChange>>,
    /// The assignment of data to storage machines.
    pub storage: Rc<StoragePlan>,
}

impl ControlState {
    /// Approximate size in bytes.
    pub fn bytes(&self) -> u64 {
        let body = self.configuration.as_ref().map_or(0, |configuration| configuration.body.len());
        (body + self.accepted.len() * size_of::<AcceptedChange>()) as u64
    }

    /// The current revision; 0 before the first configuration.
    pub fn revision(&self) -> Revision {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }
}

/// An agreed view: its electors, its chain, and its initial state.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct View {
    /// Increases by one with each view.
    pub number: u64,
    /// The electors of the next view. Any majority of them intersects every chain.
    pub electors: Vec<ElectorId>,
    /// Subset of the electors, from head to tail.
    pub chain: Vec<ElectorId>,
    /// The initial state of the view; all of it counts as committed.
    pub state: ControlState,
}

impl View {
    /// Number of electors that form a majority.
    pub fn majority(&self) -> usize {
        self.electors.len() / 2 + 1
    }
}

/// Orders the proposals for one view number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, BorshSerialize, BorshDeserialize)]
pub struct Ballot {
    /// Attempt counter.
    pub round: u64,
    /// Distinguishes proposers of one round.
    pub proposer: [u8; 4],
}

/// The contents of a controller's disk.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Durable {
    /// The id of the disk.
    pub disk: u64,
    /// The newest view known to be decided; `None` on a machine that has never belonged to a view.
    pub view: Option<Rc<View>>,
    /// The newest state written in that view.
    pub state: ControlState,
    /// The highest ballot promised for the next view.
    pub promised: Ballot,
    /// The value accepted for the next view.
    pub accepted: Option<(Ballot, Rc<View>)>,
}

/// Identifies one process among those that run on a machine one after the other: sampled at random from all 64-bit
/// numbers at each start. Counters that restart with the process are sent together with it, because messages may arrive
/// after the process has ended.
pub type Incarnation = u64;

/// Identifies an operation: the controller that received it, the incarnation of that controller, and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Token {
    /// The controller that waits for the outcome.
    pub origin: [u8; 4],
    /// The incarnation of the waiting process.
    pub incarnation: Incarnation,
    /// Number of the operation in that incarnation.
    pub number: u64,
}

/// An operation on the control state, requested by the operator or by the system.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Operation {
    /// Replaces the configuration that has revision `base`.
    PutConfiguration {
        /// Value of `If-Match`; `None` if the header is missing.
        base: Option<Revision>,
        /// The body, unchanged.
        body: Rc<Vec<u8>>,
    },
    /// Reads the newest configuration.
    GetConfiguration,
    /// Requests that a storage machine be emptied and retired.
    Retire(String),
    /// Reads the progress of a retirement.
    GetRetire(String),
    /// Replaces the storage plan, if the preceding epoch is still the current one.
    Plan(Rc<StoragePlan>),
}

impl Operation {
    /// Whether the operation is a read, which the tail answers.
    pub fn is_read(&self) -> bool {
        matches!(self, Operation::GetConfiguration | Operation::GetRetire(_))
    }
}

/// Outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// Completed now or earlier.
    Done,
    /// The configuration; `None` before the first.
    Configuration(Option<Rc<StoredConfiguration>>),
    /// Whether the retirement of a storage machine is complete.
    Retirement(bool),
    /// The current revision is another one.
    Conflict(Revision),
    /// The operation is invalid, for the given reason.
    Invalid(String),
    /// No such machine exists.
    NotFound,
    /// Too few machines would remain.
    TooFew,
    /// The outcome is unknown; the operation may be repeated.
    Unknown,
}
