//! State of one endpoint incarnation, derived from the relay's own calls.

use std::time::Duration;

use super::health::Health;
use crate::clock::Instant;
use crate::evidence::Evidence;
use crate::load::Load;
use crate::prefix::Cache;
use crate::registry::{Instance, Stage};

/// First backoff after a failure.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time for which a load report is used.
const LOAD_LIFETIME: Duration = Duration::from_millis(1500);
/// Weight of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency, in ms, that is assumed for an endpoint that has not answered yet if none of the others has.
pub(super) const UNKNOWN_LATENCY_MS: f64 = 60.0;

/// Expected load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Occupancy {
    /// Running requests.
    pub running: f64,
    /// Requests whose prompt waits to be read.
    pub waiting: f64,
}

impl Occupancy {
    /// Running and waiting requests.
    pub fn total(&self) -> f64 {
        self.running + self.waiting
    }

    /// Mean of the given loads and one idle endpoint, so that a single busy endpoint does not stand for all.
    pub(super) fn mean(several: &[Occupancy]) -> Occupancy {
        let count = several.len() as f64 + 1.0;
        Occupancy {
            running: several.iter().map(|one| one.running).sum::<f64>() / count,
            waiting: several.iter().map(|one| one.waiting).sum::<f64>() / count,
        }
    }
}

/// One incarnation of an endpoint.
pub struct Endpoint {
    /// The registered data.
    pub instance: Instance,
    /// Service that the endpoint is listed under.
    pub(super) service: String,
    /// Time of the last registration update.
    updated: Instant,
    /// Estimated contents of the endpoint's cache.
    pub cache: Cache,
    /// Health record, derived from calls.
    pub health: Health,
    /// Position in this relay's own order of endpoints.
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

    /// Applies a registration; the stage of an incarnation never moves backwards.
    pub(super) fn update(&mut self, now: Instant, instance: Instance) {
        self.updated = now;
        let stage = self.instance.stage.max(instance.stage);
        if instance.sequence >= self.instance.sequence && !instance.service.is_empty() {
            self.instance = instance;
        }
        self.instance.stage = stage;
    }

    /// Whether the endpoint has been unavailable for longer than `after` and has no calls in flight.
    pub(super) fn is_expired(&self, now: Instant, after: Duration) -> bool {
        let is_away = self.is_superseded || self.instance.is_unavailable();
        is_away && self.in_flight == 0 && now.since(self.updated) > after
    }

    /// Whether the endpoint is ready and not superseded.
    pub fn may_be_called(&self) -> bool {
        self.instance.stage == Stage::Ready && !self.is_superseded
    }

    /// Whether the endpoint is not in backoff. After a failure it receives one call at a time.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.failures_in_row == 0 || (now >= self.backoff_until && self.in_flight == 0)
    }

    /// Last reported load, if recent, adjusted by the calls that this relay has started and ended since.
    pub(super) fn reported(&self, now: Instant) -> Option<Occupancy> {
        let (reported, in_flight_then, _) =
            self.reported.filter(|(_, _, at)| now.since(*at) <= LOAD_LIFETIME)?;
        let change = f64::from(self.in_flight) - f64::from(in_flight_then);
        let running = (f64::from(reported.running) + change).max(0.0);
        Some(Occupancy { running, waiting: f64::from(reported.waiting) })
    }

    /// Last reported load, whatever its age.
    pub fn last_load(&self) -> Option<Load> {
        self.reported.map(|(load, _, _)| load)
    }

    /// Expected load: the reported one if recent, otherwise `typical`; at least the relay's own calls in flight.
    pub(super) fn occupancy(&self, now: Instant, typical: Occupancy) -> Occupancy {
        let expected = self.reported(now).unwrap_or(typical);
        let unseen = f64::from(self.in_flight) - expected.total();
        Occupancy { running: expected.running + unseen.max(0.0), ..expected }
    }

    /// Mean latency, in ms, if the endpoint has answered.
    pub(super) fn measured_latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Mean latency, in ms, or a default if the endpoint has not answered.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS)
    }

    /// Calls in flight, each on its own connection.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records the start of a call.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call, whatever its outcome.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report.
    pub fn note_load(&mut self, now: Instant, load: Load) {
        self.reported = Some((load, self.in_flight, now));
    }

    /// Expected fraction of failing calls.
    pub fn suspicion(&self, now: Instant) -> f64 {
        self.health.suspicion(now, self.latency())
    }

    /// Call results to report to other relays, if any.
    pub(super) fn evidence(&self, now: Instant) -> Option<Evidence> {
        let tally = self.health.report(now, self.latency())?;
        Some(Evidence::new(&self.instance.id, tally))
    }

    fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_ms() / 1000.0)
    }

    /// Records an answered call.
    pub fn succeeded(&mut self, now: Instant, latency: Option<Duration>) {
        self.failures_in_row = 0;
        self.health.note_answer(now);
        if let Some(latency) = latency {
            let sample = latency.as_secs_f64() * 1000.0;
            let before = self.latency_ms.unwrap_or(sample);
            self.latency_ms = Some(before + LATENCY_WEIGHT * (sample - before));
        }
    }

    /// Records a call that was executed and answered with an error.
    pub fn failed_with_error(&mut self, now: Instant) {
        self.failures_in_row = 0;
        self.health.note_failure(now);
    }

    /// Records a call that was sent and whose connection broke or timed out.
    pub fn failed(&mut self, now: Instant) {
        self.health.note_failure(now);
        self.unreachable(now);
    }

    /// Records that no connection could be established, or that it was closed before the call was sent.
    pub fn unreachable(&mut self, now: Instant) {
        self.failures_in_row += 1;
        let pause = BACKOFF_MIN.saturating_mul(1 << (self.failures_in_row - 1).min(8)).min(BACKOFF_MAX);
        self.backoff_until = self.backoff_until.max(now + pause);
    }

    /// Marks the endpoint as superseded: another incarnation has its address.
    pub fn superseded(&mut self) {
        self.is_superseded = true;
        self.cache.clear();
    }
}
