//! Estimates of the reading and writing speed of a service's endpoints.

mod support;

use onyxstile_system::load::Load;
use onyxstile_system::stream_timing::StreamTiming;
use rand_pcg::Pcg64Mcg;
use support::endpoints::random_unit;

const IDLE: Option<Load> = Some(Load { running: 1, waiting: 0 });
const BUSY: Option<Load> = Some(Load { running: 30, waiting: 12 });

/// Records a call at an endpoint that reads a token in `token_ms` and writes an event in `event_ms`.
fn call(timing: &mut StreamTiming, rng: &mut Pcg64Mcg, token_ms: f64, event_ms: f64, load: Option<Load>) {
    let tokens = 100.0 + 1500.0 * random_unit(rng);
    let noise = 1.0 + 0.2 * random_unit(rng);
    timing.note_first_event(tokens, true, (8.0 + tokens * token_ms) * noise, load);
    for _ in 0..4 {
        timing.note_events(3, 3.0 * event_ms * (1.0 + 0.3 * random_unit(rng)), load);
    }
}

fn assert_near(found: f64, expected: f64, what: &str) {
    let ratio = found / expected;
    assert!((0.8..1.25).contains(&ratio), "{what}: {found:.4} instead of {expected:.4}");
}

/// Guards against a fixed reading speed: costs assumed 38 tokens per ms although the engines read 9.6 tokens per ms.
#[test]
fn speeds_are_estimated_within_eighty_calls() {
    for (tokens_per_ms, event_ms) in [(38.4, 14.2), (9.6, 14.2), (38.4, 45.0), (150.0, 4.0)] {
        let (mut timing, mut rng) = (StreamTiming::default(), Pcg64Mcg::new(7));
        for _ in 0..80 {
            call(&mut timing, &mut rng, 1.0 / tokens_per_ms, event_ms, IDLE);
        }
        assert!(timing.is_warmed_up());
        assert_near(timing.token_ms(), 1.1 / tokens_per_ms, "ms per token");
        assert_near(timing.event_ms(), event_ms * 1.08, "ms per event");
    }
}

#[test]
fn estimates_follow_changing_speeds() {
    let (mut timing, mut rng) = (StreamTiming::default(), Pcg64Mcg::new(8));
    for token_ms in [1.0 / 38.4, 1.0 / 9.6, 1.0 / 38.4] {
        for _ in 0..150 {
            call(&mut timing, &mut rng, token_ms, 15.0, IDLE);
        }
        assert_near(timing.token_ms(), 1.1 * token_ms, "ms per token");
    }
}

#[test]
fn long_load_is_not_mistaken_for_low_speed() {
    let (mut timing, mut rng) = (StreamTiming::default(), Pcg64Mcg::new(9));
    for _ in 0..100 {
        call(&mut timing, &mut rng, 1.0 / 38.4, 15.0, IDLE);
    }
    let (token_ms, event_ms) = (timing.token_ms(), timing.event_ms());
    for _ in 0..400 {
        call(&mut timing, &mut rng, 5.0 / 38.4, 90.0, BUSY);
    }
    assert!(timing.event_ms() < event_ms * 2.0, "{} ms per event after {event_ms}", timing.event_ms());
    assert!(timing.token_ms() < token_ms * 3.0, "{} ms per token after {token_ms}", timing.token_ms());
}

/// One of nine endpoints answers immediately, very late, or reports a wrong load.
#[test]
fn one_endpoint_has_limited_influence_on_a_services_estimates() {
    for (first_ms, event_ms) in [(0.0, 0.0), (5000.0, 2000.0)] {
        let (mut timing, mut rng) = (StreamTiming::default(), Pcg64Mcg::new(10));
        for number in 0..900 {
            if number % 9 == 0 {
                timing.note_first_event(800.0, true, first_ms, IDLE);
                for _ in 0..4 {
                    timing.note_events(3, 3.0 * event_ms, IDLE);
                }
            } else {
                call(&mut timing, &mut rng, 1.0 / 38.4, 15.0, IDLE);
            }
        }
        let expected = 1.1 / 38.4;
        let ratio = timing.first_event_ms(800.0) / (8.8 + 800.0 * expected);
        assert!(
            (0.7..1.6).contains(&ratio),
            "a first event is expected after {ratio:.2} times the correct time"
        );
        assert_near(timing.event_ms(), 16.0, "ms per event");
    }
}

#[test]
fn estimates_are_always_finite_and_positive() {
    let mut timing = StreamTiming::default();
    for (tokens, ms) in [(0.0, 0.0), (0.0, 1e9), (1e9, 0.0), (700.0, 0.0), (1e9, 1e9)] {
        for _ in 0..200 {
            timing.note_first_event(tokens, true, ms, None);
            timing.note_events(0, ms, IDLE);
            for estimate in [timing.token_ms(), timing.event_ms(), timing.first_event_ms(tokens)] {
                assert!(estimate.is_finite() && estimate > 0.0, "{estimate}");
            }
        }
    }
}
