//! Tests of each of the six rules, on the module alone.
#![allow(missing_docs)]
mod common;
use common::*;
use onyxstile::api::*;
use std::time::Duration;

const FULL: Outcome = Outcome::Overloaded { wait: None };

#[test]
fn nothing_is_sent_for_a_withdrawn_message() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(0, None);
    let (_, endpoint) = sends(&actions)[0];
    harness.step(vec![Event::Withdrawn(id)]);
    let actions = harness.outcome(id, 0, endpoint, Outcome::Failure);
    assert!(!actions.contains(&Action::Fail(id)));
    assert!(sends(&harness.advance(ms(16_000)).into_iter().map(|a| a.1).collect::<Vec<_>>()).is_empty());
}

#[test]
fn a_single_attempt_message_fails_if_it_may_have_run_and_is_retried_if_it_did_not() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(2, None);
    let actions = harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Broken);
    assert!(actions.contains(&Action::Fail(id)));
    let (id, actions) = harness.submit(2, None);
    let actions = harness.outcome(id, 0, sends(&actions)[0].1, FULL);
    assert!(!actions.contains(&Action::Fail(id)));
    assert!(timed_sends(&harness.advance(ms(3000))).iter().any(|s| s.1 == id));
}

#[test]
fn a_keyed_message_is_not_resent_outside_its_window() {
    // Its first timer fires just after the window, or well within it. The case of a connection that is established
    // only after the window is checked where the call is written (net::upstream::tests::late).
    let mut again = Vec::new();
    for window in [ms(400), ms(500), ms(505), ms(1000)] {
        let mut s = settings();
        assert!(window <= s.connect_timeout);
        s.classes[1].effect = Effect::Keyed { group: RepeatGroup::All, window };
        let mut harness = ControllerHarness::new(s, &[1]);
        let (id, actions) = harness.submit(1, None);
        let (sent, at) = (harness.now, sends(&actions)[0].1);
        harness.now += ms(20);
        harness.outcome(id, 0, at, Outcome::Failure);
        let later = harness.advance(ms(2000));
        let sends = timed_sends(&later);
        assert!(sends.iter().all(|s| s.0 + ms(5) < sent + window), "{sends:?}");
        assert!(sends.len() == 1 || later.iter().any(|(_, a)| *a == Action::Fail(id)));
        again.push(sends.len());
    }
    assert_eq!(again, [0, 0, 0, 1]);
}

#[test]
fn a_keyed_message_stays_in_its_zone() {
    let mut s = settings();
    s.classes[1].effect = Effect::Keyed { group: RepeatGroup::Zone, window: ms(15_000) };
    let mut harness = ControllerHarness::new(s, &[1, 2]);
    let (id, actions) = harness.submit(1, None);
    let first = sends(&actions)[0].1;
    harness.outcome(id, 0, first, Outcome::Failure);
    let again = timed_sends(&harness.advance(ms(3000)));
    assert_eq!(again[0].2, first);
}

#[test]
fn a_draining_or_missing_endpoint_receives_no_more_calls() {
    let mut harness = ControllerHarness::new(settings(), &[1, 2]);
    harness.step(vec![Event::ListUpdate(vec![entry(2, DESTINATION, 0, ListState::Draining)])]);
    for _ in 0..6 {
        let (_, actions) = harness.submit(0, None);
        assert!(sends(&actions).iter().all(|s| s.1 == EndpointId(1)));
    }
    harness.step(vec![Event::ListReplaced(vec![])]);
    let (_, actions) = harness.submit(0, None);
    assert!(sends(&actions).is_empty());
    // Held messages are sent as soon as the destination has an endpoint again.
    let actions = harness.step(vec![Event::ListReplaced(vec![entry(3, DESTINATION, 0, ListState::Live)])]);
    assert_eq!(sends(&actions)[0].1, EndpointId(3));
}

