//! What a relay's streams show of how fast and how busy the endpoints of each service are, and which programs may begin. Pure.

use std::time::Duration;

use super::{EndpointKey, Endpoints};
use crate::admission::{Admission, AdmissionRequest};
use crate::clock::Instant;
use crate::prefix::{Part, tokens};
use crate::stream_timing::StreamTiming;

/// Events of a stream whose pace is noted at once: single ones may come together.
pub const EVENTS_PER_SAMPLE: u32 = 3;
/// Endpoints count as busy from this part of their places on. Prompts wait somewhere then, though few endpoints have told a relay so.
const BUSY_FRACTION: f64 = 0.25;
/// A pause counts up to this many times its usual length: a longer one is a client that does not read, or an endpoint in trouble.
const PAUSE_FACTOR_MAX: f64 = 10.0;

/// A stream that was sent and has not begun.
#[derive(Debug, Clone)]
pub struct PendingStream {
    key: EndpointKey,
    service: String,
    since: Instant,
    /// Tokens that the endpoint is believed to have to read.
    tokens: f64,
    /// Whether that is more than a guess.
    is_sure: bool,
    /// When its first event would come from an idle endpoint, in ms; `None` while that is not known.
    idle_ms: Option<f64>,
}

/// What the streams of one service have shown.
#[derive(Default)]
pub(super) struct StreamStats {
    timing: StreamTiming,
    admission: Admission,
}

impl Endpoints {
    /// When a program that may not begin now may come back; `None` if it may begin.
    pub fn check_admission(
        &mut self, now: Instant, service: &str, request: AdmissionRequest<'_>,
    ) -> Option<Duration> {
        let StreamStats { timing, admission } =
            self.streams.get_mut(service).filter(|streams| streams.timing.is_warmed_up())?;
        let turn_ms = timing.mean_reading_ms() + timing.mean_writing_ms();
        let retry_after = admission.check(now, request, turn_ms)?;
        self.is_busy(now, service).then_some(retry_after)
    }

    /// A stream is sent to an endpoint; its cache does not know of it yet.
    pub fn stream_sent(&mut self, now: Instant, key: EndpointKey, parts: &[Part]) -> Option<PendingStream> {
        let endpoint = self.slots.get(key)?;
        let service = endpoint.service.clone();
        let unread = tokens(parts) - endpoint.cache.read_before(parts);
        let StreamStats { timing, admission } = self.streams.entry(service.clone()).or_default();
        let idle_ms = timing.is_warmed_up().then(|| timing.first_event_ms(unread as f64));
        if let Some(idle_ms) = idle_ms {
            admission.wait(now, idle_ms);
        }
        // All but the last part was sent there by this relay.
        let is_sure = parts.last().is_some_and(|last| unread <= u64::from(last.tokens));
        Some(PendingStream { key, service, since: now, tokens: unread as f64, is_sure, idle_ms })
    }

    /// Its first event has come.
    pub fn stream_started(&mut self, now: Instant, expected: &PendingStream) {
        let ms = now.since(expected.since).as_secs_f64() * 1e3;
        let Some(StreamStats { timing, admission }) = self.streams.get_mut(&expected.service) else { return };
        if let Some(idle_ms) = expected.idle_ms {
            admission.note(now, ms, idle_ms);
        }
        if let Some(endpoint) = self.slots.get(expected.key) {
            timing.note_first_event(expected.tokens, expected.is_sure, ms, endpoint.last_load());
        }
    }

    /// It is not waited for any more.
    pub fn stream_wait_ended(&mut self, expected: &PendingStream) {
        let streams = self.streams.get_mut(&expected.service).filter(|_| expected.idle_ms.is_some());
        if let Some(streams) = streams {
            streams.admission.stop_waiting(expected.since);
        }
    }

    /// `count` events of a stream have come after they were waited for.
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

    /// A stream has ended whole after `events`.
    pub fn stream_ended(&mut self, key: EndpointKey, events: u32) {
        let service = self.slots.get(key).map(|endpoint| &endpoint.service);
        if let Some(streams) = service.and_then(|service| self.streams.get_mut(service)) {
            streams.timing.note_turn(events);
        }
    }

    /// How many times longer a service's streams take than at idle endpoints.
    pub fn slowdown(&self, now: Instant, service: &str) -> f64 {
        self.streams.get(service).map_or(1.0, |streams| streams.admission.slowdown(now))
    }

    /// The part of a service's programs that may begin.
    pub fn level(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(1.0, |streams| streams.admission.level())
    }

    /// How long an idle endpoint of a service takes to read a token, in ms; 0 where no stream was sent.
    pub fn token_ms(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(0.0, |streams| streams.timing.token_ms())
    }

    /// How long it takes to write an event, in ms, likewise.
    pub fn event_ms(&self, service: &str) -> f64 {
        self.streams.get(service).map_or(0.0, |streams| streams.timing.event_ms())
    }

    /// Whether a good part of the places of a service's endpoints is taken, or anything waits there, by what they told lately.
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
