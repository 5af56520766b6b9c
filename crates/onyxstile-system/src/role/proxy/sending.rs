//! Sends and retries of one call: which endpoint it goes to, whether it may go again, and when.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response;

use super::attempt::{Attempt, Stream};
use super::call::Call;
use super::counted::Counted;
use super::{DestinationKey, Node};
use crate::balance::EndpointKey;
use crate::retry::timer;

/// The first timer is this part of a route's objective: a retry that comes later can't be in time.
const TIMER_PARTS: u32 = 8;
/// Bounds of the first timer.
const TIMER_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(500));
/// How sending a call ended.
pub(super) enum Ended {
    /// With a whole answer.
    Whole(response::Parts, Bytes),
    /// With a stream that has begun.
    Streaming(Stream),
    /// It did not run and will not.
    NotRun,
    /// It may have run; its answer is lost.
    Failed,
    /// It may have run; its time is over.
    TimedOut,
}

/// A call that is being sent.
pub(super) struct Sending {
    pub node: Rc<Node>,
    pub call: Call,
    body: Bytes,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// Endpoints where it failed.
    pub failed: Vec<EndpointKey>,
    may_have_run: bool,
    firings: u32,
    counted: Option<Counted>,
}

impl Sending {
    /// A call that nothing was sent of; `body` is what the endpoint is to get.
    pub(super) fn new(node: Rc<Node>, call: Call, body: Bytes) -> Sending {
        Sending {
            node,
            call,
            body,
            tried: Vec::new(),
            failed: Vec::new(),
            may_have_run: false,
            firings: 0,
            counted: None,
        }
    }

    /// Sends until there is an answer, or none can come.
    pub(super) async fn run(&mut self) -> Ended {
        let last_event = self.call.last_event.clone();
        self.send(last_event.as_deref()).await
    }

    /// Sends a stream again from the event after `last_event`.
    pub(super) async fn resume(&mut self, last_event: Option<&str>) -> Option<Stream> {
        self.failed.extend(self.tried.last());
        if !self.wait_for_timer().await {
            return None;
        }
        match self.send(last_event).await {
            Ended::Streaming(stream) => Some(stream),
            _ => None,
        }
    }

    async fn send(&mut self, last_event: Option<&str>) -> Ended {
        loop {
            if self.call.left(self.node.clock.now()).is_zero() {
                return if self.may_have_run { Ended::TimedOut } else { Ended::NotRun };
            }
            let Some(key) = self.choose() else { return self.lost() };
            if !self.occupy(key).await {
                return if self.may_have_run { Ended::TimedOut } else { Ended::NotRun };
            }
            let patience = self.patience(key);
            let began = self.node.clock.now();
            let attempt = self.node.attempt(&self.call, &self.body, key, last_event, patience).await;
            if !self.tried.contains(&key) {
                self.tried.push(key);
            }
            match attempt {
                Attempt::Whole(head, body) => {
                    let has_failed = head.status.is_server_error();
                    if !(has_failed && self.may_go_on() && self.wait_for_timer().await) {
                        self.finish(began, has_failed);
                        return Ended::Whole(head, body);
                    }
                    self.may_have_run = true;
                }
                Attempt::Streaming(stream) => {
                    self.may_have_run = true;
                    return Ended::Streaming(stream);
                }
                Attempt::NotExecuted => {
                    self.refused(key);
                    self.failed.push(key);
                    if !self.wait_for_timer().await {
                        return self.lost();
                    }
                }
                Attempt::NotSent => {
                    self.failed.push(key);
                    if !self.wait_for_timer().await {
                        return self.lost();
                    }
                }
                Attempt::Unknown(reason) => {
                    log::debug!("call {}: {reason}", self.call.id);
                    self.may_have_run = true;
                    self.failed.push(key);
                    if !(self.may_go_on() && self.wait_for_timer().await) {
                        let is_over = self.call.left(self.node.clock.now()).is_zero();
                        return if is_over { Ended::TimedOut } else { Ended::Failed };
                    }
                }
            }
        }
    }

    fn lost(&self) -> Ended {
        if self.may_have_run { Ended::Failed } else { Ended::NotRun }
    }

    /// Whether a call that may have run may be sent again.
    pub(super) fn may_go_on(&self) -> bool {
        self.call.route.is_repeatable()
    }

    fn first_timer(&self) -> Duration {
        (self.call.aim() / TIMER_PARTS).clamp(TIMER_RANGE.0, TIMER_RANGE.1)
    }

    /// Waits for a timer whose roll resends the call; false if its time is over before.
    async fn wait_for_timer(&mut self) -> bool {
        let node = self.node.clone();
        loop {
            let due = node.clock.now() + timer(self.first_timer(), self.firings);
            self.firings += 1;
            let fires = match &self.counted {
                // An endpoint's wait holds sends there; other endpoints of the service may take the call meanwhile.
                Some(counted) if matches!(counted.key, DestinationKey::Service(_)) => counted.fire_time(due),
                _ => due,
            };
            if fires >= self.call.ends {
                return false;
            }
            tokio::time::sleep(fires.since(node.clock.now())).await;
            let probability = self.counted.as_ref().map_or(1.0, Counted::resend_probability);
            if node.roll() < probability {
                return true;
            }
        }
    }

    /// Counts the call at the destination of this send and takes a slot there.
    async fn occupy(&mut self, endpoint: EndpointKey) -> bool {
        let key = if self.call.is_stream() {
            DestinationKey::Endpoint(endpoint)
        } else {
            DestinationKey::Service(self.call.service.clone())
        };
        let is_first = self.counted.is_none();
        if self.counted.as_ref().is_none_or(|counted| counted.key != key) {
            self.counted = Some(Counted::new(self.node.clone(), key, is_first));
        }
        let ends = self.call.ends;
        match &mut self.counted {
            Some(counted) => counted.take_slot(ends, endpoint).await,
            None => false,
        }
    }

    fn refused(&mut self, key: EndpointKey) {
        let first_timer = self.first_timer();
        if let Some(counted) = &self.counted {
            counted.with(|destination, now| destination.refused(now, first_timer));
        }
        log::debug!("call {} refused by {key:?}", self.call.id);
    }

    /// The stream that had begun broke off at its endpoint.
    pub(super) fn note_broken_stream(&self) {
        let now = self.node.clock.now();
        let mut endpoints = self.node.endpoints.borrow_mut();
        if let Some(endpoint) = self.tried.last().and_then(|key| endpoints.get_mut(*key)) {
            endpoint.health.note_failure(now);
        }
    }

    /// The call is answered.
    pub(super) fn finish(&mut self, began: crate::clock::Instant, has_failed: bool) {
        let Some(counted) = &mut self.counted else { return };
        let now = counted.node.clock.now();
        if !has_failed {
            counted.with(|destination, now| destination.answered(now.since(began)));
        }
        counted.is_late = now.since(self.call.began) > self.call.aim();
    }
}