#[test]
fn a_returning_endpoint_is_tried_singly_and_then_ramped() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    for _ in 0..2 {
        let (id, actions) = harness.submit(0, None);
        harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Unreachable);
    }
    let orders: Vec<Event> = (0..20).map(|_| harness.new_message(0, None).1).collect();
    assert!(sends(&harness.step(orders)).is_empty(), "sent to an endpoint that is down");
    // With no known rate a destination is assumed to serve one call per first timer; two senders share it.
    let trial = timed_sends(&harness.advance(ms(5000)));
    assert!((1..=2).contains(&trial.len()), "trials are single calls with a pause: {trial:?}");
    let trial = trial[trial.len() - 1..].to_vec();
    // The oldest message is the trial; this is its second attempt.
    let actions = harness.outcome(trial[0].1, 1, trial[0].2, Outcome::Success);
    let at_once = sends(&actions).len();
    let within = timed_sends(&harness.advance(ms(10_000))).len();
    assert_eq!(at_once, 0, "no burst after the first success");
    assert!((2..=8).contains(&within), "{within} calls to a cold endpoint in ten seconds");
}

#[test]
fn messages_of_one_key_are_sent_in_order_with_a_cooldown() {
    let mut s = settings();
    s.key_cooldown = ms(400);
    let mut harness = ControllerHarness::new(s, &[1]);
    let (first, actions) = harness.submit(1, Some(9));
    let endpoint = sends(&actions)[0].1;
    let (second, actions) = harness.submit(1, Some(9));
    assert!(sends(&actions).is_empty());
    // The first is withdrawn, but its attempt is still in flight.
    assert!(sends(&harness.step(vec![Event::Withdrawn(first)])).is_empty());
    assert!(sends(&harness.outcome(first, 0, endpoint, Outcome::Broken)).is_empty());
    let start = harness.now;
    let later = timed_sends(&harness.advance(ms(1000)));
    assert_eq!(later[0].1, second);
    assert!(later[0].0 >= start + ms(400));
}

#[test]
fn a_reported_wait_applies_to_every_endpoint_of_the_destination() {
    let mut harness = ControllerHarness::new(settings(), &[1, 2]);
    let (id, actions) = harness.submit(0, None);
    let wait = Some(ms(1500));
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait });
    let start = harness.now;
    assert!(sends(&harness.submit(2, None).1).is_empty());
    let later = timed_sends(&harness.advance(ms(4000)));
    assert!(!later.is_empty() && later.iter().all(|s| s.0 >= start + ms(1500)));
}

#[test]
fn a_wait_reported_to_one_message_of_a_shared_call_applies_at_once() {
    let mut harness = ControllerHarness::new(settings(), &[]);
    harness.step(vec![Event::ListReplaced(vec![entry(1, DESTINATION, 1, ListState::Live)])]);
    let orders: Vec<Event> = (0..3).map(|_| harness.new_message(0, None).1).collect();
    let sent = sends(&harness.step(orders));
    assert_eq!(sent.len(), 3);
    harness.outcome(sent[0].0, 0, sent[0].1, Outcome::Overloaded { wait: Some(ms(800)) });
    assert!(sends(&harness.submit(0, None).1).is_empty());
    assert!(timed_sends(&harness.advance(ms(790))).is_empty());
}

#[test]
fn an_independent_route_waits_alone() {
    let mut harness = ControllerHarness::new(settings(), &[]);
    let routes = vec![entry(1, DESTINATION, 1, ListState::Live), entry(2, DESTINATION, 1, ListState::Live)];
    harness.step(vec![Event::ListReplaced(routes)]);
    let (id, actions) = harness.submit(0, None);
    let first = sends(&actions)[0].1;
    harness.outcome(id, 0, first, Outcome::Overloaded { wait: Some(ms(800)) });
    let (next, _) = harness.submit(0, None);
    // Under a limit it waits briefly to share a call, but not until the other route's wait ends.
    let later = timed_sends(&harness.advance(ms(400)));
    assert!(later.iter().any(|s| s.1 == next) && later.iter().all(|s| s.2 != first), "{later:?}");
}

