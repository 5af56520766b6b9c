//! Stream measurements per service: speed and load of its endpoints, and the admission of new programs. Performs no
//! I/O.

use std::time::Duration;

use super::{EndpointKey, Endpoints};
use crate::admission::{Admission, AdmissionRequest};
use crate::clock::Instant;
use crate::prefix::{Part, tokens};
use crate::stream_timing::StreamTiming;

/// Number of stream events that are measured together, because single events may arrive in one batch.
pub const EVENTS_PER_SAMPLE: u32 = 3;
/// Endpoints count as busy when this fraction of their slots is taken. At that load prompts wait at some endpoint,
/// although few endpoints have reported it to this relay.
const BUSY_FRACTION: f64 = 0.25;
/// A pause counts up to this multiple of its expected length; a longer one is caused by a client that does not read or
/// by a failing endpoint.
const PAUSE_FACTOR_MAX: f64 = 10.0;

/// A stream that was sent and has not started.
#[derive(Debug, Clone)]
pub struct PendingStream {
    key: EndpointKey,
    service: String,
    since: Instant,
    /// Tokens that the endpoint is expected to read.
    tokens: f64,
    /// Whether the token count is known rather than estimated.
    is_exact: bool,
    /// Expected time until the first event at an idle endpoint, in ms; `None` while that is unknown.
    idle_ms: Option<f64>,
}

/// Measurements of one service's streams.
#[derive(Default)]
pub(super) struct StreamStats {
    timing: StreamTiming,
    admission: Admission,
}

impl Endpoints {
    /// Returns after which time a client may retry if its program is not admitted now, or `None` if it is admitted.
    pub fn check_admission(
        &mut self, now: Instant, service: &str, request: AdmissionRequest<'_>,
    ) -> Option<Duration> {
        let StreamStats { timing, admission } =
            self.streams.get_mut(service).filter(|streams| streams.timing.is_warmed_up())?;
        let turn_ms = timing.mean_reading_ms() + timing.mean_writing_ms();
        let retry_after = admission.check(now, request, turn_ms)?;
        self.is_busy(now, service).then_some(retry_after)
    }

    /// Records that a stream is sent to an endpoint. Must be called before the prompt is added to the cache estimate.
    pub fn stream_sent(&mut self, now: Instant, key: EndpointKey, parts: &[Part]) -> Option<PendingStream> {
        let endpoint = self.slots.get(key)?;
        let service = endpoint.service.clone();
        let unread = tokens(parts) - endpoint.cache.read_before(parts);
        let StreamStats { timing, admission } = self.streams.entry(service.clone()).or_default();
        let idle_ms = timing.is_warmed_up().then(|| timing.first_event_ms(unread as f64));
        if let Some(idle_ms) = idle_ms {
            admission.wait(now, idle_ms);
        }
        // This relay has sent all but the last part to that endpoint.
        let is_exact = parts.last().is_some_and(|last| unread <= u64::from(last.tokens));
        Some(PendingStream { key, service, since: now, tokens: unread as f64, is_exact, idle_ms })
    }

    /// Records the first event of a stream.
    pub fn stream_started(&mut self, now: Instant, expected: &PendingStream) {
        let ms = now.since(expected.since).as_secs_f64() * 1e3;
        let Some(StreamStats { timing, admission }) = self.streams.get_mut(&expected.service) else { return };
        if let Some(idle_ms) = expected.idle_ms {
            admission.note(now, ms, idle_ms);
        }
        if let Some(endpoint) = self.slots.get(expected.key) {
            timing.note_first_event(expected.tokens, expected.is_exact, ms, endpoint.last_load());
        }
    }

    /// Records that the stream is no longer waited for.
    pub fn stream_wait_ended(&mut self, expected: &PendingStream) {
        let streams = self.streams.get_mut(&expected.service).filter(|_| expected.idle_ms.is_some());
        if let Some(streams) = streams {
            streams.admission.stop_waiting(expected.since);
        }
    }

    /// Records `count` further events that arrived within the time `waited`.
    pub fn stream_progressed(&mut self, now: Instant, key: EndpointKey, count: u32, waited: Duration) {
        let Some(endpoint) = self.slots.get(key) else { return };
        let Some(StreamStats { timing, admission }) = self.streams.get_mut(&endpoint.service) else { return };
        let ms = waited.as_secs_f64() * 1e3;
        timing.note_events(count, ms, endpoint.last_load());
        if timing.is_warmed_up() {
            let idle_ms = f64::from(count) * timing.event_ms();
            admission.note(now, ms.min(idle_ms * PAUSE_FACTOR_MAX), idle_ms);
        }
    }

    /// Records the complete end of a stream after `events` events.
    pub fn stream_ended(&mut self, key: EndpointKey, events: u32) {
        let service = self.slots.get(key).map(|endpoint| &endpoint.service);
        if let Some(streams) = service.and_then(|service| self.streams.get_mut(service)) {
            streams.timing.note_turn(events);
        }
    }

    /// Ratio of a service's stream times to those at idle endpoints.
    pub fn slowdown(&self, now: Instant, service: &str) -> f64 {
        self.streams.get(service).map_or(1.0, |streams| streams.admission.slowdown(now))
    }

    /// Fraction of a service's programs that is admitted.
    pub fn level(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(1.0, |streams| streams.admission.level())
    }

    /// Time in which an idle endpoint of a service reads a token, in ms; 0 if no stream was sent.
    pub fn token_ms(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(0.0, |streams| streams.timing.token_ms())
    }

    /// Time in which an idle endpoint of a service writes an event, in ms; 0 if no stream was sent.
    pub fn event_ms(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(0.0, |streams| streams.timing.event_ms())
    }

    /// Whether a considerable fraction of the slots of a service's endpoints is taken, or requests wait, according to
    /// recent load reports.
    fn is_busy(&self, now: Instant, service: &str) -> bool {
        let (mut taken, mut total_slots, mut waiting) = (0.0, 0.0, 0.0);
        for key in self.keys(service) {
            let endpoint = &self.slots[*key];
            let Some(occupancy) = endpoint.reported(now) else { continue };
            taken += occupancy.total();
            total_slots += f64::from(endpoint.instance.capacity);
            waiting += occupancy.waiting;
        }
        waiting > 0.0 || (total_slots > 0.0 && taken >= total_slots * BUSY_FRACTION)
    }
}
