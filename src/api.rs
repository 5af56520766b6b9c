//! What the decision module receives, what it asks to be done, and the types both use.
//!
//! Nothing here decides anything. Every time is a [`Duration`] since one arbitrary epoch that the caller
//! picks and keeps; the clock handed to the module must never go back.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::time::Duration;

/// A message, as the caller names it. Never used twice.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// An endpoint: one address of a destination. The caller keeps the number for as long as the address is known.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// A destination: the partner system that a message is for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// What an ordered message is about; messages with the same key take turns.
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

/// Which endpoints of a destination drop the repeats of a keyed message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatGroup {
    /// Any endpoint of the destination.
    All,
    /// Only endpoints in the zone of the first attempt that may have run.
    Zone,
    /// Only the very endpoint of that attempt. Use this where the group is not known.
    Endpoint,
}

/// What a repeat of a message does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// A repeat is dropped inside the group and the window, counted from the send of the first attempt that
    /// may have run.
    Keyed {
        /// Where the key is known.
        group: RepeatGroup,
        /// For how long.
        window: Duration,
    },
    /// Must never take effect twice.
    Once,
}

/// A class of messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    /// Delivered within this time of being handed in, a message earns its full worth.
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// A message is given up this long after it was first handed in.
    pub deadline: Duration,
    /// Worth of a message on time.
    #[serde(rename = "worth")]
    pub utility: f64,
    /// Share of the worth left at the deadline.
    #[serde(rename = "late_worth")]
    pub late_utility: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Messages of this class with the same key take turns.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindSettings {
    /// Messages that may share one call.
    pub per_call: usize,
    /// True where each endpoint is a route of its own, with its own limit, waits and outages.
    #[serde(rename = "routes_apart")]
    pub independent_routes: bool,
}

/// A tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TenantSettings {
    /// Messages a second over all senders that count as within the tenant's share.
    pub quota_per_s: f64,
}

/// How worth falls once the aim has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UtilityDecay {
    /// Evenly, down to the late share at the deadline.
    #[serde(rename = "Line")]
    Linear,
    /// By half with each further aim, never under the late share.
    #[serde(rename = "Halves")]
    Halving,
}

/// What the rate of an endpoint ([`EndpointInfo::rate`]) says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateSource {
    /// Nothing.
    None,
    /// Calls a second that the destination (or route) takes from all senders together.
    Nominal,
}

/// What a controller is told once, at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of messages, at least one.
    pub classes: Vec<ClassSettings>,
    /// Kinds of destination.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a message above its tenant's share, as a fraction of its class's worth.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// How worth falls after the aim.
    #[serde(rename = "late")]
    pub utility_decay: UtilityDecay,
    /// What endpoint rates say.
    pub rate_source: RateSource,
    /// Senders that share the destinations, this one included.
    pub senders: u32,
    /// Cost of a fresh connection.
    pub handshake_cost: f64,
    /// Calls that may be out at once.
    pub max_calls: usize,
    /// Messages that may be held at once.
    pub max_held: usize,
    /// Most attempts for a message.
    pub max_attempts: u32,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether attempts may be called off.
    pub cancelling: bool,
    /// Whether the endpoint list has to be asked for.
    pub ask_for_list: bool,
    /// Where it has to be asked for: one who has no subscription and has not asked for this long counts as told
    /// of all that the list said that long ago.
    #[serde(rename = "must_ask_within")]
    pub max_list_age: Duration,
    /// Longest time that a client stays away when told to.
    pub max_client_wait: Duration,
    /// Shortest time between two batches.
    pub tick: Duration,
    /// A connection not up after this long is given up.
    pub connect_timeout: Duration,
    /// Idle connections close after this long.
    pub keepalive: Duration,
    /// A destination back from an outage has this share of its capacity, or more.
    pub start_capacity: f64,
    /// It has all its capacity after this long at the latest.
    pub cold_time: Duration,
    /// It falls over when sent more than this multiple of its capacity of the moment...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_span: Duration,
    /// How long a key rests after an attempt that may still be running.
    #[serde(rename = "key_rest")]
    pub key_cooldown: Duration,
}

impl Settings {
    /// Tells what, if anything, cannot work.
    ///
    /// # Errors
    /// The first figure found that is missing, zero where it must not be, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        let valid = |v: f64| v.is_finite() && v >= 0.0;
        let checks = [
            (!self.classes.is_empty(), "there is no class"),
            (self.max_calls > 0, "there is no slot"),
            (self.max_held > 0, "there is no room for messages"),
            (self.max_attempts > 0, "no attempt is allowed"),
            (self.senders > 0, "there is no sender"),
            (!self.tick.is_zero(), "the tick is zero"),
            (self.classes.iter().all(|c| !c.deadline.is_zero()), "a class has no time at all"),
            (self.classes.iter().all(|c| valid(c.utility)), "a class's worth is no figure"),
            (self.classes.iter().all(|c| valid(c.late_utility)), "a class's late worth is no figure"),
            (self.kinds.iter().all(|k| k.per_call > 0), "a call carries no message"),
            (self.tenants.iter().all(|t| valid(t.quota_per_s)), "a quota is no figure"),
            (valid(self.start_capacity), "the start capacity is no figure"),
            (valid(self.overload_factor), "the overload factor is no figure"),
            (valid(self.over_quota_weight), "the worth above a share is no figure"),
            (valid(self.handshake_cost), "the price of a connection is no figure"),
        ];
        checks.iter().find(|(good, _)| !good).map_or(Ok(()), |(_, what)| Err(SettingsError(what)))
    }
}

