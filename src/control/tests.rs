//! The module's derived state must equal a recount from its messages after every step; and the cost of a
//! decision at ten times the size.

use super::*;
use crate::common::{entry, ms};

fn settings(held: usize, calls: usize) -> Settings {
    let mut s = Settings {
        max_calls: calls,
        max_held: held,
        max_attempts: 12,
        probes: true,
        key_cooldown: ms(300),
        handshake_cost: 0.0,
        ..crate::common::settings()
    };
    s.classes.iter_mut().for_each(|c| c.ordered = true);
    s
}

fn listed(destinations: u64) -> Event {
    let info = |d: u64| entry(d as u32, DestinationId(d), 0, ListState::Live);
    Event::ListReplaced((0..destinations).map(info).collect())
}

fn message(id: u64, class: usize, to: u64, key: Option<u64>, attempts: u32) -> Event {
    let past = Past { attempts, ..Past::default() };
    let (class, destination, remaining) = (ClassId(class), DestinationId(to), ms(16_000));
    let key = key.map(OrderKey);
    Event::Message(NewMessage { id: MessageId(id), class, tenant: None, key, destination, remaining, past })
}

fn ended(id: MessageId, attempt: u32, endpoint: EndpointId, outcome: Outcome) -> Event {
    let terminal = outcome == Outcome::Success;
    let elapsed = ms(80);
    Event::Outcome(AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal, limit: None })
}

impl Controller {
    /// Asserts that the derived state equals a recount from the messages and calls.
    fn assert_recount(&self) {
        for (key, k) in &self.keys {
            let held: Vec<_> =
                self.messages.iter().filter(|(_, m)| m.key == Some(*key)).map(|(id, _)| *id).collect();
            assert_eq!(k.queue.iter().copied().collect::<Vec<_>>(), held, "of {key:?}");
        }
        for (id, e) in &self.endpoints {
            assert_eq!(e.calls_out, self.calls.values().filter(|c| c.endpoint == *id).count(), "of {id:?}");
        }
        for (number, c) in &self.calls {
            assert_eq!(
                c.messages,
                self.flights.values().filter(|f| f.0 == *number).count(),
                "of call {number}"
            );
        }
    }
}

#[test]
fn derived_state_equals_a_recount_after_random_events() {
    let (mut steps, mut most) = (0, 0);
    for seed in 0..150 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut below = |n: u64| rng.next_u64() % n.max(1);
        let mut c = Controller::new(settings(30, 6), seed, ms(1000)).unwrap();
        let (mut now, mut next, mut actions) = (ms(1000), 0, Vec::new());
        let mut out: Vec<(MessageId, u32, EndpointId)> = Vec::new();
        let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
        c.step(now, &[listed(4)], &mut actions);
        for _ in 0..300 {
            now += ms(below(400));
            let mut events = Vec::new();
            for _ in 0..below(4) {
                next += 1;
                let past = if below(6) == 0 { 1 + below(3) as u32 } else { 0 };
                let key = (below(2) == 0).then(|| below(3));
                attempts.insert(MessageId(next), past);
                events.push(message(next, below(3) as usize, below(5), key, past));
            }
            for _ in 0..below(4).min(out.len() as u64) {
                let (id, attempt, endpoint) = out.swap_remove(below(out.len() as u64) as usize);
                let outcome = [
                    Outcome::Success,
                    Outcome::Failure,
                    Outcome::TimedOut,
                    Outcome::Unreachable,
                    Outcome::Overloaded { wait: None },
                    Outcome::Void,
                ][below(6) as usize];
                events.push(ended(id, attempt, endpoint, outcome));
                if below(4) == 0 {
                    events.push(ended(id, attempt, endpoint, Outcome::Failure));
                }
            }
            match below(8) {
                0 => events.push(Event::Withdrawn(MessageId(1 + below(next)))),
                1 => events.push(listed(1 + below(5))),
                _ => {}
            }
            actions.clear();
            c.step(now, &events, &mut actions);
            c.assert_recount();
            (steps, most) = (steps + 1, most.max(c.messages.len()));
            for action in &actions {
                if let Action::Send { id, endpoint, .. } = action {
                    let count = attempts.entry(*id).or_default();
                    out.push((*id, *count, *endpoint));
                    *count += 1;
                }
            }
        }
    }
    assert!(steps == 45_000 && most > 7, "{steps} steps, {most} held at most");
}

