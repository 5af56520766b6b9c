//! Accounting of a call at its destination: it is counted, and holds a slot, while it is in flight or waits for a retry.

use std::rc::Rc;
use std::time::Duration;

use super::{DestinationKey, Proxy};
use crate::balance::EndpointKey;
use crate::retry::Destination;

/// Maximum time between two attempts to take a slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a call had to wait for its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotWait {
    /// A slot was free.
    Free,
    /// The call has waited; what was decided before the wait may no longer hold.
    Waited,
}

/// A call that is counted at a destination. Dropping it ends the count and releases its slot.
pub(super) struct DestinationCall {
    pub proxy: Rc<Proxy>,
    pub key: DestinationKey,
    endpoint: Option<EndpointKey>,
    pub is_late: bool,
}

impl DestinationCall {
    pub(super) fn new(proxy: Rc<Proxy>, key: DestinationKey, is_first: bool) -> DestinationCall {
        let destination_call = DestinationCall { proxy, key, endpoint: None, is_late: false };
        let retry_policy = destination_call.proxy.retry_policy.clone();
        destination_call.with(|destination, now| {
            if is_first { destination.first_send(now, &retry_policy) } else { destination.resend() }
        });
        destination_call
    }

    /// Runs `action` on the destination's retry state, which is created on first use.
    pub(super) fn with<T>(&self, action: impl FnOnce(&mut Destination, crate::clock::Instant) -> T) -> T {
        let now = self.proxy.clock.now();
        let slots = self.proxy.slots.borrow().total();
        let mut destinations = self.proxy.destinations.borrow_mut();
        let destination = destinations
            .entry(self.key.clone())
            .or_insert_with(|| Destination::new(now, slots, &self.proxy.retry_policy));
        action(destination, now)
    }

    /// Probability that the call is resent when its timer fires.
    pub(super) fn resend_probability(&self) -> f64 {
        let retry_policy = self.proxy.retry_policy.clone();
        self.with(|destination, now| destination.resend_probability(now, &retry_policy))
    }

    /// Time at which a timer due at `due` may fire.
    pub(super) fn fire_time(&self, due: crate::clock::Instant) -> crate::clock::Instant {
        self.with(|destination, _| destination.fire_time(due))
    }

    /// Waits for a slot for a send to `endpoint`; `None` if none is free before `expires_at`.
    pub(super) async fn take_slot(
        &mut self, expires_at: crate::clock::Instant, endpoint: EndpointKey,
    ) -> Option<SlotWait> {
        self.release_slot();
        let proxy = self.proxy.clone();
        let mut wait = SlotWait::Free;
        if !proxy.slots.borrow_mut().take(&self.key) {
            wait = SlotWait::Waited;
            proxy.slots.borrow_mut().wait(&self.key);
            let waiter = SlotWaiter { proxy: proxy.clone(), key: self.key.clone() };
            loop {
                if proxy.clock.now() >= expires_at {
                    return None;
                }
                tokio::time::timeout(SLOT_POLL_INTERVAL, proxy.slot_freed.notified()).await.ok();
                if proxy.slots.borrow_mut().take(&self.key) {
                    break;
                }
            }
            drop(waiter);
        }
        self.endpoint = Some(endpoint);
        if let Some(endpoint) = proxy.endpoints.borrow_mut().get_mut(endpoint) {
            endpoint.begin();
        }
        Some(wait)
    }

    /// Releases the slot, if the call holds one.
    pub(super) fn release_slot(&mut self) {
        let Some(endpoint) = self.endpoint.take() else { return };
        self.proxy.slots.borrow_mut().release(&self.key, self.is_late);
        self.proxy.slot_freed.notify_one();
        if let Some(endpoint) = self.proxy.endpoints.borrow_mut().get_mut(endpoint) {
            endpoint.end();
        }
    }
}

impl Drop for DestinationCall {
    fn drop(&mut self) {
        self.release_slot();
        self.with(|destination, _| destination.end());
    }
}

/// Registration of a call that waits for a slot. Dropping it removes the registration.
struct SlotWaiter {
    proxy: Rc<Proxy>,
    key: DestinationKey,
}

impl Drop for SlotWaiter {
    fn drop(&mut self) {
        self.proxy.slots.borrow_mut().stop_waiting(&self.key);
    }
}
