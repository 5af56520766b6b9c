//! One regression test for each failure found in simulation.
#![allow(missing_docs)]
mod common;
use common::*;
use onyxstile::api::*;

fn cancels(actions: &[(std::time::Duration, Action)]) -> usize {
    actions.iter().filter(|(_, a)| matches!(a, Action::Cancel { .. })).count()
}

/// Calls that are never answered: no further sends, long before the first timeout.
#[test]
fn silence_holds_an_endpoint_before_the_time_out() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    harness.submit(2, None);
    harness.advance(ms(1100));
    let mut sent = 0;
    for _ in 0..5 {
        let (_, actions) = harness.submit(2, None);
        sent += sends(&actions).len();
    }
    assert_eq!(sent, 0, "single-attempt messages were sent to a silent endpoint");
}

/// Silent calls must not occupy every slot until their deadline.
#[test]
fn silent_calls_release_their_slots() {
    let mut s = settings();
    s.max_calls = 2;
    let mut harness = ControllerHarness::new(s, &[1]);
    let other = DestinationId(8);
    harness.step(vec![Event::ListUpdate(vec![entry(5, other, 0, ListState::Live)])]);
    harness.submit(2, None);
    harness.advance(ms(5));
    harness.submit(2, None);
    harness.advance(ms(1500));
    let (_, mut event) = harness.new_message(0, None);
    if let Event::Message(m) = &mut event {
        m.destination = other;
    }
    harness.step(vec![event]);
    let later = harness.advance(ms(3000));
    assert!(cancels(&later) >= 1 || timed_sends(&later).iter().any(|s| s.2 == EndpointId(5)));
}

/// A refusal with a stated wait: when it ends there is no burst, at any endpoint of the destination.
#[test]
fn calls_after_a_reported_wait_keep_to_the_cold_budget() {
    let mut harness = ControllerHarness::new(settings(), &[1, 2]);
    let (id, actions) = harness.submit(0, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: Some(ms(6000)) });
    let orders: Vec<Event> = (0..10).map(|_| harness.new_message(0, None).1).collect();
    assert!(sends(&harness.step(orders)).is_empty());
    let opening = timed_sends(&harness.advance(ms(8000))).len();
    assert!(opening <= 2, "{opening} calls when the wait ended, one for each endpoint at most");
    assert!(!timed_sends(&harness.advance(ms(8000))).is_empty(), "never tried after the wait");
}

/// Resets between successes are not an outage.
#[test]
fn single_resets_do_not_close_an_endpoint() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    for n in 0..12 {
        let (id, actions) = harness.submit(0, None);
        let sent = sends(&actions);
        let Some((_, endpoint)) = sent.iter().find(|s| s.0 == id) else { panic!("held back at {n}") };
        let outcome = if n % 4 == 3 { Outcome::Broken } else { Outcome::Success };
        harness.outcome(id, 0, *endpoint, outcome);
    }
}

/// Where some calls get lost and others are answered, a message with a single attempt is not sent.
#[test]
fn single_attempt_messages_avoid_an_endpoint_that_loses_calls() {
    let mut harness = ControllerHarness::new(settings(), &[2]);
    for _ in 0..3 {
        let (lost, actions) = harness.submit(0, None);
        let endpoint = sends(&actions)[0].1;
        harness.now += ms(50);
        let (good, actions) = harness.submit(0, None);
        harness.now += ms(50);
        harness.outcome(good, 0, sends(&actions)[0].1, Outcome::Success);
        harness.outcome(lost, 0, endpoint, Outcome::TimedOut);
        harness.step(vec![Event::Withdrawn(lost)]);
    }
    let (_, actions) = harness.submit(2, None);
    assert!(sends(&actions).is_empty(), "sent where half of the calls are lost");
    let (_, actions) = harness.submit(0, None);
    assert_eq!(sends(&actions).len(), 1, "other messages are still sent");
}

