//! Edge connections: clients hand in flows over HTTP.

use super::clock::Clock;
use super::http::{Framing, Head, HttpError, Reader};
use super::owner::{Offer, ToOwner, Verdict};
use super::parcel::Parcel;
use super::phase::{Phase, State};
use crate::api::DestinationId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// How long a client may take to send a request once it has begun.
const REQUEST_TIME: Duration = Duration::from_secs(10);
/// How long an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// How long a faulty request's sender is still listened to, so that the answer is not lost with a reset.
const LINGER: Duration = Duration::from_millis(200);
/// Letters of an id, a key or a name, at most.
const WORD_MAX: usize = 200;
/// Time that a client is asked to stay away for where nothing else says it.
const COME_BACK: Duration = Duration::from_millis(500);

/// What all edge connections share.
#[derive(Debug)]
pub struct Edge {
    owner: mpsc::Sender<ToOwner>,
    phase: Phase,
    clock: Clock,
    most: usize,
    /// Destinations by path, for requests that name none.
    paths: Vec<(String, DestinationId)>,
    /// Open connections, by number; those that wait for a request can be told to close.
    open: RefCell<BTreeMap<u64, Rc<Waiting>>>,
    last: Cell<u64>,
}

#[derive(Debug, Default)]
struct Waiting {
    idle: Cell<bool>,
    close: Notify,
}

impl Edge {
    /// Nothing is listened to yet. At most `most` connections are held.
    pub fn new(
        owner: mpsc::Sender<ToOwner>, phase: Phase, clock: Clock, most: usize,
        paths: Vec<(String, DestinationId)>,
    ) -> Rc<Self> {
        Rc::new(Edge { owner, phase, clock, most, paths, open: RefCell::default(), last: Cell::new(0) })
    }

