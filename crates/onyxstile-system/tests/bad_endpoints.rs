//! Misbehaving endpoints: connections closed early, answers with a wrong id, without a seal, duplicated, or missing. A
//! call that may have run and must not run twice is never resent, and only a complete answer of the endpoint is
//! forwarded as one.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use support::listener::{field, listen, read_head};
use support::tier::{Answer, LIMITS, Tier, request_until, run_test, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Behaviour of an endpoint on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Answers correctly.
    Correct,
    /// Executes the request and closes the connection without an answer.
    ClosesConnection,
    /// Answers with another request's id.
    WrongId,
    /// Answers without a seal.
    MissingSeal,
    /// Closes the connection in the middle of the body.
    Truncated,
    /// Sends bytes that are not a valid answer.
    Malformed,
    /// Answers correctly and then sends a second, unrequested answer.
    Duplicate,
    /// States that the request was not executed.
    NotExecuted,
    /// Executes the request, and a refusal without an id arrives instead of the answer.
    RefusesWithoutId,
    /// Answers 500 with its seal.
    ServerError,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Starts an answer without a length and resets the connection.
    UnframedReset,
    /// Executes the request and resets the connection before answering.
    ResetsConnection,
    /// Resets the connection in the middle of the answer's head.
    ResetsInHead,
    /// Answers correctly and resets the connection shortly afterwards, while it is idle.
    ResetsWhenIdle,
}

/// Behaviours after which it is unknown whether a request was executed.
const MAY_HAVE_RUN: [Behaviour; 8] = [
    Behaviour::ClosesConnection,
    Behaviour::WrongId,
    Behaviour::MissingSeal,
    Behaviour::Truncated,
    Behaviour::Malformed,
    Behaviour::UnframedReset,
    Behaviour::ResetsConnection,
    Behaviour::ResetsInHead,
];

/// State of both endpoints: the first arrival of a request meets the configured behaviour, later ones are answered
/// correctly.
struct Script {
    behaviour: Cell<Behaviour>,
    runs: RefCell<BTreeMap<String, u32>>,
}

impl Script {
    fn runs(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Returns the behaviour for a request and counts its execution, unless it is refused.
    fn next_behaviour(&self, id: &str) -> Behaviour {
        let behaviour = if self.runs(id) > 0 { Behaviour::Correct } else { self.behaviour.get() };
        if behaviour != Behaviour::NotExecuted {
            *self.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        }
        behaviour
    }
}

async fn endpoint(script: Rc<Script>) -> SocketAddrV4 {
    listen(move |stream| serve(stream, script.clone())).await
}

/// An endpoint at its connection limit: it resets each new connection.
async fn full_endpoint() -> SocketAddrV4 {
    listen(|stream| async move { reset(&stream) }).await
}

async fn serve(mut stream: TcpStream, script: Rc<Script>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        let id = field(&head, "request-id").expect("an id");
        let answer = |id: &str, seal: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{seal}Content-Length: {length}\r\n\r\n{body}")
        };
        let seal = "Response-Seal: s\r\n";
        let complete = answer(&id, seal, &format!("for {id}"));
        let behaviour = script.next_behaviour(&id);
        let bytes = match behaviour {
            Behaviour::Correct => complete,
            Behaviour::ClosesConnection => return,
            Behaviour::WrongId => answer("another", seal, "for another request"),
            Behaviour::MissingSeal => answer(&id, "", "no seal"),
            Behaviour::Truncated => complete[..complete.len() - 2].to_owned(),
            Behaviour::Malformed => "not an HTTP answer\r\n\r\n".to_owned(),
            Behaviour::Duplicate => complete + &answer("late", seal, "for nobody"),
            Behaviour::NotExecuted => {
                format!(
                    "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            }
            Behaviour::RefusesWithoutId => {
                "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Behaviour::Unframed => unframed(&id, &format!("for {id}")),
            Behaviour::UnframedReset => unframed(&id, "for"),
            Behaviour::ResetsConnection => return reset(&stream),
            Behaviour::ResetsInHead => complete[..20].to_owned(),
            Behaviour::ResetsWhenIdle => complete,
            Behaviour::ServerError => answer(&id, seal, "it failed").replace("200 OK", "500 Error"),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match behaviour {
            Behaviour::Truncated | Behaviour::Unframed => return,
            Behaviour::UnframedReset | Behaviour::ResetsInHead => {
                return reset(&stream);
            }
            Behaviour::ResetsWhenIdle => return reset(&stream),
            _ => {}
        }
    }
}

fn unframed(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n{body}")
}

/// Makes the connection reset when it is dropped.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the option");
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":3000,"target_latency_ms":200,"priority":0,"service":"api","max_attempts":2}}"#
        )
    };
    format!(
        r#"{{"revision":1,"routes":[{},{}],"services":[{{"name":"api","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}],"limits":{LIMITS}}}"#,
        route("once", "non_idempotent"),
        route("often", "idempotent")
    )
}

