//! The choice of an endpoint for calls that wait in the proxy.
//!
//! Failure: a proxy was full and further calls waited for a slot. One endpoint of nine said that it drains, and was acknowledged.
//! 3.2 s later the first slots were freed, and 12 of 120 waiting calls were sent to the endpoint that was leaving.
//!
//! Cause: the endpoint was chosen before the wait for a slot and not looked at again after it.

mod support;

use std::time::Duration;

use onyxstile_system::registry::Stage;
use support::gated_endpoint::{GatedEndpoint, read_answer};
use support::standalone_proxy::{StandaloneProxy, configuration};
use support::tier::run_test;
use support::virtual_time::VirtualTime;
use tokio::net::TcpStream;

/// Slots of a proxy with the limits of the tests' settings.
const SLOTS: usize = 256;
/// Calls that wait for a slot.
const WAITING: usize = 40;
/// Longer than a call waits before it looks for a slot again, or on a new connection.
const STEP: Duration = Duration::from_millis(60);

async fn send_calls(proxy: &StandaloneProxy, count: usize) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(proxy.send_call("Deadline-Ms: 5000\r\nConnection: close\r\n").await);
    }
    clients
}

/// Failure (DRAIN): a call that had waited for a slot was sent to an endpoint that had begun to leave during the wait.
#[test]
fn call_that_waited_for_a_slot_is_not_sent_to_an_endpoint_that_is_leaving() {
    run_test(async {
        let time = VirtualTime::stop();
        let (leaving, leaving_address) = GatedEndpoint::listen(b"whole").await;
        let (staying, staying_address) = GatedEndpoint::listen(b"whole").await;
        let mut proxies = StandaloneProxy::start(1, &configuration(), leaving_address).await;
        let proxy = proxies.remove(0);
        proxy.update_endpoint("i-2", staying_address, Stage::Ready, 1).await;
        let _running = send_calls(&proxy, SLOTS).await;
        time.advance_in_steps(8 * STEP, STEP).await;
        let at_leaving = leaving.requests.get();
        assert_eq!(at_leaving + staying.requests.get(), SLOTS);
        assert!(at_leaving > 0);
        let waiting = send_calls(&proxy, WAITING).await;
        time.advance_in_steps(2 * STEP, STEP).await;
        proxy.update_endpoint("i-1", leaving_address, Stage::Draining, 2).await;
        staying.may_respond.send_replace(true);
        time.advance_in_steps(6 * STEP, STEP).await;
        for mut client in waiting {
            assert_eq!(read_answer(&mut client).await, (Some(200), 5));
        }
        assert_eq!(leaving.requests.get(), at_leaving, "requests at the endpoint that is leaving");
    });
}
