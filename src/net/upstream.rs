//! Calls to real servers over HTTP, one at a time on each connection, and the connections kept for them.

use super::http::{Framing, Head, HttpError, Reader};
use super::owner::ToOwner;
use super::parcel::Parcel;
use super::pool::{Pool, Pooled};
use crate::api::LimitReport;
use crate::core::{CallEnd, End, FlowNo, Outcome, ServerNo};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout, timeout_at};

/// Share of the platform's keep-alive time for which an idle connection is kept: a request that crosses the
/// other side's closing ends as a reset, which may have run.
const KEEP_SHARE: f64 = 0.85;
/// How long the rest of an answer may take once its outcome is known; then the connection is closed.
const TAIL_TIME: Duration = Duration::from_millis(500);
/// A call to be made.
#[derive(Debug, Clone)]
pub struct CallOrder {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// The real server.
    pub server: ServerNo,
    /// Its address.
    pub address: SocketAddr,
    /// When to stop waiting.
    pub give_up_at: Instant,
    /// What to send.
    pub parcel: Rc<Parcel>,
}

#[derive(Debug, Default)]
struct SwitchState {
    stop: Cell<bool>,
    hold: Cell<bool>,
    wake: Notify,
}

/// Acts on a call that is being made.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<SwitchState>);

impl Switch {
    /// Stop waiting for it.
    pub fn stop(&self) {
        self.0.stop.set(true);
        self.0.wake.notify_one();
    }

    /// If nothing of it has been written, do not write it.
    pub fn hold(&self) {
        self.0.hold.set(true);
    }

    /// Whether it must not be written any more.
    pub fn held(&self) -> bool {
        self.0.hold.get()
    }

    /// Returns once it is to be stopped.
    pub async fn stopped(&self) {
        while !self.0.stop.get() {
            self.0.wake.notified().await;
        }
    }
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    outcome: Outcome,
    finished: Option<End>,
    limit: Option<LimitReport>,
}

#[derive(Debug)]
struct Inner {
    idle: Pool<Reader<TcpStream>>,
    dial_timeout: Duration,
    owner: mpsc::Sender<ToOwner>,
}

/// Makes calls and keeps connections.
#[derive(Debug, Clone)]
pub struct Upstream(Rc<Inner>);

impl Upstream {
    /// A pool with no connections. Ends of calls go to `owner`.
    pub fn new(dial_timeout: Duration, keepalive: Duration, owner: mpsc::Sender<ToOwner>) -> Self {
        let keep = keepalive.mul_f64(KEEP_SHARE);
        Upstream(Rc::new(Inner { idle: Pool::new(keep), dial_timeout, owner }))
    }

    /// Starts a call.
    pub fn call(&self, order: CallOrder) -> Switch {
        let switch = Switch::default();
        tokio::task::spawn_local(self.clone().run(order, switch.clone()));
        switch
    }

    async fn run(self, order: CallOrder, switch: Switch) {
        let started = Instant::now();
        let sent = Cell::new(false);
        let made = {
            // Dropping the exchange closes its connection, before the end is told: no second call of the flow
            // can go out while this one is still open.
            let exchange = self.exchange(&order, &switch, &sent);
            tokio::select! {
                biased;
                answer = timeout_at(order.give_up_at, exchange) => answer.ok(),
                () = switch.stopped() => Some(Err(Outcome::Withdrawn)),
            }
        };
        let answer = match (made, sent.get()) {
            (Some(Ok(answer)), _) => answer,
            // Called off or out of time before its last byte was written: it never ran.
            (Some(Err(Outcome::Withdrawn)), false) => Answer::of(Outcome::Void),
            (None, false) => Answer::of(Outcome::Unreachable),
            (Some(Err(outcome)), _) => Answer::of(outcome),
            (None, true) => Answer::of(Outcome::TimedOut),
        };
        log::debug!(
            "flow {} attempt {} to {}: {:?} after {:?}",
            order.flow.0,
            order.attempt,
            order.server.0,
            answer.outcome,
            started.elapsed()
        );
        let Answer { outcome, finished, limit } = answer;
        let CallOrder { flow, attempt, server, .. } = order;
        let end = CallEnd { flow, attempt, server, outcome, finished, elapsed: started.elapsed(), limit };
        // The owner outlives all calls but at exit.
        let _ = self.0.owner.send(ToOwner::CallEnded(end, None)).await;
    }

    async fn exchange(
        &self, order: &CallOrder, switch: &Switch, sent: &Cell<bool>,
    ) -> Result<Answer, Outcome> {
        let connection = self.connection(order.server, order.address).await?;
        if switch.held() {
            // Guards told waits: while this connection came up, another call was told to wait.
            self.0.idle.put(order.server, connection);
            return Err(Outcome::Void);
        }
        let request = request(order, Instant::now());
        let (head, _) = self.ask(order.server, connection, &request, sent).await?;
        Answer::read(&head).ok_or(Outcome::Broken)
    }

