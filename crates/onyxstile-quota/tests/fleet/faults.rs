//! Notes that are lost, late and doubled, partitions, kills, lost folders, clocks that run apart: never above.

use crate::net::*;

#[test]
fn nothing_that_fails_takes_more_than_the_quota() {
    for seed in 0..60 {
        let relays = 3 + seed as usize % 5;
        let (per_s, burst) = [(20.0, 20), (7.0, 3), (100.0, 12), (3.0, 30)][seed as usize % 4];
        let mut net = Net::new(relays, vec![rate("a", per_s, burst)], seed);
        (net.lost, net.doubled, net.late) = (net.below(40), net.below(40), ms(1 + net.below(900)));
        for r in 0..relays {
            // Faster and slower by up to a twentieth, and off by up to two seconds.
            net.relays[r].pace = 0.96 + net.below(9) as f64 / 100.0;
            net.relays[r].off = net.below(4000) as f64 / 1000.0 - 2.0;
            net.start(r, true);
        }
        for _ in 0..30 {
            let (i, kind) = (net.below(relays as u64) as usize, net.below(10));
            match kind {
                0 => net.kill(i),
                1..3 => net.start(i, kind == 1),
                3 => {
                    let side = 1 + net.below(relays as u64 - 1) as usize;
                    net.cut = Box::new(move |a, b| (a < side) != (b < side));
                }
                4 => net.cut = Box::new(|a, b| a > b),
                5 => net.cut = Box::new(|_, _| true),
                _ => net.cut = Box::new(|_, _| false),
            }
            let at: Vec<usize> = (0..relays).filter(|_| net.below(2) == 0).collect();
            let time = ms(100 + net.below(1500));
            net.run(time, |n| n.feed("a", per_s, &at));
        }
        net.must_hold("a", per_s, burst);
        assert!(!net.taken.is_empty(), "seed {seed}: nothing was taken at all");
    }
}

/// Halves, then single relays, then whole again with old loans in the air.
#[test]
fn a_partition_leaves_each_side_its_rights() {
    let mut net = Net::new(6, vec![rate("a", 60.0, 60)], 11);
    net.run(ms(4000), |_| {});
    net.run(ms(3000), |n| n.feed("a", 80.0, &[0]));
    net.cut = Box::new(|a, b| (a < 3) != (b < 3));
    net.run(ms(3000), |n| n.feed("a", 80.0, &[0, 5]));
    let from = net.now;
    net.run(ms(6000), |n| n.feed("a", 80.0, &[0, 5]));
    let halves = net.since("a", from) as f64 / 360.0;
    assert!(halves > 0.9, "{halves:.3} of the quota in halves");
    net.cut = Box::new(|_, _| true);
    net.run(ms(3000), |n| n.feed("a", 80.0, &[0, 5]));
    let from = net.now;
    net.run(ms(6000), |n| n.feed("a", 80.0, &[0, 5]));
    let alone = net.since("a", from) as f64 / 360.0;
    assert!((0.3..0.36).contains(&alone), "{alone:.3}: two of six have a sixth each");
    net.cut = Box::new(|_, _| false);
    net.run(ms(2000), |n| n.feed("a", 80.0, &[0, 5]));
    let from = net.now;
    net.run(ms(6000), |n| n.feed("a", 80.0, &[0, 5]));
    let whole = net.since("a", from) as f64 / 360.0;
    assert!(whole > 0.9, "{whole:.3}");
    net.must_hold("a", 60.0, 60);
}

/// All relays are restarted, a tenth at a time, under load.
#[test]
fn a_planned_restart_costs_no_more_than_what_rests() {
    let mut net = Net::new(10, vec![rate("a", 100.0, 100)], 12);
    let all: Vec<usize> = (0..10).collect();
    net.run(ms(4000), |_| {});
    net.run(ms(2000), |n| n.feed("a", 13.0, &all));
    let from = net.now;
    for i in 0..10 {
        let now = net.clock(i);
        net.relays[i].quotas.as_mut().unwrap().end(now);
        net.pass_on(i);
        net.kill(i);
        let others: Vec<usize> = all.iter().copied().filter(|o| *o != i).collect();
        net.run(ms(1000), |n| n.feed("a", 15.0, &others));
        net.start(i, true);
        net.run(ms(1500), |n| n.feed("a", 13.0, &all));
    }
    net.must_hold("a", 100.0, 100);
    let used = net.since("a", from) as f64 / 2500.0;
    assert!(used > 0.8, "{used:.3}");
}

/// Notes that are none, of nobody, cut, or of a relay that did not ask: nothing changes, and each is dropped.
#[test]
fn notes_that_are_none_change_nothing() {
    let mut net = Net::new(3, vec![rate("a", 30.0, 30)], 13);
    net.run(ms(4000), |_| {});
    let now = net.clock(0);
    let quotas = net.relays[0].quotas.as_mut().unwrap();
    use onyxstile_quota::note::{Bundle, Say};
    let digest = rate("a", 30.0, 30).digest();
    let terms = terms(3, vec![rate("a", 30.0, 30)]).digest();
    let gift = [
        Say::Grant { quota: digest, nonce: 5, units: 20, with: 20_000_000 },
        Say::Repay { quota: digest, nonce: 6, left: 0, tokens: u64::MAX },
        Say::Recall { quota: digest, nonce: 7, keep: 0 },
        Say::Deny { quota: digest, nonce: 8, wait_ms: u32::MAX },
        Say::Ask {
            quota: 99,
            nonce: 9,
            lacks: u32::MAX,
            held: u32::MAX,
            room: u32::MAX,
            demand: u32::MAX,
            renews: Some(1),
        },
    ];
    for bytes in Bundle::write(1, terms, false, &gift) {
        assert!(quotas.hear(1, &bytes, now));
        assert!(!quotas.hear(0, &bytes, now), "it is itself");
        for cut in 0..bytes.len() {
            assert!(!quotas.hear(1, &bytes[..cut], now), "cut at {cut}");
        }
        assert!(!quotas.hear(1, &[&bytes[..], &[0]].concat(), now));
    }
    assert!(!quotas.hear(1, &[0xff; 300], now));
    let taken = (0..40).filter(|_| quotas.take("a", "orders", 1, now).is_ok()).count();
    assert_eq!(taken, 10, "a third of the burst, as before");
}

/// A question of this quota with figures as large as they can be said: it is answered, and nothing is counted over its end.
#[test]
fn a_question_with_the_largest_figures_is_answered() {
    use onyxstile_quota::note::{Bundle, Say};
    let quota = || vec![rate("a", 30.0, 30)];
    let mut net = Net::new(3, quota(), 14);
    net.run(ms(4000), |_| {});
    let (digest, m) = (quota()[0].digest(), u32::MAX);
    // Relay 1 has loans of the others already.
    net.run(ms(1000), |n| n.feed("a", 60.0, &[1]));
    let now = net.clock(0);
    let ask = Say::Ask { quota: digest, nonce: 9, lacks: m, held: m, room: m, demand: m, renews: Some(1) };
    for bytes in Bundle::write(1, terms(3, quota()).digest(), false, &[ask.clone(), ask.clone()]) {
        assert!(net.relays[0].quotas.as_mut().unwrap().hear(1, &bytes, now));
    }
    net.pass_on(0);
    net.run(ms(2000), |n| n.feed("a", 40.0, &[0, 1, 2]));
    net.must_hold("a", 30.0, 30);
}
