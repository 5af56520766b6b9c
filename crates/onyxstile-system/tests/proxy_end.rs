//! Shutdown of a proxy after SIGTERM.
//!
//! Failure: 3.05 s after SIGTERM a proxy accepted a non-idempotent request and sent it to an endpoint; 48 ms later the process
//! exited and closed the client's connection without a response.
//!
//! The listener closes 2.6 s after SIGTERM. Its task selected in random order between a new connection and the close
//! notification. If a client connected in the same scheduler tick and its connection was selected first, the notification was
//! lost before the next wait, and connections were accepted until the process exited. The exit followed 80 ms after a single
//! check of the number of open requests.
//!
//! Cause: a notification that reaches only tasks that are waiting at that moment, and an exit decision based on a request count
//! that does not include open connections. In 389 planned stops under traffic, three listeners did not close; they accepted 435
//! connections and 222 requests. The first test reproduces it.

mod support;

use std::io::Write;
use std::net::TcpStream as StdStream;
use std::time::Duration;

use support::gated_endpoint::{GatedEndpoint, read_answer};
use support::listener::field;
use support::standalone_proxy::{
    AFTER_SHUTDOWN, LARGE_BODY, LARGE_BODY_READ_TIME, StandaloneProxy, UNTIL_LISTENER_CLOSE, configuration,
    terminate,
};
use support::tier::run_test;
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Step of the clock while a large answer is read.
const STEP: Duration = Duration::from_millis(50);
/// With the fault, one listener in seven missed the notification.
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
        // The runtime does not run between these connections and the closing time.
        let _clients: Vec<_> = proxies.iter().map(|proxy| connect(proxy).expect("still listening")).collect();
        time.advance(UNTIL_LISTENER_CLOSE).await;
        let open = proxies.iter().filter(|proxy| !proxy.has_ended() && connect(proxy).is_ok()).count();
        assert_eq!(open, 0, "listeners that did not close, of {PROXIES}");
    });
}

/// Guards against a similar fault: connections in the listen queue at the close were reset with their requests unread.
#[test]
fn request_in_the_listen_queue_at_closing_time_is_answered() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        endpoint.may_respond.send_replace(true);
        let proxies = StandaloneProxy::start(PROXIES, &configuration(), address).await;
        terminate(&proxies).await;
        let request = format!("{HEAD}Deadline-Ms: 4000\r\n\r\n");
        // The runtime does not run between these requests and the closing time.
        let clients: Vec<_> = proxies.iter().map(|proxy| send_blocking(proxy, &request)).collect();
        time.advance(UNTIL_LISTENER_CLOSE).await;
        // A new connection to an endpoint is observed for a few ms before it is used.
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
    let mut client = StdStream::connect(proxy.front).expect("still listening");
    client.write_all(request.as_bytes()).expect("sent");
    client.set_nonblocking(true).expect("non-blocking mode");
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
        client.write_all(format!("{HEAD}Deadline-Ms: 4000\r\n").as_bytes()).await.expect("sent");
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        client.write_all(b"\r\n").await.expect("sent");
        endpoint.wait_for_request(&time).await;
        time.advance(AFTER_SHUTDOWN).await;
        endpoint.may_respond.send_replace(true);
        assert_eq!(read_answer(&mut client).await, (Some(200), 5));
        // The connection stays open until the client closes it, because the client may still send (tests/answer_cut.rs).
        drop(client);
        run_ready_tasks().await;
        time.advance(AFTER_SHUTDOWN).await;
        assert!(proxies[0].has_ended(), "no request is pending");
    });
}

/// The request's deadline is 60 s, the process has 5 s left: the request is refused immediately and not sent to the endpoint.
#[test]
fn request_that_outlasts_the_shutdown_gets_a_retry_after() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(b"whole").await;
        let proxies = StandaloneProxy::start(1, &configuration().replace("5000", "60000"), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        client.write_all(format!("{HEAD}Deadline-Ms: 60000\r\n").as_bytes()).await.expect("sent");
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        client.write_all(b"\r\n").await.expect("sent");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("a response");
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
        let proxies = StandaloneProxy::start_for_large_body(&configuration(), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        client.write_all(format!("{HEAD}Connection: close\r\n\r\n").as_bytes()).await.expect("sent");
        endpoint.wait_for_request(&time).await;
        endpoint.may_respond.send_replace(true);
        time.advance_in_steps(LARGE_BODY_READ_TIME, STEP).await;
        let mut first = [0; 1];
        client.read_exact(&mut first).await.expect("the response begins");
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        time.advance(AFTER_SHUTDOWN).await;
        assert_eq!(read_answer(&mut client).await.1, LARGE_BODY);
    });
}

/// The grace period of the settings (8 s) minus the reserve for sending the last bytes (0.4 s).
const UNTIL_FLUSH_TIME: Duration = Duration::from_millis(7600);

/// A head that is completed after the reserve has begun is accepted and refused in the same scheduler tick.
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
            client.write_all(HEAD.as_bytes()).await.expect("sent");
            clients.push(client);
        }
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        time.advance(UNTIL_FLUSH_TIME - UNTIL_LISTENER_CLOSE).await;
        let mut answered = 0;
        for mut client in clients {
            client.write_all(b"\r\n").await.expect("sent");
            run_ready_tasks().await;
            if proxies[0].has_ended() {
                break;
            }
            assert_eq!(read_answer(&mut client).await.0, Some(503), "after {answered} ms");
            answered += 1;
            time.advance(Duration::from_millis(1)).await;
        }
        assert!(answered >= 50, "the process runs for about 80 ms more; answered {answered}");
        assert_eq!(endpoint.requests.get(), 0);
    });
}
