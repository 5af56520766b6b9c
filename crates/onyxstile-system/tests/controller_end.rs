//! The end of a controller that is told to end.
//!
//! Seen in a review after a proxy had cut a request at its end: a controller ends as soon as SIGTERM comes, whatever it is
//! answering. An operator whose change was half read, or read and not yet acknowledged, got a closed connection.

mod support;

use support::tier::{LIMITS, Tier, request_until, run_test, terminate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn configuration(revision: u64) -> String {
    format!(r#"{{"revision":{revision},"routes":[],"services":[],"limits":{LIMITS}}}"#)
}

/// The answer's fate is open: a majority may be gone. That there is one is what counts.
#[test]
fn a_change_that_is_half_read_at_sigterm_is_answered() {
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
        // Another's answer shows that the controller has had turns enough to read the head.
        request_until(200, control, "GET", "/api/config", &[], "").await;
        terminate();
        while TcpStream::connect(control).await.is_ok() {
            tokio::task::yield_now().await;
        }
        // The controller may have gone.
        operator.write_all(rest.as_bytes()).await.ok();
        let mut answer = String::new();
        operator.read_to_string(&mut answer).await.ok();
        assert!(answer.starts_with("HTTP/1.1 "), "an answer, not a closed connection: {answer:?}");
    });
}
