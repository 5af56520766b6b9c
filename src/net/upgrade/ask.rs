//! The new process' side: it takes the lock, or asks whoever has it for everything.

use super::lock::Lock;
use super::machine::{Take, Taker, ToTaker};
use super::parking::{Parked, ParkedCall, ParkedEdge, ParkedIdle};
use super::state::{FORMAT, Hello, State, read, write};
use super::wire::{Kind, Peer};
use super::{PARK_TIME, READY_TIME, socket};
use crate::net::config::Config;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{Instant, sleep, timeout};

/// How long a new process waits for a lock that is taken, asking its holder again and again.
const WAIT: Duration = Duration::from_secs(8);
/// The pause before it asks again.
const PAUSE: Duration = Duration::from_millis(50);
/// How long the lock of a process that has let go, or died, may take to be free.
const LOCK_TIME: Duration = Duration::from_secs(2);

/// How a process begins.
#[derive(Debug)]
pub enum Begun {
    /// Nobody else is there: it goes by the journal.
    Alone(Lock),
    /// Another process hands over.
    Handed(Box<Handed>),
}

/// What was handed over. Nothing of it may be used before [`Handover::confirm`].
#[derive(Debug)]
pub struct Handed {
    /// All but the sockets.
    pub state: State,
    /// The sockets.
    parked: Parked,
    handover: Handover,
}

/// The hand-over itself, once all has come.
#[derive(Debug)]
pub struct Handover {
    peer: Peer,
    machine: Taker,
}

/// Why it cannot begin.
#[derive(Debug)]
pub enum AskError {
    /// The folder, or a socket in it.
    Io(io::Error),
    /// The process that runs does not hand over.
    Refused(String),
    /// It does not answer, or not in a way that is of use.
    Silent(String),
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AskError::Io(e) => write!(f, "{e}"),
            AskError::Refused(why) => write!(f, "the relay that runs refuses to hand over: {why}"),
            AskError::Silent(what) => {
                write!(f, "another process has it, and did not hand over within {WAIT:?}: {what}")
            }
        }
    }
}

impl std::error::Error for AskError {}

impl From<io::Error> for AskError {
    fn from(e: io::Error) -> Self {
        AskError::Io(e)
    }
}

/// Takes the lock, or everything from whoever has it.
///
/// # Errors
/// Neither can be had.
pub async fn begin(config: &Config, settings: &[u8]) -> Result<Begun, AskError> {
    let until = Instant::now() + WAIT;
    loop {
        if let Some(lock) = Lock::take(&config.state)? {
            return Ok(Begun::Alone(lock));
        }
        let why = match timeout(PARK_TIME + READY_TIME, ask(&config.state, settings)).await {
            Ok(Ok(handed)) => return Ok(Begun::Handed(Box::new(handed))),
            Ok(Err(AskError::Io(e))) => e.to_string(),
            Ok(Err(AskError::Silent(why))) => why,
            Ok(Err(refused)) => return Err(refused),
            Err(_) => "no answer".into(),
        };
        if Instant::now() >= until {
            return Err(AskError::Silent(why));
        }
        tracing::info!("not handed over yet: {why}");
        sleep(PAUSE).await;
    }
}

async fn ask(folder: &Path, settings: &[u8]) -> Result<Handed, AskError> {
    let (path, _folder) = socket(folder)?;
    let mut peer = Peer::new(UnixStream::connect(path).await?);
    let version = env!("CARGO_PKG_VERSION").to_string();
    let hello = Hello { format: FORMAT, version, settings: settings.to_vec() };
    let hello = write(&hello).map_err(|e| AskError::Silent(e.to_string()))?;
    peer.say(Kind::Hello, &hello).await?;
    let text = |what: Vec<u8>| String::from_utf8_lossy(&what).into_owned();
    let state = match peer.hear().await? {
        Some((Kind::State, state)) => state,
        Some((Kind::Never, why)) => return Err(AskError::Refused(text(why))),
        Some((Kind::Later, why)) => return Err(AskError::Silent(text(why))),
        Some((kind, _)) => return Err(AskError::Silent(format!("it says {kind:?}"))),
        None => return Err(AskError::Silent("it is gone".into())),
    };
    let state: State =
        read(&state).map_err(|e| AskError::Silent(format!("its state cannot be read: {e}")))?;
    let sockets = peer.receive_sockets(state.sockets()).await?;
    let parked = unpack(&state, sockets);
    let mut machine = Taker::default();
    machine.on(ToTaker::State);
    Ok(Handed { state, parked, handover: Handover { peer, machine } })
}

/// Puts the sockets, which come in this order, to what goes with them.
fn unpack(state: &State, sockets: Vec<OwnedFd>) -> Parked {
    let mut sockets = sockets.into_iter();
    let listener = state.listener.then(|| sockets.next()).flatten().map(TcpListener::from);
    let mut next = || sockets.next().map(TcpStream::from);
    let edges = state.edges.iter().filter_map(|note| {
        let stream = next()?;
        Some(ParkedEdge { stream, note: note.clone() })
    });
    let edges = edges.collect();
    let calls = state.calls.iter().map(|note| {
        let stream = note.sent.then(&mut next).flatten();
        ParkedCall { stream, note: note.clone() }
    });
    let calls = calls.collect();
    let idle = state.idle.iter().filter_map(|note| Some(ParkedIdle { stream: next()?, note: note.clone() }));
    let idle = idle.collect();
    Parked { listener, edges, calls, idle }
}

impl Handed {
    /// What came, and the rest of the hand-over.
    pub fn split(self) -> (State, Parked, Handover) {
        (self.state, self.parked, self.handover)
    }
}

impl Handover {
    /// Says that all is built, and waits for the word. With it come the lock and the socket to the other, by which that
    /// one hears of our end; without, the other goes on, and nothing of what came may be used.
    ///
    /// # Errors
    /// The lock cannot be had.
    pub async fn confirm(&mut self, folder: &Path) -> io::Result<Option<Lock>> {
        if self.machine.on(ToTaker::Built) == Take::SayReady {
            // Should this not arrive, the end of the socket tells it next.
            let _ = self.peer.say(Kind::Ready, &[]).await;
        }
        let event = match self.peer.hear().await {
            Ok(Some((Kind::Go, _))) => ToTaker::Go,
            Ok(Some(_)) => ToTaker::Refused,
            Ok(None) | Err(_) => ToTaker::PeerGone,
        };
        if self.machine.on(event) != Take::Begin {
            return Ok(None);
        }
        if event == ToTaker::PeerGone {
            tracing::warn!("the old process is gone; all that it had has come");
        }
        let lock = Lock::take_within(folder, LOCK_TIME).await?;
        lock.map(Some).ok_or_else(|| io::Error::other("a third process has taken the lock"))
    }

    /// What is left once all else has been used: the other process.
    pub fn into_peer(self) -> Peer {
        self.peer
    }
}