/// Sixty senders receive the same wait: at its end they must not send in sync, and together stay within the budget
/// of the cold destination, though the budget of each is below one call per overload span. An endpoint added during
/// the wait is as cold as the others.
#[test]
fn a_fleet_stays_within_the_allowance_after_a_reported_wait() {
    let mut s = settings();
    s.senders = 60;
    s.rate_source = RateSource::Nominal;
    let rate = 6.0;
    let listed = |id| EndpointInfo { rate, ..entry(id, DESTINATION, 0, ListState::Live) };
    let mut calls = Vec::new();
    for seed in 0..u64::from(s.senders) {
        let mut harness = ControllerHarness::new(s.clone(), &[]);
        harness.controller = onyxstile::Controller::new(s.clone(), seed, harness.now).unwrap();
        harness.step(vec![Event::ListReplaced(vec![listed(1)])]);
        let (id, actions) = harness.submit(0, None);
        harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: Some(ms(6000)) });
        harness.advance(ms(3000));
        harness.step(vec![Event::ListUpdate(vec![listed(2)])]);
        harness.submit(0, None);
        assert!(timed_sends(&harness.advance(ms(2990))).is_empty(), "sent during the wait");
        calls.extend(timed_sends(&harness.advance(ms(3000))).into_iter().map(|s| s.0));
    }
    let allowance = s.overload_factor * s.start_capacity * rate * s.overload_span.as_secs_f64();
    assert!(calls.len() as f64 <= allowance, "{} calls in a span, {allowance} allowed", calls.len());
}

/// Sixty senders held back by refusals still try a message before its deadline, and not all at once.
#[test]
fn a_refused_single_message_is_retried_before_its_deadline_but_not_at_once() {
    let mut s = settings();
    s.senders = 60;
    s.rate_source = RateSource::Nominal;
    let mut harness = ControllerHarness::new(s, &[]);
    harness.step(vec![Event::ListReplaced(vec![EndpointInfo {
        rate: 12.0,
        ..entry(1, DESTINATION, 0, ListState::Live)
    }])]);
    let (id, actions) = harness.submit(0, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: None });
    assert!(timed_sends(&harness.advance(ms(1500))).is_empty(), "an immediate retry adds to the overload");
    assert!(!timed_sends(&harness.advance(ms(14_000))).is_empty(), "never tried again");
}

/// Refused connections between successful calls mean a full connection table: idle connections are released.
#[test]
fn idle_connections_are_released_where_connections_are_refused() {
    let released = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Release(_)));
    let mut harness = ControllerHarness::new(settings(), &[1]);
    harness.advance(ms(20));
    let (id, actions) = harness.submit(0, None);
    let end = harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    assert!(released(&end), "a kind without a record releases idle connections");
    harness.advance(ms(11_000));
    let (id, actions) = harness.submit(0, None);
    let end = harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    assert!(!released(&end), "kept where none was refused for an idle time");
    let (id, actions) = harness.submit(0, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Unreachable);
    harness.step(vec![Event::Withdrawn(id)]);
    harness.advance(ms(1500));
    let (id, actions) = harness.submit(0, None);
    let end = harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    assert!(released(&end), "released after a refused connection");
}

/// Where answers report limits, a refusal on a fresh connection without a report means a full connection table. In
/// a large fleet the endpoints' tables were full of idle connections.
#[test]
fn idle_connections_are_released_after_a_refusal_without_a_limit_report() {
    for (reports, with_report, expected) in [(true, false, true), (true, true, false), (false, false, false)]
    {
        let mut harness = ControllerHarness::new(settings(), &[1]);
        let report = Some(LimitReport { left: 0.5, rate: 20.0 });
        let call = |harness: &mut ControllerHarness, outcome, limit: Option<LimitReport>| {
            harness.advance(ms(11_000));
            let (id, actions) = harness.submit(0, None);
            let actions = harness.outcome_with_limit(id, 0, sends(&actions)[0].1, outcome, limit);
            harness.step(vec![Event::Withdrawn(id)]);
            actions.iter().any(|a| matches!(a, Action::Release(_)))
        };
        call(&mut harness, Outcome::Success, report.filter(|_| reports));
        assert!(!call(&mut harness, Outcome::Success, report.filter(|_| reports)), "kept at first");
        call(&mut harness, Outcome::Overloaded { wait: None }, report.filter(|_| with_report));
        let released = call(&mut harness, Outcome::Success, report.filter(|_| reports));
        assert_eq!(released, expected, "reports {reports}, this refusal {with_report}");
    }
}

