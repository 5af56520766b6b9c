//! Random events with fixed seeds: legal ones against the module alone, hostile ones against module, core and
//! journal through kills, one property for each rule of the brief.
#![allow(missing_docs)]
#[path = "../cluster/mod.rs"]
mod cluster;
#[path = "../common/mod.rs"]
mod common;
mod legal;
mod returns;
mod simulation;
use simulation::{Rule, Simulation};
use std::collections::BTreeMap;

/// How many runs are wanted, if not so many.
fn runs(usual: u64) -> u64 {
    std::env::var("RUNS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

/// Plays a rule over its seeds; each situation that it is about has to have come up so often.
fn property(rule: Rule, situations: &[(&str, u64)]) {
    // Processes that meet what was ill with care send less: as many situations take more runs.
    let runs = runs(600);
    let began = std::time::Instant::now();
    let mut seen: BTreeMap<&str, u64> = BTreeMap::new();
    for n in 0..runs {
        let of_run = Simulation::run(rule, (rule as u64 + 1) * 1_000_000 + n);
        of_run.into_iter().for_each(|(what, times)| *seen.entry(what).or_default() += times);
    }
    println!("{rule:?}: {runs} runs in {:.1} s, {seen:?}", began.elapsed().as_secs_f64());
    for (what, least) in situations {
        let times = seen.get(what).copied().unwrap_or_default();
        assert!(times >= *least, "`{what}` came up {times} times in {runs} runs");
    }
}

#[test]
fn every_message_has_exactly_one_answer_in_time() {
    property(
        Rule::OneAnswer,
        &[
            ("delivered", 1000),
            ("failed", 1000),
            ("handed back", 100),
            ("turned down", 100),
            ("called off in flight", 100),
            ("called off while held", 100),
            ("a doubled end", 1000),
            ("an unknown end of an open flow", 50),
            ("killed with a torn journal", 100),
            ("ended after a kill", 1000),
            ("time up while no process ran", 50),
            ("upgraded", 1000),
        ],
    );
}

#[test]
fn what_may_have_run_is_resent_only_within_the_bounds_of_its_class() {
    property(
        Rule::Bounds,
        &[
            ("once: resent after proof that it never ran", 200),
            ("keyed: resent within its window", 100),
            ("repeatable: resent though it may have run", 200),
            ("given up at once, as it may have run", 200),
            ("handed back", 100),
            ("killed with calls out", 100),
            ("upgraded with calls out", 1000),
        ],
    );
}

#[test]
fn attempts_of_a_message_are_never_side_by_side() {
    property(
        Rule::SideBySide,
        &[
            ("upgraded with calls out", 1000),
            ("resent", 1000),
            ("an old end while another attempt is out", 20),
            ("a call called off for its slot", 20),
            ("resent by another process", 100),
            ("killed with calls out", 100),
        ],
    );
}

#[test]
fn nothing_new_goes_to_what_drains_or_is_gone() {
    property(
        Rule::Drains,
        &[
            ("drained with messages waiting", 500),
            ("banned with a call out", 50),
            ("upgraded with messages for one that is banned", 100),
            ("gone with a call out", 50),
            ("moved to another destination", 100),
            ("sent while others drain", 1000),
        ],
    );
}

#[test]
fn told_waits_are_kept() {
    property(
        Rule::Waits,
        &[
            ("upgraded within a wait", 200),
            ("a wait told while others wait", 500),
            ("sent soon after a wait", 60),
            ("sent while others are waited for", 200),
        ],
    );
}
