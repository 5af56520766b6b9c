//! Input and output types of the decision module.
//!
//! There are no decisions here. Every time is a [`Duration`] since an epoch that the caller picks once; the
//! clock passed to the module must be monotonic.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::time::Duration;

/// Identifies a message; never reused.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Identifies an endpoint, which is one address of a destination. Stable for as long as the address is in use.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// A destination: the partner system that a message is addressed to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// Ordering key: messages with the same key are sent one at a time, in order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// Index into [`Settings::classes`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub usize);

/// The number of a zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::kinds`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub usize);

/// Endpoints of a destination that drop repeats of a keyed message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatGroup {
    /// Any endpoint of the destination.
    All,
    /// Only endpoints in the zone of the first attempt that may have run.
    Zone,
    /// Only the endpoint of that attempt. Use this if the group is unknown.
    Endpoint,
}

/// Effect of repeating a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// A repeat is dropped within the group and the window, counted from the send of the first attempt that may
    /// have run.
    Keyed {
        /// Endpoints that recognise the key.
        group: RepeatGroup,
        /// How long the key is recognised.
        window: Duration,
    },
    /// Must never be executed twice.
    Once,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    /// Latency target: a message delivered within this time of its submission earns its full utility.
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// A message is given up this long after its first submission.
    pub deadline: Duration,
    /// Utility of a message delivered within the latency target.
    #[serde(rename = "worth")]
    pub utility: f64,
    /// Share of the utility that remains at the deadline.
    #[serde(rename = "late_worth")]
    pub late_utility: f64,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Messages of this class with the same key are sent in order, one at a time.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindSettings {
    /// Maximum number of messages that share one call.
    pub per_call: usize,
    /// True if each endpoint is a route of its own, with its own limit, waits and outages.
    #[serde(rename = "routes_apart")]
    pub independent_routes: bool,
}

/// A tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TenantSettings {
    /// Messages per second, over all senders, that count as within the tenant's share.
    pub quota_per_s: f64,
}

/// How utility decreases after the latency target has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UtilityDecay {
    /// Linearly, down to the late share at the deadline.
    #[serde(rename = "Line")]
    Linear,
    /// By half with each further latency target, never below the late share.
    #[serde(rename = "Halves")]
    Halving,
}

/// Meaning of an endpoint's rate ([`EndpointInfo::rate`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateSource {
    /// No meaning.
    None,
    /// Calls per second that the destination (or route) accepts from all senders together.
    Nominal,
}

/// Settings of a controller, fixed at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of messages, at least one.
    pub classes: Vec<ClassSettings>,
    /// Kinds of destination.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Weight of a message above its tenant's quota, as a fraction of its class's utility.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// How utility decreases after the latency target.
    #[serde(rename = "late")]
    pub utility_decay: UtilityDecay,
    /// Meaning of endpoint rates.
    pub rate_source: RateSource,
    /// Number of senders that share the destinations, including this one.
    pub senders: u32,
    /// Cost of a new connection.
    pub handshake_cost: f64,
    /// Maximum number of calls in flight.
    pub max_calls: usize,
    /// Maximum number of messages held.
    pub max_held: usize,
    /// Maximum number of attempts per message.
    pub max_attempts: u32,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether the endpoint list must be requested.
    pub ask_for_list: bool,
    /// For lists that must be requested: a sender without a subscription whose last request is older than this
    /// counts as having received everything the list contained at that age.
    #[serde(rename = "must_ask_within")]
    pub max_list_age: Duration,
    /// Longest wait that a client observes.
    pub max_client_wait: Duration,
    /// Shortest time between two batches.
    pub tick: Duration,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub keepalive: Duration,
    /// Lower bound of the share of its capacity that a destination has when it returns from an outage.
    pub start_capacity: f64,
    /// Time after which it has its full capacity again, at the latest.
    pub cold_time: Duration,
    /// It becomes overloaded when it receives more than this multiple of its current capacity...
    pub overload_factor: f64,
    /// ...for this time.
    pub overload_span: Duration,
    /// Cooldown of a key after an attempt that may still be running.
    #[serde(rename = "key_rest")]
    pub key_cooldown: Duration,
}

