//! A call that is counted at its destination and holds a slot there, for as long as it is out or awaits a retry.

use std::rc::Rc;
use std::time::Duration;

use super::{DestinationKey, Node};
use crate::balance::EndpointKey;
use crate::retry::Destination;

/// A call that waits for a slot looks again after this time at the latest.
const SLOT_LOOK: Duration = Duration::from_millis(50);

/// A call that is counted at a destination; dropped, it is no more.
pub(super) struct Counted {
    pub node: Rc<Node>,
    pub key: DestinationKey,
    endpoint: Option<EndpointKey>,
    pub is_late: bool,
}

impl Counted {
    pub(super) fn new(node: Rc<Node>, key: DestinationKey, is_first: bool) -> Counted {
        let counted = Counted { node, key, endpoint: None, is_late: false };
        let policy = counted.node.retry_policy.clone();
        counted.with(
            |destination, now| {
                if is_first { destination.first_send(now, &policy) } else { destination.resend() }
            },
        );
        counted
    }

    /// Tells or asks the destination something.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Destination, crate::clock::Instant) -> T) -> T {
        let now = self.node.clock.now();
        let slots = self.node.slots.borrow().total();
        let mut destinations = self.node.destinations.borrow_mut();
        let destination = destinations
            .entry(self.key.clone())
            .or_insert_with(|| Destination::new(now, slots, &self.node.retry_policy));
        act(destination, now)
    }

    /// The chance that a firing resends the call.
    pub(super) fn resend_probability(&self) -> f64 {
        let policy = self.node.retry_policy.clone();
        self.with(|destination, now| destination.resend_probability(now, &policy))
    }

    /// When a timer that is due at `due` may fire.
    pub(super) fn fire_time(&self, due: crate::clock::Instant) -> crate::clock::Instant {
        self.with(|destination, _| destination.fire_time(due))
    }

    /// Takes a slot for a send to `endpoint`; false if there is none before `ends`.
    pub(super) async fn take_slot(&mut self, ends: crate::clock::Instant, endpoint: EndpointKey) -> bool {
        self.free_slot();
        let node = self.node.clone();
        if !node.slots.borrow_mut().take(&self.key) {
            node.slots.borrow_mut().wait(&self.key);
            let waiting = Waiting { node: node.clone(), key: self.key.clone() };
            loop {
                if node.clock.now() >= ends {
                    return false;
                }
                tokio::time::timeout(SLOT_LOOK, node.slot_freed.notified()).await.ok();
                if node.slots.borrow_mut().take(&self.key) {
                    break;
                }
            }
            drop(waiting);
        }
        self.endpoint = Some(endpoint);
        if let Some(endpoint) = node.endpoints.borrow_mut().get_mut(endpoint) {
            endpoint.begin();
        }
        true
    }

    fn free_slot(&mut self) {
        let Some(endpoint) = self.endpoint.take() else { return };
        self.node.slots.borrow_mut().release(&self.key, self.is_late);
        self.node.slot_freed.notify_one();
        if let Some(endpoint) = self.node.endpoints.borrow_mut().get_mut(endpoint) {
            endpoint.end();
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.free_slot();
        self.with(|destination, _| destination.end());
    }
}

/// A call that waits for a slot.
struct Waiting {
    node: Rc<Node>,
    key: DestinationKey,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.slots.borrow_mut().stop_waiting(&self.key);
    }
}
