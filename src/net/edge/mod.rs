//! Edge connections: clients hand in flows over HTTP.

mod accept;
mod closing;
mod reply;
mod request;
mod terms;

use super::clock::Clock;
use super::config::HttpSettings;
use super::figures::{Fate, Figures};
use super::http::{BODY_MAX, Framing, Head, HttpError, Reader};
use super::inbox::{OwnerMessage, Submission, Verdict};
use super::parcel::{Parcel, Routed};
use super::phase::{Evacuation, Phase, State};
use super::routing::{Held, NoWay, Routing};
use super::upgrade::parking::{Busy, EdgeNote, ParkedEdge, Parking};
use crate::api::DestinationId;
use closing::Rested;
use reply::{Reply, fault};
use request::Request;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a client may take from its connecting, or from its last answer, until its next request is whole.
/// Who sends nothing of use is owed an error or a close within 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2000);
/// What a request is given in any case once its first byte is there: with the time before that it stays under the 3 s.
const REQUEST_LEAST: Duration = Duration::from_millis(500);
/// How long a connection may stand idle after an answer: where many stand open, and where there is room.
const IDLE_LEAST: Duration = Duration::from_millis(2100);
const IDLE_MOST: Duration = Duration::from_secs(60);
/// How long a connection stays without a request once clients are sent away. The front hears of it 0.1 s later and
/// acts on it 0.2 s after that: whoever is closed on sooner may come back here.
const EVACUATED_IDLE: Duration = Duration::from_millis(350);
/// How long an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_millis(500);
/// Age under which a connection is closed for another's sake only if no older one can be.
const NEW: Duration = Duration::from_millis(200);
/// Time that a client is asked to stay away for where nothing else says it.
const COME_BACK: Duration = Duration::from_millis(500);

/// What the front may use, from the configuration's limits.
#[derive(Debug, Clone, Copy)]
pub struct EdgeLimits {
    /// Connections held at once.
    pub connections: usize,
    /// Connections that may be closing beside them.
    pub closing: usize,
    /// Bytes of bodies that are coming in or wait for the owner, over all connections.
    pub bodies: usize,
}

/// What the front is given by the rest of the program.
#[derive(Debug)]
pub struct EdgeParts {
    /// Where offers go.
    pub owner: mpsc::Sender<OwnerMessage>,
    /// The program's phase.
    pub phase: Phase,
    /// Whether clients are sent away.
    pub evacuation: Evacuation,
    /// What it turns down by itself is counted here.
    pub figures: Figures,
    /// The clock.
    pub clock: Clock,
    /// What it may use.
    pub limits: EdgeLimits,
    /// Where requests without a destination go.
    pub routing: Rc<Routing>,
    /// Where connections are left for another process.
    pub parking: Parking,
}

/// What all edge connections share.
#[derive(Debug)]
pub struct Edge {
    parts: EdgeParts,
    /// Destinations by path, for requests that name none.
    paths: Vec<(String, DestinationId)>,
    /// Classes and how long their flows live, for routed requests that do not say it.
    classes: Vec<(String, Duration)>,
    /// Ids given to routed requests that have none: the start, in microseconds, and how many.
    ids: (u128, Cell<u64>),
    /// Open connections, by number, and those that have had their last answer and are being closed.
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    closing: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// A connection has gone.
    gone: Notify,
    last: Cell<u64>,
    /// Bytes set aside for bodies that are coming in.
    bodies: Cell<usize>,
}

#[derive(Debug)]
struct Connection {
    peer: IpAddr,
    since: Instant,
    /// It has had an answer to a request of use.
    served: Cell<bool>,
    /// A whole request waits for its answer, or the connection has been told to close.
    bound: Cell<bool>,
    close: Notify,
}

/// Room set aside for a body, given back with it.
struct Room<'a>(&'a Cell<usize>, usize);

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