impl Settings {
    /// Checks that the settings can work.
    ///
    /// # Errors
    ///
    /// The first value that is missing, zero where that is not allowed, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        let valid = |v: f64| v.is_finite() && v >= 0.0;
        let checks = [
            (!self.classes.is_empty(), "no class is defined"),
            (self.max_calls > 0, "no slot for calls"),
            (self.max_held > 0, "no capacity for messages"),
            (self.max_attempts > 0, "no attempt is allowed"),
            (self.senders > 0, "no sender"),
            (!self.tick.is_zero(), "the tick is zero"),
            (self.classes.iter().all(|c| !c.deadline.is_zero()), "a class has no time before its deadline"),
            (self.classes.iter().all(|c| valid(c.utility)), "a class's utility is not a valid number"),
            (
                self.classes.iter().all(|c| valid(c.late_utility)),
                "a class's late utility is not a valid number",
            ),
            (self.kinds.iter().all(|k| k.per_call > 0), "a call holds no message"),
            (self.tenants.iter().all(|t| valid(t.quota_per_s)), "a quota is not a valid number"),
            (valid(self.start_capacity), "the start capacity is not a valid number"),
            (valid(self.overload_factor), "the overload factor is not a valid number"),
            (valid(self.over_quota_weight), "the weight above a quota is not a valid number"),
            (valid(self.handshake_cost), "the cost of a connection is not a valid number"),
        ];
        checks.iter().find(|(good, _)| !good).map_or(Ok(()), |(_, what)| Err(SettingsError(what)))
    }
}

/// Invalid settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// State of an endpoint in the list; it carries no health information.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListState {
    /// Listed.
    Live,
    /// No new calls.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Listed, draining or gone.
    pub state: ListState,
    /// Calls per second, with the meaning given by [`Settings::rate_source`].
    pub rate: f64,
}

/// A submitted message. It receives exactly one final answer.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its ordering key, for ordered classes.
    pub key: Option<OrderKey>,
    /// Destination to deliver to.
    pub destination: DestinationId,
    /// Time until its deadline.
    pub remaining: Duration,
    /// Attempts made before this controller started.
    pub past: Past,
}

/// State of a message from earlier processes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Past {
    /// An earlier process held it: it starts in backoff, like a message that was sent before.
    pub held: bool,
    /// Attempts already sent; also the number of the next attempt.
    pub attempts: u32,
    /// The first attempt that may have run: how long ago it was sent, and to which endpoint.
    pub risk: Option<(Duration, EndpointId)>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// Answered with an error; it may have taken effect.
    Failure,
    /// Refused without being executed.
    Overloaded {
        /// How long to send nothing there, if stated.
        wait: Option<Duration>,
    },
    /// No answer in time; it may have taken effect, or may still do so.
    TimedOut,
    /// No connection; it was not executed.
    Unreachable,
    /// The connection broke; it may have taken effect.
    Broken,
    /// Cancelled; it may have taken effect.
    Withdrawn,
    /// Never sent: no slot, deadline passed, or too many attempts.
    Void,
}

impl Outcome {
    /// Whether the outcome proves that the attempt was never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded { .. } | Outcome::Unreachable | Outcome::Void)
    }

    /// Whether the attempt may still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn)
    }
}

/// A rate limit as reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub left: f64,
    /// Calls per second that the limit allows; zero if there is none.
    pub rate: f64,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Duration,
    /// The message is finished and needs no final answer.
    pub terminal: bool,
    /// Limit reported in the answer.
    pub limit: Option<LimitReport>,
}

