//! Reading and writing speed of the model endpoints of one service, estimated from its streams. Performs no I/O.
//!
//! A turn at an idle endpoint takes a constant time, plus a time for each prompt token that has to be read and one for
//! each event. Turns at lightly loaded endpoints provide these times; others have a low weight, so that a service under
//! long load is not mistaken for a slow one. The priors count for a few calls.

use crate::load::Load;

/// Prior reading time, in ms per token: the order of magnitude of a large model on one accelerator.
const PRIOR_TOKEN_MS: f64 = 1.0 / 38.0;
/// Prior of the constant part of the time to the first event, in ms.
const PRIOR_FIRST_MS: f64 = 10.0;
/// Prior time per event, in ms. It is rather high because faster events are measured at any load, slower ones only at
/// idle endpoints.
const PRIOR_EVENT_MS: f64 = 20.0;
/// Prior number of events in a turn.
const PRIOR_EVENTS: f64 = 10.0;
/// Prior number of tokens that a turn has to read.
const PRIOR_NEW_TOKENS: f64 = 1000.0;
/// Number of calls that the priors count for.
const PRIOR_CALLS: f64 = 2.0;
/// Factor by which a call's weight falls with each further call of full weight; about fifty calls count.
const CALL_DECAY: f64 = 0.98;
/// Number of other requests at an endpoint at which a turn has a weight of a quarter; the weight falls with the fourth
/// power of that number, because the time then consists of waiting for others.
const QUARTER_WEIGHT_LOAD: f64 = 3.0;
/// Minimum weight of events that are faster than the estimate: load does not make events faster.
const FASTER_WEIGHT_MIN: f64 = 0.05;
/// Weight of a call whose number of unread tokens is estimated.
const ESTIMATE_WEIGHT: f64 = 0.2;
/// Times beyond this multiple of the expected time are clamped: they are caused by failures, not by speed.
const TIME_FACTOR_MAX: f64 = 4.0;
/// Quantile of the event times that is used as the time of an event at an idle endpoint.
const QUANTILE: f64 = 0.25;
/// Largest relative step of the quantile estimate for one sample.
const QUANTILE_STEP: f64 = 0.15;
/// Smallest relative step of the quantile estimate.
const QUANTILE_STEP_MIN: f64 = 0.02;
/// Estimates stay within this factor of their priors, whatever endpoints report.
const RANGE: f64 = 64.0;
/// Number of calls before the estimates are used.
const WARMUP_CALLS: f64 = 15.0;
/// Weight of a turn in the mean number of events and of tokens.
const MEAN_WEIGHT: f64 = 0.02;

/// Measurements of one service's streams.
#[derive(Debug, Clone)]
pub struct StreamTiming {
    reading: LinearFit,
    event_ms: f64,
    samples: f64,
    events: f64,
    new_tokens: f64,
}

impl Default for StreamTiming {
    fn default() -> Self {
        let prior = |tokens: f64| PRIOR_FIRST_MS + tokens * PRIOR_TOKEN_MS;
        let mut reading = LinearFit::default();
        for tokens in [0.0, PRIOR_NEW_TOKENS * 2.0] {
            reading.add(PRIOR_CALLS / 2.0, tokens, prior(tokens));
        }
        StreamTiming {
            reading,
            event_ms: PRIOR_EVENT_MS,
            samples: 0.0,
            events: PRIOR_EVENTS,
            new_tokens: PRIOR_NEW_TOKENS,
        }
    }
}

impl StreamTiming {
    /// Records that a first event arrived after `ms` where `tokens` tokens had to be read; `load` is the load reported
    /// with it.
    pub fn note_first_event(&mut self, tokens: f64, is_exact: bool, ms: f64, load: Option<Load>) {
        let weight = weight(load) * if is_exact { 1.0 } else { ESTIMATE_WEIGHT };
        let capped =
            if self.is_warmed_up() { ms.min(self.first_event_ms(tokens) * TIME_FACTOR_MAX) } else { ms };
        self.reading.decay(CALL_DECAY.powf(weight));
        self.reading.add(weight, tokens, capped);
        self.samples += 1.0;
        self.new_tokens += MEAN_WEIGHT * (tokens - self.new_tokens);
    }

    /// Records `count` events that arrived within `ms`.
    pub fn note_events(&mut self, count: u32, ms: f64, load: Option<Load>) {
        let sample = ms / f64::from(count.max(1));
        let step = (1.0 / (self.samples + 1.0)).clamp(QUANTILE_STEP_MIN, QUANTILE_STEP);
        let (faster, slower) = (weight(load).max(FASTER_WEIGHT_MIN), weight(load));
        let factor = if sample < self.event_ms {
            1.0 - step * faster * (1.0 - QUANTILE)
        } else {
            1.0 + step * slower * QUANTILE
        };
        self.event_ms = (self.event_ms * factor).clamp(PRIOR_EVENT_MS / RANGE, PRIOR_EVENT_MS * RANGE);
    }

    /// Records a complete turn of `events` events.
    pub fn note_turn(&mut self, events: u32) {
        self.events += MEAN_WEIGHT * (f64::from(events) - self.events);
    }

    /// Whether enough calls were measured for the estimates to describe these endpoints.
    pub fn is_warmed_up(&self) -> bool {
        self.samples >= WARMUP_CALLS
    }

    /// Reading time per token, in ms.
    pub fn token_ms(&self) -> f64 {
        self.reading.slope().unwrap_or(PRIOR_TOKEN_MS).clamp(PRIOR_TOKEN_MS / RANGE, PRIOR_TOKEN_MS * RANGE)
    }

    /// Time per event at an idle endpoint, in ms.
    pub fn event_ms(&self) -> f64 {
        self.event_ms
    }

    /// Time to the first event at an idle endpoint that has to read `tokens` tokens, in ms.
    pub fn first_event_ms(&self, tokens: f64) -> f64 {
        let first = self.reading.mean_y() + (tokens - self.reading.mean_x()) * self.token_ms();
        first.max(PRIOR_FIRST_MS / RANGE)
    }

    /// Mean reading time of a turn, in ms.
    pub fn mean_reading_ms(&self) -> f64 {
        self.new_tokens * self.token_ms()
    }

    /// Mean time in which a turn's events are written at an idle endpoint, in ms.
    pub fn mean_writing_ms(&self) -> f64 {
        self.events * self.event_ms
    }
}

fn weight(load: Option<Load>) -> f64 {
    let others =
        load.map_or(QUARTER_WEIGHT_LOAD * 4.0, |load| f64::from(load.running.saturating_add(load.waiting)));
    (1.0 + (others / QUARTER_WEIGHT_LOAD).powi(2)).powi(-2)
}

/// Weighted least-squares line.
#[derive(Debug, Clone, Default)]
struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    fn add(&mut self, weight: f64, x: f64, y: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self, factor: f64) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= factor;
        }
    }

    fn mean_x(&self) -> f64 {
        self.x / self.weight
    }

    fn mean_y(&self) -> f64 {
        self.y / self.weight
    }

    /// Slope, or `None` if all points have the same `x`.
    fn slope(&self) -> Option<f64> {
        let variance = self.xx - self.x * self.mean_x();
        (variance > self.weight).then(|| (self.xy - self.x * self.mean_y()) / variance)
    }
}
