//! What goes from the old process to the new one, beside the sockets.

use super::parking::{CallNote, EdgeNote, IdleNote};
use crate::core::{FlowNo, wakes::Wakes};
use crate::net::directory::Directory;
use crate::net::listed::FixedServer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The format of all that follows, the module's own state included. A change of any of it is another format: what was
/// written in one cannot be read in another, and the state says of itself only this number.
pub const FORMAT: u32 = 6;
/// Bytes of a state, at most. Without a bound one process could make the other outgrow its memory.
pub const STATE_MAX: usize = 16 << 20;

/// What a new process says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its [`FORMAT`].
    pub format: u32,
    /// Its version, for the log.
    pub version: String,
    /// The settings and names that it goes by, as written by [`write()`]: numbers of classes, kinds and tenants mean
    /// nothing under other ones.
    pub settings: Vec<u8>,
}

/// All that the new process needs beside the journal and the sockets, which come in the order of the notes here: the
/// listener, clients' connections, calls whose request is written, idle connections.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The giver's clock.
    pub now: Duration,
    /// Length of the journal's file.
    pub journal: u64,
    /// The core with the module, as written by [`write()`].
    pub core: Vec<u8>,
    /// Real servers, and bans.
    pub directory: Directory,
    /// The version of discovery's list.
    pub list_rev: u64,
    /// Real servers that the operator named.
    pub fixed: Vec<FixedServer>,
    /// Flows by the ids that clients gave them.
    pub ids: BTreeMap<String, FlowNo>,
    /// Ids of flows that are over, the oldest first.
    pub over: VecDeque<String>,
    /// The next flow's number.
    pub next: u64,
    /// When the core wants to be woken.
    pub wakes: Wakes,
    /// Clients are sent away.
    pub evacuated: bool,
    /// Whether the socket comes where clients connect.
    pub listener: bool,
    /// Clients' connections.
    pub edges: Vec<EdgeNote>,
    /// Calls.
    pub calls: Vec<CallNote>,
    /// Idle connections to real servers.
    pub idle: Vec<IdleNote>,
}

impl State {
    /// How many sockets come with it.
    pub fn sockets(&self) -> usize {
        let sent = self.calls.iter().filter(|c| c.sent).count();
        usize::from(self.listener) + self.edges.len() + sent + self.idle.len()
    }
}

/// Writes anything that goes from one process to another.
///
/// # Errors
/// It cannot be written.
pub fn write<T: Serialize>(what: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_allocvec(what)
}

/// Reads what [`write()`] wrote, all of it.
///
/// # Errors
/// It is something else.
pub fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    let (what, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() { Ok(what) } else { Err(postcard::Error::DeserializeBadEncoding) }
}

#[cfg(test)]
mod tests;
