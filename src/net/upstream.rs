//! Calls to real servers over HTTP, one at a time on each connection, and the connections kept for them.

use super::figures::Figures;
use super::http::{BODY_MAX, Framing, Head, HttpError, Reader};
use super::inbox::ToOwner;
use super::parcel::Parcel;
use super::pool::{Pool, Pooled};
use super::upgrade::parking::{CallNote, IdleNote, ItemNote, ParkedCall, ParkedIdle, Parking};
use crate::api::LimitReport;
use crate::core::{CallEnd, End, FlowNo, Outcome, ServerNo};
use std::cell::Cell;
use std::collections::BTreeMap;
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
/// How long the rest of an answer may take once its first line is there; then the connection is closed.
const TAIL_TIME: Duration = Duration::from_millis(500);
/// How much of that a delivered flow waits for the report that the answer may carry, and its call for the
/// answer's body.
const REPORT_TIME: Duration = Duration::from_millis(100);
const BODY_TIME: Duration = Duration::from_millis(5);
/// Time within which a call breaks whose connection was gone before it.
const AT_ONCE: Duration = Duration::from_millis(20);
/// A delivery this shortly before the end of a flow's time counts as too late: that time began before the relay
/// read of it, and the platform goes by its own clock. Such a flow ends by a notice, which does no harm.
const LAST_MOMENT: Duration = Duration::from_millis(20);
/// Answers of the 1xx kind before the real one, at most.
const EARLY_MAX: usize = 16;
/// What a message's line takes in a call that several share, beside its id: the key, lengths and line ends.
const BULK_LINE: usize = 256;
/// Longest told wait that is believed: no flow lives so long.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Calls a second and share left that a report may state; anything else is noise.
const RATE_MAX: f64 = 1e6;
const LEFT_MAX: f64 = 2.0;

/// A flow's attempt, as part of a call.
#[derive(Debug, Clone)]
pub struct Item {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// When the flow's time is up.
    pub over_at: Instant,
    /// What to send.
    pub parcel: Rc<Parcel>,
}

/// A call to be made: one attempt, or several that share it where the real server's kind allows that.
#[derive(Debug, Clone)]
pub struct CallOrder {
    /// The attempts, at least one; their ids differ.
    pub items: Vec<Item>,
    /// The real server.
    pub server: ServerNo,
    /// Its address.
    pub address: SocketAddr,
    /// When to stop waiting.
    pub give_up_at: Instant,
}

impl CallOrder {
    /// What an answer says of each attempt.
    fn answers(&self, (status, head, body): &Said) -> Vec<Answer> {
        if self.items.len() == 1 {
            return vec![Answer::read(*status, head.as_ref())];
        }
        let ids: Vec<_> = self.items.iter().map(|i| i.parcel.id.as_str()).collect();
        Answer::read_bulk(&ids, *status, head.as_ref(), body)
    }

    /// Whether another attempt may share the call, of so many at most. Paths that a table gave are nobody's but one
    /// flow's, and a body has its bound.
    pub fn takes(&self, item: &Item, most: usize) -> bool {
        let size = |i: &Item| i.parcel.body.len() + i.parcel.id.len() + BULK_LINE;
        let plain = |i: &Item| i.parcel.routed.is_none();
        let whole: usize = self.items.iter().map(size).sum();
        self.items.len() < most
            && plain(item)
            && self.items.iter().all(|i| plain(i) && i.parcel.id != item.parcel.id)
            && whole + size(item) <= BODY_MAX
    }
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

    /// Whether it is to be stopped.
    pub fn is_stopped(&self) -> bool {
        self.0.stop.get()
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

/// An answer as it was read: its status, its head if that could be read, and its body.
type Said = (u16, Option<Head>, Vec<u8>);

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// Its last byte has not been written.
    Unsent,
    /// It may run.
    Sent,
    /// The first line of its answer says 200 (or all of it, to a call that several share), and was read then.
    Delivered(Instant),
}

#[derive(Debug)]
struct Inner {
    idle: Pool<Reader<TcpStream>>,
    dial_timeout: Duration,
    owner: mpsc::Sender<ToOwner>,
    figures: Figures,
    parking: Parking,
}

/// Why an exchange came to no answer.
#[derive(Debug)]
enum Cut {
    /// It ended so.
    Ended(Outcome),
    /// Another process is to go on with it; if its request is written, on this connection.
    Parked(Option<Reader<TcpStream>>),
}

impl From<Outcome> for Cut {
    fn from(outcome: Outcome) -> Cut {
        Cut::Ended(outcome)
    }
}

/// Makes calls and keeps connections.
#[derive(Debug, Clone)]
pub struct Upstream(Rc<Inner>);

impl Upstream {
    /// A pool with no connections, for so many idle ones. Ends of calls go to `owner`.
    pub fn new(
        dial_timeout: Duration, keepalive: Duration, idle: usize, owner: mpsc::Sender<ToOwner>,
        figures: Figures, parking: Parking,
    ) -> Self {
        let keep = keepalive.mul_f64(KEEP_SHARE);
        Upstream(Rc::new(Inner { idle: Pool::new(keep, idle), dial_timeout, owner, figures, parking }))
    }