/// A held message is checked again before its deadline, however short the remaining time is.
#[test]
fn a_held_message_is_answered_in_its_time() {
    let mut harness = ControllerHarness::new(settings(), &[]);
    let (id, actions) = harness.submit(0, None);
    let deadline = harness.now + ms(16_000);
    let mut wake = actions;
    loop {
        let after = wake.iter().find_map(|a| match a {
            Action::Wake { after, .. } => Some(*after),
            _ => None,
        });
        harness.now += after.expect("a held message needs a timer");
        assert!(harness.now <= deadline, "wake-up too late");
        wake = harness.step(vec![Event::Wake(0)]);
        if wake.contains(&Action::Refuse { id, wait: ms(2000) }) {
            break;
        }
    }
}

/// One sender among many sees a hang as a single refusal or timeout. An endpoint added then is as cold as the
/// others, also if the list has dropped the one that failed.
#[test]
fn an_endpoint_added_after_the_last_call_of_its_destination_failed_is_cold() {
    for outcome in [Outcome::Overloaded { wait: None }, Outcome::TimedOut] {
        for gone in [false, true] {
            let mut s = settings();
            s.senders = 60;
            let mut harness = ControllerHarness::new(s, &[1]);
            let (id, actions) = harness.submit(0, None);
            harness.outcome(id, 0, sends(&actions)[0].1, outcome);
            let state = if gone { ListState::Gone } else { ListState::Live };
            let lines = vec![entry(1, DESTINATION, 0, state), entry(2, DESTINATION, 0, ListState::Live)];
            harness.step(vec![Event::ListUpdate(lines)]);
            let orders: Vec<Event> = (0..10).map(|_| harness.new_message(0, None).1).collect();
            let at_once = sends(&harness.step(orders)).iter().filter(|s| s.1 == EndpointId(2)).count();
            assert_eq!(at_once, 0, "a burst to a new endpoint after {outcome:?}, old one gone: {gone}");
        }
    }
}

/// Connections dropped silently while idle: an overdue call on an idle connection is evidence on the connection,
/// not on the endpoint; from then on idle connections are closed before use, for every destination.
#[test]
fn an_overdue_call_on_an_idle_connection_marks_connections_as_suspected_not_the_endpoint() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let other = DestinationId(8);
    harness.step(vec![Event::ListUpdate(vec![entry(5, other, 0, ListState::Live)])]);
    let to = |harness: &mut ControllerHarness, destination| {
        let (id, mut event) = harness.new_message(0, None);
        if let Event::Message(m) = &mut event {
            m.destination = destination;
        }
        (id, harness.step(vec![event]))
    };
    // Kinds without a record release idle connections at first; after that one per endpoint is kept.
    for wait in [ms(11_000), ms(4000)] {
        for destination in [DESTINATION, other] {
            let (id, actions) = to(&mut harness, destination);
            harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
        }
        harness.advance(wait);
    }
    let (first, actions) = to(&mut harness, DESTINATION);
    assert!(!actions.contains(&Action::Release(EndpointId(1))), "not suspected yet");
    harness.advance(ms(1100));
    let (second, actions) = to(&mut harness, DESTINATION);
    assert_eq!(sends(&actions), [(second, EndpointId(1))], "held as if the endpoint were silent");
    let (_, actions) = to(&mut harness, other);
    let at = actions.iter().position(|a| *a == Action::Release(EndpointId(5)));
    let sent = actions.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(at.is_some() && at < sent, "a suspected idle connection is used: {actions:?}");
    // A call on a fresh connection is answered: the suspicion was right, and the lost call is cancelled.
    let actions = harness.outcome(second, 0, EndpointId(1), Outcome::Success);
    assert!(actions.contains(&Action::Cancel { id: first, attempt: 0 }), "the lost call holds its slot");
    harness.outcome(first, 0, EndpointId(1), Outcome::Withdrawn);
    // Without a second connection to compare with, silence is evidence on the endpoint.
    let (_, actions) = to(&mut harness, DESTINATION);
    assert_eq!(sends(&actions).len(), 1);
    harness.advance(ms(1500));
    assert!(sends(&to(&mut harness, DESTINATION).1).is_empty(), "a silent endpoint is held");
}

