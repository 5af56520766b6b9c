//! Clients that use their connections in every way until the other side is gone.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::connection::{ANSWER_SLACK, Connection, Outcome};
use crate::endpoints::{answer_body, event};
use crate::ledger::{Ledger, Record};

/// What most requests may take, as their clients say.
const DEADLINE_MS: u64 = 900;
/// The most that a request is given; longer than any process has left once it is told to end.
const LONG_DEADLINE_MS: u64 = 8000;
/// The longest that a client reads nothing in the middle of an answer, in ms.
const READ_PAUSE_MAX_MS: u64 = 2500;
/// Bytes that never become a head are closed on by this time (`header_timeout_ms` and what a busy machine adds).
const INCOMPLETE_HEAD_TIMEOUT: Duration = Duration::from_millis(3000 + 1500);

/// What a request asks for, and how it is sent.
#[derive(Clone, Copy, Debug)]
struct RequestSpec {
    path: &'static str,
    deadline_ms: u64,
    work_ms: u64,
    answer_bytes: usize,
    body_bytes: usize,
    events: Option<u64>,
    /// Waits for a `100 Continue` before the body.
    expects_continue: bool,
    /// SentRequest in two parts with a rest between.
    is_split: bool,
    /// The client ends its half of the connection behind it.
    half_closes: bool,
    /// Reads nothing for a while in the middle of the answer.
    pause_ms: u64,
}

const PLAIN_REQUEST: RequestSpec = RequestSpec {
    path: "/r/x",
    deadline_ms: DEADLINE_MS,
    work_ms: 0,
    answer_bytes: 0,
    body_bytes: 4,
    events: None,
    expects_continue: false,
    is_split: false,
    half_closes: false,
    pause_ms: 0,
};

/// All clients of a run.
pub struct Clients {
    pub ledger: Ledger,
    last_id: Cell<u64>,
}

/// A request that was sent and not answered yet.
struct SentRequest {
    id: String,
    spec: RequestSpec,
    began: Instant,
    sent: Instant,
}

/// What came before a request on its connection, since it was sent.
#[derive(Clone, Copy, Default)]
struct Preceding {
    /// The answer before it said that the connection closes, or did not come.
    is_last_answer: bool,
    /// How long its client read nothing in the middle of that.
    pause_ms: u64,
}

/// Whether a request was answered, and what the answer said of its connection.
#[derive(Clone, Copy, PartialEq)]
enum ReceiveResult {
    Open,
    Closing,
    Unanswered,
}

/// What a client asks for next.
fn random_request(run: &Run, is_slow: bool) -> RequestSpec {
    let plain = RequestSpec { work_ms: run.random_below(251), ..PLAIN_REQUEST };
    if is_slow {
        let pause_ms = run.random_below(READ_PAUSE_MAX_MS);
        let answer_bytes = 200_000 + run.random_below(400_000) as usize;
        return RequestSpec { pause_ms, answer_bytes, deadline_ms: 2 * READ_PAUSE_MAX_MS, ..plain };
    }
    match run.random_below(16) {
        0 | 1 => RequestSpec { is_split: true, ..plain },
        2 => RequestSpec {
            body_bytes: 1 + run.random_below(400_000) as usize,
            is_split: true,
            deadline_ms: 2500,
            ..plain
        },
        3 => RequestSpec { answer_bytes: run.random_below(900_000) as usize, deadline_ms: 2500, ..plain },
        4 => {
            RequestSpec { expects_continue: true, body_bytes: 1 + run.random_below(50_000) as usize, ..plain }
        }
        5 => RequestSpec { half_closes: true, ..plain },
        6 => RequestSpec { work_ms: DEADLINE_MS - 150 + run.random_below(300), ..plain },
        7 => RequestSpec { deadline_ms: LONG_DEADLINE_MS, work_ms: 500 + run.random_below(4500), ..plain },
        8 | 9 => RequestSpec { path: "/i/x", ..plain },
        10 | 11 => RequestSpec {
            path: "/s/x",
            events: Some(1 + run.random_below(12)),
            work_ms: run.random_below(700),
            ..plain
        },
        _ => plain,
    }
}

impl Clients {
    /// Nobody has asked yet.
    pub fn new() -> Rc<Clients> {
        Rc::new(Clients { ledger: Ledger::default(), last_id: Cell::new(0) })
    }

    /// One client after the other, each with a connection of its own.
    pub async fn client(self: Rc<Clients>, run: Rc<Run>) {
        while !run.is_traffic_over.get() {
            let edge = run.random_below(run.edges.len() as u64) as usize;
            let is_slow = run.random_below(6) == 0;
            match Connection::open(run.front(edge), is_slow).await {
                Ok(connection) if run.random_below(24) == 0 => {
                    self.send_incomplete_head(&run, connection).await
                }
                Ok(connection) => self.use_connection(&run, edge, connection, is_slow).await,
                Err(_) => run.random_pause(40).await,
            }
        }
    }