/// Settings that cannot work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings cannot work: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of an endpoint. It never says anything of its health.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListState {
    /// Listed.
    Live,
    /// Send nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One line of the endpoint list.
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
    /// What [`Settings::rate_source`] says: calls a second.
    pub rate: f64,
}

/// A message handed in; one final answer is owed for it from now on.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its key, for ordered classes.
    pub key: Option<OrderKey>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Time until it is given up.
    pub remaining: Duration,
    /// What was done for it before this controller's start.
    pub past: Past,
}

/// What earlier processes did for a message that outlived them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Past {
    /// An earlier process held it: it waits for its first timer, as what was sent before.
    pub held: bool,
    /// Attempts already sent; the next is numbered so.
    pub attempts: u32,
    /// The first attempt that may have run: how long ago it was sent, and where.
    pub risk: Option<(Duration, EndpointId)>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// An error came back; it may have taken effect.
    Failure,
    /// Turned away unseen. It never ran.
    Overloaded {
        /// How long to send nothing there, if told.
        wait: Option<Duration>,
    },
    /// No answer in time; it may have taken effect, or may still.
    TimedOut,
    /// No connection. It never ran.
    Unreachable,
    /// The connection broke; it may have taken effect.
    Broken,
    /// Called off; it may have taken effect.
    Withdrawn,
    /// Never sent: no slot, time up, or too many attempts.
    Void,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded { .. } | Outcome::Unreachable | Outcome::Void)
    }

    /// Whether the attempt may be running still.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn)
    }
}

/// What an answer told of its sender's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub left: f64,
    /// Calls a second that the limit allows; zero where there is none.
    pub rate: f64,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Duration,
    /// The message is over; no final answer is owed any more.
    pub terminal: bool,
    /// What the answer said of its limit.
    pub limit: Option<LimitReport>,
}

/// What happened to the sender. All events of one `step` happen at its clock.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message was handed in.
    Message(NewMessage),
    /// An attempt ended. Every [`Action::Send`] gets exactly one of these.
    Outcome(AttemptEnd),
    /// The client has withdrawn the message. Nothing is owed for it; attempts that are out still end.
    Withdrawn(MessageId),
    /// A timer set by [`Action::Wake`] is due.
    Wake(u64),
    /// A probe set off by [`Action::Probe`] ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What the answer said of its limit.
        limit: Option<LimitReport>,
    },
    /// Changed lines of the endpoint list.
    ListUpdate(Vec<EndpointInfo>),
    /// The whole endpoint list; what is not in it is gone.
    ListReplaced(Vec<EndpointInfo>),
    /// The list could not be had, or the subscription broke. The previous list stands.
    ListUnavailable,
}

/// What the module asks the caller to do, in this order, at the clock of the step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the endpoint with the message. Sends of one step to one endpoint share a call as far as its kind
    /// allows.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When to give the attempt up.
        give_up_at: Duration,
    },
    /// Final answer: handed back, and handing it in again is harmless.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should stay away; zero for no advice.
        wait: Duration,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail(MessageId),
    /// Stop waiting for an attempt. Its outcome still comes.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Call `step` with [`Event::Wake`] once this time has passed.
    Wake {
        /// Time from now.
        after: Duration,
        /// Comes back with the event.
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
    /// Nothing to be done: something that happened, for whoever keeps an account.
    Note(Note),
}

/// What an endpoint is taken for. Down: only trials. Warming: back, or failing most calls, since then, and within
/// the cold budget.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Health {
    /// It takes what it is sent.
    #[default]
    Well,
    /// It does not.
    Down,
    /// It is cold, since this time.
    Warming(Duration),
}

/// What happened inside the module.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// An endpoint is taken for something else; after which outcome, or by its silence.
    Health(EndpointId, Health, Health, Option<Outcome>),
    /// The timer of a message that waits for another attempt fired: the how manieth time, and whether the roll by
    /// the retransmission law was won.
    Timer(MessageId, u32, bool),
}

/// Proposes an order of preference among the endpoints of a destination. The module disposes: it asks for a
/// proposal where it is about to choose, and takes the first endpoint that it would allow. Health, waits,
/// drains, cold ramps, slots and repeated attempts stay the module's.
pub trait Proposer: std::fmt::Debug {
    /// Names endpoints until one is allowed. A proposer that has no opinion on a destination says
    /// [`Proposed::NoOpinion`], and the module chooses by itself.
    fn propose(
        &mut self, destination: DestinationId, message: MessageId,
        allowed: &mut dyn FnMut(EndpointId) -> bool,
    ) -> Proposed;

    /// So many calls to the endpoint are out.
    fn set_open_calls(&mut self, endpoint: EndpointId, calls_out: usize);
}

/// What a proposal came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposed {
    /// The destination is not among those that the proposer orders.
    NoOpinion,
    /// None of its endpoints was allowed.
    NoneAllowed,
    /// This one was.
    Endpoint(EndpointId),
}

/// Where a controller keeps its proposer. It is never part of a controller's written state: whoever reads that back
/// sets its own.
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
