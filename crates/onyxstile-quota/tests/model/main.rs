//! Every interleaving of loans at three relays with a quota of four units: questions, grants and returns that are lost, late and
//! doubled, relays that are killed with and without their folder, clocks that run apart. The rights are the program's own.
#![allow(missing_docs)]

mod steps;

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use steps::*;

/// Units that can be spent somewhere.
fn spendable(s: &State) -> u32 {
    s.rights.iter().zip(s.clocks).filter_map(|(r, now)| Some(r.as_ref()?.units(now))).sum()
}

/// Where notes flow again and nobody else wants any, all of the quota reaches who asks.
fn heals(without: Without, s: &State) -> bool {
    let mut s = s.clone();
    s.notes.clear();
    s.unwritten.clear();
    for i in 0..RELAYS {
        if s.rights[i].is_none() {
            s.rights[i] = Some(without.rights(i, s.clocks[i], false));
        }
    }
    (0..12).for_each(|_| s = passed(&s));
    for to in 1..RELAYS {
        s.nonce += 1;
        s.asked[0].insert(s.nonce, Asked { to, at: s.clocks[0], renews: None });
        let ask = Note::Ask { from: 0, to, nonce: s.nonce, units: UNITS, renews: None };
        s = without.heard(&s, &ask);
        while let Some(note) = s.notes.pop() {
            s = without.heard(&s, &note);
        }
    }
    s.rights[0].as_ref().is_some_and(|r| r.units(s.clocks[0]) == UNITS)
}

/// Steps in a history, at most. What is left out shows within six.
const DEPTH: usize = 8;

/// A state's digest: a hundred and twenty-eight bits, so that all that were seen fit into memory.
fn digest(s: &State) -> u128 {
    let hash = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        (salt, s).hash(&mut hasher);
        u128::from(hasher.finish())
    };
    hash(1) << 64 | hash(2)
}

/// Searches all states; how many there are, and how the first one above the quota comes about.
fn search(without: Without) -> (usize, Option<Vec<String>>) {
    let first = without.first();
    let mut seen = HashSet::from([digest(&first)]);
    let mut next = VecDeque::from([(first, Vec::new())]);
    while let Some((s, path)) = next.pop_front() {
        if spendable(&s) > UNITS {
            // The way there is walked again, for its words.
            let (mut trace, mut at) = (Vec::new(), without.first());
            for step in path {
                let (what, to) = without.next(&at).swap_remove(usize::from(step));
                trace.push(what);
                at = to;
            }
            return (seen.len(), Some(trace));
        }
        if without == Without::Nothing && seen.len().is_multiple_of(997) {
            assert!(heals(without, &s), "rights do not reach who asks: {s:?}");
        }
        if path.len() == DEPTH {
            continue;
        }
        for (step, (_, to)) in without.next(&s).into_iter().enumerate() {
            if seen.insert(digest(&to)) {
                let path: Vec<u8> = path.iter().copied().chain([step as u8]).collect();
                next.push_back((to, path));
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn no_interleaving_holds_more_than_the_quota_and_rights_reach_who_asks() {
    let (states, broken) = search(Without::Nothing);
    println!("{states} states");
    assert_eq!(broken, None);
    assert!(states > 20_000, "{states} states");
}

#[test]
fn every_part_of_a_loans_safety_is_needed() {
    for without in [Without::Margin, Without::Rest, Without::Before, Without::Once] {
        let (states, broken) = search(without);
        let trace =
            broken.unwrap_or_else(|| panic!("without {without:?} nothing is found in {states} states"));
        println!("without {without:?}, {states} states, {} steps: {trace:#?}", trace.len());
    }
}
