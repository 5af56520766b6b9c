//! Calls that are still open when a proxy reaches the end of its grace period.
//!
//! Failure: twelve orders waited in a proxy for an endpoint that would take them; none of them ran. The proxy received SIGTERM,
//! exited 7.7 s later and closed all twelve connections without an answer, although it could have refused the orders at any time.
//! A client that gets no answer may not send such an order again.
//!
//! Cause: only the drain knew when the process would exit. Nothing that a call waits for (a retry timer, a slot, storage, a
//! connection, an endpoint) was bounded by that time.

mod support;

use std::time::Duration;

use support::listener::field;
use support::scripted_endpoint::{ScriptedEndpoint, Treatment};
use support::standalone_proxy::{StandaloneProxy, configuration, terminate};
use support::tier::run_test;
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of calls that wait in most tests.
const CALLS: usize = 12;
/// Time from SIGTERM until calls at endpoints are given up: the grace period of the settings (8 s) less the reserve (0.4 s).
const UNTIL_END: Duration = Duration::from_millis(7600);
/// Longer than the rest of the process's life after that.
const AFTER_END: Duration = Duration::from_millis(400);
/// Step of the clock. Timers that are due within a step fire at its end.
const STEP: Duration = Duration::from_millis(50);
/// Timeout of the route and deadline of the calls: longer than any process has left.
const DEADLINE_MS: &str = "60000";
/// Slots of a proxy with the limits of the tests' settings.
const SLOTS: usize = 256;

/// A configuration whose route has the given type.
fn route_of_type(route_type: &str) -> String {
    configuration().replace("5000", DEADLINE_MS).replace("non_idempotent", route_type)
}

async fn send_call(proxy: &StandaloneProxy, headers: &str) -> TcpStream {
    let mut client = TcpStream::connect(proxy.front).await.expect("a connection");
    let head = format!(
        "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nDeadline-Ms: {DEADLINE_MS}\r\n{headers}Content-Length: 0\r\n\r\n"
    );
    client.write_all(head.as_bytes()).await.expect("sent");
    client
}

async fn send_calls(proxy: &StandaloneProxy, count: usize) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(send_call(proxy, "").await);
    }
    run_ready_tasks().await;
    clients
}

/// Moves the clock on in small steps, as a running process sees it.
async fn pass(time: &VirtualTime, total: Duration) {
    let mut left = total;
    while !left.is_zero() {
        let step = left.min(STEP);
        time.advance(step).await;
        left -= step;
    }
}

/// All that was received on a connection until it was closed.
async fn received(mut client: TcpStream) -> String {
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes).await.ok();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Status of the answer that a client has received by now; `None` if there is none.
fn status_so_far(client: &TcpStream) -> Option<u16> {
    let mut bytes = [0; 1024];
    let count = client.try_read(&mut bytes).ok()?;
    status(&String::from_utf8_lossy(&bytes[..count]))
}

fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

/// Failure (LOST): calls that waited for a retry timer were closed without an answer when the proxy exited.
#[test]
fn calls_that_no_endpoint_takes_are_refused_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::Refuse).await;
        let proxies = StandaloneProxy::start(1, &route_of_type("non_idempotent"), address).await;
        let clients = send_calls(&proxies[0], CALLS).await;
        pass(&time, Duration::from_millis(500)).await;
        terminate(&proxies).await;
        pass(&time, UNTIL_END).await;
        for client in clients {
            let answer = received(client).await;
            assert_eq!(status(&answer), Some(503), "{answer:?}");
            assert!(field(&answer, "retry-after").is_some(), "{answer}");
        }
        assert_eq!(endpoint.executions.get(), 0);
    });
}

/// A call has nothing left to wait for once its next retry timer fires after the process has exited.
#[test]
fn call_whose_next_timer_fires_after_exit_is_refused_at_sigterm() {
    run_test(async {
        let time = VirtualTime::stop();
        let (_endpoint, address) = ScriptedEndpoint::listen(Treatment::Refuse).await;
        let slow = route_of_type("non_idempotent").replace(r#"latency_ms":200"#, r#"latency_ms":4000"#);
        let proxies = StandaloneProxy::start(1, &slow, address).await;
        let clients = send_calls(&proxies[0], 1).await;
        // Timers of 500 ms, doubled up to 8 s: one fires within 16.2 s, the next 8 s later.
        pass(&time, Duration::from_millis(16_200)).await;
        assert_eq!(status_so_far(&clients[0]), None);
        terminate(&proxies).await;
        run_ready_tasks().await;
        assert_eq!(status_so_far(&clients[0]), Some(503));
    });
}

/// A refusal of all waiting calls at SIGTERM would be no fix.
#[test]
fn waiting_calls_are_served_if_an_endpoint_takes_them_during_the_drain() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::Refuse).await;
        let proxies = StandaloneProxy::start(1, &route_of_type("non_idempotent"), address).await;
        let clients = send_calls(&proxies[0], CALLS).await;
        pass(&time, Duration::from_millis(500)).await;
        terminate(&proxies).await;
        pass(&time, Duration::from_secs(3)).await;
        endpoint.treatment.set(Treatment::Serve);
        pass(&time, UNTIL_END - Duration::from_secs(3)).await;
        for client in clients {
            assert_eq!(status(&received(client).await), Some(200));
        }
        assert_eq!(endpoint.executions.get(), CALLS);
    });
}