struct Scenario {
    tier: Tier,
    script: Rc<Script>,
    last: Cell<u32>,
}

impl Scenario {
    async fn start(name: &str) -> Scenario {
        let script = Rc::new(Script { behaviour: Cell::new(Behaviour::Correct), runs: RefCell::default() });
        let other = endpoint(script.clone()).await;
        Scenario::with(name, script, other).await
    }

    /// Starts two endpoints: a scripted one and `other`.
    async fn with(name: &str, script: Rc<Script>, other: SocketAddrV4) -> Scenario {
        let one = endpoint(script.clone()).await;
        let endpoints = [("i-1", "api", one), ("i-2", "api", other)];
        let tier = Tier::start(name, &configuration(), &endpoints).await;
        let scenario = Scenario { tier, script, last: Cell::new(0) };
        // The endpoints are announced to the proxy shortly after it is ready.
        while scenario.ask("often", Behaviour::Correct).await.1.status != 200 {}
        scenario
    }

    /// Sends a request that meets the given behaviour; returns its id and answer.
    async fn ask(&self, route: &str, behaviour: Behaviour) -> (String, Answer) {
        self.script.behaviour.set(behaviour);
        self.last.set(self.last.get() + 1);
        let id = format!("r{}", self.last.get());
        // Where a version is expected, 421 refuses only this call and not the endpoint.
        let headers = [("request-id", id.as_str()), ("deadline-ms", "2500"), ("expect-version", "v1")];
        let answer = send_request(self.tier.front(), "POST", &format!("/{route}/x"), &headers, "body").await;
        (id, answer.expect("an answer"))
    }
}

#[test]
fn a_call_that_may_have_run_and_must_not_run_twice_is_never_resent() {
    run_test(async {
        let scenario = Scenario::start("once").await;
        for behaviour in MAY_HAVE_RUN {
            let (id, answer) = scenario.ask("once", behaviour).await;
            assert_eq!(answer.status, 502, "{behaviour:?}");
            assert_eq!(scenario.script.runs(&id), 1, "{behaviour:?}");
            assert!(!answer.headers.contains_key("response-seal"), "{behaviour:?}");
        }
        let (id, answer) = scenario.ask("once", Behaviour::ServerError).await;
        assert_eq!((answer.status.as_u16(), scenario.script.runs(&id)), (500, 1));
        assert_eq!(answer.headers["response-seal"], "s", "an endpoint's own error is forwarded unchanged");
    });
}

#[test]
fn a_repeatable_call_is_answered_by_another_endpoint() {
    run_test(async {
        let scenario = Scenario::start("often").await;
        for behaviour in MAY_HAVE_RUN.into_iter().chain([Behaviour::ServerError]) {
            let (id, answer) = scenario.ask("often", behaviour).await;
            assert_eq!(answer.status, 200, "{behaviour:?}");
            assert_eq!(answer.body.expect("a complete answer"), format!("for {id}"), "{behaviour:?}");
            assert!(scenario.script.runs(&id) <= 2, "{behaviour:?}");
        }
    });
}

