//! Graceful shutdown of a controller.
//!
//! A controller used to exit as soon as SIGTERM arrived, whatever it was answering. An operator whose change was half
//! read, or read and not yet acknowledged, got a closed connection. Found by code review after a proxy had cut a request
//! at its shutdown.

mod support;

use support::tier::{LIMITS, Tier, ask_until, play, terminate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn configuration(revision: u64) -> String {
    format!(r#"{{"revision":{revision},"routes":[],"services":[],"limits":{LIMITS}}}"#)
}

/// The outcome is open, because a majority may be down. The test checks that there is a response.
#[test]
fn half_read_change_at_sigterm_is_answered() {
    play(async {
        let tier = Tier::start("controller-end", &configuration(5), &[]).await;
        let control = tier.control(2);
        ask_until(200, control, "GET", "/api/config", &[], "").await;
        let body = configuration(6);
        let head = format!(
            "PUT /api/config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let (first, rest) = body.split_at(body.len() / 2);
        let mut operator = TcpStream::connect(control).await.expect("a connection");
        operator.write_all(format!("{head}{first}").as_bytes()).await.expect("it is sent");
        // The response to another request shows that the controller has had enough polls to read the head.
        ask_until(200, control, "GET", "/api/config", &[], "").await;
        terminate();
        while TcpStream::connect(control).await.is_ok() {
            tokio::task::yield_now().await;
        }
        // The controller may have exited.
        operator.write_all(rest.as_bytes()).await.ok();
        let mut answer = String::new();
        operator.read_to_string(&mut answer).await.ok();
        assert!(answer.starts_with("HTTP/1.1 "), "expected a response, not a closed connection: {answer:?}");
    });
}