    async fn connection(&self, server: ServerNo, address: SocketAddr) -> Result<Reader<TcpStream>, Outcome> {
        match self.0.idle.take(server) {
            Some(connection) => Ok(connection),
            None => self.dial(address).await.map_err(|e| {
                log::debug!("real server {}: {e}", server.0);
                Outcome::Unreachable
            }),
        }
    }

    /// Writes a request and reads its answer; the connection is kept if it can be used again.
    async fn ask(
        &self, server: ServerNo, mut connection: Reader<TcpStream>, request: &[u8], sent: &Cell<bool>,
    ) -> Result<(Head, Vec<u8>), Outcome> {
        // Broken before the last byte is written, it never ran; the real server begins with the last byte.
        connection.get_mut().write_all(request).await.map_err(|_| Outcome::Unreachable)?;
        sent.set(true);
        let head = loop {
            let head = connection.head().await.map_err(|_| Outcome::Broken)?;
            if !head.first[1].starts_with('1') {
                break head;
            }
        };
        // The outcome is known; the rest only says whether the connection can be used again.
        let rest = async {
            let framing = head.framing(Framing::UntilEnd)?;
            let body = connection.body(framing).await?;
            Ok::<_, HttpError>((framing != Framing::UntilEnd && head.keeps_alive(&head.first[0]), body))
        };
        let mut body = Vec::new();
        if let Ok(Ok((again, read))) = timeout(TAIL_TIME, rest).await {
            body = read;
            if again {
                self.0.idle.put(server, connection);
            }
        }
        Ok((head, body))
    }

    /// Probes a real server.
    pub fn probe(&self, server: ServerNo, address: SocketAddr) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let asked = async {
                let connection = this.connection(server, address).await?;
                let request = format!("GET /stats HTTP/1.1\r\nHost: {address}\r\n\r\n");
                this.ask(server, connection, request.as_bytes(), &Cell::new(false)).await
            };
            let (outcome, report) = match timeout(this.0.dial_timeout, asked).await {
                Ok(Ok((head, body))) => probed(&head, &body),
                Ok(Err(outcome)) => (outcome, None),
                Err(_) => (Outcome::TimedOut, None),
            };
            log::debug!("probe of {}: {outcome:?}", server.0);
            let _ = this.0.owner.send(ToOwner::Probed(server, outcome, report)).await;
        });
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<Reader<TcpStream>> {
        let stream = timeout(self.0.dial_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Reader::new(stream))
    }

    /// Closes the idle connections to a real server.
    pub fn release(&self, server: ServerNo) {
        self.0.idle.release(server);
    }

    /// Closes idle connections in time, for as long as the program runs.
    pub async fn sweep(self) {
        self.0.idle.sweep().await;
    }
}

impl Pooled for Reader<TcpStream> {
    fn stream(&mut self) -> &mut TcpStream {
        self.get_mut()
    }

    fn has_more(&self) -> bool {
        Reader::has_more(self)
    }
}

fn request(order: &CallOrder, now: Instant) -> Vec<u8> {
    let left = order.give_up_at.saturating_duration_since(now).as_millis();
    let parcel = &order.parcel;
    let mut text =
        format!("POST /inbox HTTP/1.1\r\nHost: {}\r\nX-Correlation-Id: {}\r\n", order.address, parcel.id);
    if let Some(key) = &parcel.key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    text.push_str(&format!("X-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n", parcel.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&parcel.body);
    bytes
}

/// What the answer to a probe says. Its report may stand in the head or be the body.
fn probed(head: &Head, body: &[u8]) -> (Outcome, Option<LimitReport>) {
    let outcome = match head.first[1].as_str() {
        "200" => Outcome::Success,
        "429" | "503" => Outcome::Overloaded { wait: None },
        _ => Outcome::Failure,
    };
    let body = std::str::from_utf8(body).unwrap_or_default();
    (outcome, limit(head.field("x-backend-load").unwrap_or(body)))
}

impl Answer {
    fn of(outcome: Outcome) -> Self {
        Answer { outcome, finished: None, limit: None }
    }

    fn read(head: &Head) -> Option<Self> {
        if !head.first[0].starts_with("HTTP/1.") {
            return None;
        }
        let status: u16 = head.first[1].parse().ok()?;
        let outcome = match status {
            200..=299 => Outcome::Success,
            429 => {
                let wait = head.field("wait-ms").and_then(|v| v.parse::<f64>().ok());
                let wait = wait.and_then(crate::settings::duration_ms).filter(|w| !w.is_zero());
                Outcome::Overloaded { wait }
            }
            503 if head.field("slots-taken").is_some() => Outcome::Void,
            503 => Outcome::Overloaded { wait: None },
            504 | 410 => Outcome::Void,
            _ => Outcome::Failure,
        };
        let finished = (status == 410).then_some(End::Over);
        Some(Answer { outcome, finished, limit: head.field("x-backend-load").and_then(limit) })
    }
}

/// Reads `x0=0.4,x1=25`.
fn limit(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pair = text.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name)?;
        pair.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    Some(LimitReport { left: value("x0")?, rate: value("x1")? })
}