#[test]
fn a_call_that_was_not_executed_is_answered_with_a_retry_time() {
    run_test(async {
        let scenario = Scenario::start("refused").await;
        for route in ["once", "often"] {
            let (id, answer) = scenario.ask(route, Behaviour::NotExecuted).await;
            assert_eq!((answer.status.as_u16(), scenario.script.runs(&id)), (503, 0), "{route}");
            assert!(answer.headers.contains_key("retry-after"), "{route}");
        }
    });
}

#[test]
fn an_unrequested_answer_is_not_forwarded() {
    run_test(async {
        let scenario = Scenario::start("surplus").await;
        for round in 0..10 {
            let behaviour = if round % 2 == 0 { Behaviour::Duplicate } else { Behaviour::Correct };
            let (id, answer) = scenario.ask("often", behaviour).await;
            assert_eq!(answer.status, 200, "round {round}");
            assert_eq!(answer.headers["request-id"], id.as_str(), "round {round}");
            assert_eq!(answer.body.expect("a complete answer"), format!("for {id}"), "round {round}");
        }
    });
}

/// Guards against sending calls that must not run twice on connections beyond the endpoint's limit, which are reset.
/// With 14 connections per endpoint, 16 calls ended with 502 although no endpoint had received them.
#[test]
fn a_call_that_must_not_run_twice_is_not_sent_on_a_connection_beyond_the_limit() {
    run_test(async {
        let script = Rc::new(Script { behaviour: Cell::new(Behaviour::Correct), runs: RefCell::default() });
        let scenario = Scenario::with("full", script, full_endpoint().await).await;
        for round in 0..20 {
            let (id, answer) = scenario.ask("once", Behaviour::Correct).await;
            assert_eq!(answer.status, 200, "round {round}");
            assert_eq!(scenario.script.runs(&id), 1, "round {round}");
        }
    });
}

/// An endpoint that gives the first send of each request the answer `first`. To another send of a request on the same
/// connection it repeats that answer, late, before its own.
async fn repeating_endpoint(script: Rc<Script>, first: &'static str) -> SocketAddrV4 {
    let known: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    listen(move |stream| answer_and_repeat(stream, script.clone(), known.clone(), first)).await
}

