//! The state, where the controller that should send it is late.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use super::{RESPONSE_TIMEOUT, Subscription};
use crate::wire::{PullRequest, Request, Response};

/// After the news of a newer state its own source has this long to send it; then another is asked.
const OWN_SOURCE_DELAY: Duration = Duration::from_millis(100);
/// The most doublings of the time in which a state has to come: 8 MB over a slow link take seconds.
const DOUBLINGS_MAX: u32 = 4;

impl Subscription {
    /// How long an answer may take beyond the wait; one with the state takes longer, and longer again where it was late.
    pub(super) fn response_timeout(&self, wants_state: bool) -> Duration {
        if !wants_state {
            return RESPONSE_TIMEOUT;
        }
        let late = self.state.borrow().late_states.min(DOUBLINGS_MAX);
        RESPONSE_TIMEOUT * 2 * (1 << late)
    }

    /// Has the newest state fetched from another controller if it does not come soon.
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
        // Next time another is asked, and given longer.
        let mut state = self.state.borrow_mut();
        if state.is_behind() {
            state.late_states += 1;
        }
    }

    fn sequence(&self) -> u64 {
        self.state.borrow().sequence
    }
}