    /// Some requests on one connection.
    async fn use_connection(&self, run: &Run, edge: usize, mut connection: Connection, is_slow: bool) {
        if run.random_below(3) == 0 {
            run.random_pause(2500).await;
        }
        for _ in 0..=run.random_below(6) {
            let sent = self.send(run, &mut connection, random_request(run, is_slow)).await;
            // A second request before the answer to the first, now and then longer than what is read ahead.
            let second = if !sent.spec.half_closes && run.random_below(8) == 0 {
                let body_bytes = if run.random_below(2) == 0 { 200_000 } else { 4 };
                let spec = RequestSpec {
                    work_ms: run.random_below(100),
                    body_bytes,
                    deadline_ms: 4000,
                    ..PLAIN_REQUEST
                };
                Some(self.send(run, &mut connection, spec).await)
            } else {
                None
            };
            let may_continue = !sent.spec.half_closes;
            let pause_ms = sent.spec.pause_ms;
            let mut result = self.receive(run, edge, &mut connection, sent, Preceding::default()).await;
            if let Some(second) = second {
                let before = Preceding { is_last_answer: result != ReceiveResult::Open, pause_ms };
                result = self.receive(run, edge, &mut connection, second, before).await;
            }
            // A connection is used until it is gone, also behind an answer that says that it closes.
            if result == ReceiveResult::Unanswered || !may_continue || run.is_traffic_over.get() {
                return;
            }
            if run.random_below(2) == 0 {
                run.random_pause(1500).await;
            }
        }
    }

    async fn send(&self, run: &Run, connection: &mut Connection, spec: RequestSpec) -> SentRequest {
        self.last_id.set(self.last_id.get() + 1);
        let id = format!("r{}", self.last_id.get());
        let events = spec.events.map_or(String::new(), |count| format!("Events: {count}\r\n"));
        let expect = if spec.expects_continue { "Expect: 100-continue\r\n" } else { "" };
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nWork-Ms: {}\r\nAnswer-Bytes: {}\r\nBody-Bytes: {}\r\n{events}{expect}Content-Length: {}\r\n\r\n",
            spec.path, spec.deadline_ms, spec.work_ms, spec.answer_bytes, spec.body_bytes, spec.body_bytes
        );
        let body = vec![b'b'; spec.body_bytes];
        let began = Instant::now();
        if spec.expects_continue {
            connection.send(head.as_bytes()).await;
            if connection.receives_continue(Duration::from_millis(spec.deadline_ms) + ANSWER_SLACK).await {
                connection.send(&body).await;
            }
        } else {
            let text = [head.into_bytes(), body].concat();
            let first =
                if spec.is_split { 1 + run.random_below(text.len() as u64 - 1) as usize } else { text.len() };
            connection.send(&text[..first]).await;
            if first < text.len() {
                run.random_pause(spec.deadline_ms).await;
                connection.send(&text[first..]).await;
            }
        }
        if spec.half_closes {
            connection.finish_sending().await;
        }
        SentRequest { id, spec, began, sent: Instant::now() }
    }

    /// Reads an answer.
    async fn receive(
        &self, run: &Run, edge: usize, connection: &mut Connection, sent: SentRequest, before: Preceding,
    ) -> ReceiveResult {
        let SentRequest { id, spec, began, sent } = sent;
        let timeout = Duration::from_millis(spec.deadline_ms) + ANSWER_SLACK;
        if spec.pause_ms > 0 && connection.read_some(timeout).await {
            run.sleep(Duration::from_millis(spec.pause_ms)).await;
        }
        let outcome = connection.answer(timeout).await;
        let result = match &outcome {
            // Its body was not sent: what follows would be taken for that.
            Outcome::Answered(answer) if spec.expects_continue && answer.status != 200 => {
                ReceiveResult::Unanswered
            }
            Outcome::Answered(answer) if answer.closes => ReceiveResult::Closing,
            Outcome::Answered(_) => ReceiveResult::Open,
            _ => ReceiveResult::Unanswered,
        };
        let expected = match spec.events {
            Some(count) => (1..=count).flat_map(|number| event(&id, number).0.into_bytes()).collect(),
            None => answer_body(&id, spec.answer_bytes),
        };
        self.ledger.add(Record {
            id,
            request: format!("{spec:?}"),
            edge,
            began,
            sent,
            ended: Instant::now(),
            deadline: Duration::from_millis(spec.deadline_ms),
            paused: Duration::from_millis(before.pause_ms + spec.pause_ms),
            is_idempotent: spec.path == "/i/x",
            has_half_closed: spec.half_closes,
            follows_last_answer: before.is_last_answer,
            expected,
            outcome,
        });
        result
    }

    /// Bytes that never become a head: the connection is closed, at a drain as well.
    async fn send_incomplete_head(&self, run: &Run, mut connection: Connection) {
        connection.send(b"POST /r/x HTTP/1.1\r\nHost: a.example\r\nX: ").await;
        if matches!(connection.answer(INCOMPLETE_HEAD_TIMEOUT).await, Outcome::TimedOut) {
            run.record_fault("a head that never ends was held".into());
        }
    }
}