/// Time per decision and memory per message at 1x and 10x of destinations and pending messages: `cargo test
/// --release scale -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement: it prints a table"]
fn scale() {
    println!(
        "| destinations | pending | one firing, us | one choice, us | idle step, us | one outcome, us | bytes a message |"
    );
    println!("|---|---|---|---|---|---|---|");
    // Freed memory is reused: the byte count of a row is accurate only if it is the first row of its process.
    let row = std::env::var("ROW").ok().and_then(|r| r.parse::<usize>().ok()).unwrap_or(0);
    let rows = [(20, 200), (20, 2000), (200, 200), (200, 2000), (200, 20_000)];
    for (destinations, pending) in rows.into_iter().skip(row) {
        let bytes = bytes(destinations, pending);
        let (firing, step, outcome, choice) = costs(destinations, pending);
        println!(
            "| {destinations} | {pending} | {firing:.2} | {choice:.2} | {step:.1} | {outcome:.2} | {bytes:.0} |"
        );
    }
}

/// A controller holding `pending` messages that were sent before.
fn loaded(destinations: u64, pending: u64, seed: u64) -> Controller {
    let mut c = Controller::new(settings(pending as usize * 2, 64), seed, ms(1000)).unwrap();
    let mut events = vec![listed(destinations)];
    events.extend((0..pending).map(|n| message(n, 0, n % destinations, None, 1)));
    c.step(ms(1000), &events, &mut Vec::new());
    c
}

/// Bytes per pending message including its share of all other state, over enough controllers to be measurable.
fn bytes(destinations: u64, pending: u64) -> f64 {
    let resident = || {
        let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
        statm.split(' ').nth(1).unwrap().parse::<u64>().unwrap() * 4096
    };
    let many = (100_000 / pending).max(2);
    let before = resident();
    let held: Vec<Controller> = (0..many).map(|seed| loaded(destinations, pending, seed)).collect();
    let taken = resident().saturating_sub(before);
    taken as f64 / (held.len() as u64 * pending) as f64
}

/// Microseconds for: one timer firing with its random sample, out of all due together; a step with nothing due;
/// an outcome; and the choice of an endpoint for one message, out of all allowed ones.
fn costs(destinations: u64, pending: u64) -> (f64, f64, f64, f64) {
    let us = |t: std::time::Instant, n: u64| t.elapsed().as_secs_f64() * 1e6 / n as f64;
    let mut best = (f64::MAX, f64::MAX, f64::MAX, f64::MAX);
    for seed in 0..7 {
        let (mut c, mut actions) = (loaded(destinations, pending, seed), Vec::new());
        let sent: Vec<_> = c.flights.keys().copied().collect();
        // All of them are in backoff, and their timers are due together.
        for m in c.messages.values_mut().filter(|m| m.state == State::Ready) {
            m.state = State::Backoff(ms(1500));
        }
        let waiting = c.messages.values().filter(|m| m.state != State::InFlight).count() as u64;
        let began = std::time::Instant::now();
        c.step(ms(1200), &[], &mut actions);
        best.1 = best.1.min(us(began, 1));
        let began = std::time::Instant::now();
        let its: Vec<_> = sent
            .iter()
            .map(|(id, attempt)| {
                ended(*id, *attempt, EndpointId((id.0 % destinations) as u32), Outcome::Failure)
            })
            .collect();
        its.iter().for_each(|e| c.handle_event(e, &mut actions));
        best.2 = best.2.min(us(began, its.len() as u64));
        c.now = ms(1500);
        for e in c.endpoints.values_mut() {
            e.health = Health::Well;
        }
        let began = std::time::Instant::now();
        c.fire_timers(&mut actions);
        best.0 = best.0.min(us(began, waiting));
        let began = std::time::Instant::now();
        c.dispatch(&mut actions);
        best.3 = best.3.min(us(began, waiting));
    }
    best
}