async fn answer_and_repeat(
    mut stream: TcpStream, script: Rc<Script>, known: Rc<RefCell<BTreeSet<String>>>, first: &'static str,
) {
    let (mut buffer, mut carried) = (Vec::new(), BTreeSet::new());
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        let id = field(&head, "request-id").expect("an id");
        let first_answer = format!("HTTP/1.1 {first}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        let is_known = !known.borrow_mut().insert(id.clone());
        let mut answers = String::new();
        if !is_known || carried.contains(&id) {
            answers += &first_answer;
        }
        if is_known {
            *script.runs.borrow_mut().entry(id.clone()).or_default() += 1;
            answers += &format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nran"
            );
        }
        carried.insert(id);
        if stream.write_all(answers.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against TWICE: a late copy of a refusal was taken for the answer to the next send of the same request, which
/// had run and was sent once more (review/2).
#[test]
fn a_late_copy_of_an_earlier_answer_is_not_taken_for_the_answer_to_a_resend() {
    run_test(async {
        let refusals =
            ["503 Full\r\nNot-Executed: 1", "429 Slow\r\nNot-Executed: 1", "421 Moved\r\nNot-Executed: 1"];
        let error = "500 Error\r\nResponse-Seal: s";
        let once = refusals.map(|refusal| ("once", refusal));
        for (route, first) in once.into_iter().chain([("often", error)]) {
            let script =
                Rc::new(Script { behaviour: Cell::new(Behaviour::Correct), runs: RefCell::default() });
            let endpoint = repeating_endpoint(script.clone(), first).await;
            let tier = Tier::start("late-copy", &configuration(), &[("i-1", "api", endpoint)]).await;
            let scenario = Scenario { tier, script, last: Cell::new(0) };
            // The endpoint is announced to the proxy shortly after it is ready.
            while scenario.ask("often", Behaviour::Correct).await.1.status != 200 {}
            for round in 0..10 {
                let (id, answer) = scenario.ask(route, Behaviour::Correct).await;
                assert_eq!(answer.status, 200, "{first:?}, round {round}");
                assert_eq!(scenario.script.runs(&id), 1, "{first:?}, round {round}");
            }
        }
    });
}

/// Guards against TWICE: an answer without an id is nobody's, also if it says that the request was not executed.
#[test]
fn a_refusal_without_an_id_does_not_refuse_a_call_that_may_have_run() {
    run_test(async {
        let scenario = Scenario::start("no-id").await;
        let (id, answer) = scenario.ask("once", Behaviour::RefusesWithoutId).await;
        assert_eq!((answer.status.as_u16(), scenario.script.runs(&id)), (502, 1));
    });
}

/// An answer without a length ends with its connection. Guards against treating it as lost, and as 502 if the call must
/// not run twice.
#[test]
fn an_answer_without_a_length_is_complete_unless_its_connection_is_reset() {
    run_test(async {
        let scenario = Scenario::start("unframed").await;
        for round in 0..10 {
            for route in ["once", "often"] {
                let (id, answer) = scenario.ask(route, Behaviour::Unframed).await;
                assert_eq!(
                    (answer.status.as_u16(), scenario.script.runs(&id)),
                    (200, 1),
                    "{route}, round {round}"
                );
                assert_eq!(answer.headers["response-seal"], "s", "{route}, round {round}");
                assert_eq!(
                    answer.body.expect("a complete answer"),
                    format!("for {id}"),
                    "{route}, round {round}"
                );
            }
        }
    });
}

/// A pooled connection may be reset before, while or after the next request is written; each request runs at most once.
#[test]
fn a_reset_of_an_idle_connection_repeats_no_call() {
    run_test(async {
        let scenario = Scenario::start("at-rest").await;
        let mut answered = 0;
        for round in 0..40 {
            let (id, answer) = scenario.ask("once", Behaviour::ResetsWhenIdle).await;
            assert!(scenario.script.runs(&id) <= 1, "round {round}");
            match answer.status.as_u16() {
                200 => answered += 1,
                // The reset crossed the request: it is unknown whether it was executed.
                502 => {}
                other => panic!("round {round}: {other}"),
            }
        }
        assert!(answered >= 20, "{answered} of 40");
    });
}

/// An endpoint that answers as soon as it has received a request's head, keeps the connection open and reads the body
/// afterwards. Counts bodies that contain other bytes than `b`, that is, bytes of another request.
async fn early_endpoint(corrupted: Rc<Cell<u32>>) -> SocketAddrV4 {
    listen(move |stream| answer_early(stream, corrupted.clone())).await
}

async fn answer_early(mut stream: TcpStream, corrupted: Rc<Cell<u32>>) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let id = field(&head, "request-id")?;
        let length = field(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
        buffer.drain(..end);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nearly"
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
        while buffer.len() < length {
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
        if buffer.drain(..length).any(|byte| byte != b'b') {
            corrupted.set(corrupted.get() + 1);
        }
    }
}

#[test]
fn an_answer_before_the_end_of_the_body_does_not_mix_requests() {
    run_test(async {
        let corrupted: Rc<Cell<u32>> = Rc::default();
        let (one, other) = (early_endpoint(corrupted.clone()).await, early_endpoint(corrupted.clone()).await);
        let configuration = configuration().replace("65536", "4194304");
        let tier = Tier::start("early", &configuration, &[("i-1", "api", one), ("i-2", "api", other)]).await;
        // The endpoints are announced to the proxy shortly after it is ready.
        let headers = [("request-id", "first"), ("deadline-ms", "2500")];
        request_until(200, tier.front(), "POST", "/often/x", &headers, "b").await;
        let body = "b".repeat(700_000);
        for round in 0..60 {
            let id = format!("r{round}");
            let headers = [("request-id", id.as_str()), ("deadline-ms", "2500")];
            let route = if round % 2 == 0 { "/once/x" } else { "/often/x" };
            let answer = send_request(tier.front(), "POST", route, &headers, &body).await.expect("an answer");
            assert_eq!(answer.status, 200, "round {round}");
            assert_eq!(answer.headers["request-id"], id.as_str(), "round {round}");
        }
        assert_eq!(corrupted.get(), 0, "bytes of another request were read as part of a body");
    });
}
