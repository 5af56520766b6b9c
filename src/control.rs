//! The decision module. The types it receives and returns are in `src/api.rs`.
//!
//! A message waits as `Ready`, goes out as `InFlight`, and after a bad outcome rests in `Backoff` until a
//! timer fires and wins its roll (the law, below). Every send passes [`Controller::may_send`] and, for the
//! place itself, [`Controller::open`]; every refusal passes [`Controller::may_refuse`].

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
/// Lowest retransmission probability (paper: 10%).
const P_MIN: f64 = 0.1;
/// Upper threshold over lower threshold (paper: 3).
const Q_RATIO: f64 = 3.0;
/// Weight of a new sample in the first-send rate (paper: 0.002); one sample a tick.
const RATE_WEIGHT: f64 = 0.002;
/// Lower threshold at least, messages: a quiet destination keeps p at 1 (design page).
const Q_MIN_FLOOR: f64 = 12.0;
/// Share of the slots that one destination may take while others wait (design page).
const SLOT_SHARE: f64 = 0.5;
/// Weight of a new latency sample in the mean, and of its distance in the deviation (as TCP's timer has it).
const LATENCY_WEIGHT: f64 = 0.125;
/// Deviations above the mean before a call counts as late.
const LATE_DEVIATIONS: f64 = 6.0;
/// Failures in a row before an endpoint is judged down, and the weight of silence or a refused connection.
const DOWN_AFTER: u32 = 6;
const HARD_WEIGHT: u32 = 3;
/// Refusals in a row, and time without a success, before untold refusals count as shut and not as a limit.
const OUTAGE_REFUSALS: u32 = 4;
const OUTAGE_QUIET: Duration = Duration::from_millis(2000);
/// Weight of an outcome in an endpoint's share of failures: about the last six outcomes.
const FAIL_WEIGHT: f64 = 0.17;
/// Share of failures from which an endpoint counts as failing most calls, in the cold rule's sense.
const HIGH_FAIL_SHARE: f64 = 0.45;
/// Share of failures under which a message with one try only is sent without fear.
const SAFE_FAIL_SHARE: f64 = 0.25;
/// Share of the cold budget that is used: others may know the destination less well.
const COLD_SAFETY: f64 = 0.8;
/// Share of an idle time after which a connection failed that is still trusted; half of T1 always is.
const STALE_SHARE: f64 = 0.25;
/// How long idle connections are doubted after an overdue call; if a fresh one answers, for `CROWD_MEMORY`.
const STALE_SUSPICION: Duration = Duration::from_secs(10);
/// Time within which a call breaks whose connection was gone before it.
const BREAKS_AT_ONCE: Duration = Duration::from_millis(20);
/// How long a kind of destination that refused a connection counts as short of them.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(60);
/// Share of its time that a connection is in use from which it is worth its place all the same.
const MIN_USE: f64 = 0.1;
/// Time constants of the recent and the usual rate of successes, seconds.
const RECENT_TAU: f64 = 2.0;
const USUAL_TAU: f64 = 10.0;
/// After a refusal above a limit: share of the recent successes kept up, and growth a second from there.
const PACE_CUT: f64 = 0.85;
const PACE_GROWTH: f64 = 0.15;
/// Share of its part of a reported limit that a sender uses; the share left over comes on top.
const PACE_REPORTED: f64 = 0.9;
/// Share of what others leave of a reported limit that one sender may take, where its part is less.
const SPARE_SHARE: f64 = 0.1;
/// Pace from which a limit no longer matters, calls a second.
const PACE_MAX: f64 = 1000.0;
/// Pace after a refusal above a limit, as a share of the sender's part: refused calls may use it up too.
const PACE_MIN: f64 = 0.5;
/// Time over which an unused pace adds up, seconds.
const PACE_BURST: f64 = 0.5;
/// Share of the room for messages from which the least promising are handed back.
const HELD_SHARE: f64 = 0.95;
/// Share of its aim that a message may wait for others to share its call, where calls can be shared.
const BATCH_WAIT_SHARE: f64 = 0.1;
/// Messages in a shared call that weigh as one call against the cold budget (they cost a little more each).
const BATCHED_PER_CALL: usize = 4;
/// Cost of queueing behind calls to the same endpoint, per call squared, in points as the prices.
const QUEUE_COST: f64 = 0.01;
/// How often held messages are looked at again.
const HELD_POLL: Duration = Duration::from_millis(50);

/// The decisions of one sender. Instances share nothing.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Duration,
    messages: BTreeMap<MessageId, Message>,
    /// Attempts whose outcome has not come: their call, and their key.
    flights: BTreeMap<(MessageId, u32), (u64, Option<OrderKey>)>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    #[serde(rename = "lanes")]
    limiters: BTreeMap<LimiterId, RateLimiter>,
    /// Where messages that may run twice are ready, as this step found it.
    #[serde(rename = "ready_twice")]
    ready_repeatable: BTreeSet<DestinationId>,
    /// Until when a kind of destination counts as short of connections.
    refused_connection: BTreeMap<KindId, Duration>,
    /// Age up to which idle connections are trusted, and until when older ones are not.
    trusted: Duration,
    doubt_until: Duration,
    keys: BTreeMap<OrderKey, KeyQueue>,
    tenants: Vec<(f64, Duration)>,
    wake_at: Option<Duration>,
    /// Where the list has to be asked for: failures in a row, and when to ask (again) if not subscribed.
    asks_failed: u32,
    ask_at: Option<Duration>,
    /// Whose order of preference is asked first, if there is one.
    proposer: ProposerCell,
}

impl Controller {
    /// A controller that knows nothing yet but its settings. `now` is the caller's clock.
    ///
    /// # Errors
    /// Settings that cannot work, such as no classes, no slots, or figures that are negative or not finite.
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

    /// From now on choices go by the proposer's order, for the destinations on which it has an opinion.
    pub fn set_proposer(&mut self, proposer: Box<dyn Proposer>) {
        *self.proposer.get_mut() = Some(proposer);
    }

    /// Takes a whole batch of events at the clock `now` and appends what is to be done to `actions`.
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

    /// Asks to be woken when the next timer fires, the next message runs out, or held ones need a look.
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