    /// Accepts connections until the program stops.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.phase.reached(State::Stopped) => return,
            };
            match stream {
                Ok((stream, _)) => {
                    // Guards the descriptors: where too many are open, the one that has waited longest for a
                    // request goes; a client comes again on a new one.
                    if self.open.borrow().len() >= self.most
                        && let Some(w) = self.open.borrow().values().find(|w| w.idle.get())
                    {
                        w.idle.set(false);
                        w.close.notify_one();
                    }
                    if self.open.borrow().len() < self.most + 16 {
                        let number = self.last.get() + 1;
                        self.last.set(number);
                        let waiting = Rc::new(Waiting::default());
                        self.open.borrow_mut().insert(number, waiting.clone());
                        let edge = self.clone();
                        tokio::task::spawn_local(async move {
                            edge.attend(stream, &waiting).await;
                            edge.open.borrow_mut().remove(&number);
                        });
                    }
                }
                Err(e) => {
                    // Out of descriptors, most likely: give open ones time to close.
                    log::warn!("accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn attend(&self, stream: TcpStream, waiting: &Waiting) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        loop {
            waiting.idle.set(true);
            tokio::select! {
                biased;
                begun = reader.begun() => if begun.is_err() { return },
                () = waiting.close.notified() => return,
                () = self.phase.reached(State::Stopped) => return,
            }
            waiting.idle.set(false);
            let answer = match timeout(REQUEST_TIME, self.request(&mut reader)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(e)) => match fault(&e) {
                    Some(answer) => answer,
                    None => return,
                },
                Err(_) => Reply::closing(408, "Request Timeout"),
            };
            let bytes = answer.bytes();
            let written = reader.get_mut().write_all(&bytes);
            if !matches!(timeout(WRITE_TIME, written).await, Ok(Ok(()))) {
                return;
            }
            if answer.close {
                let _ = reader.get_mut().shutdown().await;
                let _ = timeout(LINGER, async { while reader.discard().await {} }).await;
                return;
            }
        }
    }

    async fn request(&self, reader: &mut Reader<TcpStream>) -> Result<Reply, HttpError> {
        let head = reader.head().await?;
        let framing = head.framing(Framing::Length(0))?;
        if head.expects_continue() {
            reader.get_mut().write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(HttpError::Io)?;
        }
        let body = reader.body(framing).await?;
        if !head.first[2].starts_with("HTTP/1.") {
            return Err(HttpError::Malformed("the version"));
        }
        let mut reply = match (head.first[0].as_str(), head.first[1].as_str()) {
            ("GET", "/health/ready") if self.phase.state() == State::Serving => Reply::new(200, "OK"),
            ("GET", "/health/ready") => Reply::new(503, "Service Unavailable"),
            ("GET", "/health/live") => Reply::new(200, "OK"),
            ("POST", _) => match self.offer(&head, body) {
                Ok((offer, verdict)) => self.hand_in(offer, verdict).await,
                Err(what) => {
                    log::info!("a request was turned away: {what}");
                    Reply::new(400, "Bad Request")
                }
            },
            ("GET", _) => Reply::new(404, "Not Found"),
            _ => Reply::new(405, "Method Not Allowed"),
        };
        reply.close |= !head.keeps_alive(&head.first[2]);
        Ok(reply)
    }

    fn offer(
        &self, head: &Head, body: Vec<u8>,
    ) -> Result<(Offer, oneshot::Receiver<Vec<Verdict>>), &'static str> {
        let word = |name: &str, what: &'static str| match head.field(name) {
            Some(v) if v.is_empty() || v.len() > WORD_MAX || !v.bytes().all(|b| b.is_ascii_graphic()) => {
                Err(what)
            }
            other => Ok(other.map(str::to_string)),
        };
        let path = head.first[1].strip_prefix('/').ok_or("the path")?;
        let first = path.split(['/', '?']).next().unwrap_or_default().to_string();
        let named = word("x-service-class", "the class")?;
        // The first part of the path is the class, but for paths that the operator has routed.
        let routed = self.paths.iter().any(|(p, _)| head.first[1].starts_with(p.as_str()));
        if !routed && named.as_ref().is_some_and(|c| *c != first) {
            return Err("two classes");
        }
        let class = named.filter(|_| routed).unwrap_or(first);
        let left = head.field("x-time-left-ms").and_then(|v| v.parse::<u32>().ok()).ok_or("the time left")?;
        let envelope = head.field("envelope").unwrap_or_default();
        let pairs = envelope.split([';', ',', '&', ' ']).filter_map(|p| p.split_once('='));
        let dest = pairs
            .filter(|(n, _)| n.trim() == "dest")
            .map(|(_, v)| v.trim().parse().map(DestinationId))
            .next();
        let by_path =
            || self.paths.iter().find(|(p, _)| head.first[1].starts_with(p.as_str())).map(|(_, d)| *d);
        let destination = dest.map_or_else(by_path, Result::ok).ok_or("the destination")?;
        let id = word("x-correlation-id", "the id")?.ok_or("no id")?;
        let key = word("idempotency-key", "the key")?;
        let (reply, verdict) = oneshot::channel();
        let offer = Offer {
            class,
            tenant: word("x-account", "the account")?,
            deadline: self.clock.now() + Duration::from_millis(left.into()),
            items: vec![(destination, Rc::new(Parcel { id, key, mail: None, body: body.into() }))],
            together: false,
            reply,
        };
        Ok((offer, verdict))
    }

    async fn hand_in(&self, offer: Offer, verdict: oneshot::Receiver<Vec<Verdict>>) -> Reply {
        // Guards the answer's time: a full queue is an answer in itself.
        if self.owner.try_send(ToOwner::Offer(offer)).is_err() {
            return Reply::new(503, "Service Unavailable").after(COME_BACK);
        }
        match verdict.await.ok().and_then(|v| v.first().copied()) {
            Some(Verdict::Taken) => Reply::new(202, "Accepted"),
            Some(Verdict::TurnedDown(wait)) => Reply::new(429, "Too Many Requests").after(wait),
            Some(Verdict::Failed) => Reply::new(500, "Internal Server Error"),
            Some(Verdict::Unknown(what)) => {
                log::info!("a request was turned away: {what}");
                Reply::new(400, "Bad Request")
            }
            Some(Verdict::Full) | None => Reply::new(503, "Service Unavailable").after(COME_BACK),
        }
    }
}

/// What a fault in a request is answered with, if there is anyone to answer.
fn fault(e: &HttpError) -> Option<Reply> {
    Some(match e {
        HttpError::Malformed(what) => {
            log::info!("an edge connection fails: {what}");
            Reply::closing(400, "Bad Request")
        }
        HttpError::HeadTooLarge => Reply::closing(431, "Request Header Fields Too Large"),
        HttpError::BodyTooLarge => Reply::closing(413, "Content Too Large"),
        HttpError::Ended | HttpError::Closed | HttpError::Io(_) => return None,
    })
}

#[derive(Debug)]
struct Reply {
    status: u16,
    reason: &'static str,
    after: Option<Duration>,
    close: bool,
}

impl Reply {
    fn new(status: u16, reason: &'static str) -> Self {
        Reply { status, reason, after: None, close: false }
    }

    fn closing(status: u16, reason: &'static str) -> Self {
        Reply { close: true, ..Reply::new(status, reason) }
    }

    fn after(self, wait: Duration) -> Self {
        Reply { after: Some(wait).filter(|w| !w.is_zero()), ..self }
    }

    fn bytes(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\nContent-Length: 0\r\n", self.status, self.reason);
        if let Some(after) = self.after {
            text.push_str(&format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
        }
        if self.close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}
