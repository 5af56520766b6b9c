//! Requests of a proxy to storage machines that refuse them.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::program::ClaimSummary;
use onyxstile_system::role::rpc;
use onyxstile_system::wire::{Request, Response};
use support::scripted_endpoint::{ScriptedEndpoint, Treatment};
use support::standalone_proxy::{StandaloneProxy, configuration};
use support::tier::run_test;
use support::unlimited_load;
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::net::TcpListener;

/// Time for which a proxy asks storage machines before a turn.
const PREPARE_TIME: Duration = Duration::from_millis(1200);
/// Step of the clock. Timers that are due within a step fire at its end.
const STEP: Duration = Duration::from_millis(10);
/// Requests to each machine within that time, with delays of 0.12 s, 0.24 s and 0.48 s between them.
const REQUESTS_PER_MACHINE: u32 = 4;

/// Answers requests as a storage machine.
fn serve_storage(listener: TcpListener, answer: impl Fn(Request) -> Response + 'static) {
    let handler = move |request| -> rpc::ResponseFuture { Box::pin(std::future::ready(answer(request))) };
    tokio::task::spawn_local(rpc::serve(listener, unlimited_load(), Rc::new(handler)));
}

/// Guards against a proxy that sends a request to an overloaded storage machine every 0.12 s, with all its bytes.
#[test]
fn requests_to_a_machine_that_refuses_are_repeated_at_doubling_intervals() {
    run_test(async {
        let time = VirtualTime::stop();
        let (endpoint, address) = ScriptedEndpoint::listen(Treatment::Serve).await;
        let route = configuration().replace("non_idempotent", "streaming");
        let (proxy, listeners) = StandaloneProxy::start_with_silent_storage(&route, address, 8.0).await;
        let requests: Vec<Rc<Cell<u32>>> = listeners.iter().map(|_| Rc::default()).collect();
        for (listener, requests) in listeners.into_iter().zip(&requests) {
            let requests = requests.clone();
            serve_storage(listener, move |_| {
                requests.set(requests.get() + 1);
                Response::Refused
            });
        }
        let _client = proxy.send_call("Program: p\r\nBudget: 100\r\nToken-Count: 1,10\r\n").await;
        run_ready_tasks().await;
        time.advance_in_steps(PREPARE_TIME, STEP).await;
        let requests: Vec<u32> = requests.iter().map(|requests| requests.get()).collect();
        assert_eq!(requests, [REQUESTS_PER_MACHINE; 3]);
        assert_eq!(endpoint.executions.get(), 0);
    });
}

/// Guards against a proxy that asks a machine whose disk does not answer first, for each turn anew.
#[test]
fn a_machine_that_cannot_tell_is_not_asked_first() {
    run_test(async {
        let time = VirtualTime::stop();
        let (_endpoint, address) = ScriptedEndpoint::listen(Treatment::Serve).await;
        let retained = r#""max_attempts":1,"retained":true,"retention_s":60.0"#;
        let route =
            configuration().replace("non_idempotent", "streaming").replace(r#""max_attempts":1"#, retained);
        let (proxy, listeners) = StandaloneProxy::start_with_silent_storage(&route, address, 8.0).await;
        let lookups: Vec<Rc<Cell<u32>>> = listeners.iter().map(|_| Rc::default()).collect();
        for (listener, lookups) in listeners.into_iter().zip(&lookups) {
            let lookups = lookups.clone();
            serve_storage(listener, move |request| match request {
                Request::GetTurns { ids, .. } => {
                    lookups.set(lookups.get() + 1);
                    Response::Turns { turns: vec![None; ids.len()], is_conclusive: false }
                }
                _ => Response::Reserved(ClaimSummary::default()),
            });
        }
        for _ in 0..3 {
            let headers = "Program: p\r\nBudget: 100\r\nToken-Count: 1,10\r\nPrevious: t\r\n";
            let _client = proxy.send_call(headers).await;
            time.advance_in_steps(Duration::from_millis(100), STEP).await;
        }
        let lookups: Vec<u32> = lookups.iter().map(|lookups| lookups.get()).collect();
        // Each turn: one lookup at the machine that is asked first, and one at each machine.
        assert_eq!(lookups, [4; 3]);
    });
}
