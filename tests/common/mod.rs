//! Test harness for one controller: drives its clock and filters its actions.
#![allow(dead_code, missing_docs)]

use onyxstile::Controller;
use onyxstile::api::*;
use std::time::Duration;

pub const DESTINATION: DestinationId = DestinationId(7);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Three classes (0 repeatable, 1 keyed and ordered, 2 once), two kinds (0 plain, 1 shared calls on independent
/// routes).
pub fn settings() -> Settings {
    let class = |effect, ordered| ClassSettings {
        target_latency: ms(2000),
        deadline: ms(16_000),
        utility: 1.0,
        late_utility: 0.3,
        effect,
        ordered,
    };
    Settings {
        classes: vec![
            class(Effect::Repeatable, false),
            class(Effect::Keyed { group: RepeatGroup::All, window: ms(15_000) }, true),
            class(Effect::Once, false),
        ],
        kinds: vec![
            KindSettings { per_call: 1, independent_routes: false },
            KindSettings { per_call: 5, independent_routes: true },
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        utility_decay: UtilityDecay::Linear,
        rate_source: RateSource::None,
        senders: 2,
        handshake_cost: 0.04,
        max_calls: 12,
        max_held: 100,
        max_attempts: 6,
        probes: false,
        cancelling: true,
        ask_for_list: false,
        max_list_age: ms(10_000),
        max_client_wait: ms(2000),
        tick: ms(5),
        connect_timeout: ms(1000),
        keepalive: ms(10_000),
        start_capacity: 0.2,
        cold_time: ms(10_000),
        overload_factor: 2.0,
        overload_span: ms(3000),
        key_cooldown: ms(0),
    }
}

pub fn entry(id: u32, destination: DestinationId, kind: usize, state: ListState) -> EndpointInfo {
    let zone = ZoneId(id as usize % 2);
    EndpointInfo { id: EndpointId(id), destination, kind: KindId(kind), zone, state, rate: 0.0 }
}

pub struct ControllerHarness {
    pub controller: Controller,
    pub now: Duration,
    pub next: u64,
}

pub type Sent = (MessageId, EndpointId);

impl ControllerHarness {
    pub fn new(settings: Settings, endpoints: &[u32]) -> ControllerHarness {
        let now = ms(1_000_000);
        let mut harness =
            ControllerHarness { controller: Controller::new(settings, 1, now).unwrap(), now, next: 0 };
        let list = endpoints.iter().map(|id| entry(*id, DESTINATION, 0, ListState::Live)).collect();
        harness.step(vec![Event::ListReplaced(list)]);
        harness
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.step(self.now, &events, &mut actions);
        actions
    }

    pub fn new_message(&mut self, class: usize, key: Option<u64>) -> (MessageId, Event) {
        self.next += 1;
        let id = MessageId(self.next);
        let key = key.map(OrderKey);
        let remaining = ms(16_000);
        (
            id,
            Event::Message(NewMessage {
                id,
                class: ClassId(class),
                tenant: None,
                key,
                destination: DESTINATION,
                remaining,
                past: Past::default(),
            }),
        )
    }

    pub fn submit(&mut self, class: usize, key: Option<u64>) -> (MessageId, Vec<Action>) {
        let (id, event) = self.new_message(class, key);
        (id, self.step(vec![event]))
    }

    pub fn outcome(
        &mut self, id: MessageId, attempt: u32, endpoint: EndpointId, outcome: Outcome,
    ) -> Vec<Action> {
        self.outcome_with_limit(id, attempt, endpoint, outcome, None)
    }

    /// Reports an outcome with an optional limit report.
    pub fn outcome_with_limit(
        &mut self, id: MessageId, attempt: u32, endpoint: EndpointId, outcome: Outcome,
        limit: Option<LimitReport>,
    ) -> Vec<Action> {
        let terminal = outcome == Outcome::Success;
        let elapsed = ms(100);
        self.step(vec![Event::Outcome(AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            terminal,
            limit,
        })])
    }

    /// Advances the clock in ticks and returns the actions with their times.
    pub fn advance(&mut self, time: Duration) -> Vec<(Duration, Action)> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            self.now += ms(5);
            let at = self.now;
            all.extend(self.step(vec![Event::Wake(0)]).into_iter().map(|a| (at, a)));
        }
        all
    }
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let send = |a: &Action| match a {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn timed_sends(actions: &[(Duration, Action)]) -> Vec<(Duration, MessageId, EndpointId)> {
    let send = |(t, a): &(Duration, Action)| match a {
        Action::Send { id, endpoint, .. } => Some((*t, *id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
