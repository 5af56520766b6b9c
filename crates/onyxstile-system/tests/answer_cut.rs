//! Connections that are closed while bytes of the client are unread or still arriving.
//!
//! Failure: the client received 128 KB of a 2 MB response to a non-idempotent request, and a reset. It had pipelined a second
//! request that is longer than the read-ahead of a connection. After the first response the connection was closed, by a drain
//! or because the second request was refused, with the rest of the second request unread.
//!
//! Cause: the kernel resets a connection that is closed with unread bytes and discards its send buffer, and the proxy waited
//! until it closed the connection instead of until the client's last byte. The failure occurs every time with a long second
//! request, with and without a drain, and never with a short one or none.

mod support;

use std::rc::Rc;
use std::time::Duration;

use support::gated_endpoint::{GatedEndpoint, read_answer};
use support::standalone_proxy::{
    AFTER_SHUTDOWN, LARGE_BODY, LARGE_BODY_READ_TIME, StandaloneProxy, UNTIL_LISTENER_CLOSE, configuration,
    terminate,
};
use support::tier::{Tier, run_test};
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Step of the clock while a large answer is read.
const STEP: Duration = Duration::from_millis(50);
/// More than a loopback connection buffers before its buffers have grown.
const RESPONSE_BYTES: usize = 2_000_000;

fn request(id: &str, body: usize) -> Vec<u8> {
    let head = format!(
        "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nContent-Length: {body}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'b'; body]].concat()
}

/// A client whose request has reached the endpoint of a proxy.
struct PendingRequest {
    time: VirtualTime,
    endpoint: Rc<GatedEndpoint>,
    proxies: Vec<StandaloneProxy>,
    client: TcpStream,
}

impl PendingRequest {
    /// Sends a request whose response will have `length` bytes.
    async fn with_response_of(length: usize) -> PendingRequest {
        let time = VirtualTime::stop();
        let (endpoint, address) = GatedEndpoint::listen(&vec![b'x'; length]).await;
        let proxies = StandaloneProxy::start_for_large_body(&configuration(), address).await;
        let mut client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        client.write_all(&request("r1", 0)).await.expect("sent");
        endpoint.wait_for_request(&time).await;
        PendingRequest { time, endpoint, proxies, client }
    }

    /// Sends SIGTERM and advances the time until the listener closes.
    async fn close_listener(&self) {
        terminate(&self.proxies).await;
        self.time.advance(UNTIL_LISTENER_CLOSE).await;
    }
}

/// Status and received length of a 2 MB response if a second request with a body of `body` bytes is pipelined behind the first.
async fn response_before_a_second_request(body: usize, is_drained: bool) -> (Option<u16>, usize) {
    let mut pending = PendingRequest::with_response_of(RESPONSE_BYTES).await;
    pending.client.write_all(&request("r2", body)).await.expect("sent");
    if is_drained {
        pending.close_listener().await;
    }
    pending.endpoint.may_respond.send_replace(true);
    run_ready_tasks().await;
    read_answer(&mut pending.client).await
}

#[test]
fn response_is_complete_when_draining_with_a_long_unread_second_request() {
    run_test(async {
        assert_eq!(response_before_a_second_request(100_000, true).await, (Some(200), RESPONSE_BYTES));
    });
}

/// The second request exceeds the body limit, and the connection closes after its refusal.
#[test]
fn response_is_complete_before_a_refused_request_with_an_unread_body() {
    run_test(async {
        let (status, length) = response_before_a_second_request(100_000, false).await;
        assert_eq!(status, Some(200));
        assert!(
            length > RESPONSE_BYTES,
            "{length} bytes; expected the complete first response and the refusal of the second request"
        );
    });
}

/// Guards against a pipelined request without a response: the first response had begun before the drain, so it could not
/// announce that the connection closes after it.
#[test]
fn pipelined_request_is_answered_after_a_response_begun_before_the_drain() {
    run_test(async {
        let mut pending = PendingRequest::with_response_of(LARGE_BODY).await;
        pending.endpoint.may_respond.send_replace(true);
        pending.time.advance_in_steps(LARGE_BODY_READ_TIME, STEP).await;
        pending.client.write_all(&request("r2", 4)).await.expect("sent");
        run_ready_tasks().await;
        pending.close_listener().await;
        let mut answers = Vec::new();
        pending.client.read_to_end(&mut answers).await.expect("closed without a reset");
        let heads = answers.windows(9).filter(|bytes| bytes == b"HTTP/1.1 ").count();
        assert_eq!(heads, 2, "{} bytes received", answers.len());
        assert!(answers.len() > LARGE_BODY, "{} bytes received", answers.len());
    });
}

/// Sends a request while reading the response; returns the response, and whether the connection ended without a reset.
async fn exchange(stream: TcpStream, sent: Vec<u8>) -> (String, bool) {
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::task::spawn_local(async move {
        let result = writer.write_all(&sent).await;
        (result.is_ok(), writer)
    });
    let mut answer = Vec::new();
    let is_read = reader.read_to_end(&mut answer).await.is_ok();
    let (is_sent, writer) = writing.await.expect("the writer ends");
    drop(writer);
    (String::from_utf8_lossy(&answer).into_owned(), is_read && is_sent)
}

/// Exceeds every limit, and the read-ahead of a connection.
const OVERSIZED_BYTES: usize = 12_000_000;

#[test]
fn refusal_is_complete_while_refused_bytes_are_still_arriving() {
    run_test(async {
        let tier = Tier::start("refused-bytes", &configuration(), &[]).await;
        let endless_head = [b"GET /r/x HTTP/1.1\r\nX: ".to_vec(), vec![b'a'; OVERSIZED_BYTES]].concat();
        let no_route = b"POST /none HTTP/1.1\r\nHost: b.example\r\nContent-Length: 12000000\r\n\r\n";
        let heartbeat = b"PUT /api/instances/i-9 HTTP/1.1\r\nHost: a\r\nContent-Length: 12000000\r\n\r\n";
        let with_body = |head: &[u8]| [head.to_vec(), vec![b'b'; OVERSIZED_BYTES]].concat();
        let cases = [
            ("a body over the limit", tier.front(), request("r1", OVERSIZED_BYTES), "413"),
            ("a body on no route", tier.front(), with_body(no_route), "404"),
            ("an endless head", tier.front(), endless_head.clone(), "431"),
            ("a heartbeat over the limit", tier.control(2), with_body(heartbeat), "413"),
            ("an endless head at the API", tier.control(3), endless_head, "431"),
        ];
        for (case, to, sent, status) in cases {
            let stream = TcpStream::connect(to).await.expect("a connection");
            let (answer, is_complete) = exchange(stream, sent).await;
            let received_status = answer.split(' ').nth(1).unwrap_or_default();
            assert_eq!((received_status, is_complete), (status, true), "{case}: {answer:?}");
        }
    });
}

/// A client that does not close its connection must not keep the process from exiting.
#[test]
fn client_that_never_closes_does_not_block_the_drain_indefinitely() {
    run_test(async {
        let time = VirtualTime::stop();
        let (_endpoint, address) = GatedEndpoint::listen(b"").await;
        let proxies = StandaloneProxy::start(1, &configuration(), address).await;
        let _client = TcpStream::connect(proxies[0].front).await.expect("a connection");
        run_ready_tasks().await;
        terminate(&proxies).await;
        time.advance(UNTIL_LISTENER_CLOSE).await;
        let bound = Duration::from_secs(8);
        time.advance(bound - UNTIL_LISTENER_CLOSE).await;
        time.advance(AFTER_SHUTDOWN).await;
        assert!(proxies[0].has_ended());
    });
}
