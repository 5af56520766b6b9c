//! What a proxy passes on of answers at the limits, and what it tells of answers beyond them.

mod support;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use support::endless_endpoint::{EndlessEndpoint, FORM_HEADER, Form, STATUS_HEADER};
use support::listener::{field, listen, read_head};
use support::metric_value;
use support::tier::{Answer, LIMITS, METRICS_PATH, Tier, run_test, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Header that chooses the answer.
const ANSWER_HEADER: &str = "answer";
/// Size of a large answer, in bytes: three quarters of the limit of a process with 64 MB.
const LARGE_BYTES: usize = 3 << 20;
/// Number of chunks of one byte in an answer.
const ONE_BYTE_CHUNKS: usize = 20_000;
/// Number of events in a stream.
const EVENTS: usize = 8_000;
/// Size of a large header, in bytes.
const HEADER_BYTES: usize = 40_000;
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(5000);

fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"{service}","max_attempts":1}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"revision":1,"routes":[{},{},{}],"services":[{},{}],"limits":{LIMITS}}}"#,
        route("once", "non_idempotent", "large"),
        route("stream", "streaming", "large"),
        route("faulty", "non_idempotent", "faulty"),
        service("large"),
        service("faulty")
    )
}

/// An endpoint with large answers.
async fn large_endpoint() -> SocketAddrV4 {
    listen(serve).await
}

