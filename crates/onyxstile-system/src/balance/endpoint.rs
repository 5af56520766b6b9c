//! One incarnation of an endpoint, as the relay's own calls have shown it.

use std::time::Duration;

use super::health::Health;
use crate::clock::Instant;
use crate::evidence::Evidence;
use crate::load::Load;
use crate::prefix::Cache;
use crate::registry::{Instance, Stage};

/// An endpoint in trouble is first passed over for this time.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
/// The longest time for which it is passed over.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// What an endpoint has told of its load counts for this long.
const LOAD_LIFETIME: Duration = Duration::from_millis(1500);
/// Weight of a new sample in the usual latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The latency of an endpoint that has not answered yet, in ms, where nothing is known of others either.
pub(super) const UNKNOWN_LATENCY_MS: f64 = 60.0;

/// What an endpoint is expected to be at work on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Occupancy {
    /// Requests that run.
    pub running: f64,
    /// Requests whose prompt waits to be read.
    pub waiting: f64,
}

impl Occupancy {
    /// All requests.
    pub fn total(&self) -> f64 {
        self.running + self.waiting
    }

    /// The mean of several and of one that is idle, so that a single busy one does not stand for all.
    pub(super) fn mean(several: &[Occupancy]) -> Occupancy {
        let count = several.len() as f64 + 1.0;
        Occupancy {
            running: several.iter().map(|one| one.running).sum::<f64>() / count,
            waiting: several.iter().map(|one| one.waiting).sum::<f64>() / count,
        }
    }
}

/// One incarnation.
pub struct Endpoint {
    /// What it registered.
    pub instance: Instance,
    /// The service under which it is listed.
    pub(super) service: String,
    /// When something was told of it last.
    updated: Instant,
    /// What its cache is believed to hold.
    pub cache: Cache,
    /// What calls have shown of it.
    pub health: Health,
    /// Its place in this relay's own order of endpoints.
    pub(super) rank: u64,
    in_flight: u32,
    reported: Option<(Load, u32, Instant)>,
    failures_in_row: u32,
    backoff_until: Instant,
    is_superseded: bool,
    latency_ms: Option<f64>,
}

impl Endpoint {
    pub(super) fn new(now: Instant, instance: Instance, rank: u64) -> Endpoint {
        Endpoint {
            service: instance.service.clone(),
            updated: now,
            instance,
            cache: Cache::default(),
            health: Health::default(),
            rank,
            in_flight: 0,
            reported: None,
            failures_in_row: 0,
            backoff_until: now,
            is_superseded: false,
            latency_ms: None,
        }
    }

    /// A registration moves an incarnation on, never back.
    pub(super) fn update(&mut self, now: Instant, instance: Instance) {
        self.updated = now;
        let stage = self.instance.stage.max(instance.stage);
        if instance.sequence >= self.instance.sequence && !instance.service.is_empty() {
            self.instance = instance;
        }
        self.instance.stage = stage;
    }

    /// Whether it left or fell silent so long ago that nothing of it is wanted any more.
    pub(super) fn is_expired(&self, now: Instant, after: Duration) -> bool {
        let is_away = self.is_superseded || self.instance.is_unavailable();
        is_away && self.in_flight == 0 && now.since(self.updated) > after
    }

    /// Whether it exists and does not leave.
    pub fn may_be_called(&self) -> bool {
        self.instance.stage == Stage::Ready && !self.is_superseded
    }

    /// Whether it isn't passed over. After a failure one call at a time tries it.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.failures_in_row == 0 || (now >= self.backoff_until && self.in_flight == 0)
    }

    /// What it told lately, and what this relay has sent and ended since.
    pub(super) fn reported(&self, now: Instant) -> Option<Occupancy> {
        let (reported, in_flight_then, _) =
            self.reported.filter(|(_, _, at)| now.since(*at) <= LOAD_LIFETIME)?;
        let change = f64::from(self.in_flight) - f64::from(in_flight_then);
        let running = (f64::from(reported.running) + change).max(0.0);
        Some(Occupancy { running, waiting: f64::from(reported.waiting) })
    }

    /// The load that it told last.
    pub fn last_load(&self) -> Option<Load> {
        self.reported.map(|(load, _, _)| load)
    }

    /// What to expect: what it told, else what is usual among the others; this relay's own calls at the least.
    pub(super) fn occupancy(&self, now: Instant, typical: Occupancy) -> Occupancy {
        let expected = self.reported(now).unwrap_or(typical);
        let unseen = f64::from(self.in_flight) - expected.total();
        Occupancy { running: expected.running + unseen.max(0.0), ..expected }
    }

    /// The usual time of an answer, in ms, if it has answered.
    pub(super) fn measured_latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// The usual time of an answer, in ms.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS)
    }

    /// Calls that are out, each on a connection of its own.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// A call goes out.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A call has ended, whatever its outcome.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// It has told its load.
    pub fn note_load(&mut self, now: Instant, load: Load) {
        self.reported = Some((load, self.in_flight, now));
    }

    /// The part of calls that is to be expected to fail.
    pub fn suspicion(&self, now: Instant) -> f64 {
        self.health.suspicion(now, self.latency())
    }

    /// What there is to tell other relays of its calls.
    pub(super) fn evidence(&self, now: Instant) -> Option<Evidence> {
        let tally = self.health.report(now, self.latency())?;
        Some(Evidence::new(&self.instance.id, tally))
    }

    fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_ms() / 1000.0)
    }

    /// It has answered a call.
    pub fn succeeded(&mut self, now: Instant, latency: Option<Duration>) {
        self.failures_in_row = 0;
        self.health.note_answer(now);
        if let Some(latency) = latency {
            let sample = latency.as_secs_f64() * 1000.0;
            let before = self.latency_ms.unwrap_or(sample);
            self.latency_ms = Some(before + LATENCY_WEIGHT * (sample - before));
        }
    }

    /// It has run a call and answered with an error.
    pub fn failed_with_error(&mut self, now: Instant) {
        self.failures_in_row = 0;
        self.health.note_failure(now);
    }

    /// A call was sent, and its connection broke or nothing came.
    pub fn failed(&mut self, now: Instant) {
        self.health.note_failure(now);
        self.unreachable(now);
    }

    /// No connection came up, or it was closed before a call was sent.
    pub fn unreachable(&mut self, now: Instant) {
        self.failures_in_row += 1;
        let pause = BACKOFF_MIN.saturating_mul(1 << (self.failures_in_row - 1).min(8)).min(BACKOFF_MAX);
        self.backoff_until = self.backoff_until.max(now + pause);
    }

    /// Another incarnation has its address.
    pub fn superseded(&mut self) {
        self.is_superseded = true;
        self.cache.clear();
    }
}
