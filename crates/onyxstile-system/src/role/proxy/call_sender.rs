//! Sends and retries of one call: which endpoint it goes to, whether it may go again, and when.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response;

use super::attempt::{Attempt, Stream};
use super::call::Call;
use super::destination_call::DestinationCall;
use super::{DestinationKey, Proxy};
use crate::balance::EndpointKey;
use crate::retry::timer;

/// The first timer is this part of a route's objective: a retry that comes later can't be in time.
const TIMER_DIVISOR: u32 = 8;
/// Bounds of the first timer.
const TIMER_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(500));
/// How sending a call ended.
pub(super) enum SendOutcome {
    /// With a whole answer.
    Complete(response::Parts, Bytes),
    /// With a stream that has begun.
    Streaming(Stream),
    /// It did not run and will not.
    NotExecuted,
    /// It may have run; its answer is lost.
    Failed,
    /// It may have run; its time is over.
    TimedOut,
}

/// A call that is being sent.
pub(super) struct CallSender {
    pub proxy: Rc<Proxy>,
    pub call: Call,
    body: Bytes,
    /// Endpoints that it was sent to.
    pub attempted: Vec<EndpointKey>,
    /// Endpoints where it failed.
    pub failed: Vec<EndpointKey>,
    may_have_run: bool,
    timer_firings: u32,
    destination_call: Option<DestinationCall>,
}

impl CallSender {
    /// A call that nothing was sent of; `body` is what the endpoint is to get.
    pub(super) fn new(proxy: Rc<Proxy>, call: Call, body: Bytes) -> CallSender {
        CallSender {
            proxy,
            call,
            body,
            attempted: Vec::new(),
            failed: Vec::new(),
            may_have_run: false,
            timer_firings: 0,
            destination_call: None,
        }
    }

    /// Sends until there is an answer, or none can come.
    pub(super) async fn run(&mut self) -> SendOutcome {
        let last_event = self.call.last_event.clone();
        self.send(last_event.as_deref()).await
    }

    /// Sends a stream again from the event after `last_event`.
    pub(super) async fn resume(&mut self, last_event: Option<&str>) -> Option<Stream> {
        self.failed.extend(self.attempted.last());
        if !self.wait_for_resend().await {
            return None;
        }
        match self.send(last_event).await {
            SendOutcome::Streaming(stream) => Some(stream),
            _ => None,
        }
    }

    async fn send(&mut self, last_event: Option<&str>) -> SendOutcome {
        loop {
            if self.call.remaining(self.proxy.clock.now()).is_zero() {
                return if self.may_have_run { SendOutcome::TimedOut } else { SendOutcome::NotExecuted };
            }
            let Some(key) = self.choose_endpoint() else { return self.outcome_without_response() };
            if !self.acquire_slot(key).await {
                return if self.may_have_run { SendOutcome::TimedOut } else { SendOutcome::NotExecuted };
            }
            let timeout = self.silence_timeout(key);
            let began = self.proxy.clock.now();
            let attempt = self.proxy.attempt(&self.call, &self.body, key, last_event, timeout).await;
            if !self.attempted.contains(&key) {
                self.attempted.push(key);
            }
            match attempt {
                Attempt::Complete(head, body) => {
                    let has_failed = head.status.is_server_error();
                    if !(has_failed && self.may_resend() && self.wait_for_resend().await) {
                        self.finish(began, has_failed);
                        return SendOutcome::Complete(head, body);
                    }
                    self.may_have_run = true;
                }
                Attempt::Streaming(stream) => {
                    self.may_have_run = true;
                    return SendOutcome::Streaming(stream);
                }
                Attempt::NotExecuted => {
                    self.record_refusal(key);
                    self.failed.push(key);
                    if !self.wait_for_resend().await {
                        return self.outcome_without_response();
                    }
                }
                Attempt::NotSent => {
                    self.failed.push(key);
                    if !self.wait_for_resend().await {
                        return self.outcome_without_response();
                    }
                }
                Attempt::Unknown(reason) => {
                    log::debug!("call {}: {reason}", self.call.id);
                    self.may_have_run = true;
                    self.failed.push(key);
                    if !(self.may_resend() && self.wait_for_resend().await) {
                        let is_expired = self.call.remaining(self.proxy.clock.now()).is_zero();
                        return if is_expired { SendOutcome::TimedOut } else { SendOutcome::Failed };
                    }
                }
            }
        }
    }

    fn outcome_without_response(&self) -> SendOutcome {
        if self.may_have_run { SendOutcome::Failed } else { SendOutcome::NotExecuted }
    }

    /// Whether a call that may have run may be sent again.
    pub(super) fn may_resend(&self) -> bool {
        self.call.route.is_repeatable()
    }

    fn first_timer(&self) -> Duration {
        (self.call.target_latency() / TIMER_DIVISOR).clamp(TIMER_RANGE.0, TIMER_RANGE.1)
    }

    /// Waits for a timer whose roll resends the call; false if its time is over before.
    async fn wait_for_resend(&mut self) -> bool {
        let proxy = self.proxy.clone();
        loop {
            let due = proxy.clock.now() + timer(self.first_timer(), self.timer_firings);
            self.timer_firings += 1;
            let fires = match &self.destination_call {
                // An endpoint's wait holds sends there; other endpoints of the service may take the call meanwhile.
                Some(destination_call) if matches!(destination_call.key, DestinationKey::Service(_)) => {
                    destination_call.fire_time(due)
                }
                _ => due,
            };
            if fires >= self.call.expires_at {
                return false;
            }
            tokio::time::sleep(fires.since(proxy.clock.now())).await;
            let probability = self.destination_call.as_ref().map_or(1.0, DestinationCall::resend_probability);
            if proxy.random_fraction() < probability {
                return true;
            }
        }
    }

    /// Counts the call at the destination of this send and takes a slot there.
    async fn acquire_slot(&mut self, endpoint: EndpointKey) -> bool {
        let key = if self.call.is_stream() {
            DestinationKey::Endpoint(endpoint)
        } else {
            DestinationKey::Service(self.call.service.clone())
        };
        let is_first = self.destination_call.is_none();
        if self.destination_call.as_ref().is_none_or(|destination_call| destination_call.key != key) {
            self.destination_call = Some(DestinationCall::new(self.proxy.clone(), key, is_first));
        }
        let expires_at = self.call.expires_at;
        match &mut self.destination_call {
            Some(destination_call) => destination_call.take_slot(expires_at, endpoint).await,
            None => false,
        }
    }

    fn record_refusal(&mut self, key: EndpointKey) {
        let first_timer = self.first_timer();
        if let Some(destination_call) = &self.destination_call {
            destination_call.with(|destination, now| destination.refused(now, first_timer));
        }
        log::debug!("call {} refused by {key:?}", self.call.id);
    }

    /// The stream that had begun broke off at its endpoint.
    pub(super) fn record_interrupted_stream(&self) {
        let now = self.proxy.clock.now();
        let mut endpoints = self.proxy.endpoints.borrow_mut();
        if let Some(endpoint) = self.attempted.last().and_then(|key| endpoints.get_mut(*key)) {
            endpoint.health.note_failure(now);
        }
    }

    /// The call is answered.
    pub(super) fn finish(&mut self, began: crate::clock::Instant, has_failed: bool) {
        let Some(destination_call) = &mut self.destination_call else { return };
        let now = destination_call.proxy.clock.now();
        if !has_failed {
            destination_call.with(|destination, now| destination.answered(now.since(began)));
        }
        destination_call.is_late = now.since(self.call.began) > self.call.target_latency();
    }
}