async fn serve(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        let id = field(&head, "request-id").unwrap_or_default();
        let begin = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n");
        let chunked = format!("{begin}Transfer-Encoding: chunked\r\n\r\n");
        let length = |body: &str| format!("{begin}Content-Length: {}\r\n\r\n{body}", body.len());
        let answer = match field(&head, ANSWER_HEADER).as_deref() {
            Some("large") => length(&"x".repeat(LARGE_BYTES)),
            Some("chunks") => chunked + &"1\r\nx\r\n".repeat(ONE_BYTE_CHUNKS) + "0\r\n\r\n",
            Some("header") => {
                format!("{begin}Large: {}\r\nContent-Length: 2\r\n\r\nok", "x".repeat(HEADER_BYTES))
            }
            Some("events") => chunked + &"f\r\nid: 1\ndata: x\n\n\r\n".repeat(EVENTS) + "0\r\n\r\n",
            _ => length("ok"),
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

struct Scenario {
    tier: Tier,
}

impl Scenario {
    async fn start(name: &str) -> Scenario {
        let (large, faulty) = (large_endpoint().await, EndlessEndpoint::start_faulty());
        let endpoints = [("i-1", "large", large), ("i-2", "faulty", faulty.address)];
        let tier = Tier::start(name, &configuration(), &endpoints).await;
        let scenario = Scenario { tier };
        for route in ["once", "faulty"] {
            while scenario.call(route, &[]).await.status != 200 {}
        }
        scenario
    }

    async fn call(&self, route: &str, headers: &[(&str, &str)]) -> Answer {
        let headers = [&[("request-id", "r1"), ("deadline-ms", "5000")][..], headers].concat();
        send_request(self.tier.front(), "POST", &format!("/{route}/x"), &headers, "")
            .await
            .expect("an answer")
    }

    async fn metric(&self, name: &str) -> f64 {
        let answer = send_request(self.tier.metrics(1), "GET", METRICS_PATH, &[], "").await;
        let text = answer.and_then(|answer| answer.body).expect("metrics");
        metric_value(&String::from_utf8_lossy(&text), name).unwrap_or_else(|| panic!("no {name}"))
    }
}

/// Guards against limits that cut honest answers: a large body, many small chunks, a large head, a long stream.
#[test]
fn large_honest_answers_are_passed_on() {
    run_test(async {
        let scenario = Scenario::start("large-honest").await;
        let body_bytes = async |route, answer| {
            let received = scenario.call(route, &[(ANSWER_HEADER, answer)]).await;
            assert_eq!(received.status, 200, "{answer}");
            received.body.unwrap_or_else(|| panic!("{answer}: the body was cut")).len()
        };
        assert_eq!(body_bytes("once", "large").await, LARGE_BYTES);
        assert_eq!(body_bytes("once", "chunks").await, ONE_BYTE_CHUNKS);
        assert_eq!(body_bytes("once", "header").await, 2);
        assert_eq!(body_bytes("stream", "events").await, EVENTS * "id: 1\ndata: x\n\n".len());
        assert_eq!(scenario.metric("onyxstile_answer_bytes_held").await, 0.0);
    });
}

/// Guards against a cause that no metric tells: answers that were cut off are counted by reason and endpoint.
#[test]
fn answers_that_are_cut_off_are_counted_by_reason_and_endpoint() {
    run_test(async {
        let scenario = Scenario::start("cut-off-metrics").await;
        let forms = [
            (Form::HugeLength, "too_long"),
            (Form::OneChunk, "too_long"),
            (Form::JunkForChunkSize, "no_whole_unit"),
        ];
        for (number, (form, reason)) in forms.into_iter().enumerate() {
            let name = format!("onyxstile_answers_cut_off_total{{reason=\"{reason}\"}}");
            let before = scenario.metric(&name).await;
            let headers = [(FORM_HEADER, form.name()), (STATUS_HEADER, "200".to_owned())];
            let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
            // An endpoint that failed lately may not be called at once.
            while scenario.call("faulty", &headers).await.status == 503 {}
            assert_eq!(scenario.metric(&name).await, before + 1.0, "{form:?}");
            let by_endpoint = "onyxstile_answers_cut_off_by_endpoint_total{endpoint=\"i-2\"}";
            assert_eq!(scenario.metric(by_endpoint).await, (number + 1) as f64, "{form:?}");
        }
    });
}

/// Guards against a refusal that is taken for a lost answer because its body has no end.
#[test]
fn a_refusal_with_an_endless_body_is_a_refusal() {
    run_test(async {
        let endpoint = listen(|mut stream| async move {
            let mut buffer = Vec::new();
            let Some(head) = read_head(&mut stream, &mut buffer).await else { return };
            let id = field(&head, "request-id").unwrap_or_default();
            let refusal = format!("HTTP/1.1 503 -\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\r\n");
            let mut sent = stream.write_all(refusal.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(&[b'x'; 8192]).await;
            }
        })
        .await;
        let tier = Tier::start("endless-refusal", &configuration(), &[("i-1", "large", endpoint)]).await;
        let headers = [("request-id", "r1"), ("deadline-ms", "2000")];
        for _ in 0..5 {
            let began = Instant::now();
            let answer =
                send_request(tier.front(), "POST", "/once/x", &headers, "").await.expect("an answer");
            assert_eq!(answer.status, 503);
            assert!(answer.headers.contains_key("retry-after"));
            assert!(began.elapsed() < Duration::from_millis(2500), "{:?}", began.elapsed());
        }
    });
}

/// Guards against a client that keeps a proxy busy for all of its time with junk where the size of a chunk is due.
#[test]
fn a_client_that_sends_junk_without_end_is_refused_and_others_are_served() {
    run_test(async {
        let scenario = Scenario::start("endless-client").await;
        let client = TcpStream::connect(scenario.tier.front()).await.expect("a connection");
        let (mut reader, mut writer) = client.into_split();
        let head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes()).await.expect("sent");
        let began = Instant::now();
        let sender =
            tokio::task::spawn_local(async move { while writer.write_all(&[b'0'; 65536]).await.is_ok() {} });
        let status = tokio::task::spawn_local(async move {
            let mut line = [0; 12];
            reader.read_exact(&mut line).await.expect("an answer");
            String::from_utf8_lossy(&line).into_owned()
        });
        while !status.is_finished() {
            let asked = Instant::now();
            assert_eq!(scenario.call("once", &[]).await.status, 200);
            assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
        }
        assert_eq!(status.await.expect("no panic"), "HTTP/1.1 400");
        assert!(began.elapsed() < ROUTE_TIMEOUT, "{:?}", began.elapsed());
        sender.abort();
    });
}
