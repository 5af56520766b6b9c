//! Behaviour that is harmless in one relay and harmful in a large fleet; each case on the module alone.
#![allow(missing_docs)]
mod common;
use common::*;
use onyxstile::api::*;
use std::time::Duration;

const FLEET: u32 = 100;
const REFUSED: Outcome = Outcome::Overloaded { wait: None };

fn fleet(endpoints: &[u32]) -> ControllerHarness {
    ControllerHarness::new(Settings { senders: FLEET, ..settings() }, endpoints)
}

fn limit_report(rate: f64, left: f64) -> Option<LimitReport> {
    Some(LimitReport { left, rate })
}

/// Submits a message and answers its call at once.
fn answered(
    harness: &mut ControllerHarness, outcome: Outcome, limit: Option<LimitReport>,
) -> (EndpointId, Vec<Action>) {
    let (id, actions) = harness.submit(0, None);
    let at = sends(&actions)[0].1;
    harness.now += ms(100);
    (at, harness.outcome_with_limit(id, 0, at, outcome, limit))
}

/// Advances the clock and answers each call after a tenth of a second; returns the number of calls.
fn serve(
    harness: &mut ControllerHarness, out: Vec<Sent>, time: Duration, limit: Option<LimitReport>,
) -> usize {
    let (mut out, mut count, end) = (out, 0, harness.now + time);
    while harness.now < end {
        count += out.len();
        let next = timed_sends(&harness.advance(ms(100)));
        for (id, at) in std::mem::take(&mut out) {
            out.extend(sends(&harness.outcome_with_limit(id, 0, at, Outcome::Success, limit)));
        }
        out.extend(next.into_iter().map(|(_, id, at)| (id, at)));
    }
    count
}

/// Ties were resolved in favour of the first endpoint listed, at all relays.
#[test]
fn relays_without_health_records_do_not_all_choose_the_same_endpoint() {
    let first = |seed| {
        let s = Settings { senders: FLEET, ..settings() };
        let mut harness = ControllerHarness::new(s.clone(), &[]);
        harness.controller = onyxstile::Controller::new(s, seed, harness.now).unwrap();
        let rows = (1..=3).map(|id| entry(id, DESTINATION, 0, ListState::Live)).collect();
        harness.step(vec![Event::ListReplaced(rows)]);
        sends(&harness.submit(0, None).1)[0].1
    };
    let chosen: Vec<_> = (0..90).map(first).collect();
    for id in 1..=3 {
        let share = chosen.iter().filter(|e| e.0 == id).count();
        assert!((15..=45).contains(&share), "endpoint {id} was chosen {share} times of 90");
    }
}

/// After one answer that reported spare capacity a relay went on at twice its part, growing, until the next answer.
#[test]
fn spare_capacity_reported_by_one_answer_is_not_used_for_long() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, limit_report(50.0, 1.0));
    let events = (0..60).map(|_| harness.new_message(0, None).1).collect();
    let out = sends(&harness.step(events));
    let sent = serve(&mut harness, out, ms(10_000), None);
    // Its part is half a call per second; two tokens may have accumulated.
    assert!((4..=8).contains(&sent), "{sent} calls in 10 s");
}

/// A relay with many times the mean load was held to an even part while the others' parts were unused: 30 of 324
/// relays refused 33,000 of 45,000 accepted messages.
#[test]
fn a_busy_relay_uses_capacity_left_by_others_and_releases_it_after_a_refusal() {
    let flood = |left| {
        let mut harness = fleet(&[1]);
        answered(&mut harness, Outcome::Success, limit_report(200.0, left));
        let events = (0..90).map(|_| harness.new_message(0, None).1).collect();
        let out = sends(&harness.step(events));
        let sent = serve(&mut harness, out, ms(4000), limit_report(200.0, left));
        (harness, sent)
    };
    // Its part is two calls per second; a tenth of the unused limit is ten.
    let (mut harness, sent) = flood(0.5);
    assert!((24..=60).contains(&sent), "{sent} calls in 4 s, half of the limit unused");
    let (_, full) = flood(0.0);
    assert!(full <= 12, "{full} calls in 4 s, nothing left");
    let waiting = sends(&harness.advance(ms(100)).into_iter().map(|(_, a)| a).collect::<Vec<_>>());
    if let Some((id, at)) = waiting.first() {
        harness.outcome_with_limit(*id, 0, *at, REFUSED, limit_report(200.0, 0.0));
        let after = timed_sends(&harness.advance(ms(2000))).len();
        assert!(after <= 8, "{after} calls in 2 s after a refusal");
    }
}

