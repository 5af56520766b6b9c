//! Clients that use their connections in various ways until the proxy closes them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::connection::{ANSWER_SLACK, Connection, Outcome};
use crate::endpoints::{answer_body, event};
use crate::ledger::{Ledger, Record};

/// Deadline of most requests.
const DEADLINE_MS: u64 = 900;
/// Longest deadline; longer than the time that any process has left after SIGTERM.
const LONG_DEADLINE_MS: u64 = 8000;
/// Longest time for which all endpoints are full for one request; longer than any process has left after SIGTERM.
const FULL_MAX_MS: u64 = 9000;
/// Longest pause in reading in the middle of an answer.
const READ_PAUSE_MAX_MS: u64 = 2500;
/// Time within which a connection with an incomplete head is closed (`header_timeout_ms` plus a margin for a busy machine).
const INCOMPLETE_HEAD_TIMEOUT: Duration = Duration::from_millis(3000 + 1500);

/// Properties of a request and of the way it is sent.
#[derive(Clone, Copy, Debug)]
struct RequestSpec {
    path: &'static str,
    deadline_ms: u64,
    work_ms: u64,
    answer_bytes: usize,
    body_bytes: usize,
    events: Option<u64>,
    /// Endpoints refuse it for this long after it has first arrived at one.
    full_ms: u64,
    /// The client waits for a `100 Continue` before it sends the body.
    expects_continue: bool,
    /// Sent in two parts with a pause between them.
    is_split: bool,
    /// The client closes its sending half after the request.
    half_closes: bool,
    /// Pause in reading in the middle of the answer.
    pause_ms: u64,
}

const PLAIN_REQUEST: RequestSpec = RequestSpec {
    path: "/r/x",
    deadline_ms: DEADLINE_MS,
    work_ms: 0,
    answer_bytes: 0,
    body_bytes: 4,
    events: None,
    full_ms: 0,
    expects_continue: false,
    is_split: false,
    half_closes: false,
    pause_ms: 0,
};

/// The clients of a run.
pub struct Clients {
    pub ledger: Ledger,
    last_id: Cell<u64>,
}

/// A sent request without an answer so far.
struct SentRequest {
    id: String,
    spec: RequestSpec,
    began: Instant,
    sent: Instant,
}

/// Events on the connection between the sending of a request and its turn to be answered.
#[derive(Clone, Copy, Default)]
struct Preceding {
    /// The preceding answer announced the close of the connection, or was not received.
    is_last_answer: bool,
    /// Time for which the client paused reading in the preceding answer.
    pause_ms: u64,
}

/// Result of reading an answer: whether there is one, and whether it announces the close of the connection.
#[derive(Clone, Copy, PartialEq)]
enum ReceiveResult {
    Open,
    Closing,
    Unanswered,
}

/// A random request.
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
        12 => RequestSpec { deadline_ms: LONG_DEADLINE_MS, full_ms: run.random_below(FULL_MAX_MS), ..plain },
        _ => plain,
    }
}

impl Clients {
    /// Without any requests so far.
    pub fn new() -> Rc<Clients> {
        Rc::new(Clients { ledger: Ledger::default(), last_id: Cell::new(0) })
    }

    /// Runs one client after the other, each with its own connection.
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

    /// Sends some requests on one connection.
    async fn use_connection(&self, run: &Run, edge: usize, mut connection: Connection, is_slow: bool) {
        if run.random_below(3) == 0 {
            run.random_pause(2500).await;
        }
        for _ in 0..=run.random_below(6) {
            let sent = self.send(run, &mut connection, random_request(run, is_slow)).await;
            // Occasionally a second request is pipelined; some of these are longer than the read-ahead of the proxy.
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
            // A connection is used until it is closed, even after an answer that announces the close.
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
            "POST {} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nWork-Ms: {}\r\nAnswer-Bytes: {}\r\nBody-Bytes: {}\r\nFull-Ms: {}\r\n{events}{expect}Content-Length: {}\r\n\r\n",
            spec.path,
            spec.deadline_ms,
            spec.work_ms,
            spec.answer_bytes,
            spec.body_bytes,
            spec.full_ms,
            spec.body_bytes
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

    /// Reads an answer and records the request in the ledger.
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
            // The body was not sent, so the proxy would read the next request as the body.
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
            is_stream: spec.events.is_some(),
            is_idempotent: spec.path == "/i/x",
            has_half_closed: spec.half_closes,
            follows_last_answer: before.is_last_answer,
            expected,
            outcome,
        });
        result
    }

    /// Sends an incomplete head: the connection has to be closed, also during a drain.
    async fn send_incomplete_head(&self, run: &Run, mut connection: Connection) {
        connection.send(b"POST /r/x HTTP/1.1\r\nHost: a.example\r\nX: ").await;
        if matches!(connection.answer(INCOMPLETE_HEAD_TIMEOUT).await, Outcome::TimedOut) {
            run.record_fault("a connection with an incomplete head was not closed".into());
        }
    }
}
