//! Mail clients' connections: sessions of SMTP or LMTP that hand in flows.

mod commands;
mod transaction;

use super::codec::{CodecError, DataFault, Lines};
use super::{Dialect, MailSettings, address, dsn};
use crate::api::DestinationId;
use crate::net::clock::Clock;
use crate::net::inbox::{OwnerMessage, Submission, Verdict};
use crate::net::parcel::{Envelope, Parcel};
use crate::net::phase::{Phase, State};
use crate::net::socket::end;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Commands that a session may get wrong.
const FAULTS_MAX: u32 = 20;
/// Trace lines from which a message is taken for one that goes round in circles (RFC 5321, 6.3).
const HOPS_MAX: usize = 100;
/// Sessions over the most that are open for as long as it takes to turn them away.
const TOLD_BUSY: usize = 16;
/// Time for a reply to be taken.
const WRITE_TIME: Duration = Duration::from_secs(30);

/// What all sessions share.
#[derive(Debug)]
pub struct MailEdge {
    settings: MailSettings,
    owner: mpsc::Sender<OwnerMessage>,
    phase: Phase,
    clock: Clock,
    /// Open sessions, by the client's address.
    open: RefCell<BTreeMap<IpAddr, usize>>,
    last: Cell<u64>,
}

/// Why a session is over.
#[derive(Debug)]
enum Over {
    /// It was ended in order.
    Quit,
    /// The connection failed, or the client kept nothing to the form.
    Failed(CodecError),
    /// The client was silent too long.
    Late,
}

impl From<CodecError> for Over {
    fn from(e: CodecError) -> Self {
        Over::Failed(e)
    }
}

#[derive(Debug, Default)]
struct Transaction {
    from: Option<String>,
    recipients: Vec<(String, DestinationId)>,
}

struct Session<'a> {
    edge: &'a MailEdge,
    dialect: Dialect,
    lines: Lines<TcpStream>,
    peer: String,
    hello: Option<String>,
    mail: Transaction,
    faults: u32,
}

impl MailEdge {
    /// No session yet.
    pub fn new(
        settings: MailSettings, owner: mpsc::Sender<OwnerMessage>, phase: Phase, clock: Clock,
    ) -> Rc<Self> {
        Rc::new(MailEdge { settings, owner, phase, clock, open: RefCell::default(), last: Cell::new(0) })
    }

    /// Accepts sessions until the program stops.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, dialect: Dialect) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.phase.reached(State::Stopped) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let edge = self.clone();
                    if self.sessions() > self.settings.max_clients + TOLD_BUSY {
                        // Not even room to tell it so.
                        continue;
                    }
                    *self.open.borrow_mut().entry(peer.ip()).or_default() += 1;
                    tokio::task::spawn_local(async move {
                        let _ = stream.set_nodelay(true);
                        let lines = Lines::new(stream);
                        let (hello, mail) = (None, Transaction::default());
                        let from = peer.ip();
                        let peer = from.to_string();
                        let mut session =
                            Session { edge: &edge, dialect, lines, peer, hello, mail, faults: 0 };
                        session.run(from).await;
                        // A client that sends commands together may have more under way behind the one that ends all.
                        end(session.lines.get_mut()).await;
                        edge.left(from);
                    });
                }
                Err(e) => {
                    tracing::warn!("mail: accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    fn sessions(&self) -> usize {
        self.open.borrow().values().sum()
    }

    fn left(&self, peer: IpAddr) {
        let mut open = self.open.borrow_mut();
        let left = open.get_mut(&peer).map_or(0, |n| {
            *n -= 1;
            *n
        });
        if left == 0 {
            open.remove(&peer);
        }
    }

    /// Guards usual clients against one that opens session after session and says nothing: no address holds
    /// more than half of them.
    fn busy(&self, peer: IpAddr) -> bool {
        let (most, its) = (self.settings.max_clients, self.open.borrow().get(&peer).copied().unwrap_or(0));
        self.sessions() > most || its > most.div_ceil(2) || self.phase.state() != State::Serving
    }

    /// An id that no other flow of this relay has or had.
    fn id(&self) -> String {
        let number = self.last.get() + 1;
        self.last.set(number);
        format!("m{:x}-{number:x}", self.clock.now().as_micros())
    }
}

impl Session<'_> {
    async fn run(&mut self, from: IpAddr) {
        let name = self.edge.settings.hostname.clone();
        if self.edge.busy(from) {
            let _ = self.say("421 4.3.2 not now, come again later").await;
            return;
        }
        let protocol = if self.dialect == Dialect::Lmtp { "LMTP" } else { "ESMTP" };
        let ended = match self.say(&format!("220 {name} {protocol} onyxstile")).await {
            Ok(()) => self.commands().await,
            Err(e) => Err(e),
        };
        let last = match ended {
            Err(Over::Late) => "421 4.4.2 no command in time",
            Err(Over::Failed(CodecError::BareEnd)) => "500 5.5.2 a bare CR or LF",
            Err(Over::Failed(CodecError::TooLong)) => "500 5.5.2 too long",
            _ => return,
        };
        tracing::info!("mail: a session with {} fails: {last}", self.peer);
        let _ = self.say(last).await;
    }

    async fn say(&mut self, line: &str) -> Result<(), Over> {
        let line = format!("{line}\r\n");
        match timeout(WRITE_TIME, self.lines.get_mut().write_all(line.as_bytes())).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(e)) => Err(Over::Failed(CodecError::Io(e))),
            Err(_) => Err(Over::Late),
        }
    }

    async fn commands(&mut self) -> Result<(), Over> {
        loop {
            let line = tokio::select! {
                biased;
                line = timeout(self.edge.settings.times.client, self.lines.line()) => line.map_err(|_| Over::Late)??,
                () = self.edge.phase.reached(State::Draining) => {
                    // Nothing of a transaction was promised yet.
                    return self.say("421 4.3.2 closing down").await;
                }
            };
            let text = String::from_utf8_lossy(&line).into_owned();
            let (verb, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let verb = verb.to_ascii_uppercase();
            match self.command(&verb, rest).await {
                Ok(()) => {}
                Err(Over::Quit) => return Ok(()),
                Err(e) => return Err(e),
            }
            if self.faults > FAULTS_MAX {
                return self.say("421 4.7.0 too many errors").await;
            }
        }
    }

    async fn fault(&mut self, line: &str) -> Result<(), Over> {
        self.faults += 1;
        self.say(line).await
    }
}

#[cfg(test)]
mod tests;
