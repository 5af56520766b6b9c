//! Each message receives exactly one answer; tested on the module alone.
#![allow(missing_docs)]
mod common;
use common::*;
use onyxstile::api::*;

const FULL: Outcome = Outcome::Overloaded { wait: None };

#[test]
fn a_message_that_is_never_sent_is_refused_once_before_its_deadline() {
    let mut harness = ControllerHarness::new(settings(), &[]);
    let (id, actions) = harness.submit(0, None);
    assert!(sends(&actions).is_empty());
    let start = harness.now;
    let later = harness.advance(ms(17_000));
    let end = |a: &Action| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id);
    let ends: Vec<_> = later.iter().filter(|(_, a)| end(a)).collect();
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].1, Action::Refuse { id, wait: ms(2000) }, "it never ran");
    assert!(ends[0].0 <= start + ms(16_000), "late answer");
}

/// A message that cannot be sent again is answered in the step in which that is certain, not near its deadline.
#[test]
fn a_message_that_cannot_be_sent_again_is_answered_at_once() {
    let mut harness = ControllerHarness::new(Settings { max_attempts: 2, ..settings() }, &[1]);
    for outcome in [FULL, Outcome::Unreachable, Outcome::Failure, Outcome::TimedOut] {
        let (id, actions) = harness.submit(0, None);
        let endpoint = sends(&actions).first().map_or(EndpointId(1), |s| s.1);
        if sends(&actions).is_empty() {
            harness.step(vec![Event::Withdrawn(id)]);
            continue;
        }
        let first = harness.outcome(id, 0, endpoint, outcome);
        assert!(!first.contains(&Action::Fail(id)), "an attempt is left after {outcome:?}");
        let again = timed_sends(&harness.advance(ms(15_000)));
        let Some(second) = again.iter().find(|s| s.1 == id) else { panic!("not tried again: {outcome:?}") };
        let last = harness.outcome(id, 1, second.2, outcome);
        let answer =
            last.iter().any(|a| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id));
        assert!(answer, "no answer at once after {outcome:?}");
    }
}

/// A message given up early is refused with a time to resubmit it, if a resubmission is harmless and there is time.
#[test]
fn a_message_given_up_early_is_refused_where_that_is_harmless() {
    let given_up = |class, remaining, outcome| {
        let mut harness = ControllerHarness::new(Settings { max_attempts: 1, ..settings() }, &[1]);
        let (id, mut event) = harness.new_message(class, None);
        if let Event::Message(m) = &mut event {
            m.remaining = remaining;
        }
        harness.step(vec![event]);
        harness.outcome(id, 0, EndpointId(1), outcome).contains(&Action::Refuse { id, wait: ms(2000) })
    };
    assert!(given_up(0, ms(16_000), Outcome::Failure), "safe to repeat, with time left");
    assert!(given_up(2, ms(16_000), FULL), "it never ran");
    assert!(!given_up(2, ms(16_000), Outcome::Failure), "it may have taken effect");
    assert!(!given_up(0, ms(1500), Outcome::Failure), "no time to resubmit");
}

/// Unusual but valid settings and limit reports (one slot, extreme values, fleets of 1 and 300): no answer is lost.
#[test]
fn unusual_settings_and_reports_lose_no_answer() {
    for (senders, left, rate) in
        [(1, -5.0, 0.0), (300, 1e300, 1e300), (300, 0.0, -7.0), (1, f64::MIN, 1e-300)]
    {
        let mut harness = ControllerHarness::new(Settings { max_calls: 1, senders, ..settings() }, &[1, 2]);
        let mut open = std::collections::BTreeSet::new();
        let mut attempts = std::collections::BTreeMap::new();
        for n in 0..240 {
            let mut todo = Vec::new();
            if n < 40 {
                let (id, actions) = harness.submit(n % 3, None);
                open.insert(id);
                todo.extend(actions);
            }
            todo.extend(harness.advance(ms(100)).into_iter().map(|(_, action)| action));
            while let Some(action) = todo.pop() {
                match action {
                    Action::Fail(id) | Action::Refuse { id, .. } => {
                        assert!(open.remove(&id), "answered twice")
                    }
                    Action::Send { id, endpoint, .. } => {
                        let count: &mut u32 = attempts.entry(id).or_default();
                        let (attempt, elapsed) = (*count, ms(20));
                        *count += 1;
                        let outcome = if n % 4 == 0 { FULL } else { Outcome::Success };
                        let terminal = outcome == Outcome::Success && open.remove(&id);
                        let limit = Some(LimitReport { left, rate });
                        let end = AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal, limit };
                        todo.extend(harness.step(vec![Event::Outcome(end)]));
                    }
                    _ => {}
                }
            }
        }
        assert!(open.is_empty(), "{} messages without an answer, {senders} senders", open.len());
    }
}
