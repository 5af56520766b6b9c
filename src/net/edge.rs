//! Edge connections: clients hand in flows over HTTP.

use super::clock::Clock;
use super::config::HttpSettings;
use super::figures::{Fate, Figures};
use super::http::{BODY_MAX, Framing, Head, HttpError, Reader};
use super::inbox::{Offer, ToOwner, Verdict};
use super::parcel::{Parcel, Routed};
use super::phase::{Evacuation, Phase, State};
use super::routing::{Held, NoWay, Routing};
use super::upgrade::parking::{Busy, EdgeNote, ParkedEdge, Parking};
use crate::api::DestinationId;
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
/// How long a connection may stand idle after an answer: where many stand open, and where there is room.
const IDLE_LEAST: Duration = Duration::from_millis(2100);
const IDLE_MOST: Duration = Duration::from_secs(60);
/// How long a connection stays without a request once clients are sent away. The front hears of it 0.1 s later and
/// acts on it 0.2 s after that: whoever is closed on sooner may come back here.
const EVACUATED_IDLE: Duration = Duration::from_millis(350);
/// How long an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_millis(500);
/// How long a faulty request's sender is still listened to, so that the answer is not lost with a reset, and
/// how much of what it sends is read meanwhile.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 64 * 1024;
/// Age under which a connection is closed for another's sake only if no older one can be.
const NEW: Duration = Duration::from_millis(200);
/// Letters of an id, a key or a name, at most.
const WORD_MAX: usize = 200;
/// The least that a client over a limit is asked to stay away for.
const LIMITED_LEAST: Duration = Duration::from_millis(100);
/// Time that a client is asked to stay away for where nothing else says it.
const COME_BACK: Duration = Duration::from_millis(500);

/// What the front may use, from the configuration's limits.
#[derive(Debug, Clone, Copy)]
pub struct EdgeLimits {
    /// Connections held at once.
    pub connections: usize,
    /// Bytes of bodies that are coming in or wait for the owner, over all connections.
    pub bodies: usize,
}