/// A refused message is sent again at its sender's part of the limit and never at once, however few calls are
/// refused elsewhere: one call per latency target from each of many senders exceeds most limits.
#[test]
fn a_refused_message_is_retried_at_the_sender_s_part_of_the_limit_whatever_is_refused_elsewhere() {
    let mut soon = Vec::new();
    for refused in [0, 60] {
        let mut s = settings();
        s.senders = 60;
        s.rate_source = RateSource::Nominal;
        let mut harness = ControllerHarness::new(s, &[]);
        let listed =
            |id, destination| EndpointInfo { rate: 12.0, ..entry(id, destination, 0, ListState::Live) };
        // Outcomes at other destinations, as evidence on the general load.
        let other = |n: u32| DestinationId(100 + u64::from(n));
        let mut list: Vec<_> = (0..120).map(|n| listed(100 + n, other(n))).collect();
        list.push(listed(1, DESTINATION));
        harness.step(vec![Event::ListReplaced(list)]);
        for n in 0..120 {
            let (id, mut event) = harness.new_message(0, None);
            if let Event::Message(m) = &mut event {
                m.destination = other(n);
            }
            harness.step(vec![event]);
            let outcome = if n < refused { Outcome::Overloaded { wait: None } } else { Outcome::Success };
            harness.outcome(id, 0, EndpointId(100 + n), outcome);
            harness.step(vec![Event::Withdrawn(id)]);
        }
        let (id, actions) = harness.submit(0, None);
        harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: None });
        assert!(timed_sends(&harness.advance(ms(450))).is_empty(), "an immediate retry adds to the overload");
        soon.push(timed_sends(&harness.advance(ms(4000))).len());
    }
    assert_eq!(soon, [0, 0]);
}

/// Where many first sends are refused everywhere, a single refusal delays the next first send: calls above a limit
/// that refused calls count against keep it exhausted.
#[test]
fn where_many_are_refused_one_refusal_delays_the_next_first_send() {
    let mut s = settings();
    s.senders = 60;
    s.rate_source = RateSource::Nominal;
    let mut harness = ControllerHarness::new(s, &[]);
    harness.step(vec![Event::ListReplaced(vec![EndpointInfo {
        rate: 12.0,
        ..entry(1, DESTINATION, 0, ListState::Live)
    }])]);
    let (id, actions) = harness.submit(0, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: None });
    let (_, actions) = harness.submit(0, None);
    assert!(sends(&actions).is_empty(), "without information on the load, as if many were refused");
}

/// Answers lost at every endpoint fill all slots with calls that never end: those far above the usual latency are
/// cancelled, long before half of the latency target has passed.
#[test]
fn where_answers_get_lost_slots_are_freed_for_waiting_messages() {
    let mut s = settings();
    s.max_calls = 4;
    let mut harness = ControllerHarness::new(s, &[1, 2]);
    for _ in 0..30 {
        let (id, actions) = harness.submit(2, None);
        harness.advance(ms(50));
        harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    }
    let lost: Vec<_> = (0..4).map(|_| harness.submit(2, None).0).collect();
    harness.submit(2, None);
    let cancelled = cancels(&harness.advance(ms(700)));
    assert!(cancelled >= 1, "{cancelled} of {} given up", lost.len());
}

