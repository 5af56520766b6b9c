//! The decision module. The types it receives and returns are in `src/api.rs`.
//!
//! A message waits as `Ready`, goes out as `InFlight`, and after a bad outcome rests in `Backoff` until a
//! timer fires and wins its roll (the law, below). Every send passes [`Controller::may_send`] and, for the
//! place itself, [`Controller::open`]; every refusal passes [`Controller::may_refuse`].

use crate::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

// ---- Constants --------------------------------------------------------------------------------------------

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
/// Failures in a row before an endpoint is judged down, and the weight of silence or a refused connection:
/// two of these are enough, while errors and resets come singly from destinations that still serve.
const DOWN_AFTER: u32 = 6;
const HARD_WEIGHT: u32 = 3;
/// Refusals in a row, and time without a success, before untold refusals count as shut and not as a limit.
const SHUT_AFTER: u32 = 4;
const SHUT_QUIET: Duration = Duration::from_millis(2000);
/// Weight of an outcome in an endpoint's share of failures: about the last six outcomes.
const FAIL_WEIGHT: f64 = 0.17;
/// Share of failures from which an endpoint counts as failing most calls, in the cold rule's sense.
const MOST_FAIL: f64 = 0.45;
/// Share of failures under which a message with one try only is sent without fear.
const SAFE_FAIL: f64 = 0.25;
/// Share of the cold budget that is used: others may know the destination less well.
const COLD_SAFETY: f64 = 0.8;
/// Share of an idle time after which a connection failed that is still trusted; half of T1 always is.
const STALE_SHARE: f64 = 0.25;
/// How long idle connections are doubted after an overdue call; if a fresh connection to the same endpoint
/// answers meanwhile, for `CROWD_MEMORY`.
const STALE_DOUBT: Duration = Duration::from_secs(10);
/// Time within which a call breaks whose connection was gone before it.
const BREAKS_AT_ONCE: Duration = Duration::from_millis(20);
/// How long a kind of destination that refused a connection counts as short of them.
const CROWD_MEMORY: Duration = Duration::from_secs(60);
/// Share of its time that a connection is in use from which it is worth its place all the same.
const CROWD_BUSY: f64 = 0.1;
/// Time constants of the recent and the usual rate of successes, seconds.
const RECENT_TAU: f64 = 2.0;
const USUAL_TAU: f64 = 10.0;
/// After a refusal above a limit: share of the recent successes kept up, and growth a second from there.
const PACE_CUT: f64 = 0.85;
const PACE_GROWTH: f64 = 0.15;
/// Share of its part of a reported limit that a sender uses; the share left over comes on top.
const PACE_REPORTED: f64 = 0.9;
/// Share of what others leave of a reported limit that one sender may take, where its part is less.
const LEFT_SHARE: f64 = 0.1;
/// Pace from which a limit no longer matters, calls a second.
const PACE_FREE: f64 = 1000.0;
/// Pace after a refusal above a limit, as a share of the sender's part: refused calls may use it up too.
const PACE_LEAST: f64 = 0.5;
/// Time over which an unused pace adds up, seconds.
const PACE_BURST: f64 = 0.5;
/// Share of the room for messages from which the least promising are handed back.
const ROOM_SHARE: f64 = 0.95;
/// Share of its aim that a message may wait for others to share its call, where calls can be shared.
const GATHER_SHARE: f64 = 0.1;
/// Messages in a shared call that weigh as one call against the cold budget (they cost a little more each).
const JOINED_PER_CALL: usize = 4;
/// Cost of queueing behind calls to the same endpoint, per call squared, in points as the prices.
const QUEUE_COST: f64 = 0.01;
/// How often held messages are looked at again.
const POLL: Duration = Duration::from_millis(50);

// ---- State ------------------------------------------------------------------------------------------------

/// An exponentially decaying rate of events, a second.
#[derive(Debug, Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
struct Rate {
    value: f64,
    at: Duration,
}

impl Rate {
    fn get(&self, now: Duration, tau: f64) -> f64 {
        self.value * (-now.saturating_sub(self.at).as_secs_f64() / tau).exp()
    }
    fn add(&mut self, now: Duration, tau: f64) {
        *self = Rate { value: self.get(now, tau) + 1.0 / tau, at: now };
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
enum State {
    #[default]
    Ready,
    Backoff(Duration),
    InFlight,
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Message {
    class: usize,
    worth: f64,
    key: Option<OrderKey>,
    destination: DestinationId,
    aim_at: Duration,
    deadline: Duration,
    attempts: u32,
    firings: u32,
    state: State,
    ready_since: Duration,
    /// First attempt that may have run: when it was sent, and where.
    risk: Option<(Duration, EndpointId)>,
}

/// Sends of one step that travel together: one slot until all outcomes are in.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Call {
    destination: DestinationId,
    endpoint: EndpointId,
    sent: Duration,
    /// How long its connection had been idle; zero for a fresh one.
    idle_for: Duration,
    late_after: Duration,
    messages: usize,
    judged: bool,
    cancelled: bool,
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Endpoint {
    info: EndpointInfo,
    lane: LaneId,
    health: Health,
    down_since: Duration,
    hard_run: u32,
    refused_run: u32,
    fail_share: f64,
    last_ok: Duration,
    last_heard: Duration,
    last_failed: Duration,
    usual: Rate,
    /// Which of several that cost the same this sender prefers: all would choose the first one listed.
    taste: f64,
    /// The last call or probe, and the random part of the pause after it.
    last_sent: Duration,
    spread: f64,
    calls_out: usize,
    /// A probe was answered while it was down, and no message has tried since.
    trial: bool,
    /// When it was last listed, once it is gone.
    listed: Duration,
    /// Since when each of its idle connections is idle, the newest last.
    idle: Vec<Duration>,
}

/// What limits and waits bind: a destination, or one endpoint where routes are apart.
type LaneId = (DestinationId, Option<EndpointId>);

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Lane {
    wait_until: Duration,
    pace: f64,
    tokens: f64,
    tokens_at: Duration,
    recent: Rate,
    /// The limit as its answers told it, calls a second, and what of it is this sender's.
    told: f64,
    own: f64,
}

impl Lane {
    /// Brings tokens and pace up to `now`. Called only where a lane is looked at: a step must not cost more
    /// the more destinations there are.
    fn refill(&mut self, now: Duration) {
        let passed = (now - std::mem::replace(&mut self.tokens_at, now)).as_secs_f64();
        // Guards limits that many senders share: each would go on taking what one old answer told was left.
        self.pace = if self.told > 0.0 {
            self.own + (self.pace - self.own) * (-passed / T1.as_secs_f64()).exp()
        } else {
            (self.pace * (PACE_GROWTH * passed).exp()).min(PACE_FREE)
        };
        self.tokens = (self.tokens + self.pace * passed).min((self.pace * PACE_BURST).max(2.0));
    }
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Destination {
    endpoints: Vec<EndpointId>,
    first_sends: Rate,
    latency: f64,
    deviation: f64,
}

/// Messages of one key in the order taken, and what keeps the next one waiting.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct KeyQueue {
    queue: VecDeque<MessageId>,
    rest: Option<(Duration, MessageId)>,
}

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
    lanes: BTreeMap<LaneId, Lane>,
    /// Where messages that may run twice are ready, as this step found it.
    ready_twice: BTreeSet<DestinationId>,
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
            lanes: BTreeMap::new(),
            ready_twice: BTreeSet::new(),
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
            self.take(event, actions);
        }
        if self.ask_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.expire(actions);
        self.notice_silence(actions);
        self.fire_timers(actions);
        self.make_room(actions);
        self.dispatch(actions);
        if events.iter().any(|e| matches!(e, Event::Outcome(_))) {
            self.release_idle(actions);
        }
        self.schedule(actions);
    }

