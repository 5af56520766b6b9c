//! Relays that poll a controller.

use expect_test::expect;
use onyxstile_system::clock::Instant;
use onyxstile_system::relays::{Relay, Relays};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn relay(name: &str, revision: u64) -> Relay {
    Relay { name: name.into(), revision }
}

#[test]
fn the_count_is_unknown_until_every_relay_can_have_polled() {
    let mut relays = Relays::new(at(1_000));
    relays.note_poll(at(1_100), [10, 0, 0, 1], relay("edge-1", 4));
    assert_eq!(relays.count(at(5_900)), None, "others may not have polled yet");
    relays.note_poll(at(5_900), [10, 0, 0, 1], relay("edge-1", 4));
    relays.note_poll(at(5_900), [10, 0, 0, 2], relay("edge-2", 4));
    assert_eq!(relays.count(at(6_000)), Some(2));
}

#[test]
fn silent_relays_expire_and_repeated_polls_count_once() {
    let mut relays = Relays::new(at(0));
    for ms in [1_000, 3_000, 6_000] {
        relays.note_poll(at(ms), [10, 0, 0, 1], relay("edge-1", 4));
    }
    relays.note_poll(at(2_000), [10, 0, 0, 2], relay("edge-2", 4));
    assert_eq!(relays.count(at(6_500)), Some(2));
    assert_eq!(relays.count(at(7_000)), Some(1));
    relays.tick(at(7_000));
    assert_eq!(relays.lines(at(7_000), 4).len(), 1);
}

#[test]
fn status_lines_show_relays_with_older_revisions() {
    let mut relays = Relays::new(at(0));
    relays.note_poll(at(900), [10, 0, 0, 1], relay("edge-1", 4));
    relays.note_poll(at(400), [10, 0, 0, 2], relay("edge-2", 3));
    expect![[r#"
        relay edge-1 revision 4 current heard 100 ms ago
        relay edge-2 revision 3 behind heard 600 ms ago"#]]
    .assert_eq(&relays.lines(at(1_000), 4).join("\n"));
}
