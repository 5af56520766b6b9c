//! Calls that are still open when a proxy reaches the end of its grace period.
//!
//! Failure: twelve orders waited in a proxy for an endpoint that would take them; none of them ran. The proxy received SIGTERM,
//! exited 7.7 s later and closed all twelve connections without an answer, although it could have refused the orders at any time.
//! A client that gets no answer may not send such an order again.
//!
//! Cause: only the drain knew when the process would exit. Nothing that a call waits for (a retry timer, a slot, storage, a
//! connection, an endpoint) was bounded by that time.

mod support;

use std::rc::Rc;
use std::time::Duration;

use support::listener::field;
use support::scripted_endpoint::{ScriptedEndpoint, Treatment};
use support::standalone_proxy::{StandaloneProxy, configuration, terminate};
use support::tier::run_test;
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::AsyncReadExt;
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

/// Number of calls that wait while all slots are taken.
const MANY_CALLS: usize = 200;
/// Less than the time from SIGTERM until that many waiting calls are refused.
const BEFORE_LAST_SEND: Duration = Duration::from_millis(7200);

/// A configuration whose route has the given type.
fn route_of_type(route_type: &str) -> String {
    configuration().replace("5000", DEADLINE_MS).replace("non_idempotent", route_type)
}

/// A proxy with one endpoint, on a clock that the test moves.
struct Scenario {
    time: VirtualTime,
    endpoint: Rc<ScriptedEndpoint>,
    proxies: Vec<StandaloneProxy>,
}

impl Scenario {
    async fn start(treatment: Treatment, route_type: &str) -> Scenario {
        Scenario::start_with(treatment, &route_of_type(route_type)).await
    }

    async fn start_with(treatment: Treatment, configuration: &str) -> Scenario {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(treatment).await;
        let proxies = StandaloneProxy::start(1, configuration, address).await;
        Scenario { time, endpoint, proxies }
    }

    /// Sends calls, each on a connection of its own, and returns after the proxy has received them.
    async fn send_calls(&self, count: usize) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        for _ in 0..count {
            clients.push(self.proxies[0].send_call(&deadline_header()).await);
        }
        run_ready_tasks().await;
        clients
    }

    async fn pass(&self, total: Duration) {
        self.time.advance_in_steps(total, STEP).await;
    }

    async fn terminate(&self) {
        terminate(&self.proxies).await;
    }

    /// Answers to calls that wait from before SIGTERM until the end.
    async fn answers_to_waiting_calls(&self) -> Vec<String> {
        let clients = self.send_calls(CALLS).await;
        self.pass(Duration::from_millis(500)).await;
        self.terminate().await;
        self.pass(UNTIL_END).await;
        all_received(clients).await
    }
}

fn deadline_header() -> String {
    format!("Deadline-Ms: {DEADLINE_MS}\r\n")
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
        let scenario = Scenario::start(Treatment::Refuse, "non_idempotent").await;
        for answer in scenario.answers_to_waiting_calls().await {
            assert_eq!(status(&answer), Some(503), "{answer:?}");
            assert!(field(&answer, "retry-after").is_some(), "{answer}");
        }
        assert_eq!(scenario.endpoint.executions.get(), 0);
    });
}

