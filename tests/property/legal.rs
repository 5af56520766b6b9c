//! Random valid event sequences against the module alone.

use crate::common::*;
use onyxstile::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Success,
    Outcome::Failure,
    Outcome::Overloaded { wait: None },
    Outcome::Overloaded { wait: Some(Duration::from_millis(700)) },
    Outcome::Overloaded { wait: Some(Duration::from_millis(5000)) },
    Outcome::Unreachable,
    Outcome::Broken,
    Outcome::TimedOut,
];

struct TrackedMessage {
    class: usize,
    key: Option<u64>,
    deadline: Duration,
    attempts: u32,
    out: Option<(EndpointId, Duration)>,
    risk: Option<Duration>,
    ended: bool,
}

#[derive(Default)]
struct Model {
    messages: BTreeMap<MessageId, TrackedMessage>,
    out: Vec<(MessageId, u32, EndpointId, Duration, Duration)>,
    live: BTreeSet<u32>,
    waits: BTreeMap<EndpointId, Duration>,
    cooldowns: BTreeMap<u64, (Duration, MessageId)>,
    down: BTreeMap<EndpointId, (u32, Vec<Duration>)>,
}

/// Endpoints 1 to 3 belong to one destination, 4 to 6 are independent routes of another.
pub fn destination_of(e: u32) -> (DestinationId, usize) {
    if e <= 3 { (DestinationId(7), 0) } else { (DestinationId(8), 1) }
}

impl Model {
    fn check(&mut self, now: Duration, settings: &Settings, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, give_up_at } => {
                    let earlier_of_key = {
                        let key = self.messages[id].key;
                        let blocks = |(i, m): (&MessageId, &TrackedMessage)| {
                            i < id && m.key == key && (!m.ended || m.out.is_some())
                        };
                        key.is_some() && self.messages.iter().any(blocks)
                    };
                    assert!(!earlier_of_key, "order: {id:?}");
                    let m = self.messages.get_mut(id).unwrap();
                    assert!(!m.ended && m.out.is_none(), "sent after its end or while in flight: {id:?}");
                    assert!(
                        m.attempts < settings.max_attempts && now < m.deadline && *give_up_at <= m.deadline
                    );
                    assert!(self.live.contains(&endpoint.0), "sent to an endpoint not listed");
                    assert!(self.waits.get(endpoint).is_none_or(|until| now >= *until), "sent within a wait");
                    let cooldown = m.key.and_then(|k| self.cooldowns.get(&k));
                    assert!(
                        cooldown.is_none_or(|(until, by)| by == id || now >= *until),
                        "key still in its cooldown"
                    );
                    match (m.risk, m.class) {
                        (Some(_), 2) => panic!("single-attempt message sent twice"),
                        (Some(t), 1) => assert!(now < t + ms(15_000), "outside the window"),
                        _ => {}
                    }
                    m.attempts += 1;
                    m.out = Some((*endpoint, now));
                    self.out.push((*id, m.attempts - 1, *endpoint, now, *give_up_at));
                    // After refused connections alone nothing is known of the capacity: single calls only.
                    if let Some((run, sent)) = self.down.get_mut(endpoint)
                        && *run >= 2
                        && destination_of(endpoint.0).1 == 0
                    {
                        sent.push(now);
                        let recent = sent.iter().filter(|t| **t + ms(450) > now).count();
                        assert!(recent <= 1, "an endpoint that is down received {recent} calls at once");
                    }
                }
                Action::Refuse { id, .. } => {
                    let m = self.messages.get_mut(id).unwrap();
                    assert!(!m.ended && m.out.is_none() && (m.risk.is_none() || m.class != 2), "bad refusal");
                    m.ended = true;
                }
                Action::Fail(id) => {
                    let m = self.messages.get_mut(id).unwrap();
                    assert!(!m.ended, "two answers");
                    m.ended = true;
                }
                Action::Wake { after, .. } => assert!(*after >= ms(1)),
                _ => {}
            }
        }
        for (id, m) in &self.messages {
            assert!(m.ended || now <= m.deadline + ms(20), "no answer in time for {id:?}");
        }
    }
}