    /// Starts a call.
    pub fn call(&self, order: CallOrder) -> Switch {
        let switch = Switch::default();
        self.begin(order, None, Duration::ZERO, &switch);
        switch
    }

    /// Goes on with a call that was parked, with what each of its flows delivers.
    pub fn adopt(&self, call: ParkedCall, parcels: Vec<Rc<Parcel>>) -> Switch {
        let (switch, now) = (Switch::default(), Instant::now());
        let ParkedCall { stream, note } = call;
        let CallNote { items, server, address, left, elapsed, held, stopped, sent } = note;
        if held {
            switch.hold();
        }
        if stopped {
            switch.stop();
        }
        let items = items.into_iter().zip(parcels).map(|(i, parcel)| {
            let ItemNote { flow, attempt, left } = i;
            Item { flow, attempt, over_at: now + left, parcel }
        });
        let order = CallOrder { items: items.collect(), server, address, give_up_at: now + left };
        let connection = stream.and_then(|s| TcpStream::from_std(s).ok()).map(Reader::new);
        // A socket that cannot be had any more had a call on it all the same.
        if sent && connection.is_none() {
            let (this, busy) = (self.clone(), self.0.parking.busy());
            tokio::task::spawn_local(async move {
                let ends = order.items.iter().map(|i| ended(&order, i, Answer::of(Outcome::Broken), elapsed));
                this.tell(ends.collect()).await;
                drop(busy);
            });
            return switch;
        }
        self.begin(order, connection, elapsed, &switch);
        switch
    }

    async fn tell(&self, ends: Vec<CallEnd>) {
        for end in ends {
            // The owner outlives all calls but at exit.
            let _ = self.0.owner.send(ToOwner::CallEnded(end, None)).await;
        }
    }

    fn begin(
        &self, order: CallOrder, connection: Option<Reader<TcpStream>>, before: Duration, switch: &Switch,
    ) {
        let (this, busy, switch) = (self.clone(), self.0.parking.busy(), switch.clone());
        tokio::task::spawn_local(async move {
            this.run(order, connection, before, switch).await;
            drop(busy);
        });
    }

    /// Makes a call, or goes on with one whose request is written on `connection`, `before` later.
    async fn run(
        self, order: CallOrder, connection: Option<Reader<TcpStream>>, before: Duration, switch: Switch,
    ) {
        let started = Instant::now() - before;
        let stage = Cell::new(if connection.is_some() { Stage::Sent } else { Stage::Unsent });
        let made = {
            // Dropping the exchange closes its connection, before the end is told: no second call of the flow
            // can go out while this one is still open.
            let exchange = self.exchange(&order, connection, &switch, &stage);
            tokio::select! {
                biased;
                answer = timeout_at(order.give_up_at, exchange) => answer.ok(),
                () = switch.stopped() => Some(Err(Cut::Ended(Outcome::Withdrawn))),
            }
        };
        let all = |answer| vec![answer; order.items.len()];
        let answers = match (made, stage.get()) {
            (Some(Err(Cut::Parked(connection))), _) => {
                let note = note(&order, started.elapsed(), connection.is_some());
                // If the socket cannot be had any more, whoever goes on takes the call for broken.
                let stream = connection.and_then(|c| c.into_parts().0.into_std().ok());
                return self.0.parking.leave_call(ParkedCall { stream, note });
            }
            (Some(Ok(answers)), _) => answers,
            // Called off or out of time before its last byte was written: it never ran.
            (Some(Err(Cut::Ended(Outcome::Withdrawn))), Stage::Unsent) => all(Answer::of(Outcome::Void)),
            (None, Stage::Unsent) => all(Answer::of(Outcome::Unreachable)),
            // Whatever became of the rest of the answer, its first line was true.
            (_, Stage::Delivered(_)) => all(Answer::of(Outcome::Success)),
            (Some(Err(Cut::Ended(outcome))), _) => all(Answer::of(outcome)),
            (None, Stage::Sent) => all(Answer::of(Outcome::TimedOut)),
        };
        let mut ends = Vec::with_capacity(answers.len());
        for (item, answer) in order.items.iter().zip(answers) {
            tracing::debug!(
                flow = item.flow.0,
                attempt = item.attempt,
                server = order.server.0,
                outcome = ?answer.outcome,
                limit = ?answer.limit,
                elapsed_us = started.elapsed().as_micros() as u64,
                "attempt ended"
            );
            let mut end = ended(&order, item, answer, started.elapsed());
            // Guards the one end of a flow that is answered after its time. A thread that was kept from running
            // finds answer and time-out together; what it reads then was written when the flow was over for
            // whoever handed it in, and its end is still owed.
            if matches!(stage.get(), Stage::Delivered(at) if at + LAST_MOMENT > item.over_at)
                && end.outcome == Outcome::Success
            {
                end.finished = Some(End::Failed);
            }
            ends.push(end);
        }
        self.tell(ends).await;
    }

