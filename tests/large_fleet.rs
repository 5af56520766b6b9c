//! What is harmless in one relay and harmful in all of a large fleet, each by the module alone.
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

fn told(rate: f64, left: f64) -> Option<LimitReport> {
    Some(LimitReport { left, rate })
}

/// Hands in a message and answers its call at once.
fn answered(
    harness: &mut ControllerHarness, outcome: Outcome, limit: Option<LimitReport>,
) -> (EndpointId, Vec<Action>) {
    let (id, actions) = harness.submit(0, None);
    let at = sends(&actions)[0].1;
    harness.now += ms(100);
    (at, harness.outcome_with_limit(id, 0, at, outcome, limit))
}

/// Lets time pass and answers each call after a tenth of a second; how many there were.
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

/// A tie went to the first endpoint listed, at all relays.
#[test]
fn relays_that_know_nothing_do_not_all_choose_the_same_endpoint() {
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

/// One answer that told of room let a relay go on at twice its part, growing, until the next answer came.
#[test]
fn what_one_answer_told_of_room_is_not_used_for_long() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, told(50.0, 1.0));
    let events = (0..60).map(|_| harness.new_message(0, None).1).collect();
    let out = sends(&harness.step(events));
    let sent = serve(&mut harness, out, ms(10_000), None);
    // Its part is half a call a second; two may have been saved up.
    assert!((4..=8).contains(&sent), "{sent} calls in 10 s");
}

/// A relay that sees many times the mean was held to an even part, while the others' went unused: 30 of 324 relays handed
/// back 33,000 of 45,000 messages that they had taken on.
#[test]
fn a_busy_relay_takes_of_what_others_leave_and_gives_it_up_at_a_refusal() {
    let flood = |left| {
        let mut harness = fleet(&[1]);
        answered(&mut harness, Outcome::Success, told(200.0, left));
        let events = (0..90).map(|_| harness.new_message(0, None).1).collect();
        let out = sends(&harness.step(events));
        let sent = serve(&mut harness, out, ms(4000), told(200.0, left));
        (harness, sent)
    };
    // Its part is two calls a second; a tenth of what others leave is ten.
    let (mut harness, sent) = flood(0.5);
    assert!((24..=60).contains(&sent), "{sent} calls in 4 s, half of the limit unused");
    let (_, full) = flood(0.0);
    assert!(full <= 12, "{full} calls in 4 s, nothing left");
    let waiting = sends(&harness.advance(ms(100)).into_iter().map(|(_, a)| a).collect::<Vec<_>>());
    if let Some((id, at)) = waiting.first() {
        harness.outcome_with_limit(*id, 0, *at, REFUSED, told(200.0, 0.0));
        let after = timed_sends(&harness.advance(ms(2000))).len();
        assert!(after <= 8, "{after} calls in 2 s after a refusal");
    }
}

/// A first send was free where a token takes long, at each of the relays.
#[test]
fn first_sends_wait_for_tokens_like_retries() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, told(10.0, 0.0));
    let events = (0..20).map(|_| harness.new_message(0, None).1).collect();
    let sent = sends(&harness.step(events)).len();
    assert!(sent <= 2, "{sent} calls at once, of a part of 0.1 a second");
}

/// Fails both endpoints until they count as down; what is still waiting afterwards.
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

/// Each endpoint had to be found back by a trial of its own, and each relay tries rarely.
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
    assert_eq!(harness.controller.avoided().count(), 0, "the other one is still taken for down");
}

fn released(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Release(_)))
}

/// Connections refused in an outage made a relay give up all its idle ones of that kind for a minute.
#[test]
fn an_outage_says_nothing_of_how_many_connections_an_endpoint_takes() {
    let mut harness = fleet(&[1, 2]);
    let keepalive = settings().keepalive;
    answered(&mut harness, Outcome::Success, told(500.0, 1.0));
    harness.now += keepalive + ms(100);
    for _ in 0..2 {
        answered(&mut harness, Outcome::Unreachable, None);
        harness.advance(ms(5000));
    }
    harness.now += keepalive;
    let (id, actions) = harness.submit(0, None);
    let at = sends(&actions)[0].1;
    assert!(
        !released(&harness.outcome_with_limit(id, 0, at, Outcome::Success, told(500.0, 1.0))),
        "its connection is kept"
    );
}

/// A full table shows in refusals on fresh connections that tell no limit; what waits still takes the connection.
#[test]
fn where_connections_are_short_one_is_closed_only_if_no_message_takes_it() {
    let mut harness = fleet(&[1]);
    answered(&mut harness, Outcome::Success, told(40.0, 0.0));
    answered(&mut harness, REFUSED, None);
    let refused = MessageId(harness.next);
    harness.step(vec![Event::Withdrawn(refused)]);
    harness.now += ms(6000);
    let events = (0..4).map(|_| harness.new_message(0, None).1).collect();
    let out = sends(&harness.step(events));
    assert!(!out.is_empty());
    let (last, others) = out.split_last().unwrap();
    others.iter().for_each(|(id, at)| {
        drop(harness.outcome_with_limit(*id, 0, *at, Outcome::Success, told(40.0, 0.0)))
    });
    harness.now += ms(3000);
    let next = harness.outcome_with_limit(last.0, 0, last.1, Outcome::Success, told(40.0, 0.0));
    assert!(!sends(&next).is_empty() && !released(&next), "the next message takes the connection: {next:?}");
    let waiting: Vec<_> = sends(&next);
    let end = waiting
        .iter()
        .map(|(id, at)| harness.outcome_with_limit(*id, 0, *at, Outcome::Success, told(40.0, 0.0)))
        .last();
    assert!(released(&end.unwrap()), "nothing waits any more, and it is closed");
}
