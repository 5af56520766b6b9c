//! What an owner is made with, and how it ends.

use super::*;
use crate::net::peers::{Datagram, Link};

/// How an owner ended.
#[derive(Debug)]
pub enum Ended {
    /// In order. What keeps the trace is to be closed when all else is done.
    Drained(Option<Recorder>),
    /// Another process goes on.
    Handed(Peer),
}

/// Why there can be no owner.
#[derive(Debug)]
pub enum OwnerError {
    /// The settings.
    Settings(crate::core::SettingsError),
    /// What another process handed over, which does not fit together.
    Handed(&'static str),
}

impl std::fmt::Display for OwnerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OwnerError::Settings(e) => write!(f, "{e}"),
            OwnerError::Handed(what) => write!(f, "what was handed over cannot be used: {what}"),
        }
    }
}

impl std::error::Error for OwnerError {}

impl From<crate::core::SettingsError> for OwnerError {
    fn from(e: crate::core::SettingsError) -> Self {
        OwnerError::Settings(e)
    }
}

/// What the owner is made with.
#[derive(Debug)]
pub struct OwnerParts {
    /// The journal, read.
    pub journal: Journal,
    /// The clock.
    pub clock: Clock,
    /// The program's phase.
    pub phase: Phase,
    /// Makes the calls.
    pub upstream: Upstream,
    /// Makes those by mail.
    pub mail_upstream: Option<MailUpstream>,
    /// The routing table; an empty one routes nothing.
    pub routing: Rc<Routing>,
    /// Keeps the trace, where one is wanted.
    pub recorder: Option<StepRecorder>,
    /// Keeps what fails, where that is wanted.
    pub keeper: Option<Keeper>,
    /// Takes batches of notices.
    pub notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    /// The folder's lock, if it is held already.
    pub lock: Option<Lock>,
    /// Where sockets are left for another process.
    pub parking: Parking,
    /// The front, which takes connections up again that no other process has.
    pub edge: Option<Rc<Edge>>,
    /// What another process had, if one handed over.
    pub handed: Option<HandedState>,
    /// What is reported of the relay.
    pub figures: Figures,
    /// Whether clients are sent away.
    pub evacuation: Evacuation,
    /// The way to the other relays, where they are wanted, and which of them this one is.
    pub peers: Option<(Link, onyxstile_peers::NodeNo)>,
    /// Their datagrams.
    pub datagrams: mpsc::Receiver<Datagram>,
    /// Where the ends of syncs are told.
    pub synced: mpsc::Sender<OwnerMessage>,
    /// Where everything comes in.
    pub queue: mpsc::Receiver<OwnerMessage>,
    /// Where operators' calls come in.
    pub orders: mpsc::Receiver<OwnerMessage>,
}