/// What the front is given by the rest of the program.
#[derive(Debug)]
pub struct EdgeParts {
    /// Where offers go.
    pub owner: mpsc::Sender<ToOwner>,
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
    /// Open connections, by number.
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
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
        let (open, last, bodies) = (RefCell::default(), Cell::new(0), Cell::new(0));
        let (paths, classes) = (http.paths.clone(), http.classes.clone());
        let ids = (parts.clock.now().as_micros(), Cell::new(0));
        Rc::new(Edge { parts, paths, classes, ids, open, last, bodies })
    }

    /// Goes on with a connection that was parked.
    pub fn adopt(self: &Rc<Self>, parked: ParkedEdge) {
        let ParkedEdge { stream, note } = parked;
        let peer = stream.peer_addr().map(|a| a.ip());
        if let (Ok(stream), Ok(peer)) = (TcpStream::from_std(stream), peer) {
            self.begin(stream, peer, note);
        }
    }

    fn begin(self: &Rc<Self>, stream: TcpStream, peer: IpAddr, note: EdgeNote) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let connection = Rc::new(Connection {
            peer,
            since: Instant::now(),
            served: Cell::new(note.served),
            bound: Cell::new(false),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(number, connection.clone());
        let (edge, busy) = (self.clone(), self.parts.parking.busy());
        tokio::task::spawn_local(async move {
            edge.attend(stream, note, &connection, busy).await;
            edge.open.borrow_mut().remove(&number);
        });
    }

    /// Accepts connections until the program stops, or another process is to go on with that.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let busy = self.parts.parking.busy();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.parts.phase.reached(State::Stopped) => return,
                () = self.parts.parking.opened() => {
                    self.parts.parking.leave_listener(listener.into_std());
                    drop(busy);
                    return;
                }
            };
            match stream {
                Ok((stream, peer)) => {
                    while self.open.borrow().len() >= self.parts.limits.connections {
                        if self.make_room() {
                            // Let it close.
                            yield_now().await;
                        } else {
                            // All that stand wait for an answer, which comes soon.
                            sleep(Duration::from_millis(1)).await;
                        }
                    }
                    let note = EdgeNote { read: Vec::new(), served: false, left: REQUEST_TIME };
                    self.begin(stream, peer.ip(), note);
                    // Guards usual clients against a flood of connections: each is looked at before the next
                    // is taken.
                    yield_now().await;
                }
                Err(e) => {
                    // Out of descriptors, most likely: give open ones time to close.
                    tracing::warn!("accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Guards the descriptors: where too many are open, one that waits for nothing goes. First one that never
    /// brought a request, then a new one, then one of whoever holds most, then the oldest; a client comes again
    /// on a new one. False if there is none.
    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let mut held: BTreeMap<IpAddr, usize> = BTreeMap::new();
        open.values().for_each(|c| *held.entry(c.peer).or_default() += 1);
        let rank =
            |c: &Connection| (c.served.get(), c.since.elapsed() < NEW, Reverse(held.get(&c.peer).copied()));
        let free = open.iter().filter(|(_, c)| !c.bound.get());
        let first = free.min_by_key(|(number, c)| (rank(c), **number));
        if let Some((_, c)) = first {
            c.bound.set(true);
            c.close.notify_one();
        }
        first.is_some()
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

    async fn attend(&self, stream: TcpStream, note: EdgeNote, connection: &Connection, busy: Busy) {
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
            let (mut left, mut idle) = (due.saturating_duration_since(Instant::now()), Duration::ZERO);
            loop {
                tokio::select! {
                    biased;
                    begun = reader.begun() => if begun.is_err() { return } else { break },
                    () = connection.close.notified() => return,
                    () = self.parts.phase.reached(State::Stopped) => return,
                    () = self.sent_away() => return,
                    () = parking.opened() => return park(reader, due),
                    () = sleep(left) => {
                        idle += left;
                        // A client that never sent anything is not one that keeps its connection.
                        if !connection.served.get() || self.crowded() || idle >= IDLE_MOST {
                            return;
                        }
                        left = IDLE_LEAST;
                    }
                }
            }
            if connection.served.get() {
                due = Instant::now() + REQUEST_TIME;
            }
            let read = tokio::select! {
                biased;
                read = timeout_at(due, self.request(&mut reader, connection.peer)) => read,
                () = connection.close.notified() => Ok(Ok(Request::Answered(Reply::closing(503, "Service Unavailable").after(COME_BACK)))),
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
                let _ = reader.get_mut().shutdown().await;
                // It has its answer: whoever needs the place may have it, or a flood of faulty requests would
                // hold them all.
                connection.served.set(false);
                connection.bound.set(false);
                drop(busy);
                tokio::select! {
                    _ = timeout(LINGER, reader.discard(LINGER_BYTES)) => {}
                    () = connection.close.notified() => {}
                }
                return;
            }
            connection.served.set(true);
            connection.bound.set(false);
            due = Instant::now() + IDLE_LEAST;
        }
    }

    /// Reads a request. What is wrong with its head is told before its body has come: nobody has to wait for
    /// megabytes that are of no use.
    async fn request(&self, reader: &mut Reader<TcpStream>, peer: IpAddr) -> Result<Request<'_>, HttpError> {
        let head = reader.head().await?;
        let framing = head.framing(Framing::Length(0))?;
        let version = head.first[2].as_str();
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || framing == Framing::Chunked && version == "HTTP/1.0"
        {
            return Err(HttpError::Malformed("the version"));
        }
        let keep = head.keeps_alive(version);
        let reply = match (head.first[0].as_str(), head.first[1].as_str()) {
            ("POST", _) => {
                let length = if let Framing::Length(length) = framing { Some(length as u64) } else { None };
                let (terms, held) = match self.terms(&head, peer, length) {
                    Ok(terms) => terms,
                    Err(Unfit::Malformed(what)) => return Err(HttpError::Malformed(what)),
                    Err(Unfit::Limited(class, reply)) => {
                        self.parts.figures.ended(&class, Fate::Refused);
                        return Ok(Request::Answered(reply));
                    }
                    Err(Unfit::Answered(reply)) => return Ok(Request::Answered(reply)),
                };
                let most = if let Framing::Length(length) = framing { length } else { BODY_MAX };
                if self.bodies.get() + most > self.parts.limits.bodies {
                    self.parts.figures.ended(&terms.class, Fate::Refused);
                    return Ok(Request::Answered(
                        Reply::closing(503, "Service Unavailable").after(COME_BACK),
                    ));
                }
                self.bodies.set(self.bodies.get() + most);
                let room = Room(&self.bodies, most);
                if head.expects_continue() {
                    let go_on = reader.get_mut().write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    go_on.await.map_err(HttpError::Io)?;
                }
                let body = reader.body(framing).await?;
                let (offer, verdict) = self.offer(terms, body);
                return Ok(Request::Whole { offer, verdict, keep, room, held });
            }
            ("GET", "/health/ready") if self.ready() => Reply::new(200, "OK"),
            ("GET", "/health/ready") => Reply::new(503, "Service Unavailable"),
            ("GET", "/health/live") => Reply::new(200, "OK"),
            ("GET", _) => Reply::closing(404, "Not Found"),
            _ => Reply::closing(405, "Method Not Allowed"),
        };
        // Nothing that is asked so has a body; one that has is not read.
        let close = reply.close || !keep || framing != Framing::Length(0);
        Ok(Request::Answered(Reply { close, ..reply }))
    }

    /// What a request's head says of its flow.
    fn terms(&self, head: &Head, peer: IpAddr, length: Option<u64>) -> Result<(Terms, Option<Held>), Unfit> {
        let word = |name: &str, what: &'static str| match head.only(name).map_err(|_| what)? {
            Some(v) if v.is_empty() || v.len() > WORD_MAX || !v.bytes().all(|b| b.is_ascii_graphic()) => {
                Err(what)
            }
            other => Ok(other.map(str::to_string)),
        };
        let path = head.first[1].strip_prefix('/').ok_or("the path")?;
        let first = path.split(['/', '?']).next().unwrap_or_default().to_string();
        let named = word("x-service-class", "the class")?;
        let envelope = head.only("envelope").map_err(|_| "two envelopes")?.unwrap_or_default();
        let pairs = envelope.split([';', ',', '&', ' ']).filter_map(|p| p.split_once('='));
        let mut dests = pairs.filter(|(n, _)| n.trim() == "dest").map(|(_, v)| digits(v.trim()));
        let dest = dests.next();
        if dests.next().is_some() {
            return Err("two destinations".into());
        }
        let key = word("idempotency-key", "the key")?;
        let tenant = word("x-account", "the account")?;
        let id = word("x-correlation-id", "the id")?;
        let left = head.only("x-time-left-ms").ok().flatten().map(digits);
        if dest.is_none() && !self.parts.routing.is_empty() {
            // A routed client may know nothing of classes, ids or times.
            let only = || self.classes.first().filter(|_| self.classes.len() == 1).map(|c| c.0.clone());
            let class = named.or_else(only).ok_or("the class")?;
            let life = self.classes.iter().find(|c| c.0 == class).map(|c| c.1);
            let left = match left {
                Some(left) => left.map(Duration::from_millis),
                None => life,
            };
            let deadline = self.parts.clock.now() + left.ok_or("the time left")?;
            let way = self.parts.routing.way(head, peer, length, self.parts.clock.now());
            let way = way.map_err(|no| match no {
                NoWay::Limited(_) => Unfit::Limited(class.clone(), Reply::no_way(no)),
                no => Unfit::Answered(Reply::no_way(no)),
            })?;
            let id = id.unwrap_or_else(|| {
                self.ids.1.set(self.ids.1.get() + 1);
                format!("r{:x}-{:x}", self.ids.0, self.ids.1.get())
            });
            let (destination, routed) = (way.destination, Some(way.routed));
            return Ok((Terms { class, tenant, deadline, destination, id, key, routed }, Some(way.held)));
        }
        // The first part of the path is the class, but for paths that the operator has routed.
        let path = self.paths.iter().find(|(p, _)| head.first[1].starts_with(p.as_str()));
        if path.is_none() && named.as_ref().is_some_and(|c| *c != first) {
            return Err("two classes".into());
        }
        let class = named.filter(|_| path.is_some()).unwrap_or(first);
        let left = left.flatten().ok_or("the time left")?;
        let dest = dest.map(|d| d.map(DestinationId));
        let destination = dest.unwrap_or_else(|| path.map(|(_, d)| *d)).ok_or("the destination")?;
        let id = id.ok_or("no id")?;
        let deadline = self.parts.clock.now() + Duration::from_millis(left);
        Ok((Terms { class, tenant, deadline, destination, id, key, routed: None }, None))
    }

    fn offer(&self, terms: Terms, body: Vec<u8>) -> (Offer, oneshot::Receiver<Vec<Verdict>>) {
        let Terms { class, tenant, deadline, destination, id, key, routed } = terms;
        let (reply, verdict) = oneshot::channel();
        let items = vec![(destination, Rc::new(Parcel { id, key, mail: None, routed, body: body.into() }))];
        (Offer { class, tenant, deadline, items, together: false, reply }, verdict)
    }

    async fn hand_in(&self, offer: Offer, verdict: oneshot::Receiver<Vec<Verdict>>) -> Reply {
        // Guards the answer's time: a full queue is an answer in itself.
        if let Err(TrySendError::Full(ToOwner::Offer(offer)) | TrySendError::Closed(ToOwner::Offer(offer))) =
            self.parts.owner.try_send(ToOwner::Offer(offer))
        {
            self.parts.figures.ended(&offer.class, Fate::Refused);
            return Reply::new(503, "Service Unavailable").after(COME_BACK);
        }
        match verdict.await.ok().and_then(|v| v.first().copied()) {
            Some(Verdict::Taken) => Reply::new(202, "Accepted"),
            Some(Verdict::TurnedDown(wait)) => Reply::new(429, "Too Many Requests").after(wait),
            // Its clients are better off elsewhere from now on.
            Some(Verdict::Ending(wait)) => Reply::closing(429, "Too Many Requests").after(wait),
            Some(Verdict::Failed) => Reply::new(500, "Internal Server Error"),
            Some(Verdict::Unknown(what)) => {
                tracing::debug!("a request was turned away: {what}");
                Reply::closing(400, "Bad Request")
            }
            Some(Verdict::Full) | None => Reply::new(503, "Service Unavailable").after(COME_BACK),
        }
    }
}