fn run(script: Vec<(u8, u8, u8)>) {
    let settings = Settings { max_held: 40, key_cooldown: ms(300), ..settings() };
    let mut harness = ControllerHarness::new(settings.clone(), &[]);
    let mut model = Model { live: (1..=6).collect(), ..Model::default() };
    let row = |e: u32, state| entry(e, destination_of(e).0, destination_of(e).1, state);
    harness.step(vec![Event::ListReplaced((1..=6).map(|e| row(e, ListState::Live)).collect())]);
    for (what, a, b) in script {
        harness.now += ms(5 * (1 + u64::from(b) % 40));
        let now = harness.now;
        let mut events = Vec::new();
        // Every attempt ends by its timeout.
        let expired: Vec<usize> = (0..model.out.len()).filter(|i| model.out[*i].4 <= now).collect();
        let mut ends: Vec<(usize, Outcome)> = expired.iter().map(|i| (*i, Outcome::TimedOut)).collect();
        match what % 8 {
            0..=2 => {
                let class = usize::from(a) % 3;
                let key = (class == 1 && a % 2 == 0).then_some(u64::from(b) % 3);
                let (id, mut event) = harness.new_message(class, key);
                let Event::Message(m) = &mut event else { unreachable!() };
                m.destination = destination_of(1 + u32::from(b) % 6).0;
                let deadline = now + m.remaining;
                model.messages.insert(
                    id,
                    TrackedMessage { class, key, deadline, attempts: 0, out: None, risk: None, ended: false },
                );
                events.push(event);
            }
            3..=5 if !model.out.is_empty() => {
                let i = usize::from(a) % model.out.len();
                if !expired.contains(&i) {
                    ends.push((i, OUTCOMES[usize::from(b) % 7]));
                }
            }
            6 => {
                let e = 1 + u32::from(a) % 6;
                let state = [ListState::Live, ListState::Draining, ListState::Gone][usize::from(b) % 3];
                if state == ListState::Live {
                    model.live.insert(e)
                } else {
                    model.live.remove(&e)
                };
                events.push(Event::ListUpdate(vec![row(e, state)]));
            }
            7 if b % 8 == 0 => {
                let open: Vec<MessageId> =
                    model.messages.iter().filter(|(_, m)| !m.ended).map(|(i, _)| *i).collect();
                if let Some(id) = open.get(usize::from(a) % open.len().max(1)) {
                    model.messages.get_mut(id).unwrap().ended = true;
                    events.push(Event::Withdrawn(*id));
                }
            }
            _ => events.push(Event::Outcome(AttemptEnd {
                id: MessageId(1 << 40),
                attempt: 9,
                endpoint: EndpointId(99),
                outcome: Outcome::Failure,
                elapsed: ms(1),
                terminal: false,
                limit: None,
            })),
        }
        ends.sort_by_key(|e| std::cmp::Reverse(e.0));
        for (i, outcome) in ends {
            let (id, attempt, endpoint, sent, _) = model.out.remove(i);
            let m = model.messages.get_mut(&id).unwrap();
            m.out = None;
            let ran = !matches!(outcome, Outcome::Overloaded { .. } | Outcome::Unreachable);
            if ran {
                m.risk = m.risk.or(Some(sent));
            }
            m.ended |= outcome == Outcome::Success;
            if matches!(outcome, Outcome::TimedOut | Outcome::Broken)
                && let Some(k) = m.key
            {
                model.cooldowns.insert(k, (now + ms(300), id));
            }
            if let Outcome::Overloaded { wait: Some(wait) } = outcome {
                for e in (1..=6).filter(|e| *e == endpoint.0 || (endpoint.0 <= 3 && *e <= 3)) {
                    let until = model.waits.entry(EndpointId(e)).or_default();
                    *until = (*until).max(now + wait);
                    // When the wait ends, the whole destination counts as returning.
                    model.down.entry(EndpointId(e)).or_default().0 = 0;
                }
            }
            let down = model.down.entry(endpoint).or_default();
            down.0 = if outcome == Outcome::Unreachable { down.0 + 1 } else { 0 };
            let (terminal, elapsed) = (m.ended, now - sent);
            events.push(Event::Outcome(AttemptEnd {
                id,
                attempt,
                endpoint,
                outcome,
                elapsed,
                terminal,
                limit: None,
            }));
        }
        let actions = harness.step(events);
        model.check(now, &settings, &actions);
    }
}

#[test]
fn random_valid_sequences_keep_the_rules() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let script = proptest::collection::vec(any::<(u8, u8, u8)>(), 50..400);
    TestRunner::new_with_rng(config, rng)
        .run(&script, |s| {
            run(s);
            Ok(())
        })
        .unwrap();
}
