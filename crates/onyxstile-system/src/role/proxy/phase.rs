//! Lifecycle phase of a proxy, its open requests, and the times by which they are given up.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use crate::clock::{Instant, SteadyClock};
use crate::role::process_end::ProcessEnd;
use crate::role::shortest_grace::ShortestGrace;
use crate::role::shutdown::Shutdown;

/// Time reserved before the end for a send to bring a response or a refusal.
const SEND_TIME: Duration = Duration::from_millis(100);
/// Time reserved before the end for writing the answer to one open request, on a tenth of a core.
const TIME_PER_ANSWER: Duration = Duration::from_micros(750);

/// Lifecycle phase. It only moves forward.
pub(super) struct Phase {
    /// Time from the start until the proxy was ready.
    ready_after: Cell<Option<Duration>>,
    end: ProcessEnd,
    open_requests: Cell<usize>,
    /// Number of calls in a step before a send.
    unsent: Cell<usize>,
    /// Whether the time for sends is over. It stays over, although fewer calls would need less time to be answered.
    sends_are_over: Cell<bool>,
    /// The same for calls that were sent.
    answers_are_over: Cell<bool>,
    shutdown: Rc<Shutdown>,
}

/// Counts a call as not sent until it is dropped.
struct UnsentCall<'a>(&'a Cell<usize>);

impl<'a> UnsentCall<'a> {
    fn new(count: &'a Cell<usize>) -> UnsentCall<'a> {
        count.set(count.get() + 1);
        UnsentCall(count)
    }
}

impl Drop for UnsentCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Phase {
    /// Creates the phase of a proxy that has just started; `grace` is the grace period in the settings.
    pub(super) fn new(clock: SteadyClock, grace: Duration) -> Phase {
        Phase {
            ready_after: Cell::default(),
            end: ProcessEnd::new(clock, grace),
            open_requests: Cell::default(),
            unsent: Cell::default(),
            sends_are_over: Cell::default(),
            answers_are_over: Cell::default(),
            shutdown: Rc::default(),
        }
    }

    /// Marks the proxy as ready: it has the configuration and fresh endpoints.
    pub(super) fn mark_ready(&self, now: Instant) {
        if self.ready_after.get().is_none() {
            log::info!("ready");
            self.ready_after.set(Some(now.since(Instant::default())));
        }
    }

    /// Time from the start until the proxy was ready; `None` before that.
    pub(super) fn ready_after(&self) -> Option<Duration> {
        self.ready_after.get()
    }

    /// Whether new clients may be directed to this proxy.
    pub(super) fn is_ready(&self) -> bool {
        self.ready_after.get().is_some() && !self.is_draining()
    }

    /// Number of open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// End of the process.
    pub(super) fn end(&self) -> &ProcessEnd {
        &self.end
    }

    /// Tracks the listener, client connections and background writes. Once the shutdown has begun, no connection is accepted,
    /// and each open connection ends after its pending responses.
    pub(super) fn shutdown(&self) -> Rc<Shutdown> {
        self.shutdown.clone()
    }

    /// Whether the listener is closed and the process may exit before a response that may last until `last`.
    pub(super) fn ends_before(&self, last: Instant) -> bool {
        self.shutdown.is_begun() && self.end.grace().is_some_and(|grace| grace.deadline() < last)
    }

    /// Whether SIGTERM has been received.
    pub(super) fn is_draining(&self) -> bool {
        self.end.grace().is_some()
    }

    /// Time at which calls that were sent are answered by the proxy. It is earlier if the answers to all of them could not be
    /// written before the process exits.
    fn last_answer(&self, grace: &ShortestGrace) -> Instant {
        if self.answers_are_over.get() {
            return grace.sigterm_at();
        }
        grace.deadline().min(grace.exit_deadline_before(self.time_to_answer_sent()))
    }

    /// Time after which no call is sent. Calls that have not been sent by then are refused, which takes time if many wait.
    fn last_send(&self, grace: &ShortestGrace) -> Instant {
        if self.sends_are_over.get() {
            return grace.sigterm_at();
        }
        let reserve = SEND_TIME + TIME_PER_ANSWER * self.unsent.get() as u32;
        grace.deadline_before(reserve).min(grace.exit_deadline_before(reserve + self.time_to_answer_sent()))
    }

    fn time_to_answer_sent(&self) -> Duration {
        TIME_PER_ANSWER * self.open_requests.get().saturating_sub(self.unsent.get()) as u32
    }

    /// Records that a time is over, and lets all calls that it bounds end together: if each looked again after the one before
    /// had been answered, hundreds of calls would wake up hundreds of times.
    fn mark_over(&self, is_over: &Cell<bool>) {
        if !is_over.replace(true) {
            self.end.wake_waiters();
        }
    }

    /// Whether calls that have not been sent by `now` are given up.
    pub(super) fn is_past_last_send(&self, now: Instant) -> bool {
        self.end.grace().is_some_and(|grace| self.last_send(grace) <= now)
    }

    /// Runs a step of a call that has not been sent; `None` if the process ends first.
    pub(super) async fn until_last_send<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        let _unsent = UnsentCall::new(&self.unsent);
        self.until_end(|| false, step).await
    }

    /// Waits before a send until `until`; false as soon as it is known that the process ends first.
    pub(super) async fn wait_for_send(&self, until: Instant) -> bool {
        let _unsent = UnsentCall::new(&self.unsent);
        self.end.sleep_until(until, |grace| self.last_send(grace)).await
    }

    /// Runs a step of a call; `None` if the process ends first. `was_sent` tells at any time whether the call has been sent:
    /// one that was may use all the time that the process has.
    pub(super) async fn until_end<T>(
        &self, was_sent: impl Fn() -> bool, step: impl Future<Output = T>,
    ) -> Option<T> {
        let last =
            |grace: &ShortestGrace| if was_sent() { self.last_answer(grace) } else { self.last_send(grace) };
        let output = self.end.limit(last, step).await;
        if output.is_none() {
            self.mark_over(if was_sent() { &self.answers_are_over } else { &self.sends_are_over });
        }
        output
    }

    /// Counts a request as open until the returned value is dropped.
    pub(super) fn begin_request(proxy: &Rc<Proxy>) -> OpenRequest {
        proxy.phase.open_requests.set(proxy.phase.open_requests.get() + 1);
        OpenRequest { proxy: proxy.clone() }
    }
}

/// An open request.
pub(super) struct OpenRequest {
    proxy: Rc<Proxy>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.proxy.phase.open_requests;
        open_requests.set(open_requests.get() - 1);
    }
}