/// A repeatable message whose answer is lost is tried again within its latency target.
#[test]
fn a_repeatable_call_times_out_within_the_latency_target() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (_, actions) = harness.submit(0, None);
    let limit =
        |a: &Action| matches!(a, Action::Send { give_up_at, .. } if *give_up_at <= harness.now + ms(1200));
    assert!(actions.iter().any(limit), "{actions:?}");
}

/// Endpoints that come and go leave no state behind.
#[test]
fn the_state_of_an_endpoint_long_gone_is_removed() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(2, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    for new in 2..6 {
        harness.step(vec![Event::ListUpdate(vec![
            entry(new - 1, DESTINATION, 0, ListState::Gone),
            entry(new, DESTINATION, 0, ListState::Live),
        ])]);
        harness.advance(ms(8000));
    }
    let state = format!("{:?}", harness.controller);
    assert!(!state.contains("EndpointId(1)") && state.contains("EndpointId(5)"), "{state}");
    assert_eq!(sends(&harness.submit(2, None).1)[0].1, EndpointId(5));
}

/// Calls cancelled early for their slots still reveal a hang: no further single-attempt message goes there.
#[test]
fn calls_cancelled_for_their_slots_mark_a_silent_endpoint_as_suspected() {
    let mut s = settings();
    (s.max_calls, s.probes) = (4, true);
    let mut harness = ControllerHarness::new(s, &[1]);
    for _ in 0..30 {
        let (id, actions) = harness.submit(2, None);
        harness.advance(ms(50));
        harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    }
    let lost: Vec<_> = (0..8).map(|_| harness.submit(2, None).0).collect();
    let mut later = Vec::new();
    for _ in 0..14 {
        let passed = harness.advance(ms(50));
        for (at, a) in passed {
            if let Action::Cancel { id, attempt } = &a {
                let then = harness.outcome(*id, *attempt, EndpointId(1), Outcome::Withdrawn);
                later.extend(then.into_iter().map(|a| (at, a)));
            }
            later.push((at, a));
        }
    }
    assert!(cancels(&later) >= 1, "none of {} given up", lost.len());
    assert!(timed_sends(&later).is_empty(), "{later:?}");
}

/// A hung endpoint may answer probes: a probe admits one message as a trial, not all that wait.
#[test]
fn an_answered_probe_admits_one_message() {
    let mut s = settings();
    s.probes = true;
    let mut harness = ControllerHarness::new(s, &[1]);
    harness.submit(0, None);
    harness.advance(ms(1100));
    for _ in 0..6 {
        harness.submit(2, None);
    }
    let probed = |harness: &mut ControllerHarness| {
        let (endpoint, outcome) = (EndpointId(1), Outcome::Success);
        sends(&harness.step(vec![Event::Probed { endpoint, outcome, limit: None }]))
    };
    let first = probed(&mut harness);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(timed_sends(&harness.advance(ms(500))).is_empty());
    // Only its answer shows that the endpoint serves again.
    assert_eq!(sends(&harness.outcome(first[0].0, 0, EndpointId(1), Outcome::Success)).len(), 5);
}

/// Connections that were closed before the call are no evidence on the endpoint.
#[test]
fn breaks_at_once_on_idle_connections_do_not_close_an_endpoint() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(2, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Success);
    // Before that, idle connections of kinds without a record are released.
    harness.advance(ms(11_000));
    for _ in 0..6 {
        for outcome in [Outcome::Success, Outcome::Broken] {
            let (id, actions) = harness.submit(2, None);
            let endpoint = sends(&actions).first().expect("held").1;
            let (elapsed, terminal) = (ms(1), outcome == Outcome::Success);
            let end = AttemptEnd { id, attempt: 0, endpoint, outcome, elapsed, terminal, limit: None };
            harness.step(vec![Event::Outcome(end)]);
            harness.advance(ms(20));
        }
    }
}

