//! Which programs may begin, and what streams show of how busy the endpoints are.

use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call::Call;
use crate::admission::AdmissionRequest;
use crate::balance::{EndpointKey, PendingStream};

impl Proxy {
    /// When the client of a stream that goes on from nothing may come back, if no program may begin now with it.
    pub(super) fn admission_delay(&self, call: &Call) -> Option<Duration> {
        if !call.may_be_first() {
            return None;
        }
        let name = call.turn.as_ref().map_or(call.id.as_str(), |turn| turn.program.as_str());
        let request = AdmissionRequest { name, priority: call.route.priority, remaining_ms: call.finish_ms };
        self.endpoints.borrow_mut().check_admission(self.clock.now(), &call.service, request)
    }
}

/// A first event that is waited for; dropped, it is no more.
pub(super) struct PendingFirstEvent {
    proxy: Rc<Proxy>,
    expected: Option<PendingStream>,
}

impl PendingFirstEvent {
    /// A call that is sent now, before its prompt is noted in the endpoint's cache.
    pub(super) fn new(proxy: Rc<Proxy>, call: &Call, key: EndpointKey) -> PendingFirstEvent {
        let expected = call
            .is_stream()
            .then(|| proxy.endpoints.borrow_mut().stream_sent(proxy.clock.now(), key, &call.parts));
        PendingFirstEvent { proxy, expected: expected.flatten() }
    }

    /// It has come.
    pub(super) fn mark_received(&self) {
        if let Some(expected) = &self.expected {
            self.proxy.endpoints.borrow_mut().stream_started(self.proxy.clock.now(), expected);
        }
    }
}

impl Drop for PendingFirstEvent {
    fn drop(&mut self) {
        if let Some(expected) = &self.expected {
            self.proxy.endpoints.borrow_mut().stream_wait_ended(expected);
        }
    }
}