/// State of a message when it is cancelled or its deadline passes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Queued,
    OnTimer,
    InFlight,
}

/// Whether a message is counted as pending, the slots in use, whether its key is held, and the number of
/// answers to it.
fn left(c: &Controller, actions: &[Action], id: MessageId) -> (usize, usize, bool, usize) {
    c.assert_recount();
    let pending = c.messages.values().filter(|m| m.destination == DestinationId(0) && m.attempts > 0).count();
    let out = c.flights.values().any(|f| f.1 == Some(OrderKey(9)));
    let key = out || c.keys.get(&OrderKey(9)).is_some_and(|k| k.queue.contains(&id));
    let answer = |a: &&Action| matches!(a, Action::Fail(i) | Action::Refuse { id: i, .. } if *i == id);
    (pending, c.calls.len(), key, actions.iter().filter(answer).count())
}

/// Cancelled by its client or past its deadline while queued, in backoff or in flight: it is no longer counted
/// and never sent again. Only an attempt in flight keeps its slot and its key until its outcome, which then
/// answers nothing, however late it arrives.
#[test]
fn a_cancelled_or_expired_message_leaves_nothing_behind() {
    let id = MessageId(1);
    let sent = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    for phase in [Phase::Queued, Phase::OnTimer, Phase::InFlight] {
        for cancelled in [true, false] {
            let mut c = Controller::new(settings(9, 1), 1, ms(1000)).unwrap();
            let mut actions = Vec::new();
            let mut step = |c: &mut Controller, now: u64, events: &[Event]| {
                actions.clear();
                c.step(ms(now), events, &mut actions);
                actions.clone()
            };
            let first = if phase == Phase::Queued { vec![] } else { vec![listed(1)] };
            step(&mut c, 1000, &first);
            let done = step(&mut c, 1000, &[message(1, 1, 0, Some(9), 0)]);
            assert_eq!(sent(&done), usize::from(phase != Phase::Queued));
            if phase == Phase::OnTimer {
                step(&mut c, 1080, &[ended(id, 0, EndpointId(0), Outcome::Unreachable)]);
            }
            let before = left(&c, &[], id);
            let pending = usize::from(phase != Phase::Queued);
            assert_eq!(before, (pending, usize::from(phase == Phase::InFlight), true, 0), "{phase:?}");
            // The end: at once, or in the step at the deadline; an attempt in flight at the deadline times out
            // then.
            let out = phase == Phase::InFlight;
            let done = match (cancelled, out) {
                (true, _) => step(&mut c, 1200, &[Event::Withdrawn(id)]),
                (false, true) => step(&mut c, 17_000, &[ended(id, 0, EndpointId(0), Outcome::TimedOut)]),
                (false, false) => step(&mut c, 16_990, &[Event::Wake(0)]),
            };
            let held = cancelled && out;
            let answers = usize::from(!cancelled);
            assert_eq!(left(&c, &done, id), (0, usize::from(held), held, answers), "{phase:?} {cancelled}");
            // The next message is sent if the slot is free.
            let next = step(&mut c, 17_500, &[listed(2), message(2, 0, 1, None, 0)]);
            assert_eq!(sent(&next), usize::from(!held), "{phase:?} {cancelled}");
            // The late outcome frees slot and key, and answers nothing.
            let late = step(&mut c, 17_600, &[ended(id, 0, EndpointId(0), Outcome::Broken)]);
            assert_eq!(left(&c, &late, id).3, 0);
            assert!(!c.flights.values().any(|f| f.1 == Some(OrderKey(9))));
            assert_eq!(sent(&late), usize::from(held), "the slot is free: {phase:?} {cancelled}");
            for now in (17_700..40_000).step_by(50) {
                let again = step(&mut c, now, &[Event::Wake(0)]);
                assert!(
                    !again.iter().any(|a| matches!(a, Action::Send { id: MessageId(1), .. })),
                    "{phase:?}"
                );
            }
        }
    }
}
