//! What a relay's streams show of how fast and how busy the endpoints of each service are, and which programs may begin. Pure.

use std::time::Duration;

use super::{EndpointKey, Endpoints};
use crate::admission::{Admission, Applicant};
use crate::clock::Instant;
use crate::pace::Pace;
use crate::prefix::{Part, tokens};

/// Events of a stream whose pace is noted at once: single ones may come together.
pub const EVENTS_NOTED: u32 = 3;
/// Endpoints count as busy from this part of their places on. Prompts wait somewhere then, though few endpoints have told a relay so.
const BUSY_PART: f64 = 0.25;
/// A pause counts up to this many times its usual length: a longer one is a client that does not read, or an endpoint in trouble.
const LONGEST_TIMES: f64 = 10.0;

/// A stream that was sent and has not begun.
#[derive(Debug, Clone)]
pub struct Expected {
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
pub(super) struct Shown {
    pace: Pace,
    admission: Admission,
}

impl Endpoints {
    /// When a program that may not begin now may come back; `None` if it may begin.
    pub fn refuse(&mut self, now: Instant, service: &str, applicant: Applicant<'_>) -> Option<Duration> {
        let Shown { pace, admission } = self.shown.get_mut(service).filter(|shown| shown.pace.is_known())?;
        let turn_ms = pace.usual_reading_ms() + pace.usual_writing_ms();
        let come_back = admission.refuse(now, applicant, turn_ms)?;
        self.is_busy(now, service).then_some(come_back)
    }

    /// A stream is sent to an endpoint; its cache does not know of it yet.
    pub fn stream_sent(&mut self, now: Instant, key: EndpointKey, parts: &[Part]) -> Option<Expected> {
        let endpoint = self.slots.get(key)?;
        let service = endpoint.service.clone();
        let unread = tokens(parts) - endpoint.cache.read_before(parts);
        let Shown { pace, admission } = self.shown.entry(service.clone()).or_default();
        let idle_ms = pace.is_known().then(|| pace.first_event_ms(unread as f64));
        if let Some(idle_ms) = idle_ms {
            admission.wait(now, idle_ms);
        }
        // All but the last part was sent there by this relay.
        let is_sure = parts.last().is_some_and(|last| unread <= u64::from(last.tokens));
        Some(Expected { key, service, since: now, tokens: unread as f64, is_sure, idle_ms })
    }

    /// Its first event has come.
    pub fn stream_began(&mut self, now: Instant, expected: &Expected) {
        let ms = now.since(expected.since).as_secs_f64() * 1e3;
        let Some(Shown { pace, admission }) = self.shown.get_mut(&expected.service) else { return };
        if let Some(idle_ms) = expected.idle_ms {
            admission.note(now, ms, idle_ms);
        }
        if let Some(endpoint) = self.slots.get(expected.key) {
            pace.note_first_event(expected.tokens, expected.is_sure, ms, endpoint.last_load());
        }
    }

    /// It is not waited for any more.
    pub fn stream_not_awaited(&mut self, expected: &Expected) {
        let shown = self.shown.get_mut(&expected.service).filter(|_| expected.idle_ms.is_some());
        if let Some(shown) = shown {
            shown.admission.stop_waiting(expected.since);
        }
    }

    /// `count` events of a stream have come after they were waited for.
    pub fn stream_went_on(&mut self, now: Instant, key: EndpointKey, count: u32, waited: Duration) {
        let Some(endpoint) = self.slots.get(key) else { return };
        let Some(Shown { pace, admission }) = self.shown.get_mut(&endpoint.service) else { return };
        let ms = waited.as_secs_f64() * 1e3;
        pace.note_events(count, ms, endpoint.last_load());
        if pace.is_known() {
            let idle_ms = f64::from(count) * pace.event_ms();
            admission.note(now, ms.min(idle_ms * LONGEST_TIMES), idle_ms);
        }
    }

    /// A stream has ended whole after `events`.
    pub fn stream_ended(&mut self, key: EndpointKey, events: u32) {
        let service = self.slots.get(key).map(|endpoint| &endpoint.service);
        if let Some(shown) = service.and_then(|service| self.shown.get_mut(service)) {
            shown.pace.note_turn(events);
        }
    }

    /// How many times longer a service's streams take than at idle endpoints.
    pub fn stretch(&self, now: Instant, service: &str) -> f64 {
        self.shown.get(service).map_or(1.0, |shown| shown.admission.stretch(now))
    }

    /// The part of a service's programs that may begin.
    pub fn level(&self, service: &str) -> f64 {
        self.shown.get(service).map_or(1.0, |shown| shown.admission.level())
    }

    /// How long an idle endpoint of a service takes to read a token, in ms; 0 where no stream was sent.
    pub fn token_ms(&self, service: &str) -> f64 {
        self.shown.get(service).map_or(0.0, |shown| shown.pace.token_ms())
    }

    /// How long it takes to write an event, in ms, likewise.
    pub fn event_ms(&self, service: &str) -> f64 {
        self.shown.get(service).map_or(0.0, |shown| shown.pace.event_ms())
    }

    /// Whether a good part of the places of a service's endpoints is taken, or anything waits there, by what they told lately.
    fn is_busy(&self, now: Instant, service: &str) -> bool {
        let (mut taken, mut places, mut waiting) = (0.0, 0.0, 0.0);
        for key in self.keys(service) {
            let endpoint = &self.slots[*key];
            let Some(occupancy) = endpoint.told(now) else { continue };
            taken += occupancy.total();
            places += f64::from(endpoint.instance.capacity);
            waiting += occupancy.waiting;
        }
        waiting > 0.0 || (places > 0.0 && taken >= places * BUSY_PART)
    }
}
