//! Misbehaving clients: malformed, endless, oversized or missing requests. Each uses bounded time and memory and gets an error
//! response or a close, and other clients are served in the meantime.

mod support;

use std::net::SocketAddrV4;
use std::time::Duration;

use onyxstile_system::clock::Instant;
use onyxstile_system::connection_watchdog::{ConnectionTimeouts, ConnectionWatchdog, Overdue};
use support::tier::{Tier, run_test, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Short timeouts keep the tests fast.
const LIMITS: &str =
    r#"{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":250,"idle_timeout_ms":500}"#;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn configuration() -> String {
    let route = r#"{"name":"r","host":"a.example","path_prefix":"/r/","route_type":"idempotent","timeout_ms":400,"target_latency_ms":200,"priority":0,"service":"api","max_attempts":2}"#;
    format!(
        r#"{{"revision":1,"routes":[{route}],"services":[{{"name":"api","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}],"limits":{LIMITS}}}"#
    )
}

/// Sends bytes and returns what is received until the peer closes the connection.
async fn send(to: SocketAddrV4, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    // The peer may close the connection before it has read everything.
    stream.write_all(bytes).await.ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whether a well-behaved client gets a response: 503, because there is no endpoint.
async fn is_served(front: SocketAddrV4) -> bool {
    let headers = [("request-id", "good"), ("deadline-ms", "300")];
    send_request(front, "GET", "/r/x", &headers, "").await.is_some_and(|answer| answer.status == 503)
}

#[test]
fn malformed_requests_get_a_4xx_response_or_a_close() {
    run_test(async {
        let tier = Tier::start("no-request", &configuration(), &[]).await;
        let head = "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nDeadline-Ms: 300\r\n";
        let endless = format!("GET /r/x HTTP/1.1\r\nX: {}", "a".repeat(200_000));
        let cases: [(&str, Vec<u8>, &[&str]); 8] = [
            ("bytes that are not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(), &["400"]),
            ("an endless head", endless.into_bytes(), &["431", ""]),
            ("an incomplete head", b"GET /r/x HTTP/1.1\r\nHost: a.exa".to_vec(), &[""]),
            ("nothing", Vec::new(), &[""]),
            (
                "a length that is not a number",
                format!("{head}Content-Length: ten\r\n\r\n").into_bytes(),
                &["400"],
            ),
            (
                "two lengths that differ",
                format!("{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd").into_bytes(),
                &["400"],
            ),
            ("a body over the limit", format!("{head}Content-Length: 9000\r\n\r\n").into_bytes(), &["413"]),
            ("an incomplete body", format!("{head}Content-Length: 90\r\n\r\nabc").into_bytes(), &["408"]),
        ];
        for listener in [tier.front(), tier.control(2)] {
            for (case, bytes, answers) in &cases[..if listener == tier.front() { 8 } else { 2 }] {
                let answer = send(listener, bytes).await;
                let status = answer.split(' ').nth(1).unwrap_or_default();
                assert!(answers.contains(&status), "{listener}: {case}: {answer:?}");
            }
        }
        assert!(is_served(tier.front()).await);
    });
}

#[test]
fn silent_connections_do_not_block_other_clients_and_are_closed() {
    run_test(async {
        let tier = Tier::start("silent", &configuration(), &[]).await;
        let mut silent = Vec::new();
        for _ in 0..300 {
            silent.push(TcpStream::connect(tier.front()).await.expect("a connection"));
        }
        assert!(is_served(tier.front()).await);
        for mut stream in silent {
            let mut byte = [0];
            assert_eq!(stream.read(&mut byte).await.unwrap_or(0), 0, "closed after the idle timeout");
        }
    });
}

#[test]
fn head_timeout_starts_at_first_byte_and_idle_timeout_at_response_end() {
    let bounds = ConnectionTimeouts { head: Duration::from_millis(300), idle: Duration::from_millis(1000) };
    let mut watch = ConnectionWatchdog::new(at(0), bounds);
    assert_eq!(watch.deadline(), Some((at(1000), Overdue::Idle)));
    watch.bytes(at(900));
    watch.bytes(at(1100));
    assert_eq!(watch.deadline(), Some((at(1200), Overdue::Head)), "more bytes don't extend the head timeout");
    watch.request(at(1150));
    watch.bytes(at(1160));
    assert_eq!(watch.deadline(), None, "a response has no time limit");
    watch.answered(at(9000));
    assert_eq!(watch.deadline(), Some((at(10_000), Overdue::Idle)));
    watch.sent(at(12_000));
    assert_eq!(
        watch.deadline(),
        Some((at(13_000), Overdue::Idle)),
        "the idle time starts after the last bytes of the response"
    );
    watch.bytes(at(12_500));
    watch.sent(at(12_700));
    assert_eq!(
        watch.deadline(),
        Some((at(13_000), Overdue::Head)),
        "the timeout of the next head starts when the response has been sent"
    );
    watch.request(at(12_800));
    watch.sent(at(12_900));
    assert_eq!(watch.deadline(), None, "a stream has no time limit");
}
