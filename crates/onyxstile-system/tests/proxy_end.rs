//! The end of a proxy that is told to end.
//!
//! Seen: 3.05 s after SIGTERM a proxy took a request that may not run twice and sent it to an endpoint; 48 ms later the
//! process ended, and the client's connection with it, without an answer.
//!
//! How it came about: 2.6 s after SIGTERM the listener is to close. It waited for a connection or for the notice of that,
//! whichever was there first, in random order; when a client connected in the very turn of the notice and was met first, the
//! notice had passed before the next wait, and clients were taken up until the end. The end came 80 ms after one look at the
//! number of open requests, without another look.
//!
//! Cause: a notice that only those hear who wait at that moment, and an end that was decided by a count of requests which did
//! not cover all that can become one. Proof: of 389 planned stops under traffic, with a line in the log for each listener that
//! closed, three listeners did not close, and took 435 connections and 222 requests; and the first test here.

mod support;

use std::io::Write;
use std::net::TcpStream as StdStream;
use std::time::Duration;

use support::gated_endpoint::{GatedEndpoint, read_answer};
use support::listener::field;
use support::standalone_proxy::{
    AFTER_SHUTDOWN, LARGE_BODY, StandaloneProxy, UNTIL_LISTENER_CLOSE, configuration, terminate,
};
use support::tier::run_test;
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// With the fault one in seven missed the notice.
const PROXIES: u16 = 64;

const HEAD: &str = "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n";

#[test]
fn listener_closes_when_a_client_connects_at_the_closing_time() {
    run_test(async {
        let time = VirtualTime::stop();
        let (_endpoint, address) = GatedEndpoint::listen(b"").await;
        let proxies = StandaloneProxy::start(PROXIES, &configuration(), address).await;
        terminate(&proxies).await;
        let connect = |proxy: &StandaloneProxy| StdStream::connect(proxy.front);
        // No turn of the runtime lies between these connections and the time to close.
        let _clients: Vec<_> =
            proxies.iter().map(|proxy| connect(proxy).expect("it still listens")).collect();
        time.advance(UNTIL_LISTENER_CLOSE).await;
        let open = proxies.iter().filter(|proxy| !proxy.has_ended() && connect(proxy).is_ok()).count();
        assert_eq!(open, 0, "listeners that did not close, of {PROXIES}");
    });
}

/// Found by reading, in the same class: what waited to be taken up at the close was reset, with its request unread.
#[test]
fn request_in_the_listen_queue_at_closing_time_is_answered() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        endpoint.may_respond.send_replace(true);
        let proxies = StandaloneProxy::start(PROXIES, &configuration(), address).await;
        terminate(&proxies).await;
        let request = format!("{HEAD}Deadline-Ms: 4000\r\n\r\n");
        // No turn of the runtime lies between these requests and the time to close.
        let clients: Vec<_> = proxies.iter().map(|proxy| send_blocking(proxy, &request)).collect();
        time.advance(UNTIL_LISTENER_CLOSE).await;
        // A new connection to an endpoint is looked at for some ms.
        time.advance(AFTER_SHUTDOWN).await;
        let mut unanswered = 0;
        for client in clients {
            let mut client = TcpStream::from_std(client).expect("a connection");
            unanswered += usize::from(!matches!(read_answer(&mut client).await.0, Some(200 | 503)));
        }
        assert_eq!(unanswered, 0, "requests without an answer, of {PROXIES}");
    });
}

fn send_blocking(proxy: &StandaloneProxy, request: &str) -> StdStream {
    let mut client = StdStream::connect(proxy.front).expect("it still listens");
    client.write_all(request.as_bytes()).expect("it is sent");
    client.set_nonblocking(true).expect("it is set");
    client
}

#[test]
fn partially_received_head_at_closing_time_is_answered_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        let proxies = StandaloneProxy::start(1, &configuration(), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        // The process has 4.995 s left at the close.
        client.write_all(format!("{HEAD}Deadline-Ms: 4000\r\n").as_bytes()).await.expect("it is sent");
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        client.write_all(b"\r\n").await.expect("it is sent");
        endpoint.wait_for_request(&time).await;
        time.advance(AFTER_SHUTDOWN).await;
        endpoint.may_respond.send_replace(true);
        assert_eq!(read_answer(&mut client).await, (Some(200), 5));
        // What the client may still send behind its answer counts as open until it closes as well (tests/answer_cut.rs).
        drop(client);
        run_ready_tasks().await;
        time.advance(AFTER_SHUTDOWN).await;
        assert!(proxies[0].has_ended(), "nothing is left to be answered");
    });
}

/// It has 60 s, the process 5 s: whoever can't be served to the end is told at once, and the endpoint is not asked.
#[test]
fn request_that_outlasts_the_shutdown_gets_a_retry_after() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        let proxies = StandaloneProxy::start(1, &configuration().replace("5000", "60000"), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        client.write_all(format!("{HEAD}Deadline-Ms: 60000\r\n").as_bytes()).await.expect("it is sent");
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        client.write_all(b"\r\n").await.expect("it is sent");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert_eq!(field(&answer, "retry-after").as_deref(), Some("0.25"));
        assert_eq!(endpoint.requests.get(), 0);
    });
}

#[test]
fn response_queued_for_a_slow_client_is_sent_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(&vec![b'x'; LARGE_BODY]).await;
        let proxies = StandaloneProxy::start(1, &configuration(), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        client.write_all(format!("{HEAD}Connection: close\r\n\r\n").as_bytes()).await.expect("it is sent");
        endpoint.wait_for_request(&time).await;
        endpoint.may_respond.send_replace(true);
        let mut first = [0; 1];
        client.read_exact(&mut first).await.expect("the answer begins");
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        time.advance(AFTER_SHUTDOWN).await;
        assert_eq!(read_answer(&mut client).await.1, LARGE_BODY);
    });
}

/// The grace of the settings (8 s) less what is kept for the last bytes (0.4 s).
const UNTIL_FLUSH_TIME: Duration = Duration::from_millis(7600);

/// A way that was looked at and is sound: a head that ends after the kill is near is taken, and refused in the same turn.
#[test]
fn head_completed_in_the_last_milliseconds_is_refused_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        let long_header_timeout =
            configuration().replace(r#""header_timeout_ms":3000"#, r#""header_timeout_ms":30000"#);
        let proxies = StandaloneProxy::start(1, &long_header_timeout, address).await;
        let mut clients = Vec::new();
        for _ in 0..60 {
            let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
            client.write_all(HEAD.as_bytes()).await.expect("it is sent");
            clients.push(client);
        }
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        time.advance(UNTIL_FLUSH_TIME - UNTIL_LISTENER_CLOSE).await;
        let mut answered = 0;
        for mut client in clients {
            client.write_all(b"\r\n").await.expect("it is sent");
            run_ready_tasks().await;
            if proxies[0].has_ended() {
                break;
            }
            assert_eq!(read_answer(&mut client).await.0, Some(503), "after {answered} ms");
            answered += 1;
            time.advance(Duration::from_millis(1)).await;
        }
        assert!(answered >= 50, "the process lives on for some 80 ms: {answered}");
        assert_eq!(endpoint.requests.get(), 0);
    });
}
