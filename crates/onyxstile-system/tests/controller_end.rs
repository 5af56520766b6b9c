//! Shutdown of a controller after SIGTERM.
//!
//! Found by code review: a controller exited immediately after SIGTERM, even while it was answering. The connection of an operator
//! whose change was partially received, or received and not acknowledged yet, was closed without an answer.

mod support;

use std::time::Duration;

use support::tier::{LIMITS, Tier, request_until, run_test, terminate};
use support::virtual_time::{VirtualTime, run_ready_tasks};
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

/// Time from SIGTERM until the connection's head is complete, and then until the body is: each less than its own timeout.
const LATE_PARTS: (Duration, Duration) = (Duration::from_millis(2900), Duration::from_millis(4550));
/// More than the rest of the grace period of 8 s.
const REST_OF_GRACE: Duration = Duration::from_millis(400);
/// Step of the clock.
const STEP: Duration = Duration::from_millis(25);

/// Failure (LOST): a change that was received whole in the last 0.85 s of the grace period, while it could not be made, was closed
/// without an answer when the controller exited.
#[test]
fn a_change_that_is_not_made_by_the_end_of_the_grace_period_is_answered() {
    run_test(async {
        let tier = Tier::start("controller-end-late", &configuration(5), &[]).await;
        let control = tier.control(2);
        request_until(200, control, "GET", "/api/config", &[], "").await;
        let time = VirtualTime::stop();
        let body = configuration(6);
        let mut operator = TcpStream::connect(control).await.expect("a connection");
        operator.write_all(b"PUT /api/config HTTP/1.1\r\nHost: a\r\n").await.expect("it is sent");
        run_ready_tasks().await;
        terminate();
        time.advance_in_steps(LATE_PARTS.0, STEP).await;
        let rest = format!("If-Match: 5\r\nContent-Length: {}\r\n\r\n", body.len());
        operator.write_all(rest.as_bytes()).await.expect("it is sent");
        time.advance_in_steps(LATE_PARTS.1, STEP).await;
        // The other controllers had no open requests and have exited, so the change cannot be made.
        operator.write_all(body.as_bytes()).await.expect("it is sent");
        time.advance_in_steps(REST_OF_GRACE, STEP).await;
        let mut answer = String::new();
        operator.read_to_string(&mut answer).await.ok();
        assert!(answer.starts_with("HTTP/1.1 503 "), "an answer, not a closed connection: {answer:?}");
    });
}