/// A number in plain digits, and no more of them than a number of use has.
fn digits(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

/// What a fault in a request is answered with, if there is anyone to answer.
fn fault(e: &HttpError) -> Option<Reply> {
    Some(match e {
        HttpError::Malformed(what) => {
            tracing::debug!("an edge connection fails: {what}");
            Reply::closing(400, "Bad Request")
        }
        HttpError::HeadTooLarge => Reply::closing(431, "Request Header Fields Too Large"),
        HttpError::BodyTooLarge => Reply::closing(413, "Content Too Large"),
        HttpError::Ended | HttpError::Closed | HttpError::Io(_) => return None,
    })
}

/// What a head says of a flow.
struct Terms {
    class: String,
    tenant: Option<String>,
    deadline: Duration,
    destination: DestinationId,
    id: String,
    key: Option<String>,
    routed: Option<Routed>,
}

/// Why a head is of no use.
enum Unfit {
    /// It is not as it should be.
    Malformed(&'static str),
    /// A limit turns it down; its class, and the answer.
    Limited(String, Reply),
    /// It has its answer.
    Answered(Reply),
}

impl From<&'static str> for Unfit {
    fn from(what: &'static str) -> Unfit {
        Unfit::Malformed(what)
    }
}

/// A request as it was read.
enum Request<'a> {
    /// It hands in a flow.
    Whole {
        offer: Offer,
        verdict: oneshot::Receiver<Vec<Verdict>>,
        /// Whether its connection stays open.
        keep: bool,
        /// Its body's, until the owner has decided: from then on the journal bounds what is held.
        room: Room<'a>,
        /// Its places in limits, as long.
        held: Option<Held>,
    },
    /// It has its answer.
    Answered(Reply),
}

