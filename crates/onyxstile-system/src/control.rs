//! What the control plane keeps: views, the control state and the messages by which controllers agree on both.

mod message;
mod write;

pub use message::{ChainUpdate, Message};
pub use write::{ACCEPTED_CHANGES_MAX, Change, Write};

use std::net::Ipv4Addr;
use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::Revision;
use crate::storage_plan::StoragePlan;

/// A machine with one particular disk. A machine that comes back with another disk is another elector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct ElectorId {
    /// The machine's address.
    pub ip: [u8; 4],
    /// The id that its disk got when it was empty.
    pub disk: u64,
}

impl ElectorId {
    /// The machine's address.
    pub fn address(&self) -> Ipv4Addr {
        self.ip.into()
    }
}

/// The disk id that a seed takes at the first start of the whole system, alike on all machines.
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

/// A change that was taken, kept so that the same change sent again is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AcceptedChange {
    /// The version that it was built on.
    pub base: Revision,
    /// The digest of its bytes.
    pub digest: u128,
}

/// All that the chain replicates.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// Rises by one with each write.
    pub sequence: u64,
    /// Follows from all writes so far: states of one digest came about by the same writes.
    pub digest: u64,
    /// The newest configuration.
    pub configuration: Option<Rc<StoredConfiguration>>,
    /// Changes that were taken, oldest first.
    pub accepted: Rc<Vec<AcceptedChange>>,
    /// Which storage machines hold what.
    pub storage: Rc<StoragePlan>,
}

impl ControlState {
    /// Bytes that it takes, about.
    pub fn bytes(&self) -> u64 {
        let body = self.configuration.as_ref().map_or(0, |configuration| configuration.body.len());
        (body + self.accepted.len() * size_of::<AcceptedChange>()) as u64
    }

    /// The current revision; 0 before the first configuration.
    pub fn revision(&self) -> Revision {
        self.configuration.as_ref().map_or(0, |configuration| configuration.revision)
    }
}

/// One agreed view: who votes, who stands in the chain, and the state that the view begins with.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct View {
    /// Rises by one with each view.
    pub number: u64,
    /// Who votes on the next view. Any majority of them meets every chain.
    pub electors: Vec<ElectorId>,
    /// Head first, tail last; some of the electors.
    pub chain: Vec<ElectorId>,
    /// The state that the view begins with; all of it counts as committed.
    pub state: ControlState,
}

impl View {
    /// Electors that a majority takes.
    pub fn majority(&self) -> usize {
        self.electors.len() / 2 + 1
    }
}

/// Orders the proposals for one view number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, BorshSerialize, BorshDeserialize)]
pub struct Ballot {
    /// Counts attempts.
    pub round: u64,
    /// Tells proposers of one round apart.
    pub proposer: [u8; 4],
}

/// What a controller has on its disk.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Durable {
    /// The id of the disk.
    pub disk: u64,
    /// The newest view that is known to be decided; none on a machine that no view has taken in.
    pub view: Option<Rc<View>>,
    /// The newest state that was written in that view.
    pub state: ControlState,
    /// The highest ballot promised for the next view.
    pub promised: Ballot,
    /// The value accepted for the next view.
    pub accepted: Option<(Ballot, Rc<View>)>,
}

/// Tells the processes apart that run on one machine, one after the other: drawn at random from all 64-bit numbers at each
/// start. Whatever is counted from the start of a process is told with it, for messages may outlast the process.
pub type Incarnation = u64;

/// Tells an operation apart: the controller that it came to, its life, and a number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Token {
    /// The controller that waits for the outcome.
    pub origin: [u8; 4],
    /// The life of the process that waits.
    pub incarnation: Incarnation,
    /// Its number for the operation.
    pub number: u64,
}

/// What the operator or the system asks of the control state.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Operation {
    /// Replaces the configuration that is built on `base`.
    PutConfiguration {
        /// `If-Match`; none if the header was missing.
        base: Option<Revision>,
        /// The bytes as they came.
        body: Rc<Vec<u8>>,
    },
    /// Reads the newest configuration.
    GetConfiguration,
    /// Asks that a storage machine be emptied.
    Retire(String),
    /// Asks how far that is.
    GetRetire(String),
    /// Replaces the storage plan, if the epoch before is still the current one.
    Plan(Rc<StoragePlan>),
}

impl Operation {
    /// Whether the tail answers it.
    pub fn is_read(&self) -> bool {
        matches!(self, Operation::GetConfiguration | Operation::GetRetire(_))
    }
}

/// How an operation ended.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// Done, or done before.
    Done,
    /// The configuration; none before the first.
    Configuration(Option<Rc<StoredConfiguration>>),
    /// A storage machine's retirement: true once it is completed.
    Retirement(bool),
    /// Another version is current.
    Conflict(Revision),
    /// The operation is invalid, for this reason.
    Invalid(String),
    /// There is no such machine.
    NotFound,
    /// Too few machines would be left.
    TooFew,
    /// Nothing is known of its fate; it may be sent again.
    Unknown,
}
