//! When discovery is asked, and what is made of what it says.

use super::lists::{Judged, Lists, Versions};
use super::pace::{TOLD_MOVED_MS, TOLD_MS};
use super::*;
use std::collections::VecDeque;
use std::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// The longest time from the moment at which discovery can be reached until it is asked, whatever failed before: the call
/// that is under way is lost, and so is all of the pause after it.
fn longest(pace: &mut Pace) -> Duration {
    pace.start();
    (0..200).map(|_| pace.patience() + pace.again(false)).max().unwrap()
}

#[test]
fn a_relay_asks_again_in_time_whatever_failed_before() {
    let (told, moved) = (MS * TOLD_MS as u32, MS * TOLD_MOVED_MS as u32);
    for relays in [1, 2, 30, 300] {
        for seed in 0..50 {
            let mut shared = Pace::shared(relays, seed);
            let most = longest(&mut shared);
            assert!(most + MS * 500 <= told, "{relays} relays: {most:?}");
            assert!(shared.start() + MS * 500 <= moved);
            // A watch that fell silent, after news and after none.
            for begun in [true, false] {
                let most = SILENCE + shared.again(begun);
                assert!(most + MS * 500 <= told, "{relays} relays: {most:?} after silence");
            }
        }
    }
    // What an agent of one's own gets counts at once: it is asked within a part of the shortest grace of a drain.
    let mut alone = Pace::alone(7);
    assert_eq!(alone.start(), Duration::ZERO);
    assert!(longest(&mut alone) <= MS * 500);
    let usual = (0..70).filter(|_| alone.patience() + alone.again(false) <= MS * 200).count();
    assert!(usual >= 60, "{usual} of 70 calls and pauses are short");
}

/// Of so many relays, how many have the list within `time`, where discovery takes `turn` for each call, one after the
/// other, also for those that nobody waits for any more. `from`: all begin, or all have failed for some time.
fn told_in(relays: u64, turn: Duration, time: Duration, failed: u32) -> usize {
    let mut paces: Vec<_> = (0..relays).map(|n| Pace::shared(relays as u32, 900 + n)).collect();
    let mut asks: Vec<_> = paces
        .iter_mut()
        .map(|p| match failed {
            0 => p.start(),
            _ => (0..failed).map(|_| p.again(false)).last().unwrap(),
        })
        .collect();
    let (mut queue, mut free, mut told) = (VecDeque::new(), Duration::ZERO, vec![false; paces.len()]);
    let mut now = Duration::ZERO;
    while now < time {
        for (n, pace) in paces.iter_mut().enumerate() {
            if !told[n] && asks[n] <= now {
                queue.push_back((n, now + pace.patience()));
                // Should it not be answered until then.
                asks[n] = now + pace.patience() + pace.again(false);
            }
        }
        while free <= now
            && let Some((n, until)) = queue.pop_front()
        {
            free = now.max(free) + turn;
            told[n] |= free <= until;
        }
        now += MS * 5;
    }
    told.iter().filter(|t| **t).count()
}

/// All begin, or all lost discovery, at the same moment: none jams it for good. It gets through nearly as many as it can, and
/// where it can get through all of them in the time that counts, all have the list then.
#[test]
fn relays_that_start_or_fail_together_do_not_jam_a_shared_discovery() {
    for failed in [0, 1, 5, 40] {
        assert_eq!(told_in(300, MS * 12, MS * 6000, failed), 300, "after {failed} calls in vain");
        assert_eq!(told_in(100, MS * 40, MS * 6000, failed), 100, "after {failed} calls in vain");
        let most = told_in(100, MS * 50, MS * 9000, failed);
        assert_eq!(most, 100, "{most} of 100, after {failed} calls in vain");
    }
}

/// A version that comes late changes nothing; one that goes on for long is a new beginning.
#[test]
fn an_older_version_is_let_go_until_it_is_clear_that_versions_begin_anew() {
    let (mut versions, now) = (Versions::default(), Instant::now());
    assert_eq!(versions.judge(5, 4, now), Judged::News);
    assert_eq!(versions.judge(5, 5, now), Judged::News);
    assert_eq!(versions.judge(3, 5, now), Judged::Late);
    assert_eq!(versions.judge(3, 5, now + MS * 29_000), Judged::Late);
    // News between them: it was late after all.
    assert_eq!(versions.judge(6, 5, now + MS * 29_500), Judged::News);
    assert_eq!(versions.judge(3, 6, now + MS * 31_000), Judged::Late);
    assert_eq!(versions.judge(4, 6, now + MS * 62_000), Judged::BegunAnew);
    assert_eq!(versions.judge(4, 0, now + MS * 62_100), Judged::News);
}

/// Indented lists, two in a piece, and pieces of any length are read like lines; signs of life are nothing, and what
/// is no list ends the watch. Lists over many lines ended every watch before.
#[test]
fn lists_may_come_over_many_lines_and_in_any_pieces() {
    let one = "{\n  \"rev\": 4,\n  \"all\": true,\n  \"targets\": [\n    {\"uid\": \"a}\", \"endpoint\": \"127.0.0.1:1\",\n      \"pod_group\": 7, \"state\": \"up\"}\n  ]\n}\n";
    let text = format!("\n{one}\n\n{{\"rev\":5}}\n{{\"rev\":6}}\n\n");
    for size in 1..=text.len() {
        let mut lists = Lists::default();
        let found = text.as_bytes().chunks(size).flat_map(|piece| lists.take(piece).unwrap());
        let found: Vec<_> = found.map(|l| (l.rev, l.targets.len())).collect();
        assert_eq!(found, [(4, 1), (5, 0), (6, 0)], "in pieces of {size}");
        assert!(lists.0.trim_ascii().is_empty());
    }
    assert!(Lists::default().take(b"{\"rev\":4}x}\n").is_err());
    assert!(Lists::default().take(&vec![b' '; LINE_MAX + 1]).is_err());
}

/// Guards against a relay that stands still: a list that comes in many pieces is read from its start with each piece that ends
/// with a brace.
#[test]
fn a_list_in_many_pieces_is_read_in_time() {
    let (mut lists, began) = (Lists::default(), Instant::now());
    assert!(lists.take(b"{\"rev\":4,\"targets\":[{\"uid\":\"").unwrap().is_empty());
    while lists.take(b"}").is_ok_and(|found| found.is_empty()) {
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    }
}