#[derive(Debug)]
struct Reply {
    status: u16,
    reason: &'static str,
    after: Option<Duration>,
    /// What a moved request has to ask for.
    location: Option<String>,
    close: bool,
}

impl Reply {
    fn new(status: u16, reason: &'static str) -> Self {
        Reply { status, reason, after: None, location: None, close: false }
    }

    fn closing(status: u16, reason: &'static str) -> Self {
        Reply { close: true, ..Reply::new(status, reason) }
    }

    /// The answer to a request that the routing table lets go nowhere. Its body is not read, so the connection
    /// closes.
    fn no_way(no: NoWay) -> Self {
        match no {
            NoWay::Limited(after) => Reply::closing(429, "Too Many Requests").after(after.max(LIMITED_LEAST)),
            NoWay::Moved(target) => {
                Reply { location: Some(target), ..Reply::closing(301, "Moved Permanently") }
            }
            NoWay::Status(status) => Reply::closing(status, "Not Taken"),
        }
    }

    fn after(self, wait: Duration) -> Self {
        Reply { after: Some(wait).filter(|w| !w.is_zero()), ..self }
    }

    fn bytes(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\nContent-Length: 0\r\n", self.status, self.reason);
        if let Some(after) = self.after {
            text.push_str(&format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
        }
        if let Some(location) = &self.location {
            text.push_str(&format!("Location: {location}\r\n"));
        }
        if self.close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}
