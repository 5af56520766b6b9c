//! Calls in flight at endpoints, for the endpoints' health records.

use std::rc::Rc;

use super::Proxy;
use crate::balance::EndpointKey;
use crate::clock::Instant;

/// A call in flight at an endpoint. Dropping it records its end in the endpoint's health record.
pub(super) struct InFlight {
    proxy: Rc<Proxy>,
    key: EndpointKey,
    at: Instant,
}

impl InFlight {
    /// Records that a call is sent to the endpoint `key`.
    pub(super) fn new(proxy: Rc<Proxy>, key: EndpointKey, at: Instant) -> InFlight {
        if let Some(endpoint) = proxy.endpoints.borrow_mut().get_mut(key) {
            endpoint.health.sent(at);
        }
        InFlight { proxy, key, at }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(endpoint) = self.proxy.endpoints.borrow_mut().get_mut(self.key) {
            endpoint.health.ended(self.at);
        }
    }
}
