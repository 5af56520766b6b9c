//! Messages between the roles: borsh inside frames of bounded length that carry a version and a kind.

mod updates;

pub use updates::{Feed, PublishedState, PullRequest, PullResponse};

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};
use quick_error::quick_error;

use crate::control::Message;
use crate::evidence::Evidence;
use crate::program::{ClaimEntry, ClaimSummary, Key, Record, Turn};
use crate::registry::{Instance, RecordUpdate};

/// The version of the internal protocol; a frame of another is refused.
pub const VERSION: u8 = 6;
/// Most bytes of a frame: the largest configuration and a state of many changes fit.
pub const FRAME_MAX: usize = 32 * 1024 * 1024;

quick_error! {
    /// Why a frame was refused.
    #[derive(Debug)]
    pub enum WireError {
        /// It is longer than any frame may be.
        TooLong(length: usize) {
            display("a frame of {} bytes", length)
        }
        /// It is of another version.
        Version(version: u8) {
            display("a frame of version {}", version)
        }
        /// It can't be read.
        Malformed(error: std::io::Error) {
            from()
            display("{}", error)
        }
    }
}

/// What one role asks another.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// A message between controllers; it has no answer of its own.
    Control {
        /// The machine that sends it.
        from: [u8; 4],
        /// What it says.
        message: Message,
    },
    /// A registry record that is to be held before it is acknowledged.
    Register(Instance),
    /// Endpoints as another controller knows them.
    Registry {
        /// The life that the counter belongs to.
        origin: u64,
        /// The newest change of that registry that the sender has dealt with.
        counter: u64,
        /// How long the answer may wait for news, in ms.
        wait_ms: u64,
    },
    /// News of the control state and of endpoints.
    Pull(PullRequest),
    /// What the controller knows, for an operator.
    Status,
    /// A claim on a program's budget, which is to be on the disk before the answer.
    Reserve {
        /// The storage epoch that the sender goes by.
        epoch: u64,
        /// The program.
        program: String,
        /// The claim.
        entry: ClaimEntry,
        /// Whether all claims of the program are wanted, or their summary.
        wants_all: bool,
    },
    /// Records that are to be on the disk before the answer.
    Write {
        /// The storage epoch that the sender goes by.
        epoch: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Turns by their request ids.
    GetTurns {
        /// The storage epoch that the sender goes by.
        epoch: u64,
        /// The request ids.
        ids: Vec<String>,
    },
    /// Keys that changed at a storage machine.
    Changes {
        /// The life that the counter belongs to.
        origin: u64,
        /// The newest change that the sender has dealt with.
        counter: u64,
        /// How long the answer may wait for news, in ms.
        wait_ms: u64,
    },
    /// Records by their keys.
    Fetch(Vec<Key>),
    /// What an agent feeds its proxy.
    Feed(Feed),
}

/// An answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Response {
    /// Done.
    Done,
    /// The receiver can't do it now.
    Refused,
    /// The sender goes by an older storage epoch than this.
    Stale(u64),
    /// Endpoints that changed.
    Registry {
        /// The life that the counter belongs to.
        origin: u64,
        /// The newest change of the registry.
        counter: u64,
        /// Whether the controller holds every drain that was acknowledged.
        is_complete: bool,
        /// Their records.
        records: Vec<RecordUpdate>,
    },
    /// News.
    Pull(PullResponse),
    /// The claims of a program, the new one among them.
    Reserved(ClaimSummary),
    /// All claims of a program, the new one among them.
    Claims(Vec<ClaimEntry>),
    /// Turns, in the order of the ids; `is_sure` says that what is missing was never written here and not lost either.
    Turns {
        /// A turn for each id that was found.
        turns: Vec<Option<Rc<Turn>>>,
        /// Whether the absence of a turn means anything.
        is_conclusive: bool,
    },
    /// Changed keys, each with its version.
    Changes {
        /// The life that the counter belongs to.
        origin: u64,
        /// The newest change that is among the keys.
        counter: u64,
        /// Whether there are no later ones.
        is_last: bool,
        /// The storage epoch that the machine goes by.
        epoch: u64,
        /// Whether the machine holds all that it should.
        is_complete: bool,
        /// The newest epoch for which it holds all that the plan gives it.
        synced_epoch: u64,
        /// Keys with versions.
        keys: Vec<(Key, u8)>,
    },
    /// Records.
    Records(Vec<Record>),
    /// The feed was taken.
    FeedAccepted {
        /// The life of the proxy.
        incarnation: u64,
        /// What its calls show of endpoints under suspicion.
        evidence: Vec<Evidence>,
    },
    /// Lines for an operator.
    Status(Vec<String>),
}

/// The bytes of a frame's body: version, then the message.
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    encode_versioned(VERSION, message)
}

/// The same behind another version.
pub(crate) fn encode_versioned<T: BorshSerialize>(version: u8, message: &T) -> Vec<u8> {
    let mut bytes = vec![version];
    // Writing to a vector can't fail but for lengths over 4 GiB, which bounds elsewhere rule out.
    if let Err(error) = message.serialize(&mut bytes) {
        log::error!("a message could not be encoded: {error}");
    }
    bytes
}

/// Reads what [`encode`] wrote; bytes left over are an error.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, WireError> {
    decode_versioned(VERSION, bytes)
}

/// The same behind another version.
pub(crate) fn decode_versioned<T: BorshDeserialize>(wanted: u8, bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > FRAME_MAX {
        return Err(WireError::TooLong(bytes.len()));
    }
    match bytes.split_first() {
        Some((&version, body)) if version == wanted => Ok(T::try_from_slice(body)?),
        Some((&version, _)) => Err(WireError::Version(version)),
        None => Err(WireError::Malformed(std::io::ErrorKind::UnexpectedEof.into())),
    }
}
