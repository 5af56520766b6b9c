//! The decision module. Its input and output types are in `src/api.rs`. A message waits as `Ready`, is sent
//! as `InFlight`, and after a failure waits in `Backoff` until a timer fires and the retry policy allows a
//! resend. Gates: [`Controller::may_send`], [`Controller::usable`], [`Controller::may_refuse`].

mod dispatch;
mod events;
mod guards;
mod health;
mod state;
#[cfg(test)]
mod tests;
mod timers;
mod view;

use crate::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use timers::backoff;

/// First retransmission timer (paper: 0.5 s); each further timer is twice as long.
const T1: Duration = Duration::from_millis(500);
/// Lowest resend probability (paper: 10%).
const P_MIN: f64 = 0.1;
/// Ratio of the upper to the lower threshold (paper: 3).
const Q_RATIO: f64 = 3.0;
/// Weight of a new sample in the first-send rate (paper: 0.002); one sample per tick.
const RATE_WEIGHT: f64 = 0.002;
/// Minimum of the lower threshold, in messages: keeps p at 1 for destinations with little traffic.
const Q_MIN_FLOOR: f64 = 12.0;
/// Share of the slots that one destination may take while others wait.
const SLOT_SHARE: f64 = 0.5;
/// Weight of a new latency sample in the mean, and of its distance in the deviation (as in TCP's RTO).
const LATENCY_WEIGHT: f64 = 0.125;
/// Deviations above the mean after which a call counts as overdue.
const LATE_DEVIATIONS: f64 = 6.0;
/// Consecutive failures that mark an endpoint down; weight in them of a timeout or a refused connection.
const DOWN_AFTER: u32 = 6;
const HARD_WEIGHT: u32 = 3;
/// Consecutive refusals without a wait, and time without a success, that mean an outage, not a limit.
const OUTAGE_REFUSALS: u32 = 4;
const OUTAGE_QUIET: Duration = Duration::from_millis(2000);
/// Weight of an outcome in an endpoint's failure share: covers about the last six outcomes.
const FAIL_WEIGHT: f64 = 0.17;
/// Failure share from which an endpoint counts as failing most calls and is held to the cold budget.
const HIGH_FAIL_SHARE: f64 = 0.45;
/// Failure share below which a message that allows only one attempt may be sent.
const SAFE_FAIL_SHARE: f64 = 0.25;
/// Share of the cold budget in use: other senders may have less information on the destination.
const COLD_SAFETY: f64 = 0.8;
/// Share of a failed connection's idle time up to which others are still trusted; at least half of T1.
const STALE_SHARE: f64 = 0.25;
/// How long idle connections are suspected after an overdue call; `SHORTAGE_MEMORY` once a fresh one answers.
const STALE_SUSPICION: Duration = Duration::from_secs(10);
/// Time within which a call fails whose connection was already closed by the other side.
const BREAKS_AT_ONCE: Duration = Duration::from_millis(20);
/// How long a kind of destination that refused a connection counts as short of connections.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(60);
/// Share of time in use from which a connection is kept open despite a shortage.
const MIN_USE: f64 = 0.1;
/// Time constants of the recent and the long-term success rate, in seconds.
const RECENT_TAU: f64 = 2.0;
const USUAL_TAU: f64 = 10.0;
/// After a refusal above a limit: share of the recent success rate that is kept, and its growth per second.
const PACE_CUT: f64 = 0.85;
const PACE_GROWTH: f64 = 0.15;
/// Share of its part of a reported limit that a sender uses; the unused remainder is available on top.
const PACE_REPORTED: f64 = 0.9;
/// Share of the unused part of a reported limit that one sender may take, if its own part is smaller.
const SPARE_SHARE: f64 = 0.1;
/// Pace at and above which no limit applies, in calls per second.
const PACE_MAX: f64 = 1000.0;
/// Minimum pace after a refusal, as a share of the sender's part: refused calls may count against the limit.
const PACE_MIN: f64 = 0.5;
/// Time over which unused pace accumulates, in seconds.
const PACE_BURST: f64 = 0.5;
/// Share of the capacity for messages above which those of the lowest utility are refused.
const HELD_SHARE: f64 = 0.95;
/// Share of its latency target that a message may wait for others to share its call.
const BATCH_WAIT_SHARE: f64 = 0.1;
/// Messages in a shared call that count as one call in the cold budget (each adds a little cost).
const BATCHED_PER_CALL: usize = 4;
/// Cost of queueing behind calls to the same endpoint, per call squared, in the unit of the prices.
const QUEUE_COST: f64 = 0.01;
const HELD_POLL: Duration = Duration::from_millis(50);

