//! Messages between the roles, encoded with borsh in frames of bounded length that carry a version and a kind.

mod updates;

pub use updates::{Feed, PublishedState, PullRequest, PullResponse};

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};
use quick_error::quick_error;

use crate::control::Message;
use crate::evidence::Evidence;
use crate::program::{ClaimEntry, ClaimSummary, Key, Record, Turn};
use crate::registry::{Instance, RecordUpdate};

/// Version of the internal protocol. Frames of any other version are rejected.
pub const VERSION: u8 = 6;
/// Maximum size of a frame in bytes. The largest configuration and a state with many changes fit.
pub const FRAME_MAX: usize = 32 * 1024 * 1024;

quick_error! {
    /// Why a frame was rejected.
    #[derive(Debug)]
    pub enum WireError {
        /// It exceeds the maximum frame size.
        TooLong(length: usize) {
            display("the frame of {} bytes is too long", length)
        }
        /// Its protocol version is not supported.
        Version(version: u8) {
            display("the frame has the unsupported version {}", version)
        }
        /// It cannot be decoded.
        Malformed(error: std::io::Error) {
            from()
            display("{}", error)
        }
    }
}

/// A request from one role to another.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// A message between controllers. It has no response of its own.
    Control {
        /// Address of the sending machine.
        from: [u8; 4],
        /// The message.
        message: Message,
    },
    /// A registry record that the receiver must hold before it is acknowledged.
    Register(Instance),
    /// Requests the endpoint changes of another controller.
    Registry {
        /// Incarnation that the counter belongs to.
        origin: u64,
        /// The newest change of that registry that the sender has processed.
        counter: u64,
        /// How long the response may wait for changes, in ms.
        wait_ms: u64,
    },
    /// Requests updates of the control state and of endpoints.
    Pull(PullRequest),
    /// Requests the status of the receiver as text for an operator.
    Status,
    /// A claim on a program's budget, which must be durable before the response is sent.
    Reserve {
        /// The storage epoch of the sender.
        epoch: u64,
        /// The program.
        program: String,
        /// The claim.
        entry: ClaimEntry,
        /// Whether to return all claims of the program instead of their summary.
        wants_all: bool,
    },
    /// Records that must be durable before the response is sent.
    Write {
        /// The storage epoch of the sender.
        epoch: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Requests turns by their request ids.
    GetTurns {
        /// The storage epoch of the sender.
        epoch: u64,
        /// The request ids.
        ids: Vec<String>,
    },
    /// Requests the keys that changed at a storage machine.
    Changes {
        /// Incarnation that the counter belongs to.
        origin: u64,
        /// The newest change that the sender has processed.
        counter: u64,
        /// How long the response may wait for changes, in ms.
        wait_ms: u64,
    },
    /// Requests records by their keys.
    Fetch(Vec<Key>),
    /// Updates from an agent to its proxy.
    Feed(Feed),
}

/// The response to a [`Request`].
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Response {
    /// The request was carried out.
    Done,
    /// The receiver cannot carry out the request now.
    Refused,
    /// The sender's storage epoch is older than this one.
    Stale(u64),
    /// Endpoints that changed.
    Registry {
        /// Incarnation that the counter belongs to.
        origin: u64,
        /// The newest change of the registry.
        counter: u64,
        /// Whether the controller holds every acknowledged drain.
        is_complete: bool,
        /// Records of the endpoints.
        records: Vec<RecordUpdate>,
    },
    /// Updates of the control state and of endpoints.
    Pull(PullResponse),
    /// Summary of a program's claims, including the new one.
    Reserved(ClaimSummary),
    /// All claims of a program, including the new one.
    Claims(Vec<ClaimEntry>),
    /// Turns in the order of the ids. With `is_conclusive`, a missing turn was never written to this machine and was not
    /// lost either.
    Turns {
        /// The turn of each id, or `None` if it was not found.
        turns: Vec<Option<Rc<Turn>>>,
        /// Whether the absence of a turn is conclusive.
        is_conclusive: bool,
    },
    /// Changed keys with their versions.
    Changes {
        /// Incarnation that the counter belongs to.
        origin: u64,
        /// The newest change that the keys cover.
        counter: u64,
        /// Whether there are no later changes.
        is_last: bool,
        /// The storage epoch of the machine.
        epoch: u64,
        /// Whether the machine's data is complete.
        is_complete: bool,
        /// The newest epoch for which the machine is in sync.
        synced_epoch: u64,
        /// Keys with versions.
        keys: Vec<(Key, u8)>,
    },
    /// The requested records.
    Records(Vec<Record>),
    /// The feed was accepted.
    FeedAccepted {
        /// Incarnation of the proxy.
        incarnation: u64,
        /// Evidence from the proxy's calls on suspected endpoints.
        evidence: Vec<Evidence>,
    },
    /// Status lines for an operator.
    Status(Vec<String>),
}

/// Encodes a frame body: the version followed by the message.
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    encode_versioned(VERSION, message)
}

/// Like [`encode`], with an explicit version.
pub(crate) fn encode_versioned<T: BorshSerialize>(version: u8, message: &T) -> Vec<u8> {
    let mut bytes = vec![version];
    // Writing to a vector fails only for lengths over 4 GiB, which limits elsewhere rule out.
    if let Err(error) = message.serialize(&mut bytes) {
        log::error!("the message could not be encoded: {error}");
    }
    bytes
}

/// Decodes a message that was encoded by [`encode`]. Trailing bytes are an error.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, WireError> {
    decode_versioned(VERSION, bytes)
}

/// Like [`decode`], with an explicit version.
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
