//! Inputs of the owner, and the result of its run.

use super::*;
use crate::net::peers::{Datagram, Link};

/// How the owner ended.
#[derive(Debug)]
pub enum Ended {
    /// Drained in order. The recorder is to be closed after everything else.
    Drained(Option<Recorder>),
    /// Another process has taken over.
    Handed(Peer),
}

/// Why the owner cannot be created.
#[derive(Debug)]
pub enum OwnerError {
    /// Invalid settings.
    Settings(crate::core::SettingsError),
    /// The state transferred by another process is inconsistent.
    Handed(&'static str),
}

impl std::fmt::Display for OwnerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OwnerError::Settings(e) => write!(f, "{e}"),
            OwnerError::Handed(what) => write!(f, "the transferred state cannot be used: {what}"),
        }
    }
}

impl std::error::Error for OwnerError {}

impl From<crate::core::SettingsError> for OwnerError {
    fn from(e: crate::core::SettingsError) -> Self {
        OwnerError::Settings(e)
    }
}

/// Inputs of the owner.
#[derive(Debug)]
pub struct OwnerParts {
    /// The journal, already read.
    pub journal: Journal,
    /// Time source.
    pub clock: Clock,
    /// Phase of the program.
    pub phase: Phase,
    /// Sends the HTTP calls.
    pub upstream: Upstream,
    /// Sends the mail calls.
    pub mail_upstream: Option<MailUpstream>,
    /// Routing table; an empty one routes nothing.
    pub routing: Rc<Routing>,
    /// Records the trace, if enabled.
    pub recorder: Option<StepRecorder>,
    /// Manages undelivered messages, if enabled.
    pub undelivered: Option<Keeper>,
    /// Receives batches of notices.
    pub notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    /// Lock of the folder, if already held.
    pub lock: Option<Lock>,
    /// Collects the sockets that are held for another process.
    pub held_connections: Parking,
    /// Client connections; adopts those that no other process took over.
    pub edge: Option<Rc<Edge>>,
    /// State transferred by another process, if any.
    pub handed: Option<HandedState>,
    /// Metrics of the relay.
    pub metrics: Figures,
    /// Whether clients are sent away.
    pub evacuation: Evacuation,
    /// Link to the other relays and this relay's number among them, if configured.
    pub peers: Option<(Link, onyxstile_peers::NodeNo)>,
    /// Datagrams of the other relays.
    pub datagrams: mpsc::Receiver<Datagram>,
    /// Receives the results of syncs.
    pub synced: mpsc::Sender<OwnerMessage>,
    /// Queue of all messages to the owner.
    pub queue: mpsc::Receiver<OwnerMessage>,
    /// Queue of operator requests.
    pub orders: mpsc::Receiver<OwnerMessage>,
}
