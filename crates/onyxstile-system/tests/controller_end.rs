//! Shutdown of a controller after SIGTERM.
//!
//! Found by code review: a controller exited immediately after SIGTERM, even while it was answering. The connection of an operator
//! whose change was partially received, or received and not acknowledged yet, was closed without an answer.

mod support;

use support::tier::{LIMITS, Tier, request_until, run_test, terminate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn configuration(revision: u64) -> String {
    format!(r#"{{"revision":{revision},"routes":[],"services":[],"limits":{LIMITS}}}"#)
}

/// The status is not checked, because a majority may be gone. There has to be an answer.
#[test]
fn a_partially_received_change_at_sigterm_is_answered() {
    run_test(async {
        let tier = Tier::start("controller-end", &configuration(5), &[]).await;
        let control = tier.control(2);
        request_until(200, control, "GET", "/api/config", &[], "").await;
        let body = configuration(6);
        let head = format!(
            "PUT /api/config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let (first, rest) = body.split_at(body.len() / 2);
        let mut operator = TcpStream::connect(control).await.expect("a connection");
        operator.write_all(format!("{head}{first}").as_bytes()).await.expect("it is sent");
        // The answer to another request shows that the controller has had time to read the head.
        request_until(200, control, "GET", "/api/config", &[], "").await;
        terminate();
        while TcpStream::connect(control).await.is_ok() {
            tokio::task::yield_now().await;
        }
        // The controller may have exited.
        operator.write_all(rest.as_bytes()).await.ok();
        let mut answer = String::new();
        operator.read_to_string(&mut answer).await.ok();
        assert!(answer.starts_with("HTTP/1.1 "), "an answer, not a closed connection: {answer:?}");
    });
}