/// Failure (LOST): calls that waited for a slot of the proxy were closed without an answer when the proxy exited.
#[test]
fn calls_that_wait_for_a_slot_are_refused_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::StaySilent).await;
        let proxies = StandaloneProxy::start(1, &route_of_type("non_idempotent"), address).await;
        let at_endpoint = send_calls(&proxies[0], SLOTS).await;
        pass(&time, Duration::from_millis(200)).await;
        assert_eq!(endpoint.executions.get(), SLOTS);
        let waiting = send_calls(&proxies[0], CALLS).await;
        terminate(&proxies).await;
        pass(&time, UNTIL_END).await;
        let refusals: Vec<_> = all_received(waiting).await;
        assert!(refusals.iter().all(|answer| status(answer) == Some(503)), "{refusals:?}");
        // Hundreds of clients that come back at the same moment would overload the other proxies.
        let mut times: Vec<_> = refusals.iter().map(|answer| field(answer, "retry-after")).collect();
        times.sort();
        times.dedup();
        assert!(times.len() > CALLS / 2, "{times:?}");
        assert!(all_received(at_endpoint).await.iter().all(|answer| status(answer) == Some(504)));
        assert_eq!(endpoint.executions.get(), SLOTS);
    });
}

async fn all_received(clients: Vec<TcpStream>) -> Vec<String> {
    let mut answers = Vec::new();
    for client in clients {
        answers.push(received(client).await);
    }
    answers
}

/// A call that may have run must not be refused: a refusal promises that it did not run.
#[test]
fn call_at_a_silent_endpoint_gets_a_timeout_and_not_before_the_end() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::StaySilent).await;
        let proxies = StandaloneProxy::start(1, &route_of_type("non_idempotent"), address).await;
        let mut clients = send_calls(&proxies[0], 1).await;
        pass(&time, Duration::from_millis(100)).await;
        terminate(&proxies).await;
        pass(&time, UNTIL_END - STEP).await;
        assert_eq!(status_so_far(&clients[0]), None, "the endpoint may still answer");
        pass(&time, 2 * STEP).await;
        assert_eq!(status(&received(clients.remove(0)).await), Some(504));
        assert_eq!(endpoint.executions.get(), 1);
        pass(&time, AFTER_END).await;
        assert!(proxies[0].has_ended());
    });
}

/// A repeatable call that waits for a resend after its endpoint failed gets the endpoint's own answer, not a refusal.
#[test]
fn failed_call_that_waits_for_a_resend_gets_the_answer_of_its_endpoint() {
    run_test(async {
        let time = VirtualTime::stop();
        let (_endpoint, address) = ScriptedEndpoint::listen(Treatment::Fail).await;
        let proxies = StandaloneProxy::start(1, &route_of_type("idempotent"), address).await;
        let clients = send_calls(&proxies[0], CALLS).await;
        pass(&time, Duration::from_millis(500)).await;
        terminate(&proxies).await;
        pass(&time, UNTIL_END).await;
        for client in clients {
            let answer = received(client).await;
            assert_eq!(status(&answer), Some(500), "{answer:?}");
            assert_eq!(field(&answer, "response-seal").as_deref(), Some("s"));
        }
    });
}

/// Failure (LOST): a turn that waited for storage was closed without an answer when the proxy exited.
#[test]
fn turn_that_waits_for_storage_is_refused_before_exit() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::Serve).await;
        let (proxy, _listeners) =
            StandaloneProxy::start_with_silent_storage(&route_of_type("streaming"), address, 1.0).await;
        let client = send_call(&proxy, "Program: p\r\nBudget: 100\r\nToken-Count: 1,10\r\n").await;
        run_ready_tasks().await;
        let proxies = [proxy];
        terminate(&proxies).await;
        pass(&time, Duration::from_millis(600)).await;
        let answer = received(client).await;
        assert_eq!(status(&answer), Some(503), "{answer:?}");
        assert_eq!(endpoint.executions.get(), 0);
    });
}