/// The decisions of one sender. Instances share no state.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Duration,
    messages: BTreeMap<MessageId, Message>,
    /// Attempts without an outcome yet: their call and their key.
    flights: BTreeMap<(MessageId, u32), (u64, Option<OrderKey>)>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    #[serde(rename = "lanes")]
    limiters: BTreeMap<LimiterId, RateLimiter>,
    /// Destinations with ready messages that may be repeated, as of this step.
    #[serde(rename = "ready_twice")]
    ready_repeatable: BTreeSet<DestinationId>,
    /// Until when a kind of destination counts as short of connections.
    refused_connection: BTreeMap<KindId, Duration>,
    /// Idle time up to which connections are trusted, and until when older ones are suspected.
    trusted: Duration,
    doubt_until: Duration,
    keys: BTreeMap<OrderKey, KeyQueue>,
    tenants: Vec<(f64, Duration)>,
    wake_at: Option<Duration>,
    /// For lists that must be requested: consecutive failures, and when to request the list (again).
    asks_failed: u32,
    ask_at: Option<Duration>,
    proposer: ProposerCell,
}

impl Controller {
    /// Creates a controller; `now` is the caller's clock. Fails on settings that [`Settings::check`] rejects.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Controller {
            rng: Pcg32::seed_from_u64(seed),
            now,
            messages: BTreeMap::new(),
            flights: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
            limiters: BTreeMap::new(),
            ready_repeatable: BTreeSet::new(),
            refused_connection: BTreeMap::new(),
            trusted: settings.keepalive,
            doubt_until: now,
            keys: BTreeMap::new(),
            tenants: settings.tenants.iter().map(|_| (1.0, now)).collect(),
            wake_at: None,
            asks_failed: 0,
            ask_at: settings.ask_for_list.then_some(now),
            proposer: ProposerCell::default(),
            settings,
        })
    }

    /// Endpoints are chosen by the proposer's order from now on, for the destinations that it covers.
    pub fn set_proposer(&mut self, proposer: Box<dyn Proposer>) {
        *self.proposer.get_mut() = Some(proposer);
    }

    /// Handles a batch of events at the clock `now` and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.handle_event(event, actions);
        }
        if self.ask_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.expire(actions);
        self.detect_overdue_calls(actions);
        self.fire_timers(actions);
        self.shed_load(actions);
        self.dispatch(actions);
        if events.iter().any(|e| matches!(e, Event::Outcome(_))) {
            self.release_idle(actions);
        }
        self.schedule_wake(actions);
    }

    /// Requests a wake-up for the next timer, message deadline, overdue call or check of held messages.
    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        self.wake_at = self.wake_at.filter(|at| *at > self.now);
        let margin = self.settings.tick * 2;
        let next = self.messages.values().filter_map(|m| match m.state {
            State::Ready => Some((self.now + HELD_POLL).min(m.deadline.saturating_sub(margin))),
            State::Backoff(at) => Some(at.max(self.now + HELD_POLL).min(m.deadline.saturating_sub(margin))),
            State::InFlight => None,
        });
        let overdue = self.calls.values().map(|c| c.sent + c.late_after).filter(|at| *at > self.now);
        let next = next.chain(overdue).chain(self.ask_at).min().map(|t| t.max(self.now + self.settings.tick));
        if let Some(next) = next.filter(|t| self.wake_at.is_none_or(|at| *t < at)) {
            self.wake_at = Some(next);
            actions.push(Action::Wake { after: next - self.now, token: 0 });
        }
    }
}