    // ---- Events -------------------------------------------------------------------------------------------

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(m) => self.take_message(m),
            Event::Outcome(end) => self.take_outcome(end, actions),
            Event::Withdrawn(id) => self.forget(*id),
            Event::Wake(_) => {}
            // What answers a probe may still answer no call: the probe lets one message try.
            Event::Probed { endpoint, outcome, limit } => match self.endpoints.get_mut(endpoint) {
                Some(e) if e.health == Health::Down && *outcome == Outcome::Success => e.trial = true,
                found => {
                    let sent = found.map_or(self.now, |e| e.last_sent);
                    self.judge(*endpoint, *outcome, sent, *limit, actions);
                }
            },
            Event::ListUpdate(list) => self.take_list(list),
            Event::ListReplaced(list) => {
                for e in self.endpoints.values_mut().filter(|e| e.info.state != ListState::Gone) {
                    (e.info.state, e.listed) = (ListState::Gone, self.now);
                }
                self.take_list(list);
            }
            Event::ListUnavailable => {
                // Pauses double, with a random part, so that a fleet does not jam the directory, and end
                // within the time after which a sender counts as told.
                let pause = (T1 * (1 << self.asks_failed.min(10))).min(self.settings.must_ask_within / 2);
                let pause = pause.mul_f64(self.random_spread()).max(self.settings.tick);
                self.ask_at = self.settings.ask_for_list.then_some(self.now + pause);
                self.asks_failed += 1;
            }
        }
    }

    /// The random part of a pause: between half and three halves.
    fn random_spread(&mut self) -> f64 {
        0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn take_list(&mut self, list: &[EndpointInfo]) {
        self.asks_failed = 0;
        for info in list {
            if let Some(e) = self.endpoints.get_mut(&info.id) {
                e.listed = if e.info.state == ListState::Gone { e.listed } else { self.now };
                // Put back after a drain it was restarted, most likely, and is cold.
                let back = e.info.state == ListState::Draining && info.state == ListState::Live;
                e.health = if back { Health::Warming(self.now) } else { e.health };
                e.info = info.clone();
                continue;
            }
            let apart = self.settings.kinds.get(info.kind.0).is_some_and(|k| k.routes_apart);
            let lane = (info.destination, apart.then_some(info.id));
            let free = Lane { pace: PACE_FREE, ..Lane::default() };
            // Added in an outage of its lane it is as cold at its end as the others, with a pause from now
            // on. A sender among many has seen one failure or refusal of a hang or shut, maybe at one now
            // gone.
            let ids = self.destinations.get(&info.destination).map_or(&[][..], |d| &d.endpoints);
            let sick = |o: &Endpoint| o.health != Health::Well || o.hard_run + o.refused_run > 0;
            let sick = ids.iter().filter_map(|id| self.endpoints.get(id)).any(|o| o.lane == lane && sick(o));
            let wait_until = self.lanes.entry(lane).or_insert(free).wait_until;
            let cold = sick || wait_until > self.now;
            let health = if cold { Health::Warming(self.now.max(wait_until)) } else { Health::Well };
            let spread = self.random_spread();
            let first_sends = Rate { value: self.settings.max_calls as f64 / T1.as_secs_f64(), at: self.now };
            let fresh = || Destination { first_sends, ..Destination::default() };
            self.destinations.entry(info.destination).or_insert_with(fresh).endpoints.push(info.id);
            let (info, last_sent, last_ok, listed) = (info.clone(), self.now, self.now, self.now);
            let known = Endpoint { info, health, lane, last_sent, last_ok, listed, ..Endpoint::default() };
            let known = Endpoint { spread, taste: QUEUE_COST * (spread - 0.5) / 2.0, ..known };
            self.endpoints.insert(known.info.id, known);
        }
        self.forget_gone();
    }

    /// Guards memory where endpoints come and go: one long gone says nothing any more of those that are left.
    fn forget_gone(&mut self) {
        let (now, memory) = (self.now, self.settings.cold_time + self.settings.overload_span);
        let told = |e: &Endpoint| self.lanes.get(&e.lane).map_or(Duration::ZERO, |l| l.wait_until);
        let over = |e: &Endpoint| e.calls_out == 0 && now > told(e).max(e.listed + memory);
        let past = |e: &Endpoint| e.info.state == ListState::Gone && over(e);
        let past: Vec<_> = self.endpoints.values().filter(|e| past(e)).map(|e| (e.info.id, e.lane)).collect();
        for (id, lane) in past {
            self.endpoints.remove(&id);
            if lane.1.is_some() {
                self.lanes.remove(&lane);
            }
            if let Some(d) = self.destinations.get_mut(&lane.0) {
                d.endpoints.retain(|e| *e != id);
            }
        }
    }

    fn take_message(&mut self, m: &NewMessage) {
        let Some(class) = self.settings.classes.get(m.class.0) else { return };
        let (deadline, mut worth, timer) = (self.now + m.remaining, class.worth, pause(0, class.aim));
        let aim_at = (deadline + class.aim).saturating_sub(class.deadline);
        if let Some((tokens, at)) = m.tenant.and_then(|t| self.tenants.get_mut(t.0)) {
            // Within its share as far as a bucket of one second of this sender's part of the quota goes.
            let quota = &self.settings.tenants[m.tenant.map_or(0, |t| t.0)];
            let rate = quota.quota_per_s / f64::from(self.settings.senders);
            *tokens = (*tokens + (self.now - *at).as_secs_f64() * rate).min(rate.max(1.0));
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            worth *= if within { 1.0 } else { self.settings.over_share_worth };
        }
        let key = m.key.filter(|_| class.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(m.id);
        }
        let fresh =
            Message { class: m.class.0, destination: m.destination, key, worth, ..Message::default() };
        // Sent before a restart: its attempts count on, and what may have run binds it from that first send.
        let (attempts, risk) =
            (m.past.attempts, m.past.risk.map(|(ago, at)| (self.now.saturating_sub(ago), at)));
        // What an earlier process held is no first send: by timer and law, or it fills all slots at once.
        let rest = |c: &mut Self| State::Backoff(c.now + timer.mul_f64(c.random_spread()));
        let state = if m.past.held { rest(self) } else { State::Ready };
        let fresh = Message { aim_at, deadline, attempts, risk, state, ready_since: self.now, ..fresh };
        self.messages.insert(m.id, fresh);
    }

    fn take_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, outcome, elapsed, terminal, limit, .. } = *end;
        let Some((number, key)) = self.flights.remove(&(id, attempt)) else { return };
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)).filter(|_| outcome.may_still_run()) {
            k.rest = Some((self.now + self.settings.key_rest, id));
        }
        let Some(call) = self.calls.get_mut(&number) else { return };
        let Call { endpoint, destination, sent, idle_for, .. } = *call;
        call.messages -= 1;
        // One call, one fate: it counts once. But a wait binds whichever message brings it.
        let first = !std::mem::replace(&mut call.judged, true);
        let (over, ok) = (call.messages == 0, first && outcome == Outcome::Success);
        if over {
            self.calls.remove(&number);
        }
        if let Some(d) = self.destinations.get_mut(&destination).filter(|_| ok) {
            let seen = elapsed.as_secs_f64();
            if d.latency == 0.0 {
                (d.latency, d.deviation) = (seen, seen / 2.0);
            }
            d.deviation += LATENCY_WEIGHT * ((seen - d.latency).abs() - d.deviation);
            d.latency += LATENCY_WEIGHT * (seen - d.latency);
        }
        let answered = matches!(outcome, Outcome::Success | Outcome::Failure | Outcome::Overloaded { .. });
        if let Some(e) = self.endpoints.get_mut(&endpoint).filter(|_| over) {
            e.calls_out -= 1;
            self.proposer.get_mut().iter_mut().for_each(|p| p.busy(endpoint, e.calls_out));
            if answered {
                e.idle.push(self.now);
            }
        }
        // A doubt is right if a call is answered while an earlier one on a doubted connection is out; wrong
        // if that is answered too. Unanswered, a doubted connection tells nothing of the endpoint.
        let doubted = |c: &Call| c.endpoint == endpoint && c.idle_for > self.trusted && c.sent < sent;
        if ok && idle_for > self.trusted {
            (self.trusted, self.doubt_until) = (self.settings.keepalive, self.now);
        } else if ok && self.calls.values().any(doubted) {
            self.doubt_until = self.now + CROWD_MEMORY;
        }
        let refused = matches!(outcome, Outcome::Overloaded { .. });
        // Refused connections are those of a full table only if it answers soon after, and was not down.
        let full = |e: &Endpoint| e.hard_run >= HARD_WEIGHT && e.health == Health::Well;
        let full = ok && self.endpoints.get(&endpoint).is_some_and(full);
        // What breaks at once on a connection that was idle tells of that connection only.
        let stale = outcome == Outcome::Broken && !idle_for.is_zero() && elapsed < BREAKS_AT_ONCE;
        if refused || first && !stale && (!outcome.may_still_run() || idle_for <= self.trusted) {
            self.judge(endpoint, outcome, sent, limit, actions);
        }
        // A refusal on a fresh connection that tells no limit, where answers do, is one of a connection.
        // A kind not known yet is spared at first: a full table stays full for the idle time.
        let mute = outcome == Outcome::Overloaded { wait: None } && limit.is_none() && idle_for.is_zero();
        if let Some(e) = self.endpoints.get(&endpoint) {
            let until = self.refused_connection.entry(e.info.kind);
            let until = until.or_insert(self.now + self.settings.keepalive);
            if full || mute && self.lanes.get(&e.lane).is_some_and(|l| l.told > 0.0) {
                *until = self.now + CROWD_MEMORY;
            }
        }
        if terminal {
            return self.forget(id);
        }
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.risk = m.risk.or((!outcome.never_ran()).then_some((sent, endpoint)));
        m.state = State::Backoff(self.now + pause(m.firings, self.settings.classes[m.class].aim));
    }

    /// Forgets a message that is over. Attempts still out keep their slot and hold their key until they end.
    fn forget(&mut self, id: MessageId) {
        let key = self.messages.remove(&id).and_then(|m| m.key);
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)) {
            k.queue.retain(|m| *m != id);
        }
        let (now, flights) = (self.now, &self.flights);
        let out = |key| flights.values().any(|f| f.1 == Some(key));
        let rests = |k: &KeyQueue| k.rest.is_some_and(|(until, _)| until > now);
        self.keys.retain(|key, k| !k.queue.is_empty() || rests(k) || out(*key));
    }

    // ---- Health and limits --------------------------------------------------------------------------------

    /// Learns from the end of a call or probe.
    fn judge(
        &mut self, id: EndpointId, outcome: Outcome, sent: Duration, limit: Option<LimitReport>,
        actions: &mut Vec<Action>,
    ) {
        let (now, chance) = (self.now, self.random_spread());
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        lane.refill(now);
        lane.told = limit.map_or(lane.told, |r| r.rate);
        let part = part_of(e, lane, &self.settings);
        let (cold, before) = (Health::Warming(now), e.health);
        lane.own = part * PACE_REPORTED;
        if !matches!(outcome, Outcome::Void | Outcome::Overloaded { .. }) {
            // What was seen long ago says little: where most calls are other senders', one failure is news.
            let others = (1.0 - 2.0 / f64::from(self.settings.senders)).max(0.0);
            let age = now.saturating_sub(e.last_heard).as_secs_f64();
            let weight = FAIL_WEIGHT.max(others * (1.0 - (-age / USUAL_TAU).exp()));
            e.fail_share += weight * (f64::from(u8::from(outcome != Outcome::Success)) - e.fail_share);
        }
        if !matches!(outcome, Outcome::Void | Outcome::Withdrawn | Outcome::TimedOut) {
            e.last_heard = now;
        }
        // What all endpoints of the lane, or those down, are from now on: outages mostly take and leave all.
        let (mut shut, mut all) = (None, None);
        match outcome {
            Outcome::Void | Outcome::Withdrawn => return,
            Outcome::Success => {
                // It came back some time since it last failed: over many senders, in the middle on average.
                let back = Health::Warming(e.last_failed + (now - e.last_failed) / 2);
                let (failed, suspected) = (e.hard_run > 0, e.hard_run == 0 && e.refused_run == 0);
                (e.last_ok, e.hard_run, e.refused_run) = (now, 0, 0);
                lane.recent.add(now, RECENT_TAU);
                if let Some(report) = limit.filter(|r| r.rate > 0.0) {
                    // The limit is told: pace to this sender's part, and up while others leave room.
                    let room = report.left.clamp(0.0, 1.0);
                    let most = lane.own + part.max(report.rate * LEFT_SHARE) * room;
                    let paced = if lane.pace < PACE_FREE { lane.pace } else { lane.own };
                    lane.pace = (paced + paced).min(most).max(lane.own + part * room);
                }
                match e.health {
                    Health::Well => e.usual.add(now, USUAL_TAU),
                    Health::Down if suspected => e.health = Health::Well,
                    // What failed before it was back says nothing of what comes now, within the cold budget.
                    Health::Down if sent >= e.down_since => {
                        (e.health, e.fail_share) = (back, e.fail_share.min(SAFE_FAIL));
                        all = Some((back, true));
                    }
                    Health::Warming(_) if failed && e.fail_share > SAFE_FAIL => e.health = back,
                    _ => {}
                }
            }
            Outcome::Overloaded { wait } => {
                (e.refused_run, e.last_failed) = (e.refused_run + 1, now);
                let until = now + wait.unwrap_or_default();
                lane.wait_until = lane.wait_until.max(until);
                let quiet = now.saturating_sub(lane.recent.at) >= SHUT_QUIET;
                let long = wait.is_some_and(|w| w >= self.settings.overload_span);
                let shuts = e.refused_run >= SHUT_AFTER || e.health != Health::Well;
                if long || (wait.is_some() && quiet && shuts) {
                    // Shut until the wait ends, and cold from then on, by whichever endpoint it is tried.
                    shut = Some(Health::Warming(until));
                    all = long.then_some((Health::Warming(until), false));
                } else if quiet && e.refused_run >= SHUT_AFTER && e.health != Health::Down {
                    shut = Some(Health::Down);
                } else if e.health == Health::Well {
                    let kept = PACE_CUT * lane.recent.get(now, RECENT_TAU);
                    lane.pace = lane.pace.min(kept.max(part * PACE_LEAST));
                    lane.own *= COLD_SAFETY;
                    lane.tokens = lane.tokens.min(1.0 - chance);
                }
            }
            // Too slow for this one call, while others were answered: no sign of an outage.
            Outcome::TimedOut if e.last_ok > sent => return,
            Outcome::Failure | Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => {
                let soft = matches!(outcome, Outcome::Failure | Outcome::Broken);
                (e.hard_run, e.last_failed) = (e.hard_run + if soft { 1 } else { HARD_WEIGHT }, now);
                match e.health {
                    Health::Down => {}
                    _ if e.hard_run >= DOWN_AFTER => e.health = Health::Down,
                    // Some calls get through: go on within the budget of a cold destination.
                    Health::Well if e.fail_share >= MOST_FAIL => e.health = cold,
                    _ => {}
                }
            }
        }
        e.health = shut.unwrap_or(e.health);
        if e.health != before {
            e.down_since = now;
            if std::mem::discriminant(&e.health) != std::mem::discriminant(&before) {
                actions.push(Action::Note(Note::Health(id, before, e.health, Some(outcome))));
            }
        }
        let which = e.lane;
        if let Some((health, down)) = all {
            let its = |o: &&mut Endpoint| o.lane == which && (!down || o.health == Health::Down);
            for other in self.endpoints.values_mut().filter(its) {
                (other.health, other.fail_share) = (health, other.fail_share.min(SAFE_FAIL));
            }
        }
    }

    /// The pause between single calls to an endpoint that is down or cold. Guards the rule on returning
    /// destinations, whatever the outage was: what all senders together send has to stay under the stated
    /// multiple of its capacity at that moment. A sender takes an even part of that, and an endpoint its part
    /// among those that answer. The random part keeps senders that saw the same failure from trying in step.
    fn cold_gap(&self, e: &Endpoint) -> Duration {
        let s = &self.settings;
        let since = if let (Health::Warming(since), 0) = (e.health, e.hard_run) { since } else { self.now };
        let age = self.now.saturating_sub(since).as_secs_f64();
        let warm = (age / s.cold_time.as_secs_f64().max(0.001)).min(1.0);
        let capacity = s.start_capacity + (1.0 - s.start_capacity).max(0.0) * warm;
        let part = self.lanes.get(&e.lane).map_or(0.0, |l| part_of(e, l, s));
        let well = |o: &&Endpoint| o.lane == e.lane && o.info.id != e.info.id && o.health != Health::Down;
        let among = 1 + self.live(e.info.destination).filter(well).count();
        let rate = (COLD_SAFETY * s.overload_factor * capacity * part / among as f64).max(0.001);
        Duration::from_secs_f64(e.spread / rate)
    }

    /// Closes connections that are idle most of their time, where those are short, once no message took them.
    /// Guards endpoints that take few connections against many senders that each keep one.
    fn release_idle(&mut self, actions: &mut Vec<Action>) {
        for (id, e) in self.endpoints.iter_mut().filter(|(_, e)| e.calls_out == 0 && !e.idle.is_empty()) {
            let latency = self.destinations.get(&e.info.destination).map_or(0.0, |d| d.latency);
            let busy = e.usual.get(self.now, USUAL_TAU) * latency;
            if busy < CROWD_BUSY && self.refused_connection.get(&e.info.kind).is_some_and(|u| *u > self.now) {
                e.idle.clear();
                actions.push(Action::Release(*id));
            }
        }
    }

    /// An overdue call to an endpoint that has said nothing since: hold all but trials there, long before
    /// the time-out. Guards slots and one-try messages against silence, hangs and slowness; any answer lifts
    /// it without a cold ramp. It hurts where one call in many is far longer than the rest. On a connection
    /// that was idle it tells first of that: something between may have dropped it unseen. From then on
    /// younger ones or fresh ones are used everywhere, and an outage shows on the next call; that costs
    /// handshakes.
    fn notice_silence(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.trusted = if now < self.doubt_until { self.trusted } else { self.settings.keepalive };
        for c in self.calls.values().filter(|c| now > c.sent + c.late_after) {
            let silent = |e: &&mut Endpoint| e.last_heard <= c.sent;
            let Some(e) = self.endpoints.get_mut(&c.endpoint).filter(silent) else { continue };
            if c.idle_for <= T1 / 2 && e.health == Health::Well {
                (e.health, e.down_since) = (Health::Down, now);
                actions.push(Action::Note(Note::Health(c.endpoint, Health::Well, e.health, None)));
            } else if c.idle_for > T1 / 2 && c.idle_for <= self.trusted {
                self.trusted = c.idle_for.mul_f64(STALE_SHARE).max(T1 / 2);
                self.doubt_until = self.doubt_until.max(now + STALE_DOUBT);
            }
        }
        // Out of slots, those longest silent are freed for messages that can be delivered; those on
        // connections rightly doubted at once.
        let full = self.calls.len() >= self.settings.max_calls;
        let able = |e: &Endpoint| e.health == Health::Well && self.open(e);
        let wanted = |m: &Message| m.state == State::Ready && self.live(m.destination).any(able);
        let needed = full && self.messages.values().any(wanted);
        let sure = self.doubt_until > now + STALE_DOUBT;
        let lost = |c: &Call| sure && c.idle_for > self.trusted && now > c.sent + c.late_after;
        // Where answers get lost, all slots fill with calls that will never end; what is far over the usual
        // time gives way to many that would be answered meanwhile.
        let patience = |c: &Call| self.usual_end(c.destination).max(T1 / 2);
        let silent = |c: &Call| !c.cancelled && (lost(c) || needed && now > c.sent + patience(c));
        let found = self.calls.iter().find(|(_, c)| self.settings.cancelling && silent(c)).map(|(n, _)| *n);
        let Some((number, call)) = found.and_then(|n| Some((n, self.calls.get_mut(&n)?))) else { return };
        call.cancelled = true;
        // Called off so early, it must not hide an endpoint that answers nobody.
        let (sent, young) = (call.sent, call.idle_for <= T1 / 2);
        let mute = |e: &&mut Endpoint| young && e.last_heard <= sent && e.health == Health::Well;
        if let Some(e) = self.endpoints.get_mut(&call.endpoint).filter(mute) {
            (e.health, e.down_since) = (Health::Down, now);
            actions.push(Action::Note(Note::Health(call.endpoint, Health::Well, e.health, None)));
        }
        let its = self.flights.iter().filter(|(_, f)| f.0 == number);
        actions.extend(its.map(|((id, attempt), _)| Action::Cancel { id: *id, attempt: *attempt }));
    }

    // ---- The retransmission law ---------------------------------------------------------------------------

    /// Chance that a message is sent again when its timer fires, with so many pending there.
    fn resend_chance(&self, destination: DestinationId, pending: f64) -> f64 {
        let Some(d) = self.destinations.get(&destination) else { return 1.0 };
        let rate = d.first_sends.get(self.now, self.settings.tick.as_secs_f64() / RATE_WEIGHT);
        let q_min = (rate * T1.as_secs_f64()).max(rate * d.latency).max(Q_MIN_FLOOR);
        law(pending, q_min)
    }

    /// Fires the timers that are due. While nothing may go to the destination at all, a firing waits for
    /// that to end, as for a told wait.
    fn fire_timers(&mut self, actions: &mut Vec<Action>) {
        let due = |m: &Message| matches!(m.state, State::Backoff(at) if at <= self.now);
        let open = |m: &Message| self.live(m.destination).any(|e| self.open(e));
        let due = self.messages.iter().filter(|(_, m)| due(m) && open(m));
        let due = due.map(|(id, m)| (*id, m.destination)).collect::<Vec<_>>();
        if due.is_empty() {
            return;
        }
        // Pending from its first send, or from the start if an earlier process held it; counted once for all.
        let mut pending: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for m in self.messages.values().filter(|m| m.attempts > 0 || m.state != State::Ready) {
            *pending.entry(m.destination).or_default() += 1.0;
        }
        for (id, destination) in due {
            let chance = self.resend_chance(destination, pending.get(&destination).copied().unwrap_or(0.0));
            let roll = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            if let Some(m) = self.messages.get_mut(&id) {
                (m.firings, m.ready_since) = (m.firings + 1, self.now);
                let next = self.now + pause(m.firings, self.settings.classes[m.class].aim);
                // Found untried by a restart, it is no resend: the law puts it off, and not beyond its time.
                let last = m.attempts == 0 && m.deadline <= next + (next - self.now);
                m.state = if last || roll < chance { State::Ready } else { State::Backoff(next) };
                actions.push(Action::Note(Note::Timer(id, m.firings, last || roll < chance)));
            }
        }
    }

    // ---- Guards -------------------------------------------------------------------------------------------

    fn live(&self, destination: DestinationId) -> impl Iterator<Item = &Endpoint> {
        let ids = self.destinations.get(&destination).map_or(&[][..], |d| &d.endpoints);
        // One that a list has moved is its new destination's, which knows nothing of it yet.
        let its = move |e: &&Endpoint| e.info.state == ListState::Live && e.info.destination == destination;
        ids.iter().filter_map(|id| self.endpoints.get(id)).filter(its)
    }

    /// Whether an endpoint takes anything at all now: no wait, and not down but for a trial.
    fn open(&self, e: &Endpoint) -> bool {
        let waiting = self.lanes.get(&e.lane).is_none_or(|l| l.wait_until > self.now);
        let shut = match e.health {
            Health::Down => !e.trial && self.now < e.last_sent + self.cold_gap(e).max(T1),
            // Not in step: a shut that told its end is over for all senders at the same moment.
            Health::Warming(since) => self.now < e.last_sent.max(since) + self.cold_gap(e),
            Health::Well => false,
        };
        !waiting && !shut
    }

    /// Whether a message may be the one that a probe lets try: one try only is for when no other waits.
    fn may_try(&self, m: &Message) -> bool {
        let once = self.settings.classes[m.class].effect == Effect::Once;
        !once || !self.ready_twice.contains(&m.destination)
    }

    /// Whether another attempt can ever be sent. Whoever writes it sees to its window at that moment.
    fn may_retry(&self, m: &Message) -> bool {
        let allowed = match (m.risk, self.settings.classes[m.class].effect) {
            (None, _) | (_, Effect::Repeatable) => true,
            (Some((sent, _)), Effect::Keyed { window, .. }) => {
                self.now + self.settings.tick * 2 < sent + window
            }
            (Some(_), Effect::Once) => false,
        };
        allowed && m.attempts < self.settings.max_attempts
    }

    /// Whether this message may go to this endpoint: the one gate before every send.
    fn may_send(&self, id: MessageId, m: &Message, e: &Endpoint) -> bool {
        let s = &self.settings;
        let class = &s.classes[m.class];
        let listed = e.info.state == ListState::Live && e.info.destination == m.destination;
        // Where probes may ask, no message is spent on an endpoint that does not answer; but where trials are
        // rarer than the span, a message that may go again is itself the trial.
        let rare = class.effect != Effect::Once && self.cold_gap(e) > s.overload_span;
        let answers = !(s.probes && e.refused_run == 0 && e.health == Health::Down)
            || rare
            || e.trial && self.may_try(m);
        // A keyed message that may have run stays where its key is known.
        let known = match (m.risk, class.effect) {
            (Some((_, at)), Effect::Keyed { group: RepeatGroup::Zone, .. }) => {
                self.endpoints.get(&at).is_some_and(|r| r.info.zone == e.info.zone)
            }
            (Some((_, at)), Effect::Keyed { group: RepeatGroup::Endpoint, .. }) => e.info.id == at,
            _ => true,
        };
        // One try only: not where calls fail, unless time is nearly up or nothing else can show that they no
        // longer do: held to its last moment, it would be given up without a word.
        let asked = s.probes || self.now <= e.last_sent + SHUT_QUIET || !self.may_try(m);
        let timid = class.effect == Effect::Once && asked && self.now + class.aim < m.deadline;
        let feared = timid && !e.trial && (e.fail_share > SAFE_FAIL || e.health == Health::Down);
        let due = m.state == State::Ready && self.now < m.deadline && self.may_retry(m);
        due && listed && answers && known && !feared && self.turn(id, m)
    }

    /// Order: the oldest of its key, nothing of the key out, and the rest of the key over.
    fn turn(&self, id: MessageId, m: &Message) -> bool {
        let Some(k) = m.key.and_then(|key| self.keys.get(&key)) else { return true };
        k.queue.front() == Some(&id)
            && self.flights.values().all(|f| f.1 != m.key)
            && k.rest.is_none_or(|(until, by)| by == id || self.now >= until)
    }

    /// Whether the client may be told that handing the message in again is harmless.
    fn may_refuse(&self, m: &Message) -> bool {
        let harmless = match self.settings.classes[m.class].effect {
            Effect::Repeatable | Effect::Keyed { group: RepeatGroup::All, .. } => true,
            Effect::Keyed { .. } | Effect::Once => m.risk.is_none(),
        };
        harmless && m.state != State::InFlight
    }

    /// Gives up at once what can never go again, and the rest a little before its time is up. What is given
    /// up early, or was never sent, is handed back, with when to come again, if that is harmless.
    fn expire(&mut self, actions: &mut Vec<Action>) {
        let (edge, wait) = (self.now + self.settings.tick * 2, self.settings.max_client_wait);
        let over = |m: &Message| m.state != State::InFlight && (m.deadline <= edge || !self.may_retry(m));
        let free = |m: &Message| self.settings.classes[m.class].effect == Effect::Repeatable;
        let again =
            |m: &Message| (m.risk.is_none() || free(m)) && (m.attempts == 0 || m.deadline > edge + wait);
        let over = self.messages.iter().filter(|(_, m)| over(m)).map(|(id, m)| (*id, again(m)));
        for (id, again) in over.collect::<Vec<_>>() {
            actions.push(if again { Action::Refuse { id, wait } } else { Action::Fail(id) });
            self.forget(id);
        }
    }

    /// Hands back the least promising messages when room runs short; what a restart found untried goes last.
    fn make_room(&mut self, actions: &mut Vec<Action>) {
        let room = (self.settings.max_held as f64 * ROOM_SHARE) as usize;
        while self.messages.len() > room {
            let untried = |m: &Message| m.attempts == 0 && (m.firings > 0 || m.state != State::Ready);
            let worth = |(_, m): &(_, &Message)| if untried(m) { f64::MAX } else { self.present_worth(m) };
            let all = self.messages.iter().filter(|(_, m)| self.may_refuse(m));
            let Some(&id) = all.min_by(|a, b| worth(a).total_cmp(&worth(b))).map(|m| m.0) else { return };
            actions.push(Action::Refuse { id, wait: self.settings.max_client_wait });
            self.forget(id);
        }
    }

    /// What a delivery now would earn.
    fn present_worth(&self, m: &Message) -> f64 {
        let c = &self.settings.classes[m.class];
        let late = self.now.saturating_sub(m.aim_at).as_secs_f64();
        let whole = c.deadline.saturating_sub(c.aim).as_secs_f64().max(0.001);
        let left = match self.settings.late {
            LateWorth::Line => 1.0 - (1.0 - c.late_worth) * (late / whole).min(1.0),
            LateWorth::Halves => 0.5f64.powf((late / c.aim.as_secs_f64().max(0.001)).ceil()),
        };
        m.worth * left.max(c.late_worth)
    }

    // ---- Dispatch -----------------------------------------------------------------------------------------

    /// Sends what may go, in the order of what is still to be won.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut ready: Vec<(bool, f64, Duration, MessageId)> = Vec::new();
        // Where calls can be shared, a call waits a little for company; calls are what limits count.
        let mut waiting: BTreeMap<DestinationId, (usize, bool)> = BTreeMap::new();
        self.ready_twice.clear();
        for (id, m) in self.messages.iter().filter(|(_, m)| m.state == State::Ready) {
            if self.settings.classes[m.class].effect != Effect::Once {
                self.ready_twice.insert(m.destination);
            }
            ready.push((self.now > m.aim_at, -self.present_worth(m), m.aim_at, *id));
            let (count, long) = waiting.entry(m.destination).or_default();
            *count += 1;
            *long |= self.now >= m.ready_since + self.settings.classes[m.class].aim.mul_f64(GATHER_SHARE);
        }
        for id in waiting.keys().filter_map(|d| self.destinations.get(d)).flat_map(|d| &d.endpoints) {
            if let Some(l) = self.endpoints.get(id).and_then(|e| self.lanes.get_mut(&e.lane)) {
                l.refill(self.now);
            }
        }
        ready.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then((a.2, a.3).cmp(&(b.2, b.3))));
        // Calls opened in this step that still take messages.
        let mut open_calls: BTreeMap<EndpointId, u64> = BTreeMap::new();
        for (_, _, _, id) in ready {
            let Some(m) = self.messages.get(&id) else { continue };
            let joins = |x: &(_, _)| self.endpoints.get(&x.0).is_some_and(|e| self.may_join(id, m, e, x.1));
            if let Some((endpoint, call)) = open_calls.iter().map(|(e, c)| (*e, *c)).find(joins) {
                self.send(id, endpoint, call, actions);
                continue;
            }
            let (count, long) = waiting.get(&m.destination).copied().unwrap_or_default();
            let share = self.live(m.destination).map(|e| self.per_call(e.info.id)).max().unwrap_or(1);
            let paced = |e: &Endpoint| self.lanes.get(&e.lane).is_some_and(|l| l.pace < PACE_FREE);
            if share > 1 && count < share && !long && self.live(m.destination).any(paced) {
                continue;
            }
            if self.calls.len() >= self.settings.max_calls || !self.slot_free(m, waiting.len() > 1) {
                continue;
            }
            if let Some(endpoint) = self.choose(id, m) {
                let call = self.open_call(endpoint, m.destination, id, actions);
                self.send(id, endpoint, call, actions);
                if self.per_call(endpoint) > 1 {
                    open_calls.insert(endpoint, call);
                }
            }
        }
        self.probe_down(&waiting.into_keys().collect::<Vec<_>>(), actions);
    }

    fn per_call(&self, id: EndpointId) -> usize {
        self.endpoints.get(&id).and_then(|e| self.settings.kinds.get(e.info.kind.0)).map_or(1, |k| k.per_call)
    }

    /// A message may join a call of this step on all terms of its own; the call already has its place. To a
    /// cold endpoint every few messages weigh as one more call. A trial is a single message.
    fn may_join(&self, id: MessageId, m: &Message, e: &Endpoint, call: u64) -> bool {
        let sent = self.calls.get(&call).map_or(0, |c| c.messages);
        let light = e.health == Health::Well || !sent.is_multiple_of(JOINED_PER_CALL);
        e.health != Health::Down && light && sent < self.per_call(e.info.id) && self.may_send(id, m, e)
    }

    /// At most half of the slots for a destination while others wait, while it is not well or while a call
    /// there is overdue, so that silence or slowness does not eat the slots of the others.
    fn slot_free(&self, m: &Message, others_wait: bool) -> bool {
        let half = ((self.settings.max_calls as f64 * SLOT_SHARE) as usize).max(1);
        let its = || self.calls.values().filter(|c| c.destination == m.destination);
        let overdue = its().any(|c| self.now > c.sent + c.late_after);
        let ill = self.live(m.destination).any(|e| e.health != Health::Well);
        its().count() < if others_wait || overdue || ill { half } else { self.settings.max_calls }
    }

    /// The cheapest endpoint that may take the message: price of the way, and calls already there.
    fn choose(&self, id: MessageId, m: &Message) -> Option<EndpointId> {
        let s = &self.settings;
        let cost = |e: &Endpoint| {
            let old = e.idle.first().is_some_and(|since| self.now <= *since + self.trusted);
            let fresh = if old { 0.0 } else { s.handshake_cost };
            let ill = e.fail_share + f64::from(e.hard_run + e.refused_run);
            e.taste + fresh + ill + QUEUE_COST * (e.calls_out * e.calls_out) as f64
        };
        let paid = |l: &Lane| l.tokens >= 1.0 || l.pace >= PACE_FREE;
        let fits = |e: &Endpoint| {
            self.lanes.get(&e.lane).is_some_and(paid) && self.open(e) && self.may_send(id, m, e)
        };
        if let Some(proposer) = self.proposer.borrow_mut().as_mut() {
            let mut allowed = |id: EndpointId| self.endpoints.get(&id).is_some_and(fits);
            match proposer.propose(m.destination, id, &mut allowed) {
                Proposed::NoOpinion => {}
                Proposed::Nobody => return None,
                Proposed::Endpoint(id) => return Some(id),
            }
        }
        let fitting = self.live(m.destination).filter(|e| fits(e));
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|e| e.info.id)
    }

    /// Books a new call: its slot, its token, its place in the cold budget or as a trial.
    fn open_call(
        &mut self, endpoint: EndpointId, destination: DestinationId, id: MessageId, actions: &mut Vec<Action>,
    ) -> u64 {
        self.last_call += 1;
        let late_after = self.late_after(destination, self.messages.get(&id).map_or(0, |m| m.class));
        let (sent, keepalive, trusted) = (self.now, self.settings.keepalive, self.trusted);
        let mut idle_for = Duration::ZERO;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.idle.retain(|since| sent < *since + keepalive);
            if e.idle.first().is_some_and(|since| sent > *since + trusted) {
                e.idle.clear();
                actions.push(Action::Release(endpoint));
            }
            idle_for = e.idle.pop().map_or(Duration::ZERO, |since| sent - since);
            e.calls_out += 1;
            self.proposer.get_mut().iter_mut().for_each(|p| p.busy(endpoint, e.calls_out));
            if let Some(l) = self.lanes.get_mut(&e.lane) {
                l.tokens = (l.tokens - 1.0).max(-1.0);
            }
        }
        let call = Call { destination, endpoint, sent, idle_for, late_after, ..Call::default() };
        self.calls.insert(self.last_call, call);
        self.note_sent(endpoint);
        self.last_call
    }

    /// Counts a call or probe against the cold budget, and puts off the next trial.
    fn note_sent(&mut self, endpoint: EndpointId) {
        let (now, warm) = (self.now, self.settings.cold_time + self.settings.overload_span);
        let spread = self.random_spread();
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        (e.last_sent, e.spread, e.trial) = (now, spread, false);
        if matches!(e.health, Health::Warming(since) if now >= since + warm) {
            e.health = Health::Well;
        }
    }

    /// Time after which a call to a destination is overdue: well above what was seen there.
    fn late_after(&self, destination: DestinationId, class: usize) -> Duration {
        let aim = self.settings.classes[class].aim;
        let known = self.destinations.contains_key(&destination);
        if known { self.usual_end(destination).max(aim / 2) } else { aim }
    }

    /// Time within which nearly all calls to a destination were answered.
    fn usual_end(&self, destination: DestinationId) -> Duration {
        let seen = |d: &Destination| Duration::from_secs_f64(d.latency + LATE_DEVIATIONS * d.deviation);
        self.destinations.get(&destination).map_or(Duration::ZERO, seen)
    }

    fn send(&mut self, id: MessageId, endpoint: EndpointId, call: u64, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id) else { return };
        let class = &self.settings.classes[m.class];
        // A time-out uses up the only try of a message that must not run twice: it waits to the end.
        let give_up_at = if class.effect == Effect::Once {
            m.deadline
        } else {
            // Early enough for another try within the aim.
            let patience = self.late_after(m.destination, m.class);
            (self.now + patience * (1 << m.attempts.min(6))).min(m.deadline)
        };
        actions.push(Action::Send { id, endpoint, give_up_at });
        let (attempt, key, destination) = (m.attempts, m.key, m.destination);
        self.flights.insert((id, attempt), (call, key));
        if let Some(c) = self.calls.get_mut(&call) {
            c.messages += 1;
        }
        if let Some(d) = self.destinations.get_mut(&destination).filter(|_| attempt == 0) {
            d.first_sends.add(self.now, self.settings.tick.as_secs_f64() / RATE_WEIGHT);
        }
        if let Some(m) = self.messages.get_mut(&id) {
            m.attempts += 1;
            m.state = State::InFlight;
        }
    }

    /// Where messages wait for an endpoint judged down, a probe asks for them if probes are allowed.
    /// Guards endpoints that fail some calls: shunned by what has one try, and with nothing else to carry,
    /// none would ever be known to be well again.
    fn probe_down(&mut self, waiting: &[DestinationId], actions: &mut Vec<Action>) {
        let down = |e: &&Endpoint| e.health == Health::Down && e.refused_run == 0 && !e.trial;
        let alone = |e: &&Endpoint| self.now > e.last_sent + SHUT_QUIET;
        let shunned = |e: &&Endpoint| alone(e) && e.health != Health::Down && e.fail_share > SAFE_FAIL;
        let due = |e: &&Endpoint| (down(e) || shunned(e)) && self.open(e);
        let due = waiting.iter().flat_map(|d| self.live(*d).filter(due)).map(|e| e.info.id);
        for id in due.filter(|_| self.settings.probes).collect::<Vec<_>>() {
            self.note_sent(id);
            actions.push(Action::Probe(id));
        }
    }

    /// Asks to be woken when the next timer fires, the next message runs out, or held ones need a look.
    fn schedule(&mut self, actions: &mut Vec<Action>) {
        self.wake_at = self.wake_at.filter(|at| *at > self.now);
        let margin = self.settings.tick * 2;
        let next = self.messages.values().filter_map(|m| match m.state {
            State::Ready => Some((self.now + POLL).min(m.deadline.saturating_sub(margin))),
            State::Backoff(at) => Some(at.max(self.now + POLL).min(m.deadline.saturating_sub(margin))),
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

/// The time until the next timer fires: doubling from T1. Departure: no longer than the aim (and never under
/// T1), so that a lost roll does not cost most of a message's time.
fn pause(firings: u32, aim: Duration) -> Duration {
    (T1 * (1 << firings.min(10))).min(aim.max(T1))
}

/// A sender's part of the rate of a lane, listed or told; if unknown, of a call in the first timer. No more
/// senders share it than it gets messages in the life of one.
fn part_of(e: &Endpoint, lane: &Lane, s: &Settings) -> f64 {
    let rate = if s.rate_source == RateSource::Nominal { e.info.rate } else { lane.told };
    let rate = if rate > 0.0 { rate } else { 1.0 / T1.as_secs_f64() };
    let life = s.classes.iter().map(|c| c.deadline).max().unwrap_or(T1).as_secs_f64();
    rate / (rate * life).max(1.0).min(f64::from(s.senders))
}

/// The paper's law: 1 up to the lower threshold, falling evenly to the floor at the upper one.
fn law(q: f64, q_min: f64) -> f64 {
    (1.0 - (1.0 - P_MIN) * (q - q_min) / (Q_RATIO * q_min - q_min)).clamp(P_MIN, 1.0)
}

#[cfg(test)]
mod tests;
mod view;
