//! Admission of new programs while endpoints are busy.

mod support;

use std::time::Duration;

use onyxstile_system::admission::{Admission, AdmissionRequest, admitted_fraction};
use onyxstile_system::balance::Endpoints;
use onyxstile_system::load::Load;
use support::endpoints::{at, prompt, relay};

/// Typical time of a turn at an idle endpoint, in ms.
const TURN_MS: f64 = 180.0;

fn request(name: &str, priority: u8) -> AdmissionRequest<'_> {
    AdmissionRequest { name, priority, remaining_ms: Some(4000.0) }
}

/// Number of admitted programs out of 1,000.
fn admitted_count(admission: &mut Admission, now_ms: u64, priority: u8) -> usize {
    let names: Vec<String> = (0..1000).map(|number| format!("program-{number}")).collect();
    names
        .iter()
        .filter(|name| admission.check(at(now_ms), request(name, priority), TURN_MS).is_none())
        .count()
}

/// Admission state after streams have taken `slowdown` times their idle time for `seconds` seconds.
fn slowed_admission(slowdown: f64, seconds: u64) -> Admission {
    let mut admission = Admission::default();
    for step in 0..seconds * 10 {
        admission.note(at(step * 100), 400.0 * slowdown, 400.0);
        admission.check(at(step * 100), request("program", 0), TURN_MS);
    }
    admission
}

#[test]
fn all_programs_are_admitted_near_the_idle_time() {
    for priority in 0..4 {
        assert_eq!(
            admitted_count(&mut Admission::default(), 0, priority),
            1000,
            "nothing has been measured yet"
        );
        assert_eq!(admitted_count(&mut slowed_admission(1.8, 20), 20_000, priority), 1000);
    }
}

#[test]
fn less_urgent_classes_have_smaller_nonzero_fractions() {
    for percent in 1..=100 {
        let parts: Vec<f64> =
            (0..4).map(|priority| admitted_fraction(f64::from(percent) / 100.0, priority)).collect();
        assert!(parts.windows(2).all(|pair| pair[0] >= pair[1]), "{parts:?}");
        assert!(parts.iter().all(|part| *part > 0.0 && *part <= 1.0));
    }
    let mut overloaded = slowed_admission(8.0, 30);
    assert!(
        (10..100).contains(&admitted_count(&mut overloaded, 30_000, 0)),
        "a few programs have to be admitted so that recovery is noticed"
    );
}

#[test]
fn all_relays_and_attempts_decide_alike() {
    let (mut one, mut other) = (slowed_admission(4.0, 2), slowed_admission(4.0, 2));
    let mut refused = 0;
    for number in 0..200 {
        let name = format!("program-{number}");
        let first = one.check(at(2000), request(&name, 0), TURN_MS);
        assert_eq!(first, other.check(at(2000), request(&name, 0), TURN_MS));
        refused += usize::from(first.is_some());
    }
    assert!((20..180).contains(&refused), "{refused} of 200 were refused");
}

#[test]
fn admitted_fraction_follows_the_load_in_both_directions() {
    let mut admission = slowed_admission(5.0, 4);
    let under_load = admitted_count(&mut admission, 4000, 1);
    assert!(under_load < 500, "{under_load} of 1000 begin");
    for step in 40..200 {
        admission.note(at(step * 100), 400.0, 400.0);
        admission.check(at(step * 100), request("program", 0), TURN_MS);
    }
    assert_eq!(admitted_count(&mut admission, 20_000, 1), 1000);
}

#[test]
fn a_late_program_is_refused_only_under_load() {
    let late = AdmissionRequest { name: "program", priority: 0, remaining_ms: Some(0.0) };
    assert_eq!(Admission::default().check(at(0), late, TURN_MS), None);
    assert!(slowed_admission(5.0, 1).check(at(1000), late, TURN_MS).is_some());
}

#[test]
fn a_silent_endpoint_does_not_count_as_load() {
    let mut admission = slowed_admission(1.0, 2);
    admission.wait(at(2000), 40.0);
    assert_eq!(
        admitted_count(&mut admission, 5000, 1),
        1000,
        "one call of many has been in flight for three seconds"
    );
    admission.stop_waiting(at(2000));
    assert!((admission.slowdown(at(2000)) - 1.0).abs() < 0.01);
}

/// A program that waits before it begins ends late. With a retry time of one second, admitted clients no longer had
/// enough time: 341 of 1,082 programs were late in a load test at six times the usual load, and 26 with a short retry
/// time.
#[test]
fn refused_programs_get_a_short_retry_time() {
    let mut admission = slowed_admission(9.0, 10);
    let names: Vec<String> = (0..200).map(|number| format!("program-{number}")).collect();
    let waits: Vec<Duration> =
        names.iter().filter_map(|name| admission.check(at(10_000), request(name, 1), TURN_MS)).collect();
    assert!(waits.len() > 100);
    assert!(waits.iter().all(|wait| !wait.is_zero() && *wait <= Duration::from_millis(100)));
}

/// A relay whose streams take several times their idle time, at endpoints that report `load`.
fn relay_under_load(load: Load) -> Endpoints {
    let mut relay = relay("z0", 2);
    let parts = prompt(1, 1);
    for step in 0..200 {
        let now = at(step * 20);
        let key = relay.key(&format!("i-{}", step % 2)).expect("is known");
        let Some(endpoint) = relay.get_mut(key) else { continue };
        endpoint.note_load(now, if step < 50 { Load { running: 0, waiting: 0 } } else { load });
        endpoint.cache.note(&parts[..1], 100_000);
        let expected = relay.stream_sent(now, key, &parts).expect("is known");
        let slow = if step < 50 { 1 } else { 6 };
        relay.stream_started(at(step * 20 + 30 * slow), &expected);
        relay.stream_wait_ended(&expected);
        for _ in 0..4 {
            relay.stream_progressed(now, key, 3, Duration::from_millis(45 * slow));
        }
        relay.check_admission(now, "llm", request("program", 1));
    }
    relay
}

/// A refusal while less than half of the slots is taken and no request waits would leave a slot unused.
#[test]
fn no_program_is_refused_while_endpoints_have_capacity() {
    let now = at(200 * 20);
    let refused = |mut relay: Endpoints| {
        let names: Vec<String> = (0..200).map(|number| format!("program-{number}")).collect();
        names.iter().filter(|name| relay.check_admission(now, "llm", request(name, 1)).is_some()).count()
    };
    let lightly_loaded = relay_under_load(Load { running: 6, waiting: 0 });
    assert!(
        lightly_loaded.slowdown(now, "llm") > 3.0,
        "streams are slow for another reason: {}",
        lightly_loaded.slowdown(now, "llm")
    );
    assert_eq!(refused(lightly_loaded), 0);
    assert!(refused(relay_under_load(Load { running: 20, waiting: 3 })) > 100);
    assert_eq!(refused(relay("z0", 2)), 0, "a relay without measurements");
}
