use super::*;

/// An exponentially decaying rate of events per second.
#[derive(Debug, Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Rate {
    pub(super) value: f64,
    pub(super) at: Duration,
}

impl Rate {
    pub(super) fn get(&self, now: Duration, tau: f64) -> f64 {
        self.value * (-now.saturating_sub(self.at).as_secs_f64() / tau).exp()
    }
    pub(super) fn add(&mut self, now: Duration, tau: f64) {
        *self = Rate { value: self.get(now, tau) + 1.0 / tau, at: now };
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) enum State {
    #[default]
    Ready,
    Backoff(Duration),
    InFlight,
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Message {
    pub(super) class: usize,
    #[serde(rename = "worth")]
    pub(super) utility: f64,
    pub(super) key: Option<OrderKey>,
    pub(super) destination: DestinationId,
    #[serde(rename = "aim_at")]
    pub(super) target_at: Duration,
    pub(super) deadline: Duration,
    pub(super) attempts: u32,
    pub(super) firings: u32,
    pub(super) state: State,
    pub(super) ready_since: Duration,
    /// First attempt that may have run: when it was sent, and where.
    pub(super) risk: Option<(Duration, EndpointId)>,
}

/// Sends of one step that share a call: one slot until all outcomes are in.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Call {
    pub(super) destination: DestinationId,
    pub(super) endpoint: EndpointId,
    pub(super) sent: Duration,
    /// How long its connection had been idle; zero for a fresh one.
    pub(super) idle_for: Duration,
    pub(super) late_after: Duration,
    pub(super) messages: usize,
    pub(super) judged: bool,
    pub(super) cancelled: bool,
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Endpoint {
    pub(super) info: EndpointInfo,
    #[serde(rename = "lane")]
    pub(super) limiter_id: LimiterId,
    pub(super) health: Health,
    pub(super) down_since: Duration,
    pub(super) hard_run: u32,
    pub(super) refused_run: u32,
    pub(super) fail_share: f64,
    pub(super) last_ok: Duration,
    #[serde(rename = "last_heard")]
    pub(super) last_answer: Duration,
    pub(super) last_failed: Duration,
    pub(super) usual: Rate,
    /// Order among endpoints of equal cost: without it all senders would choose the first one listed.
    #[serde(rename = "taste")]
    pub(super) tie_breaker: f64,
    /// The last call or probe, and the jitter of the pause after it.
    pub(super) last_sent: Duration,
    #[serde(rename = "spread")]
    pub(super) jitter: f64,
    pub(super) calls_out: usize,
    /// A probe was answered while it was down, and no message has been tried since.
    pub(super) trial: bool,
    /// When it was last listed, once it is gone.
    pub(super) listed: Duration,
    /// Since when each of its idle connections is idle, the newest last.
    pub(super) idle: Vec<Duration>,
}

/// Scope of limits and waits: a destination, or one endpoint where routes are independent.
pub(super) type LimiterId = (DestinationId, Option<EndpointId>);

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct RateLimiter {
    pub(super) wait_until: Duration,
    pub(super) pace: f64,
    pub(super) tokens: f64,
    pub(super) tokens_at: Duration,
    pub(super) recent: Rate,
    /// The limit as reported in answers, in calls per second, and this sender's part of it.
    #[serde(rename = "told")]
    pub(super) reported_limit: f64,
    pub(super) own: f64,
}

impl RateLimiter {
    /// Updates tokens and pace; called on use, so the cost of a step does not grow with all destinations.
    pub(super) fn refill(&mut self, now: Duration) {
        let passed = (now - std::mem::replace(&mut self.tokens_at, now)).as_secs_f64();
        // Limits shared by many senders: each would go on using the capacity that one old answer reported.
        self.pace = if self.reported_limit > 0.0 {
            self.own + (self.pace - self.own) * (-passed / T1.as_secs_f64()).exp()
        } else {
            (self.pace * (PACE_GROWTH * passed).exp()).min(PACE_MAX)
        };
        self.tokens = (self.tokens + self.pace * passed).min((self.pace * PACE_BURST).max(2.0));
    }
}

#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Destination {
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) first_sends: Rate,
    pub(super) latency: f64,
    pub(super) deviation: f64,
}

/// Messages of one key in order of arrival, and what delays the next one.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct KeyQueue {
    pub(super) queue: VecDeque<MessageId>,
    #[serde(rename = "rest")]
    pub(super) cooldown: Option<(Duration, MessageId)>,
}