impl Edge {
    /// Nothing is listened to yet.
    pub fn new(parts: EdgeParts, http: &HttpSettings) -> Rc<Self> {
        let (open, closing, gone) = (RefCell::default(), RefCell::default(), Notify::new());
        let (last, bodies) = (Cell::new(0), Cell::new(0));
        let (paths, classes) = (http.paths.clone(), http.classes.clone());
        let ids = (parts.clock.now().as_micros(), Cell::new(0));
        Rc::new(Edge { parts, paths, classes, ids, open, closing, gone, last, bodies })
    }

    fn ready(&self) -> bool {
        self.parts.phase.state() == State::Serving && !self.parts.evacuation.is_on()
    }

    /// Returns once a connection without a request has to go, for clients are sent away.
    async fn sent_away(&self) {
        loop {
            self.parts.evacuation.begun().await;
            sleep(EVACUATED_IDLE).await;
            if self.parts.evacuation.is_on() {
                return;
            }
        }
    }

    fn crowded(&self) -> bool {
        self.open.borrow().len() > self.parts.limits.connections / 2
    }

    async fn attend(
        &self, stream: TcpStream, note: EdgeNote, number: u64, connection: &Connection, busy: Busy,
    ) {
        let parking = &self.parts.parking;
        let _ = stream.set_nodelay(true);
        let mut due = connection.since + note.left;
        let mut reader = Reader::rewinding(stream, note.read);
        let park = |reader: Reader<TcpStream>, due: Instant| {
            let ((stream, read), served) = (reader.into_parts(), connection.served.get());
            let left = due.saturating_duration_since(Instant::now());
            parking.leave_edge(stream.into_std(), EdgeNote { read, served, left });
        };
        loop {
            reader.forget();
            let last = match self.rest(&mut reader, connection, due).await {
                Rested::Begun => None,
                Rested::Gone => return,
                Rested::Parked => return park(reader, due),
                Rested::Answer(reply) => Some(reply),
                Rested::Close => break,
            };
            if connection.served.get() {
                due = Instant::now() + REQUEST_TIME;
            }
            // What came in the very moment of a close has not been late all along.
            due = due.max(Instant::now() + REQUEST_LEAST);
            let read = async {
                match last {
                    Some(reply) => Ok(Ok(Request::Answered(reply))),
                    None => timeout_at(due, self.request(&mut reader, connection.peer)).await,
                }
            };
            let read = tokio::select! {
                biased;
                read = read => read,
                () = connection.close.notified() => Ok(Ok(Request::Answered(Reply::turned_away()))),
                // What has come of it will never be whole in this process.
                () = self.parts.phase.reached(State::Stopped) => Ok(Ok(Request::Answered(Reply::turned_away()))),
                // What has come of the request goes along.
                () = parking.opened() => return park(reader, due),
            };
            // Guards the promise of an answer: from here on the request is whole, and nothing cuts it short.
            connection.bound.set(true);
            let answer = match read {
                Ok(Ok(Request::Whole { offer, verdict, keep, room: _room, held: _held })) => {
                    let reply = self.hand_in(offer, verdict).await;
                    Reply { close: reply.close || !keep, ..reply }
                }
                Ok(Ok(Request::Answered(reply))) => reply,
                Ok(Err(e)) => match fault(&e) {
                    Some(answer) => answer,
                    None => return,
                },
                Err(_) => Reply::closing(408, "Request Timeout"),
            };
            // Clients that are sent away go with their answer.
            let answer = Reply { close: answer.close || self.parts.evacuation.is_on(), ..answer };
            let bytes = answer.bytes();
            let written = reader.get_mut().write_all(&bytes);
            if !matches!(timeout(WRITE_TIME, written).await, Ok(Ok(()))) {
                return;
            }
            if answer.close {
                break;
            }
            connection.served.set(true);
            connection.bound.set(false);
            due = Instant::now() + IDLE_LEAST;
        }
        drop(busy);
        self.close(reader, number, connection).await;
    }
}

#[cfg(test)]
mod tests;
