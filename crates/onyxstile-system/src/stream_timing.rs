//! How fast the model endpoints of one service read prompts and write events, learnt from its streams. Pure.
//!
//! A turn that endpoints were idle for takes `first_ms`, then a time for each prompt token that has to be read and one for each
//! event. Turns that found an endpoint lightly loaded show these times; others count little, so that a service under load for
//! long does not pass for a slow one. Priors stand for some tens of calls.

use crate::load::Load;

/// Reading before anything is known, in ms a token: of the order of a large model on one accelerator.
const PRIOR_TOKEN_MS: f64 = 1.0 / 38.0;
/// The time of a first event beside reading, before anything is known, in ms.
const PRIOR_FIRST_MS: f64 = 10.0;
/// The time of an event before anything is known, in ms: rather slow, for faster events show at any load and slower ones at idle endpoints only.
const PRIOR_EVENT_MS: f64 = 20.0;
/// Events in a turn before anything is known.
const PRIOR_EVENTS: f64 = 10.0;
/// Tokens that a turn has read anew before anything is known.
const PRIOR_NEW_TOKENS: f64 = 1000.0;
/// Calls that the priors stand for.
const PRIOR_CALLS: f64 = 2.0;
/// What a call is still worth when the next has come that counts in full: some fifty count.
const CALL_DECAY: f64 = 0.98;
/// A turn counts by a quarter where so many others are at work at its endpoint, and less with the fourth power of their number:
/// what it shows then is how long others make it wait.
const QUARTER_WEIGHT_LOAD: f64 = 3.0;
/// What events count at least that are faster than what is known: no load makes them so.
const FASTER_WEIGHT_MIN: f64 = 0.05;
/// What a call counts whose unread tokens are a guess.
const ESTIMATE_WEIGHT: f64 = 0.2;
/// A time beyond this many times what is expected is cut: it shows trouble, not speed.
const TIME_FACTOR_MAX: f64 = 4.0;
/// The part of events that are faster than what is taken for the time of one at an idle endpoint.
const QUANTILE: f64 = 0.25;
/// The largest step of the quantile for one sample, as a part of it.
const QUANTILE_STEP: f64 = 0.15;
/// Its smallest step.
const QUANTILE_STEP_MIN: f64 = 0.02;
/// Learnt times stay within this factor of their priors, whatever endpoints show.
const RANGE: f64 = 64.0;
/// Calls before what was learnt is acted on.
const WARMUP_CALLS: f64 = 15.0;
/// Weight of a turn in the usual count of events and of tokens.
const MEAN_WEIGHT: f64 = 0.02;

/// What one service's streams have shown.
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
    /// A first event came after `ms` where `tokens` had to be read; `load` is what the endpoint told with it.
    pub fn note_first_event(&mut self, tokens: f64, is_sure: bool, ms: f64, load: Option<Load>) {
        let weight = weight(load) * if is_sure { 1.0 } else { ESTIMATE_WEIGHT };
        let capped =
            if self.is_warmed_up() { ms.min(self.first_event_ms(tokens) * TIME_FACTOR_MAX) } else { ms };
        self.reading.decay(CALL_DECAY.powf(weight));
        self.reading.add(weight, tokens, capped);
        self.samples += 1.0;
        self.new_tokens += MEAN_WEIGHT * (tokens - self.new_tokens);
    }

    /// `count` events came in `ms`.
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

    /// A turn ended whole after `events`.
    pub fn note_turn(&mut self, events: u32) {
        self.events += MEAN_WEIGHT * (f64::from(events) - self.events);
    }

    /// Whether enough calls were seen for the times to be those of these endpoints.
    pub fn is_warmed_up(&self) -> bool {
        self.samples >= WARMUP_CALLS
    }

    /// The time of reading a token, in ms.
    pub fn token_ms(&self) -> f64 {
        self.reading.slope().unwrap_or(PRIOR_TOKEN_MS).clamp(PRIOR_TOKEN_MS / RANGE, PRIOR_TOKEN_MS * RANGE)
    }

    /// The time of an event at an idle endpoint, in ms.
    pub fn event_ms(&self) -> f64 {
        self.event_ms
    }

    /// The time of a first event at an idle endpoint that has to read `tokens`, in ms.
    pub fn first_event_ms(&self, tokens: f64) -> f64 {
        let first = self.reading.mean_y() + (tokens - self.reading.mean_x()) * self.token_ms();
        first.max(PRIOR_FIRST_MS / RANGE)
    }

    /// The time for which a usual turn is read, in ms.
    pub fn mean_reading_ms(&self) -> f64 {
        self.new_tokens * self.token_ms()
    }

    /// The time in which a usual turn's events are written at an idle endpoint, in ms.
    pub fn mean_writing_ms(&self) -> f64 {
        self.events * self.event_ms
    }
}

fn weight(load: Option<Load>) -> f64 {
    let others =
        load.map_or(QUARTER_WEIGHT_LOAD * 4.0, |load| f64::from(load.running.saturating_add(load.waiting)));
    (1.0 + (others / QUARTER_WEIGHT_LOAD).powi(2)).powi(-2)
}

/// A line through weighted points, by least squares.
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

    /// `None` where all points have one `x`.
    fn slope(&self) -> Option<f64> {
        let variance = self.xx - self.x * self.mean_x();
        (variance > self.weight).then(|| (self.xy - self.x * self.mean_y()) / variance)
    }
}
