//! Marks a controller as polled while a task polls it.

use std::net::Ipv4Addr;
use std::rc::Rc;

use super::Subscription;

/// A controller that is being polled, until this is dropped. The next review polls it again if it should be, also after a
/// panic.
pub(super) struct Polling {
    subscription: Rc<Subscription>,
    controller: Ipv4Addr,
}

impl Drop for Polling {
    fn drop(&mut self) {
        self.subscription.state.borrow_mut().stopped(self.controller);
    }
}

impl Polling {
    /// Guards the polling of a controller that is marked as polled already.
    pub(super) fn new(subscription: Rc<Subscription>, controller: Ipv4Addr) -> Polling {
        Polling { subscription, controller }
    }
}