/// An event at the sender. All events of one `step` occur at its clock.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message was submitted.
    Message(NewMessage),
    /// An attempt ended. Every [`Action::Send`] is followed by exactly one of these.
    Outcome(AttemptEnd),
    /// The client withdrew the message: it needs no answer. Attempts in flight still end.
    Withdrawn(MessageId),
    /// A timer set by [`Action::Wake`] is due.
    Wake(u64),
    /// A probe requested by [`Action::Probe`] ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Limit reported in the answer.
        limit: Option<LimitReport>,
    },
    /// Changed entries of the endpoint list.
    ListUpdate(Vec<EndpointInfo>),
    /// The complete endpoint list; endpoints that are not in it are gone.
    ListReplaced(Vec<EndpointInfo>),
    /// The list is unavailable or the subscription broke. The previous list stays in effect.
    ListUnavailable,
}

/// A request to the caller, to be carried out in order at the clock of the step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the message to the endpoint. Sends of one step to one endpoint share a call as far as its kind
    /// allows.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When to give up the attempt.
        give_up_at: Duration,
    },
    /// Final answer: refused; submitting the message again is harmless.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should wait before resubmitting; zero for no advice.
        wait: Duration,
    },
    /// Final answer: failed; the message may or may not have taken effect.
    Fail(MessageId),
    /// Stop waiting for an attempt. Its outcome is still reported.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Call `step` with [`Event::Wake`] after this time.
    Wake {
        /// Time from now.
        after: Duration,
        /// Returned with the event.
        token: u64,
    },
    /// Close the idle connections to the endpoint.
    Release(EndpointId),
    /// Probe the endpoint.
    Probe(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// A line for the log.
    Log(String),
    /// Reports an internal event, for observers; there is nothing to carry out.
    Note(Note),
}

/// Health of an endpoint. `Down`: trials only. `Warming`: recovered, or failing most calls, since the given
/// time, and limited to the cold budget.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Health {
    /// Accepts calls.
    #[default]
    Well,
    /// Unavailable.
    Down,
    /// Cold since this time.
    Warming(Duration),
}

/// An internal event of the module.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// The health of an endpoint changed from the first to the second value, by an outcome, or by its silence
    /// (`None`).
    Health(EndpointId, Health, Health, Option<Outcome>),
    /// The backoff timer of a message fired for the given number of times; whether the retry policy allowed a
    /// resend.
    Timer(MessageId, u32, bool),
}

/// Proposes an order of preference among the endpoints of a destination. The module asks for a proposal when it
/// chooses an endpoint, and takes the first one that it allows. Health, waits, drains, cold ramps, slots and
/// repeated attempts remain the module's decision.
pub trait Proposer: std::fmt::Debug {
    /// Proposes endpoints until one is allowed. For a destination that it does not cover, a proposer returns
    /// [`Proposed::NoOpinion`], and the module chooses by itself.
    fn propose(
        &mut self, destination: DestinationId, message: MessageId,
        allowed: &mut dyn FnMut(EndpointId) -> bool,
    ) -> Proposed;

    /// Reports the number of open calls to the endpoint.
    fn set_open_calls(&mut self, endpoint: EndpointId, calls_out: usize);
}

/// Result of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposed {
    /// The proposer does not cover the destination.
    NoOpinion,
    /// None of its endpoints was allowed.
    NoneAllowed,
    /// This endpoint was allowed.
    Endpoint(EndpointId),
}

/// Holds a controller's proposer. It is not part of the serialised state: set it again after deserialising.
#[derive(Debug, Default)]
pub struct ProposerCell(RefCell<Option<Box<dyn Proposer>>>);

impl std::ops::Deref for ProposerCell {
    type Target = RefCell<Option<Box<dyn Proposer>>>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl std::ops::DerefMut for ProposerCell {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

impl Serialize for ProposerCell {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_unit()
    }
}

impl<'de> Deserialize<'de> for ProposerCell {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        <()>::deserialize(from).map(|()| ProposerCell::default())
    }
}
