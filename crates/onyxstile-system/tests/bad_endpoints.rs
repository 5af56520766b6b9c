//! Endpoints that break off, answer for another request, without a seal, twice, or not at all: what may have run and may not
//! run twice is never sent again, and nothing that is not the endpoint's whole answer looks like one.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use support::listener::{field, listen, read_head};
use support::tier::{Answer, LIMITS, Tier, ask, play};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mood {
    /// Answers as it should.
    Well,
    /// Runs it and closes the connection without a word.
    Closes,
    /// Answers for another request.
    OtherId,
    /// Answers without a seal.
    NoSeal,
    /// Breaks off in the midst of the body.
    CutShort,
    /// Sends bytes that are no answer.
    Garbage,
    /// Answers well, and then once more for nobody.
    Twice,
    /// Says that it did not run it.
    Refuses,
    /// Answers 500 with its seal.
    Fails,
    /// Answers without a length and ends the connection.
    Unframed,
    /// Begins an answer without a length and resets the connection.
    UnframedReset,
    /// Runs it and resets the connection, not a byte answered.
    Resets,
    /// Resets the connection in the midst of the answer's head.
    ResetsInHead,
    /// Answers well and resets the connection some moments later, while it rests.
    ResetsAtRest,
}

/// What leaves open whether a request has run.
const UNKNOWN: [Mood; 8] = [
    Mood::Closes,
    Mood::OtherId,
    Mood::NoSeal,
    Mood::CutShort,
    Mood::Garbage,
    Mood::UnframedReset,
    Mood::Resets,
    Mood::ResetsInHead,
];

/// Both endpoints: the first arrival of a request meets the mood, the next ones are answered well.
struct Script {
    mood: Cell<Mood>,
    runs: RefCell<BTreeMap<String, u32>>,
}

