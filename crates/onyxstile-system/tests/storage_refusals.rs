//! Requests of a proxy to storage machines that refuse them.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::role::rpc;
use onyxstile_system::wire::Response;
use support::scripted_endpoint::{ScriptedEndpoint, Treatment};
use support::standalone_proxy::{StandaloneProxy, configuration};
use support::tier::run_test;
use support::unlimited_load;
use support::virtual_time::{VirtualTime, run_ready_tasks};

/// Time for which a proxy asks storage machines before a turn.
const PREPARE_TIME: Duration = Duration::from_millis(1200);
/// Step of the clock. Timers that are due within a step fire at its end.
const STEP: Duration = Duration::from_millis(10);
/// Requests to each machine within that time, with delays of 0.12 s, 0.24 s and 0.48 s between them.
const REQUESTS_PER_MACHINE: u32 = 4;

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
            let refuse = move |_| -> rpc::ResponseFuture {
                requests.set(requests.get() + 1);
                Box::pin(std::future::ready(Response::Refused))
            };
            tokio::task::spawn_local(rpc::serve(listener, unlimited_load(), Rc::new(refuse)));
        }
        let _client = proxy.send_call("Program: p\r\nBudget: 100\r\nToken-Count: 1,10\r\n").await;
        run_ready_tasks().await;
        time.advance_in_steps(PREPARE_TIME, STEP).await;
        let requests: Vec<u32> = requests.iter().map(|requests| requests.get()).collect();
        assert_eq!(requests, [REQUESTS_PER_MACHINE; 3]);
        assert_eq!(endpoint.executions.get(), 0);
    });
}