/// First sends needed no token even where tokens are scarce, at each of the relays.
#[test]
fn first_sends_wait_for_tokens_like_retries() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, limit_report(10.0, 0.0));
    let events = (0..20).map(|_| harness.new_message(0, None).1).collect();
    let sent = sends(&harness.step(events)).len();
    assert!(sent <= 2, "{sent} calls at once, with a part of 0.1 per second");
}

/// Makes both endpoints fail until they count as down.
fn both_down(harness: &mut ControllerHarness) {
    for _ in 0..12 {
        let (id, actions) = harness.submit(0, None);
        for (id, at) in sends(&actions)
            .into_iter()
            .chain(timed_sends(&harness.advance(ms(600))).into_iter().map(|s| (s.1, s.2)))
        {
            harness.outcome(id, 0, at, Outcome::Unreachable);
        }
        harness.step(vec![Event::Withdrawn(id)]);
    }
}

/// Each endpoint had to be rediscovered by a trial of its own, and each relay tries rarely.
#[test]
fn one_answer_ends_the_outage_of_all_endpoints_of_a_destination() {
    let mut harness = ControllerHarness::new(Settings { senders: 3, ..settings() }, &[1, 2]);
    both_down(&mut harness);
    assert_eq!(harness.controller.avoided().count(), 2, "both are down");
    let (id, actions) = harness.submit(0, None);
    let sent = sends(&actions).into_iter().next();
    let sent = sent.or_else(|| timed_sends(&harness.advance(ms(9000))).first().map(|s| (s.1, s.2)));
    let (_, at) = sent.expect("a trial");
    harness.now += ms(50);
    harness.outcome(id, 0, at, Outcome::Success);
    assert_eq!(harness.controller.avoided().count(), 0, "the other one still counts as down");
}

fn released(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Release(_)))
}

/// Connections refused in an outage made a relay release all its idle ones of that kind for a minute.
#[test]
fn an_outage_is_no_evidence_of_a_connection_limit() {
    let mut harness = fleet(&[1, 2]);
    let keepalive = settings().keepalive;
    answered(&mut harness, Outcome::Success, limit_report(500.0, 1.0));
    harness.now += keepalive + ms(100);
    for _ in 0..2 {
        answered(&mut harness, Outcome::Unreachable, None);
        harness.advance(ms(5000));
    }
    harness.now += keepalive;
    let (id, actions) = harness.submit(0, None);
    let at = sends(&actions)[0].1;
    assert!(
        !released(&harness.outcome_with_limit(id, 0, at, Outcome::Success, limit_report(500.0, 1.0))),
        "its connection is kept"
    );
}

/// Refusals on fresh connections without a limit report show a full table; waiting messages still use the
/// connection.
#[test]
fn where_connections_are_short_one_is_closed_only_if_no_message_uses_it() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, limit_report(40.0, 0.0));
    answered(&mut harness, REFUSED, None);
    let refused = MessageId(harness.next);
    harness.step(vec![Event::Withdrawn(refused)]);
    harness.now += ms(6000);
    let events = (0..4).map(|_| harness.new_message(0, None).1).collect();
    let out = sends(&harness.step(events));
    assert!(!out.is_empty());
    let (last, others) = out.split_last().unwrap();
    others.iter().for_each(|(id, at)| {
        drop(harness.outcome_with_limit(*id, 0, *at, Outcome::Success, limit_report(40.0, 0.0)))
    });
    harness.now += ms(3000);
    let next = harness.outcome_with_limit(last.0, 0, last.1, Outcome::Success, limit_report(40.0, 0.0));
    assert!(!sends(&next).is_empty() && !released(&next), "the next message uses the connection: {next:?}");
    let waiting: Vec<_> = sends(&next);
    let end = waiting
        .iter()
        .map(|(id, at)| harness.outcome_with_limit(*id, 0, *at, Outcome::Success, limit_report(40.0, 0.0)))
        .last();
    assert!(released(&end.unwrap()), "nothing is waiting, so it is closed");
}
