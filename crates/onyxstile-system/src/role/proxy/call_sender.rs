//! Sends and retries of one call: whether, when and to which endpoint it is sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::attempt::Attempt;
use super::call::Call;
use super::destination_call::{DestinationCall, SlotWait};
use super::read_answer::Stream;
use super::send_outcome::{GiveUp, SendOutcome};
use super::upstream::ConnectionId;
use super::{DestinationKey, Proxy};
use crate::balance::EndpointKey;
use crate::retry::timer;

/// The first retry timer is the route's target latency divided by this number: a later retry could not meet the target.
const TIMER_DIVISOR: u32 = 8;
/// Bounds of the first retry timer.
const TIMER_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(500));

/// Sends a call, with retries.
pub(super) struct CallSender {
    pub proxy: Rc<Proxy>,
    pub call: Call,
    body: Bytes,
    /// Endpoints that the call was sent to.
    pub attempted: Vec<EndpointKey>,
    /// Endpoints where the call failed.
    pub failed: Vec<EndpointKey>,
    /// Connections that have carried the call.
    carried: Vec<ConnectionId>,
    may_have_run: bool,
    timer_firings: u32,
    destination_call: Option<DestinationCall>,
}

impl CallSender {
    /// Prepares a call that has not been sent; `body` is the body for the endpoint.
    pub(super) fn new(proxy: Rc<Proxy>, call: Call, body: Bytes) -> CallSender {
        CallSender {
            proxy,
            call,
            body,
            attempted: Vec::new(),
            failed: Vec::new(),
            carried: Vec::new(),
            may_have_run: false,
            timer_firings: 0,
            destination_call: None,
        }
    }

    /// Sends until there is a response or none can be obtained.
    pub(super) async fn run(&mut self) -> SendOutcome {
        let last_event = self.call.last_event.clone();
        self.send(last_event.as_deref()).await
    }

    /// Resumes a stream after the event `last_event`.
    pub(super) async fn resume(&mut self, last_event: Option<&str>) -> Option<Stream> {
        self.failed.extend(self.attempted.last());
        self.wait_for_resend().await.ok()?;
        match self.send(last_event).await {
            SendOutcome::Streaming(stream) => Some(stream),
            _ => None,
        }
    }

    async fn send(&mut self, last_event: Option<&str>) -> SendOutcome {
        loop {
            let key = match self.acquire_endpoint().await {
                Ok(key) => key,
                Err(reason) => return self.give_up(reason),
            };
            let timeout = self.silence_timeout(key);
            let began = self.proxy.clock.now();
            let carried = &mut self.carried;
            let attempt = self.proxy.attempt(&self.call, &self.body, key, last_event, timeout, carried).await;
            if !self.attempted.contains(&key) {
                self.attempted.push(key);
            }
            match attempt {
                Attempt::Complete(head, body) => {
                    let has_failed = head.status.is_server_error();
                    if !(has_failed && self.may_resend() && self.wait_for_resend().await.is_ok()) {
                        self.finish(began, has_failed);
                        return SendOutcome::Complete(head, body);
                    }
                    self.may_have_run = true;
                }
                Attempt::Streaming(stream) => {
                    self.may_have_run = true;
                    return SendOutcome::Streaming(stream);
                }
                Attempt::NotExecuted | Attempt::NotSent | Attempt::Abandoned => {
                    if matches!(attempt, Attempt::NotExecuted) {
                        self.record_refusal(key);
                    }
                    self.failed.push(key);
                    if let Err(reason) = self.wait_for_resend().await {
                        return self.give_up(reason);
                    }
                }
                Attempt::CutOff => return SendOutcome::TimedOut,
                Attempt::Unknown(_) | Attempt::NoMemory => {
                    if let Attempt::Unknown(reason) = attempt {
                        log::debug!("call {} failed: {reason}", self.call.id);
                    }
                    self.may_have_run = true;
                    self.failed.push(key);
                    if !(self.may_resend() && self.wait_for_resend().await.is_ok()) {
                        let is_expired = self.call.remaining(self.proxy.clock.now()).is_zero();
                        return if is_expired { SendOutcome::TimedOut } else { SendOutcome::Failed };
                    }
                }
            }
        }
    }