/// A call has nothing left to wait for once its next retry timer fires after the process has exited.
#[test]
fn call_whose_next_timer_fires_after_exit_is_refused_at_sigterm() {
    run_test(async {
        let slow = route_of_type("non_idempotent").replace(r#"latency_ms":200"#, r#"latency_ms":4000"#);
        let scenario = Scenario::start_with(Treatment::Refuse, &slow).await;
        let clients = scenario.send_calls(1).await;
        // Timers of 500 ms, doubled up to 8 s: one fires within 16.2 s, the next 8 s later.
        scenario.pass(Duration::from_millis(16_200)).await;
        assert_eq!(status_so_far(&clients[0]), None);
        scenario.terminate().await;
        run_ready_tasks().await;
        assert_eq!(status_so_far(&clients[0]), Some(503));
    });
}

/// A refusal of all waiting calls at SIGTERM would be no fix.
#[test]
fn waiting_calls_are_served_if_an_endpoint_takes_them_during_the_drain() {
    run_test(async {
        let scenario = Scenario::start(Treatment::Refuse, "non_idempotent").await;
        let clients = scenario.send_calls(CALLS).await;
        scenario.pass(Duration::from_millis(500)).await;
        scenario.terminate().await;
        scenario.pass(Duration::from_secs(3)).await;
        scenario.endpoint.treatment.set(Treatment::Serve);
        scenario.pass(UNTIL_END - Duration::from_secs(3)).await;
        for client in clients {
            assert_eq!(status(&received(client).await), Some(200));
        }
        assert_eq!(scenario.endpoint.executions.get(), CALLS);
    });
}

/// Failure (LOST): calls that waited for a slot of the proxy were closed without an answer when the proxy exited.
#[test]
fn calls_that_wait_for_a_slot_are_refused_before_exit() {
    run_test(async {
        let scenario = Scenario::start(Treatment::StaySilent, "non_idempotent").await;
        let at_endpoint = scenario.send_calls(SLOTS).await;
        scenario.pass(Duration::from_millis(200)).await;
        assert_eq!(scenario.endpoint.executions.get(), SLOTS);
        let waiting = scenario.send_calls(CALLS).await;
        scenario.terminate().await;
        scenario.pass(UNTIL_END).await;
        let refusals: Vec<_> = all_received(waiting).await;
        assert!(refusals.iter().all(|answer| status(answer) == Some(503)), "{refusals:?}");
        // Hundreds of clients that come back at the same moment would overload the other proxies.
        let mut times: Vec<_> = refusals.iter().map(|answer| field(answer, "retry-after")).collect();
        times.sort();
        times.dedup();
        assert!(times.len() > CALLS / 2, "{times:?}");
        assert!(all_received(at_endpoint).await.iter().all(|answer| status(answer) == Some(504)));
        assert_eq!(scenario.endpoint.executions.get(), SLOTS);
    });
}

/// Failure: each refusal left fewer calls to be answered, so the time for the others moved back and all of them looked again; 975
/// calls took 0.43 s of processor time, more than a proxy with a quarter of a core has at its end.
#[test]
fn waiting_calls_are_refused_together() {
    run_test(async {
        let scenario = Scenario::start(Treatment::StaySilent, "non_idempotent").await;
        let _at_endpoint = scenario.send_calls(SLOTS).await;
        scenario.pass(Duration::from_millis(200)).await;
        let waiting = scenario.send_calls(MANY_CALLS).await;
        scenario.terminate().await;
        scenario.pass(BEFORE_LAST_SEND).await;
        let mut refused = 0;
        while refused == 0 {
            scenario.time.advance(Duration::from_millis(1)).await;
            refused = waiting.iter().filter(|client| status_so_far(client) == Some(503)).count();
        }
        assert_eq!(refused, MANY_CALLS, "calls refused within one millisecond");
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
        let scenario = Scenario::start(Treatment::StaySilent, "non_idempotent").await;
        let mut clients = scenario.send_calls(1).await;
        scenario.pass(Duration::from_millis(100)).await;
        scenario.terminate().await;
        scenario.pass(UNTIL_END - STEP).await;
        assert_eq!(status_so_far(&clients[0]), None, "the endpoint may still answer");
        scenario.pass(2 * STEP).await;
        assert_eq!(status(&received(clients.remove(0)).await), Some(504));
        assert_eq!(scenario.endpoint.executions.get(), 1);
        scenario.pass(AFTER_END).await;
        assert!(scenario.proxies[0].has_ended());
    });
}

/// A repeatable call that waits for a resend after its endpoint failed gets the endpoint's own answer, not a refusal.
#[test]
fn failed_call_that_waits_for_a_resend_gets_the_answer_of_its_endpoint() {
    run_test(async {
        let scenario = Scenario::start(Treatment::Fail, "idempotent").await;
        for answer in scenario.answers_to_waiting_calls().await {
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
        let headers = format!("{}Program: p\r\nBudget: 100\r\nToken-Count: 1,10\r\n", deadline_header());
        let client = proxy.send_call(&headers).await;
        run_ready_tasks().await;
        let proxies = [proxy];
        terminate(&proxies).await;
        time.advance_in_steps(Duration::from_millis(600), STEP).await;
        let answer = received(client).await;
        assert_eq!(status(&answer), Some(503), "{answer:?}");
        assert_eq!(endpoint.executions.get(), 0);
    });
}
