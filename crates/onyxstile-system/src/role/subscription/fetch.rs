//! Fetching of the state if the controller that should send it is late.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use super::{RESPONSE_TIMEOUT, Subscription};
use crate::wire::{PullRequest, Request, Response};

/// Time that the own source has to send a newer state before another controller is polled for it.
const OWN_SOURCE_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of doublings of the timeout for a state: 8 MB over a slow link take seconds.
const DOUBLINGS_MAX: u32 = 4;

impl Subscription {
    /// Response timeout in addition to the wait. It is longer for a response with the state, and doubles each time that
    /// the state was late.
    pub(super) fn response_timeout(&self, wants_state: bool) -> Duration {
        if !wants_state {
            return RESPONSE_TIMEOUT;
        }
        let late = self.state.borrow().late_states.min(DOUBLINGS_MAX);
        RESPONSE_TIMEOUT * 2 * (1 << late)
    }

    /// Fetches the newest state from another controller if it does not arrive soon.
    pub(super) fn fetch(self: &Rc<Subscription>) {
        let is_first = !std::mem::replace(&mut self.state.borrow_mut().is_fetching, true);
        if is_first {
            tokio::task::spawn_local(self.clone().fetch_until_newest());
        }
    }

    async fn fetch_until_newest(self: Rc<Subscription>) {
        loop {
            tokio::time::sleep(OWN_SOURCE_DELAY).await;
            if !self.state.borrow().is_behind() {
                break;
            }
            let own = self.settings.borrow().ip;
            let source = self.state.borrow().other_source(own);
            if let Some(source) = source {
                self.fetch_from(source).await;
            }
        }
        self.state.borrow_mut().is_fetching = false;
    }

    async fn fetch_from(self: &Rc<Subscription>, source: Ipv4Addr) {
        let to = SocketAddrV4::new(source, self.settings.borrow().peer_port());
        let pull = PullRequest {
            wants_state: true,
            wait_ms: 0,
            sequence: self.sequence(),
            ..self.next_request(source)
        };
        match self.client.call(to, &Request::Pull(pull), self.response_timeout(true)).await {
            Ok(Response::Pull(pulled)) => self.apply_response(source, pulled),
            _ => self.state.borrow_mut().missed(source),
        }
        // The next attempt goes to another controller with a longer timeout.
        let mut state = self.state.borrow_mut();
        if state.is_behind() {
            state.late_states += 1;
        }
    }

    fn sequence(&self) -> u64 {
        self.state.borrow().sequence
    }
}