    /// Chooses an endpoint and acquires a slot for it. An endpoint that was chosen before a wait may be leaving after it, so the
    /// choice is then made again.
    async fn acquire_endpoint(&mut self) -> Result<EndpointKey, GiveUp> {
        loop {
            let now = self.proxy.clock.now();
            if self.call.remaining(now).is_zero() {
                return Err(GiveUp::Expired);
            }
            if self.proxy.phase.is_past_last_send(now) {
                return Err(GiveUp::ShuttingDown);
            }
            let key = self.choose_endpoint().ok_or(GiveUp::NoEndpoint)?;
            if self.acquire_slot(key).await? == SlotWait::Free {
                return Ok(key);
            }
            // Nothing else runs before the next choice, so the slot is free for it.
            self.release_slot();
        }
    }

    fn release_slot(&mut self) {
        self.destination_call.iter_mut().for_each(DestinationCall::release_slot);
    }

    /// Outcome of a call for which there is no response.
    fn give_up(&self, reason: GiveUp) -> SendOutcome {
        match reason {
            GiveUp::Expired if self.may_have_run => SendOutcome::TimedOut,
            _ if self.may_have_run => SendOutcome::Failed,
            GiveUp::ShuttingDown => SendOutcome::ShuttingDown,
            GiveUp::Expired | GiveUp::NoTimeToRetry | GiveUp::NoEndpoint => SendOutcome::NotExecuted,
        }
    }

    /// Whether the call may be sent again although it may have been executed.
    pub(super) fn may_resend(&self) -> bool {
        self.call.route.is_repeatable()
    }

    fn first_timer(&self) -> Duration {
        (self.call.target_latency() / TIMER_DIVISOR).clamp(TIMER_RANGE.0, TIMER_RANGE.1)
    }

    /// Waits until a retry timer fires and the random decision allows a resend. Returns as soon as it is known that the call
    /// expires or the process ends before that.
    async fn wait_for_resend(&mut self) -> Result<(), GiveUp> {
        let proxy = self.proxy.clone();
        loop {
            let due = proxy.clock.now() + timer(self.first_timer(), self.timer_firings);
            self.timer_firings += 1;
            let fires = match &self.destination_call {
                // Only the back-off of a service delays the timer. The back-off of an endpoint does not, because other
                // endpoints of the service may accept the call in the meantime.
                Some(destination_call) if matches!(destination_call.key, DestinationKey::Service(_)) => {
                    destination_call.fire_time(due)
                }
                _ => due,
            };
            if fires >= self.call.expires_at {
                return Err(GiveUp::NoTimeToRetry);
            }
            if !proxy.phase.wait_for_send(fires).await {
                return Err(GiveUp::ShuttingDown);
            }
            let probability = self.destination_call.as_ref().map_or(1.0, DestinationCall::resend_probability);
            if proxy.random_fraction() < probability {
                return Ok(());
            }
        }
    }

    /// Counts the call at the destination of this send and waits for a slot there.
    async fn acquire_slot(&mut self, endpoint: EndpointKey) -> Result<SlotWait, GiveUp> {
        let key = if self.call.is_stream() {
            DestinationKey::Endpoint(endpoint)
        } else {
            DestinationKey::Service(self.call.service.clone())
        };
        let is_first = self.destination_call.is_none();
        let counted = self.destination_call.take().filter(|destination_call| destination_call.key == key);
        let counted = counted.unwrap_or_else(|| DestinationCall::new(self.proxy.clone(), key, is_first));
        let destination_call = self.destination_call.insert(counted);
        let slot = destination_call.take_slot(self.call.expires_at, endpoint);
        match self.proxy.phase.until_last_send(slot).await {
            Some(Some(wait)) => Ok(wait),
            Some(None) => Err(GiveUp::Expired),
            None => Err(GiveUp::ShuttingDown),
        }
    }

    fn record_refusal(&mut self, key: EndpointKey) {
        let first_timer = self.first_timer();
        if let Some(destination_call) = &self.destination_call {
            destination_call.with(|destination, now| destination.refused(now, first_timer));
        }
        log::debug!("call {} was not executed by {key:?}", self.call.id);
    }

    /// Records a failure at the endpoint `key`, whose stream was interrupted.
    pub(super) fn record_interrupted_stream(&self, key: EndpointKey) {
        let now = self.proxy.clock.now();
        if let Some(endpoint) = self.proxy.endpoints.borrow_mut().get_mut(key) {
            endpoint.health.note_failure(now);
        }
    }

    /// Records that the call has been answered.
    pub(super) fn finish(&mut self, began: crate::clock::Instant, has_failed: bool) {
        let Some(destination_call) = &mut self.destination_call else { return };
        let now = destination_call.proxy.clock.now();
        if !has_failed {
            destination_call.with(|destination, now| destination.answered(now.since(began)));
        }
        destination_call.is_late = now.since(self.call.began) > self.call.target_latency();
    }
}