impl Script {
    fn runs(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// The mood that a request meets; whatever is not refused runs.
    fn meet(&self, id: &str) -> Mood {
        let mood = if self.runs(id) > 0 { Mood::Well } else { self.mood.get() };
        if mood != Mood::Refuses {
            *self.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        }
        mood
    }
}

async fn endpoint(script: Rc<Script>) -> SocketAddrV4 {
    listen(move |stream| serve(stream, script.clone())).await
}

/// An endpoint that has all the connections it takes: it resets each new one.
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
        let whole = answer(&id, seal, &format!("for {id}"));
        let mood = script.meet(&id);
        let bytes = match mood {
            Mood::Well => whole,
            Mood::Closes => return,
            Mood::OtherId => answer("another", seal, "for another"),
            Mood::NoSeal => answer(&id, "", "no seal"),
            Mood::CutShort => whole[..whole.len() - 2].to_owned(),
            Mood::Garbage => "no answer at all\r\n\r\n".to_owned(),
            Mood::Twice => whole + &answer("late", seal, "for nobody"),
            Mood::Refuses => {
                format!(
                    "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            }
            Mood::Unframed => unframed(&id, &format!("for {id}")),
            Mood::UnframedReset => unframed(&id, "for"),
            Mood::Resets => return reset(&stream),
            Mood::ResetsInHead => whole[..20].to_owned(),
            Mood::ResetsAtRest => whole,
            Mood::Fails => answer(&id, seal, "it failed").replace("200 OK", "500 Error"),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match mood {
            Mood::CutShort | Mood::Unframed => return,
            Mood::UnframedReset | Mood::ResetsInHead => {
                return reset(&stream);
            }
            Mood::ResetsAtRest => return reset(&stream),
            _ => {}
        }
    }
}

fn unframed(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n{body}")
}

/// The connection is reset when it is dropped.
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

struct Story {
    tier: Tier,
    script: Rc<Script>,
    last: Cell<u32>,
}

impl Story {
    async fn start(name: &str) -> Story {
        let script = Rc::new(Script { mood: Cell::new(Mood::Well), runs: RefCell::default() });
        let other = endpoint(script.clone()).await;
        Story::with(name, script, other).await
    }

    /// Two endpoints: one that goes by the script, and another.
    async fn with(name: &str, script: Rc<Script>, other: SocketAddrV4) -> Story {
        let one = endpoint(script.clone()).await;
        let endpoints = [("i-1", "api", one), ("i-2", "api", other)];
        let tier = Tier::start(name, &configuration(), &endpoints).await;
        let story = Story { tier, script, last: Cell::new(0) };
        // Endpoints reach the proxy a moment after it is ready.
        while story.ask("often", Mood::Well).await.1.status != 200 {}
        story
    }

    /// Sends a request that meets a mood; its id and its answer.
    async fn ask(&self, route: &str, mood: Mood) -> (String, Answer) {
        self.script.mood.set(mood);
        self.last.set(self.last.get() + 1);
        let id = format!("r{}", self.last.get());
        let headers = [("request-id", id.as_str()), ("deadline-ms", "2500")];
        let answer = ask(self.tier.front(), "POST", &format!("/{route}/x"), &headers, "body").await;
        (id, answer.expect("an answer"))
    }
}

#[test]
fn what_may_have_run_and_may_not_run_twice_is_never_sent_again() {
    play(async {
        let story = Story::start("once").await;
        for mood in UNKNOWN {
            let (id, answer) = story.ask("once", mood).await;
            assert_eq!(answer.status, 502, "{mood:?}");
            assert_eq!(story.script.runs(&id), 1, "{mood:?}");
            assert!(!answer.headers.contains_key("response-seal"), "{mood:?}");
        }
        let (id, answer) = story.ask("once", Mood::Fails).await;
        assert_eq!((answer.status.as_u16(), story.script.runs(&id)), (500, 1));
        assert_eq!(answer.headers["response-seal"], "s", "an endpoint's own failure is passed on unchanged");
    });
}

#[test]
fn what_may_run_again_is_answered_by_another_endpoint() {
    play(async {
        let story = Story::start("often").await;
        for mood in UNKNOWN.into_iter().chain([Mood::Fails]) {
            let (id, answer) = story.ask("often", mood).await;
            assert_eq!(answer.status, 200, "{mood:?}");
            assert_eq!(answer.body.expect("a whole answer"), format!("for {id}"), "{mood:?}");
            assert!(story.script.runs(&id) <= 2, "{mood:?}");
        }
    });
}

#[test]
fn what_nobody_ran_is_answered_so_and_says_when_to_come_back() {
    play(async {
        let story = Story::start("refused").await;
        for route in ["once", "often"] {
            let (id, answer) = story.ask(route, Mood::Refuses).await;
            assert_eq!((answer.status.as_u16(), story.script.runs(&id)), (503, 0), "{route}");
            assert!(answer.headers.contains_key("retry-after"), "{route}");
        }
    });
}

#[test]
fn an_answer_that_nobody_asked_for_reaches_nobody() {
    play(async {
        let story = Story::start("surplus").await;
        for round in 0..10 {
            let mood = if round % 2 == 0 { Mood::Twice } else { Mood::Well };
            let (id, answer) = story.ask("often", mood).await;
            assert_eq!(answer.status, 200, "round {round}");
            assert_eq!(answer.headers["request-id"], id.as_str(), "round {round}");
            assert_eq!(answer.body.expect("a whole answer"), format!("for {id}"), "round {round}");
        }
    });
}

/// kartli-relay with 14 connections an endpoint, quiet-1: calls that must not run twice went out on connections that were
/// over the endpoint's limit and were reset; 16 of them ended with 502 though no endpoint had seen them.
#[test]
fn a_call_that_must_not_run_twice_is_not_sent_on_a_connection_that_the_endpoint_does_not_keep() {
    play(async {
        let script = Rc::new(Script { mood: Cell::new(Mood::Well), runs: RefCell::default() });
        let story = Story::with("full", script, full_endpoint().await).await;
        for round in 0..20 {
            let (id, answer) = story.ask("once", Mood::Well).await;
            assert_eq!(answer.status, 200, "round {round}");
            assert_eq!(story.script.runs(&id), 1, "round {round}");
        }
    });
}

/// An answer without a length ends with its connection; before, it counted as lost, and one that must not run twice as 502.
#[test]
fn an_answer_without_a_length_is_whole_unless_its_connection_is_reset() {
    play(async {
        let story = Story::start("unframed").await;
        for round in 0..10 {
            for route in ["once", "often"] {
                let (id, answer) = story.ask(route, Mood::Unframed).await;
                assert_eq!(
                    (answer.status.as_u16(), story.script.runs(&id)),
                    (200, 1),
                    "{route}, round {round}"
                );
                assert_eq!(answer.headers["response-seal"], "s", "{route}, round {round}");
                assert_eq!(
                    answer.body.expect("a whole answer"),
                    format!("for {id}"),
                    "{route}, round {round}"
                );
            }
        }
    });
}

/// A pooled connection may be reset before the next request is written, while it is, or after; each runs once.
#[test]
fn a_connection_that_is_reset_at_rest_sends_no_call_twice_and_loses_none_that_never_left() {
    play(async {
        let story = Story::start("at-rest").await;
        let mut answered = 0;
        for round in 0..40 {
            let (id, answer) = story.ask("once", Mood::ResetsAtRest).await;
            assert!(story.script.runs(&id) <= 1, "round {round}");
            match answer.status.as_u16() {
                200 => answered += 1,
                // The reset crossed the request: nobody knows whether it ran.
                502 => {}
                other => panic!("round {round}: {other}"),
            }
        }
        assert!(answered >= 20, "{answered} of 40");
    });
}

/// An endpoint that answers as soon as it has a request's head, keeps the connection and reads the body after that. Counts
/// bodies that were not all `b`: bytes of something else stood where the rest of a body was due.
async fn early_endpoint(spoilt: Rc<Cell<u32>>) -> SocketAddrV4 {
    listen(move |stream| answer_early(stream, spoilt.clone())).await
}

async fn answer_early(mut stream: TcpStream, spoilt: Rc<Cell<u32>>) -> Option<()> {
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
            spoilt.set(spoilt.get() + 1);
        }
    }
}

#[test]
fn an_answer_before_the_body_has_been_sent_lets_no_other_request_in_its_place() {
    play(async {
        let spoilt: Rc<Cell<u32>> = Rc::default();
        let (one, other) = (early_endpoint(spoilt.clone()).await, early_endpoint(spoilt.clone()).await);
        let configuration = configuration().replace("65536", "4194304");
        let tier = Tier::start("early", &configuration, &[("i-1", "api", one), ("i-2", "api", other)]).await;
        let body = "b".repeat(700_000);
        let mut answered = 0;
        for round in 0..60 {
            let id = format!("r{round}");
            let headers = [("request-id", id.as_str()), ("deadline-ms", "2500")];
            let route = if round % 2 == 0 { "/once/x" } else { "/often/x" };
            let answer = ask(tier.front(), "POST", route, &headers, &body).await.expect("an answer");
            if answer.status == 200 {
                assert_eq!(answer.headers["request-id"], id.as_str());
                answered += 1;
            }
        }
        assert!(answered >= 30, "{answered} of 60");
        assert_eq!(spoilt.get(), 0, "bytes of another request where a body was due");
    });
}