    async fn exchange(
        &self, order: &CallOrder, written_on: Option<Reader<TcpStream>>, switch: &Switch, stage: &Cell<Stage>,
    ) -> Result<Vec<Answer>, Cut> {
        let (parking, alone) = (Some(&self.0.parking), order.items.len() == 1);
        if let Some(connection) = written_on {
            let said = self.answer(order.server, connection, stage, parking, alone).await?;
            return Ok(self.answers(order, said));
        }
        let (connection, idle) = tokio::select! {
            biased;
            connection = self.connection(order.server, order.address) => connection?,
            () = self.0.parking.opened() => return Err(Cut::Parked(None)),
        };
        if switch.held() {
            // Guards told waits: while this connection came up, another call was told to wait.
            self.0.idle.put(order.server, connection);
            return Err(Outcome::Void.into());
        }
        if self.0.parking.is_open() {
            self.0.idle.put(order.server, connection);
            return Err(Cut::Parked(None));
        }
        let written = Instant::now();
        let request = request(order, written);
        let asked = tokio::select! {
            biased;
            connection = self.write(connection, &request, stage) => connection,
            // Its connection closes before its last byte is written: it never ran.
            () = self.0.parking.opened() => return Err(Cut::Parked(None)),
        };
        let connection = asked?;
        order.items.iter().for_each(|_| self.0.figures.sent());
        let asked = self.answer(order.server, connection, stage, parking, alone).await;
        if let (Err(Cut::Ended(Outcome::Broken)), Some(idle)) = (&asked, idle)
            && written.elapsed() < AT_ONCE
        {
            self.0.idle.broke(idle);
        }
        let said = asked?;
        Ok(self.answers(order, said))
    }

    /// What an answer says of each attempt. A wait that it tells binds, also where it refuses none of them.
    fn answers(&self, order: &CallOrder, said: Said) -> Vec<Answer> {
        let answers = order.answers(&said);
        let told = said.1.as_ref().and_then(|h| h.field("wait-ms")).and_then(told_wait);
        let bound = answers.iter().any(|a| matches!(a.outcome, Outcome::Overloaded { .. }));
        if told.is_some() && !bound && answers.len() > 1 && said.0 == 200 {
            let wait = Outcome::Overloaded { wait: told };
            // Without a wait of our own: what was read must not be cut off here.
            let _ = self.0.owner.try_send(ToOwner::Probed(order.server, wait, None));
        }
        answers
    }

    /// A connection, and how long it was idle if it is not a new one.
    async fn connection(
        &self, server: ServerNo, address: SocketAddr,
    ) -> Result<(Reader<TcpStream>, Option<Duration>), Outcome> {
        match self.0.idle.take(server) {
            Some((connection, idle)) => Ok((connection, Some(idle))),
            None => self.dial(address).await.map(|new| (new, None)).map_err(|e| {
                tracing::debug!(server = server.0, "no connection: {e}");
                Outcome::Unreachable
            }),
        }
    }