/// After ten failed list requests an idle sender still requests the list again by itself, never in a burst, and
/// never after so long a pause that it counts as having received a drain that it has no record of.
#[test]
fn an_unavailable_list_is_requested_again_in_time() {
    let mut harness = ControllerHarness::new(Settings { ask_for_list: true, ..settings() }, &[1]);
    harness.advance(ms(20));
    let mut asked = Vec::new();
    for _ in 0..10 {
        let actions = harness.step(vec![Event::ListUnavailable]);
        let mut wake: Vec<Action> = actions;
        let from = harness.now;
        loop {
            if wake.contains(&Action::Subscribe) {
                break;
            }
            let after = wake.iter().find_map(|a| match a {
                Action::Wake { after, .. } => Some(*after),
                _ => None,
            });
            harness.now += after.expect("an idle sender sets a timer to request the list again");
            wake = harness.step(vec![Event::Wake(0)]);
        }
        asked.push(harness.now - from);
    }
    assert!(asked.iter().all(|p| *p < ms(10_000)), "{asked:?}");
    assert!(asked[0] >= ms(100) && asked[5] >= ms(2000), "requested again in a burst: {asked:?}");
    // A restart with a stale list: the answer replaces it, and no message goes to an endpoint that it does not
    // contain.
    let actions = harness.step(vec![Event::ListReplaced(vec![entry(2, DESTINATION, 0, ListState::Live)])]);
    assert!(!actions.contains(&Action::Subscribe));
    let (_, actions) = harness.submit(0, None);
    assert_eq!(sends(&actions)[0].1, EndpointId(2));
}

/// A relay restarts with a nearly full journal while clients go on submitting: new messages are refused before
/// accepted ones that were not tried yet. Otherwise over half of the accepted ones were given up without a call,
/// which fails a day with restarts.
#[test]
fn untried_messages_from_before_a_restart_are_tried_when_capacity_runs_short() {
    let mut harness = ControllerHarness::new(settings(), &[1, 2]);
    let found: Vec<_> = (0..90)
        .map(|n| {
            let (id, event) = harness.new_message(if n % 2 == 0 { 0 } else { 2 }, None);
            let Event::Message(m) = event else { unreachable!() };
            let past = Past { held: true, ..Past::default() };
            (id, Event::Message(NewMessage { past, remaining: ms(12_000), ..m }))
        })
        .collect();
    let ids: Vec<_> = found.iter().map(|f| f.0).collect();
    let mut seen = harness.step(found.into_iter().map(|f| f.1).collect());
    // For 2 s, a hundred messages per second arrive, of higher utility as they have more time left; calls take 300
    // ms.
    let mut out: Vec<(Duration, MessageId, EndpointId)> = Vec::new();
    let (mut tried, mut given_up, mut rejected) = (Vec::new(), 0, 0);
    for n in 0..2300 {
        harness.now += ms(5);
        let mut events = vec![Event::Wake(0)];
        if n < 400 && n % 2 == 0 {
            events.push(harness.new_message(0, None).1);
        }
        let (ended, left): (Vec<_>, Vec<_>) = out.into_iter().partition(|o| o.0 + ms(300) <= harness.now);
        out = left;
        events.extend(ended.into_iter().map(|(_, id, endpoint)| {
            let (outcome, elapsed) = (Outcome::Success, ms(300));
            let (attempt, terminal, limit) = (0, true, None);
            Event::Outcome(AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal, limit })
        }));
        seen.extend(harness.step(events));
        for action in seen.drain(..) {
            match action {
                Action::Send { id, endpoint, .. } => {
                    out.push((harness.now, id, endpoint));
                    tried.push(id);
                }
                Action::Refuse { id, .. } | Action::Fail(id) if ids.contains(&id) => given_up += 1,
                Action::Refuse { .. } => rejected += 1,
                _ => {}
            }
        }
    }
    let of_them = ids.iter().filter(|id| tried.contains(id)).count();
    assert!(rejected > 50, "capacity did not run short: {rejected} refused");
    assert_eq!(given_up, 0, "given up without a call");
    assert!(of_them >= 80, "{of_them} of 90 were tried");
}
