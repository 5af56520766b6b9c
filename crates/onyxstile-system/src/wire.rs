//! Messages between the roles: borsh inside frames of bounded length that carry a version and a kind.

use borsh::{BorshDeserialize, BorshSerialize};
use quick_error::quick_error;

use crate::control::{Message, StoredConfiguration};
use crate::evidence::Evidence;
use crate::program::{ClaimSummary, Entry, Key, Record, Turn};
use crate::registry::Instance;
use crate::storage_plan::StoragePlan;
use std::rc::Rc;

/// The version of the internal protocol; a frame of another is refused.
pub const VERSION: u8 = 4;
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

/// What an agent or a storage machine asks a controller for.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Pull {
    /// The machine that asks.
    pub ip: [u8; 4],
    /// Its name.
    pub name: String,
    /// The control state's sequence that it holds.
    pub sequence: u64,
    /// The revision that it holds.
    pub revision: u64,
    /// Whether it wants the state itself, or only to hear that there is a newer one.
    pub wants_state: bool,
    /// Whether it wants endpoints.
    pub wants_endpoints: bool,
    /// The origin that its registry counter belongs to.
    pub origin: u64,
    /// The registry counter that it holds of that origin.
    pub counter: u64,
    /// How long the answer may wait for news, in ms.
    pub wait_ms: u64,
    /// The storage epoch for which the sender holds all that is its own; 0 elsewhere.
    pub synced_epoch: u64,
    /// What the sender's calls show of endpoints, if this controller is to sum that up for all relays.
    pub evidence: Option<Vec<Evidence>>,
}

/// What every relay has to know of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct Published {
    /// The control state's sequence.
    pub sequence: u64,
    /// The newest configuration; left out where the asker holds that revision.
    pub configuration: Option<Rc<StoredConfiguration>>,
    /// The storage plan.
    pub storage: Rc<StoragePlan>,
}

/// A controller's answer to a [`Pull`].
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Pulled {
    /// The number of the view that the controller has installed; 0 for none.
    pub view: u64,
    /// Machines that vote on views.
    pub electors: Vec<[u8; 4]>,
    /// Whether all that the controller holds is known to be committed.
    pub is_settled: bool,
    /// The sequence of the newest committed state.
    pub sequence: u64,
    /// The state, if it was asked for and is newer.
    pub state: Option<Published>,
    /// Which life of the controller the counter belongs to.
    pub origin: u64,
    /// The newest change of the registry.
    pub counter: u64,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// How many relays the controller hears of; none while it does not know.
    pub relays: Option<u32>,
    /// What all relays' calls show of endpoints under suspicion, if the asker told its own.
    pub evidence: Vec<Evidence>,
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
    /// News of the control state and of endpoints.
    Pull(Pull),
    /// What the controller knows, for an operator.
    Status,
    /// A claim on a program's budget, which is to be on the disk before the answer.
    Reserve {
        /// The storage epoch that the sender goes by.
        epoch: u64,
        /// The program.
        program: String,
        /// The claim.
        entry: Entry,
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

/// What a proxy has to know, from the agent beside it.
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct Feed {
    /// The control state, if it is newer than what was fed before.
    pub state: Option<Published>,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// Whether the agent has heard a majority of the controllers since its start.
    pub is_fresh: bool,
    /// How many relays there are, if that is known.
    pub relays: Option<u32>,
    /// What all relays' calls show of endpoints under suspicion.
    pub evidence: Vec<Evidence>,
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
    /// News.
    Pulled(Pulled),
    /// The claims of a program, the new one among them.
    Reserved(ClaimSummary),
    /// All claims of a program, the new one among them.
    Claims(Vec<Entry>),
    /// Turns, in the order of the ids; `is_sure` says that what is missing was never written here and not lost either.
    Turns {
        /// A turn for each id that was found.
        turns: Vec<Option<Rc<Turn>>>,
        /// Whether the absence of a turn means anything.
        is_sure: bool,
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
        is_whole: bool,
        /// Keys with versions.
        keys: Vec<(Key, u8)>,
    },
    /// Records.
    Records(Vec<Record>),
    /// The feed was taken.
    Fed {
        /// The life of the proxy.
        life: u64,
        /// What its calls show of endpoints under suspicion.
        evidence: Vec<Evidence>,
    },
    /// Lines for an operator.
    Status(Vec<String>),
}

/// The bytes of a frame's body: version, then the message.
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    encode_as(VERSION, message)
}

/// The same behind another version.
pub(crate) fn encode_as<T: BorshSerialize>(version: u8, message: &T) -> Vec<u8> {
    let mut bytes = vec![version];
    // Writing to a vector can't fail but for lengths over 4 GiB, which bounds elsewhere rule out.
    if let Err(error) = message.serialize(&mut bytes) {
        log::error!("a message could not be encoded: {error}");
    }
    bytes
}

/// Reads what [`encode`] wrote; bytes left over are an error.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, WireError> {
    decode_as(VERSION, bytes)
}

/// The same behind another version.
pub(crate) fn decode_as<T: BorshDeserialize>(wanted: u8, bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > FRAME_MAX {
        return Err(WireError::TooLong(bytes.len()));
    }
    match bytes.split_first() {
        Some((&version, body)) if version == wanted => Ok(T::try_from_slice(body)?),
        Some((&version, _)) => Err(WireError::Version(version)),
        None => Err(WireError::Malformed(std::io::ErrorKind::UnexpectedEof.into())),
    }
}