    async fn write(
        &self, mut connection: Reader<TcpStream>, request: &[u8], stage: &Cell<Stage>,
    ) -> Result<Reader<TcpStream>, Cut> {
        // Broken before the last byte is written, it never ran; the real server begins with the last byte.
        connection.get_mut().write_all(request).await.map_err(|_| Outcome::Unreachable)?;
        stage.set(Stage::Sent);
        Ok(connection)
    }

    /// Reads the answer to what was written; the connection is kept if it can be used again. With a `parking`, the
    /// connection may have to be left there as long as nothing of the answer has come.
    ///
    /// Guards against spoilt answers. One to a call of one flow (`alone`) whose first line says 200 has delivered,
    /// whatever comes after it. Any other counts for what it says only if it comes whole and can be read: the call has run, and a
    /// spoilt 503 proves nothing.
    async fn answer(
        &self, server: ServerNo, mut connection: Reader<TcpStream>, stage: &Cell<Stage>,
        parking: Option<&Parking>, alone: bool,
    ) -> Result<Said, Cut> {
        let mut others = 0;
        let status = loop {
            let parked = async {
                match parking {
                    Some(parking) => parking.opened().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                begun = connection.begun() => begun.map_err(|_| Outcome::Broken)?,
                () = parked => return Err(Cut::Parked(Some(connection))),
            }
            // What has begun and does not go on is noise, and holds its slot no longer than that.
            let line = timeout(TAIL_TIME, connection.first_line()).await;
            let status = line.ok().and_then(Result::ok).ok_or(Outcome::Broken)?;
            if !(100..200).contains(&status) {
                break status;
            }
            let head = timeout(TAIL_TIME, connection.head()).await;
            others += 1;
            if others > EARLY_MAX || !matches!(head, Ok(Ok(_))) {
                return Err(Outcome::Broken.into());
            }
        };
        if status != 200 || !alone {
            let whole = async {
                let head = connection.head().await?;
                // RFC 9112, 6.3: a 204 and a 304 end with their heads.
                let ends = matches!(status, 204 | 304);
                let framing = if ends { Framing::Length(0) } else { head.framing(Framing::UntilEnd)? };
                let body = connection.body(framing).await?;
                Ok::<_, HttpError>((
                    framing != Framing::UntilEnd && head.keeps_alive(&head.first[0]),
                    head,
                    body,
                ))
            };
            let Ok(Ok((again, head, body))) = timeout(TAIL_TIME, whole).await else {
                return Err(Outcome::Broken.into());
            };
            if again {
                self.0.idle.put(server, connection);
            }
            if status == 200 {
                stage.set(Stage::Delivered(Instant::now()));
            }
            return Ok((status, Some(head), body));
        }
        stage.set(Stage::Delivered(Instant::now()));
        let Ok(Ok(head)) = timeout(REPORT_TIME, connection.head()).await else {
            return Ok((status, None, Vec::new()));
        };
        // The rest only says whether the connection can be used again: the call does not wait for it.
        let (this, framing, keeps) =
            (self.clone(), head.framing(Framing::UntilEnd), head.keeps_alive(&head.first[0]));
        let mut rest = Box::pin(async move {
            let framing = framing.ok().filter(|f| keeps && *f != Framing::UntilEnd)?;
            let body = connection.body(framing).await.ok()?;
            this.0.idle.put(server, connection);
            Some(body)
        });
        if let Ok(body) = timeout(BODY_TIME, &mut rest).await {
            return Ok((status, Some(head), body.unwrap_or_default()));
        }
        tokio::task::spawn_local(timeout(TAIL_TIME, rest));
        Ok((status, Some(head), Vec::new()))
    }

    /// Probes a real server: one of the platform by its report, one that is `foreign` to it by the request that
    /// asks for nothing (RFC 9110, 9.3.7).
    pub fn probe(&self, server: ServerNo, address: SocketAddr, foreign: bool) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let asked = async {
                let (connection, _) = this.connection(server, address).await?;
                let what = if foreign { "OPTIONS *" } else { "GET /stats" };
                let request = format!("{what} HTTP/1.1\r\nHost: {address}\r\n\r\n");
                let stage = Cell::new(Stage::Unsent);
                let connection = this.write(connection, request.as_bytes(), &stage).await?;
                this.answer(server, connection, &stage, None, true).await
            };
            // Another process asks for itself.
            let asked = async {
                tokio::select! {
                    asked = asked => asked,
                    () = this.0.parking.opened() => Err(Outcome::Void.into()),
                }
            };
            let (outcome, report) = match timeout(this.0.dial_timeout, asked).await {
                // What it makes of such a request is its own matter: it answers.
                Ok(Ok((..500, ..))) if foreign => (Outcome::Success, None),
                Ok(Ok((status, head, body))) => probed(status, head.as_ref(), &body),
                Ok(Err(Cut::Ended(outcome))) => (outcome, None),
                Ok(Err(Cut::Parked(_))) => (Outcome::Void, None),
                Err(_) => (Outcome::TimedOut, None),
            };
            tracing::debug!(server = server.0, ?outcome, "probed");
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

    /// Takes all idle connections out, with how long each has been idle.
    pub fn park_idle(&self) -> Vec<ParkedIdle> {
        let idle = self.0.idle.take_all().into_iter();
        let idle = idle.filter_map(|(server, connection, age)| {
            let stream = connection.into_parts().0.into_std().ok()?;
            Some(ParkedIdle { stream, note: IdleNote { server, age } })
        });
        idle.collect()
    }

    /// Takes idle connections in that were taken out elsewhere.
    pub fn adopt_idle(&self, idle: Vec<ParkedIdle>) {
        for ParkedIdle { stream, note } in idle {
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.0.idle.put_aged(note.server, Reader::new(stream), note.age);
            }
        }
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

fn ended(order: &CallOrder, item: &Item, answer: Answer, elapsed: Duration) -> CallEnd {
    let Answer { outcome, finished, limit } = answer;
    let (Item { flow, attempt, .. }, server) = (item, order.server);
    CallEnd { flow: *flow, attempt: *attempt, server, outcome, finished, elapsed, limit }
}

/// What goes with a call that is parked.
fn note(order: &CallOrder, elapsed: Duration, sent: bool) -> CallNote {
    let (now, server, address) = (Instant::now(), order.server, order.address);
    let left = order.give_up_at.saturating_duration_since(now);
    let items = order.items.iter().map(|i| {
        let left = i.over_at.saturating_duration_since(now);
        ItemNote { flow: i.flow, attempt: i.attempt, left }
    });
    // What its switch says may change until it is handed over: the owner, who has that, puts it in.
    let (items, held, stopped) = (items.collect(), false, false);
    CallNote { items, server, address, left, elapsed, sent, held, stopped }
}

fn request(order: &CallOrder, now: Instant) -> Vec<u8> {
    let left = order.give_up_at.saturating_duration_since(now).as_millis();
    let [Item { parcel, .. }] = &order.items[..] else { return bulk_request(order, left) };
    let path = parcel.routed.as_ref().map_or("/inbox", |r| r.path.as_str());
    let mut text =
        format!("POST {path} HTTP/1.1\r\nHost: {}\r\nX-Correlation-Id: {}\r\n", order.address, parcel.id);
    if let Some(key) = &parcel.key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    text.push_str(&format!("X-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n", parcel.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&parcel.body);
    bytes
}

/// Several messages in one call: for each a line with id, key and length, and its bytes.
fn bulk_request(order: &CallOrder, left: u128) -> Vec<u8> {
    let mut body = Vec::new();
    for Item { parcel, .. } in &order.items {
        let key = parcel.key.as_deref().unwrap_or("-");
        body.extend(format!("{} {key} {}\r\n", parcel.id, parcel.body.len()).into_bytes());
        body.extend_from_slice(&parcel.body);
        body.extend(b"\r\n");
    }
    let head = format!(
        "POST /inbox/bulk HTTP/1.1\r\nHost: {}\r\nX-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n",
        order.address,
        body.len()
    );
    [head.into_bytes(), body].concat()
}

/// What the answer to a probe says. Its report may stand in the head or be the body.
fn probed(status: u16, head: Option<&Head>, body: &[u8]) -> (Outcome, Option<LimitReport>) {
    let outcome = match status {
        200 => Outcome::Success,
        429 | 503 => Outcome::Overloaded { wait: None },
        _ => Outcome::Failure,
    };
    let body = std::str::from_utf8(body).unwrap_or_default();
    (outcome, limit(head.and_then(|h| h.field("x-backend-load")).unwrap_or(body)))
}

impl Answer {
    fn of(outcome: Outcome) -> Self {
        Answer { outcome, finished: None, limit: None }
    }

    /// What one answer says of each of several messages. A message that it leaves out, or of which it says two things,
    /// may have run.
    fn read_bulk(ids: &[&str], status: u16, head: Option<&Head>, body: &[u8]) -> Vec<Self> {
        let whole = Answer::read(status, head);
        match status {
            200 => {}
            // It could not be read, or has too many: none has run.
            400 | 413 => {
                tracing::warn!("a call for {} messages is answered {status}", ids.len());
                return vec![Answer::of(Outcome::Void); ids.len()];
            }
            429 | 503 => return vec![whole; ids.len()],
            _ => return vec![Answer::of(Outcome::Failure); ids.len()],
        }
        let wait = head.and_then(|h| h.field("wait-ms")).and_then(told_wait);
        let mut said: BTreeMap<&str, Option<&str>> = BTreeMap::new();
        for line in std::str::from_utf8(body).unwrap_or_default().lines() {
            let mut words = line.split_ascii_whitespace();
            if let (Some(id), Some(word), None) = (words.next(), words.next(), words.next()) {
                let same = said.get(id).is_none_or(|before| *before == Some(word));
                said.insert(id, Some(word).filter(|_| same));
            }
        }
        let of = |id: &&str| {
            let (outcome, finished) = match said.get(id).copied().flatten() {
                Some("delivered") => (Outcome::Success, None),
                Some("failed") => (Outcome::Failure, None),
                Some("refused") => (Outcome::Overloaded { wait }, None),
                Some("over") => (Outcome::Void, Some(End::Over)),
                Some("spent") => (Outcome::Void, None),
                _ => (Outcome::Broken, None),
            };
            Answer { outcome, finished, limit: whole.limit }
        };
        ids.iter().map(of).collect()
    }

    fn read(status: u16, head: Option<&Head>) -> Self {
        let field = |name: &str| head.and_then(|h| h.field(name));
        let outcome = match status {
            200 => Outcome::Success,
            429 => Outcome::Overloaded { wait: field("wait-ms").and_then(told_wait) },
            503 if field("slots-taken").is_some() => Outcome::Void,
            503 => Outcome::Overloaded { wait: None },
            504 | 410 => Outcome::Void,
            _ => Outcome::Failure,
        };
        let finished = (status == 410).then_some(End::Over);
        Answer { outcome, finished, limit: field("x-backend-load").and_then(limit) }
    }
}

/// How long to send nothing, as an answer words it.
fn told_wait(text: &str) -> Option<Duration> {
    let wait = text.parse::<f64>().ok().and_then(crate::settings::duration_ms).filter(|w| !w.is_zero());
    wait.map(|w| w.min(WAIT_MAX))
}

/// Reads `x0=0.4,x1=25`.
fn limit(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pair = text.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name)?;
        pair.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let (left, rate) = (value("x0")?, value("x1")?);
    let plain = (0.0..=LEFT_MAX).contains(&left) && (0.0..=RATE_MAX).contains(&rate);
    plain.then_some(LimitReport { left, rate })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::thread;

    const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: x0=0.5,x1=9\r\n\r\n";

    /// Makes a call that is answered so, and another; their ends, and on how many connections they went.
    fn call(answer: &'static str) -> (CallEnd, CallEnd, usize) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (count, counted) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut first = true;
            for stream in listener.incoming().map_while(Result::ok) {
                count.send(()).unwrap();
                let says = if std::mem::take(&mut first) { answer } else { GOOD };
                thread::spawn(move || {
                    let (mut stream, mut says) = (stream, says);
                    let mut bytes = [0; 4096];
                    while stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                        let _ = stream.write_all(says.as_bytes());
                        says = GOOD;
                    }
                });
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (owner, mut ends) = mpsc::channel(8);
            let second = Duration::from_secs(1);
            let upstream =
                Upstream::new(second, second * 9, 8, owner, Figures::default(), Parking::default());
            let mut seen = Vec::new();
            for flow in 1..=2 {
                let body: Rc<[u8]> = b"ab"[..].into();
                let parcel =
                    Rc::new(Parcel { id: format!("f{flow}"), key: None, mail: None, routed: None, body });
                let (flow, give_up_at) = (FlowNo(flow), Instant::now() + second * 3);
                let items = vec![Item { flow, attempt: 0, over_at: give_up_at, parcel }];
                upstream.call(CallOrder { items, server: ServerNo(1), address, give_up_at });
                match timeout(second * 9, ends.recv()).await.unwrap() {
                    Some(ToOwner::CallEnded(end, _)) => seen.push(end),
                    other => panic!("{other:?}"),
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            (seen[0], seen[1], counted.try_iter().count())
        })
    }

    #[test]
    fn a_spoilt_answer_delivers_by_its_first_line_or_may_have_run_and_its_connection_goes() {
        let long: &'static str = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)).leak();
        let twice: &'static str = format!("{GOOD}{GOOD}").leak();
        let early: &'static str = format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{GOOD}").leak();
        for (answer, outcome, connections) in [
            (GOOD, Outcome::Success, 1),
            (early, Outcome::Success, 1),
            (twice, Outcome::Success, 2),
            (long, Outcome::Success, 2),
            ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", Outcome::Success, 2),
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx", Outcome::Success, 2),
            ("HTTP/1.1 200 OK\r\n: :\r\n\r\n", Outcome::Success, 2),
            ("HTTP/1.1 200 OK\r\nand no more", Outcome::Success, 2),
            ("HTTP/1.1 503 no\r\nContent-Length: 9\r\n\r\nxxxx", Outcome::Broken, 2),
            ("HTTP/1.1 429 no\r\nWait-Ms: 9\r\n:\r\n\r\n", Outcome::Broken, 2),
            ("HTTP/1.1 2000 OK\r\n\r\n", Outcome::Broken, 2),
            ("\u{1}\u{2}noise", Outcome::Broken, 2),
            ("HTTP/1.", Outcome::Broken, 2),
            ("HTTP/1.1 503 no\r\nContent-Length: 2\r\n\r\nno", Outcome::Overloaded { wait: None }, 1),
        ] {
            let (first, second, opened) = call(answer);
            assert_eq!((first.outcome, opened), (outcome, connections), "{answer:.60}");
            assert!(first.elapsed < Duration::from_secs(1), "{answer:.60} took {:?}", first.elapsed);
            assert_eq!(second.outcome, Outcome::Success, "after {answer:.60}");
            assert_eq!(second.limit, Some(LimitReport { left: 0.5, rate: 9.0 }));
        }
    }

    #[test]
    fn an_answer_read_after_the_time_of_its_flow_leaves_the_end_owed() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ms = Duration::from_millis;
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                    thread::sleep(ms(150));
                    let _ = stream.write_all(GOOD.as_bytes());
                }
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (owner, mut ends) = mpsc::channel(8);
            let upstream =
                Upstream::new(ms(1000), ms(9000), 8, owner, Figures::default(), Parking::default());
            // Of a flow with time left, and of one whose time is up as the thread does not get to run.
            for (time, finished) in [(2000, None), (100, Some(End::Failed))] {
                let parcel = Rc::new(Parcel {
                    id: "f".into(),
                    key: None,
                    mail: None,
                    routed: None,
                    body: b"ab"[..].into(),
                });
                let over_at = Instant::now() + ms(time);
                let items = vec![Item { flow: FlowNo(1), attempt: 0, over_at, parcel }];
                upstream.call(CallOrder { items, server: ServerNo(1), address, give_up_at: over_at });
                tokio::time::sleep(ms(50)).await;
                thread::sleep(ms(250));
                match timeout(ms(9000), ends.recv()).await.unwrap() {
                    Some(ToOwner::CallEnded(end, _)) => {
                        assert_eq!((end.outcome, end.finished), (Outcome::Success, finished));
                    }
                    other => panic!("{other:?}"),
                }
            }
        });
    }

    #[test]
    fn a_shared_answer_says_of_each_message_what_became_of_it_or_it_may_have_run() {
        let head = |fields: &str| {
            let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
            Head::parse(text.as_bytes()).unwrap().unwrap().0
        };
        let read = |status, fields: &str, body: &[u8]| {
            let answers = Answer::read_bulk(&["a", "b"], status, Some(&head(fields)), body);
            answers.iter().map(|a| (a.outcome, a.finished)).collect::<Vec<_>>()
        };
        let (well, failed) = ((Outcome::Success, None), (Outcome::Failure, None));
        let (lost, void) = ((Outcome::Broken, None), (Outcome::Void, None));
        let refused =
            |ms| (Outcome::Overloaded { wait: (ms > 0).then_some(Duration::from_millis(ms)) }, None);
        for (body, ends) in [
            (&b"a delivered\r\nb failed\r\n"[..], [well, failed]),
            (b"b spent\na over", [(Outcome::Void, Some(End::Over)), void]),
            // Unknown, doubled, contradictory, left out, and no text at all.
            (b"c delivered\r\nb refused\r\nb refused\r\n", [lost, refused(0)]),
            (b"a delivered\r\na refused\r\nb delivered\r\n", [lost, well]),
            (b"a delivered now\r\nb\r\n", [lost, lost]),
            (b"a DELIVERED\r\n\r\n: :", [lost, lost]),
            (b"a delivered\r\n\xff", [lost, lost]),
            (b"", [lost, lost]),
        ] {
            assert_eq!(read(200, "", body), ends, "{}", String::from_utf8_lossy(body));
        }
        assert_eq!(read(200, "Wait-Ms: 70\r\n", b"a refused\r\nb delivered"), [refused(70), well]);
        assert_eq!(read(429, "Wait-Ms: 70\r\n", b""), [refused(70); 2]);
        assert_eq!(read(503, "", b"a delivered"), [refused(0); 2]);
        assert_eq!(read(413, "", b""), [void; 2]);
        assert_eq!((read(500, "", b""), read(302, "", b"")), (vec![failed; 2], vec![failed; 2]));
    }

    #[test]
    fn only_what_fits_and_is_nobody_s_own_shares_a_call() {
        let item = |id: &str, bytes: usize, routed: bool| {
            let routed = routed.then(|| crate::net::parcel::Routed { path: "/a".into(), key: vec![] });
            let body: Rc<[u8]> = vec![7; bytes].into();
            let parcel = Rc::new(Parcel { id: id.into(), key: None, mail: None, routed, body });
            Item { flow: FlowNo(1), attempt: 0, over_at: Instant::now(), parcel }
        };
        let (address, give_up_at) = (([127, 0, 0, 1], 9).into(), Instant::now());
        let call = CallOrder { items: vec![item("a", 9, false)], server: ServerNo(1), address, give_up_at };
        assert!(call.takes(&item("b", 9, false), 2) && !call.takes(&item("b", 9, false), 1));
        assert!(!call.takes(&item("a", 9, false), 5), "one message twice");
        assert!(!call.takes(&item("b", 9, true), 5) && !call.takes(&item("b", BODY_MAX - 9, false), 5));
    }

    #[test]
    fn a_report_that_cannot_be_true_is_none() {
        for noise in ["", "x0", "x0=a,x1=1", "x0=NaN,x1=1", "x0=0.5,x1=1e300", "x0=-1,x1=2", "x0=0.5"] {
            assert_eq!(limit(noise), None, "{noise}");
        }
    }

    /// Called off or out of time: before its last byte is written a call never ran, and after that it may have.
    #[test]
    fn a_call_that_ends_early_never_ran_until_its_last_byte_is_written() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ms = Duration::from_millis;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (owner, mut ends) = mpsc::channel(8);
            let upstream =
                Upstream::new(ms(9000), ms(9000), 8, owner, Figures::default(), Parking::default());
            // Nobody reads: what is larger than the sockets' buffers is never written whole.
            for (bytes, called_off, outcome) in [
                (64 << 20, true, Outcome::Void),
                (64 << 20, false, Outcome::Unreachable),
                (2, true, Outcome::Withdrawn),
                (2, false, Outcome::TimedOut),
            ] {
                let body: Rc<[u8]> = vec![7; bytes].into();
                let parcel = Rc::new(Parcel { id: "f".into(), key: None, mail: None, routed: None, body });
                let over_at = Instant::now() + ms(300);
                let (flow, attempt, server) = (FlowNo(1), 0, ServerNo(1));
                let (give_up_at, items) = (over_at, vec![Item { flow, attempt, over_at, parcel }]);
                let order = CallOrder { items, server, address, give_up_at };
                let switch = upstream.call(order);
                tokio::time::sleep(ms(100)).await;
                if called_off {
                    switch.stop();
                }
                match timeout(ms(9000), ends.recv()).await.unwrap() {
                    Some(ToOwner::CallEnded(end, _)) => assert_eq!(end.outcome, outcome, "{bytes} bytes"),
                    other => panic!("{other:?}"),
                }
            }
        });
    }
}