/// An endpoint answers again after an outage: a single-attempt message must not wait until its deadline because of
/// earlier failures.
#[test]
fn a_single_attempt_message_is_sent_to_a_recovered_endpoint() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(0, None);
    let mut sent = sends(&actions);
    for attempt in 0..4 {
        harness.outcome(id, attempt, sent[0].1, Outcome::Unreachable);
        sent.clear();
        while sent.is_empty() {
            sent = timed_sends(&harness.advance(ms(100))).iter().map(|s| (s.1, s.2)).collect();
        }
    }
    // The endpoint counts as down: its next trial is answered.
    harness.outcome(id, 4, sent[0].1, Outcome::Success);
    let (id, actions) = harness.submit(2, None);
    let later = harness.advance(ms(4000));
    let gone = sends(&actions).iter().any(|s| s.0 == id) || timed_sends(&later).iter().any(|s| s.1 == id);
    assert!(gone, "held because of failures before the endpoint recovered");
}

/// An independent route that has reported a wait, leaves the list and returns must still observe the wait, however
/// short the cold time is. The wait was dropped with the other state of endpoints that are gone.
#[test]
fn a_wait_persists_while_its_route_is_absent_from_the_list() {
    let mut harness =
        ControllerHarness::new(Settings { cold_time: ms(0), overload_span: ms(100), ..settings() }, &[]);
    let route = |state| vec![Event::ListUpdate(vec![entry(1, DESTINATION, 1, state)])];
    harness.step(route(ListState::Live));
    let (id, actions) = harness.submit(0, None);
    harness.outcome(id, 0, sends(&actions)[0].1, Outcome::Overloaded { wait: Some(ms(3000)) });
    harness.step(route(ListState::Gone));
    harness.advance(ms(500));
    // Any list update removes endpoints that are long gone.
    harness.step(vec![Event::ListUpdate(vec![])]);
    let back =
        sends(&harness.step(route(ListState::Live))).len() + timed_sends(&harness.advance(ms(2400))).len();
    assert_eq!(back, 0, "sent within a wait");
    assert!(!timed_sends(&harness.advance(ms(6000))).is_empty(), "never sent again");
}

/// A destination that receives only once-only messages: after some failures nothing else shows whether it serves
/// again. They were held until shortly before their deadline, and so failed without an attempt.
#[test]
fn once_only_messages_detect_the_recovery_of_a_destination() {
    for (probes, outcome) in [
        (true, Outcome::Failure),
        (true, Outcome::Unreachable),
        (false, Outcome::Failure),
        (false, Outcome::Unreachable),
    ] {
        let mut harness = ControllerHarness::new(Settings { probes, ..settings() }, &[1]);
        for _ in 0..2 {
            let (id, actions) = harness.submit(2, None);
            harness.outcome(id, 0, sends(&actions)[0].1, outcome);
            harness.step(vec![Event::Withdrawn(id)]);
        }
        let (id, mut todo) = harness.submit(2, None);
        let start = harness.now;
        while !sends(&todo).iter().any(|s| s.0 == id) {
            assert!(
                harness.now < start + ms(7000),
                "held for {:?} (probes: {probes}, {outcome:?})",
                harness.now - start
            );
            let probed = todo.iter().any(|a| matches!(a, Action::Probe(_)));
            harness.now += ms(5);
            let success = Event::Probed { endpoint: EndpointId(1), outcome: Outcome::Success, limit: None };
            todo = harness.step(if probed { vec![success] } else { vec![Event::Wake(0)] });
        }
    }
}
