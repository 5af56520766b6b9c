//! Admission of new programs, and load observations from the time to a stream's first event.

use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call::Call;
use crate::admission::AdmissionRequest;
use crate::balance::{EndpointKey, PendingStream};

impl Proxy {
    /// Retry delay for a stream that may be the first of its program, or `None` if the stream is admitted.
    pub(super) fn admission_delay(&self, call: &Call) -> Option<Duration> {
        if !call.may_be_first() {
            return None;
        }
        let name = call.turn.as_ref().map_or(call.id.as_str(), |turn| turn.program.as_str());
        let request = AdmissionRequest { name, priority: call.route.priority, remaining_ms: call.finish_ms };
        self.endpoints.borrow_mut().check_admission(self.clock.now(), &call.service, request)
    }
}

/// A stream whose first event is pending. Dropping it ends the wait.
pub(super) struct PendingFirstEvent {
    proxy: Rc<Proxy>,
    expected: Option<PendingStream>,
}

impl PendingFirstEvent {
    /// Registers a call that is sent now. Must run before the prompt is recorded in the endpoint's cache, because the expected
    /// time depends on what is cached.
    pub(super) fn new(proxy: Rc<Proxy>, call: &Call, key: EndpointKey) -> PendingFirstEvent {
        let expected = call
            .is_stream()
            .then(|| proxy.endpoints.borrow_mut().stream_sent(proxy.clock.now(), key, &call.parts));
        PendingFirstEvent { proxy, expected: expected.flatten() }
    }

    /// Records that the first event has arrived.
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
