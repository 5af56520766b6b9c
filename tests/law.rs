//! The retry policy as observed at a sender.
#![allow(missing_docs)]
mod common;
use common::*;
use onyxstile::api::*;

/// A message that fails each time, alone at its destination: p is 1, so each timer leads to a resend.
#[test]
fn timers_start_at_half_a_second_and_double_up_to_the_latency_target() {
    let mut harness = ControllerHarness::new(settings(), &[1]);
    let (id, actions) = harness.submit(0, None);
    let endpoint = sends(&actions)[0].1;
    let mut pauses = Vec::new();
    for attempt in 0..4 {
        harness.outcome(id, attempt, endpoint, Outcome::Withdrawn);
        let start = harness.now;
        let again = loop {
            let sent = timed_sends(&harness.advance(ms(5)));
            if let Some(s) = sent.first() {
                break s.0;
            }
            assert!(harness.now < start + ms(10_000), "never sent again");
        };
        pauses.push((again - start).as_millis());
    }
    for (pause, expected) in pauses.iter().zip([500, 1000, 2000, 2000]) {
        assert!((expected..expected + 30).contains(pause), "{pauses:?}");
    }
}

/// With many messages pending at a destination most timers lead to no resend.
#[test]
fn many_pending_messages_hold_resends_back() {
    let mut s = settings();
    s.max_calls = 200;
    s.max_held = 1000;
    let share = |pending: usize| {
        let mut harness = ControllerHarness::new(s.clone(), &[1]);
        harness.advance(ms(30_000)); // lets the first-send rate decay from its start value
        let orders: Vec<Event> = (0..pending).map(|_| harness.new_message(0, None).1).collect();
        let sent = sends(&harness.step(orders));
        assert_eq!(sent.len(), pending);
        // A third of them is cancelled, which is no evidence on the endpoint: it stays healthy.
        let mut failed = 0;
        for (n, (id, endpoint)) in sent.iter().enumerate() {
            if n % 3 == 0 {
                failed += 1;
                harness.outcome(*id, 0, *endpoint, Outcome::Withdrawn);
            }
        }
        let passed = harness.advance(ms(520));
        // Counts the policy's own results: slots and pacing also delay sends, and would do so without the policy.
        let results = |resend: bool| {
            let is = |a: &&(std::time::Duration, Action)| matches!(a.1, Action::Note(Note::Timer(_, _, r)) if r == resend);
            passed.iter().filter(is).count() as f64
        };
        assert_eq!(results(true) + results(false), f64::from(failed), "each timer fires once");
        results(true) / f64::from(failed)
    };
    assert!(share(3) > 0.99, "a few messages are resent at once");
    assert!(share(180) < 0.4, "resends are not held back at {}", share(180));
}
