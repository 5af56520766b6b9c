//! What a call carries, and how it is acted on while it is made.

use super::answer::{Answer, Said};
use crate::core::{FlowNo, ServerNo};
use crate::net::http::BODY_MAX;
use crate::net::parcel::Parcel;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a message's line takes in a call that several share, beside its id: the key, lengths and line ends.
const BULK_LINE: usize = 256;

/// A flow's attempt, as part of a call.
#[derive(Debug, Clone)]
pub struct Item {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// When the flow's time is up.
    pub over_at: Instant,
    /// What to send.
    pub parcel: Rc<Parcel>,
}

/// A call to be made: one attempt, or several that share it where the real server's kind allows that.
#[derive(Debug, Clone)]
pub struct CallOrder {
    /// The attempts, at least one; their ids differ.
    pub items: Vec<Item>,
    /// The real server.
    pub server: ServerNo,
    /// Its address.
    pub address: SocketAddr,
    /// When to stop waiting.
    pub give_up_at: Instant,
    /// When the whole of it has to be written, or it is not made: beyond that, one that repeats what may have run would
    /// come after the time for which repeats are dropped.
    pub write_by: Instant,
}

impl CallOrder {
    /// What an answer says of each attempt.
    pub(super) fn answers(&self, (status, head, body): &Said) -> Vec<Answer> {
        if self.items.len() == 1 {
            return vec![Answer::read(*status, head.as_ref())];
        }
        let ids: Vec<_> = self.items.iter().map(|i| i.parcel.id.as_str()).collect();
        Answer::read_bulk(&ids, *status, head.as_ref(), body)
    }

    /// Whether another attempt may share the call, of so many at most. Paths that a table gave are nobody's but one
    /// flow's, and a body has its bound.
    pub fn takes(&self, item: &Item, most: usize) -> bool {
        let size = |i: &Item| i.parcel.body.len() + i.parcel.id.len() + BULK_LINE;
        let plain = |i: &Item| i.parcel.routed.is_none();
        let whole: usize = self.items.iter().map(size).sum();
        self.items.len() < most
            && plain(item)
            && self.items.iter().all(|i| plain(i) && i.parcel.id != item.parcel.id)
            && whole + size(item) <= BODY_MAX
    }
}

#[derive(Debug, Default)]
struct SwitchState {
    stop: Cell<bool>,
    hold: Cell<bool>,
    wake: Notify,
}

/// Acts on a call that is being made.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<SwitchState>);

impl Switch {
    /// Stop waiting for it.
    pub fn stop(&self) {
        self.0.stop.set(true);
        self.0.wake.notify_waiters();
    }

    /// If nothing of it has been written, do not write it.
    pub fn hold(&self) {
        self.0.hold.set(true);
    }

    /// Whether it must not be written any more.
    pub fn held(&self) -> bool {
        self.0.hold.get()
    }

    /// Whether the call that it acts on is still being made.
    pub fn is_used(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }

    /// Whether it is to be stopped.
    pub fn is_stopped(&self) -> bool {
        self.0.stop.get()
    }

    /// Returns once it is to be stopped.
    pub async fn stopped(&self) {
        while !self.0.stop.get() {
            self.0.wake.notified().await;
        }
    }
}
