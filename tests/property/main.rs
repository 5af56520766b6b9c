//! Random events with fixed seeds: valid ones against the module alone, adverse ones against module, core and
//! journal with process kills; one property for each rule.
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

/// Number of runs: the variable RUNS, or this default.
fn runs(usual: u64) -> u64 {
    std::env::var("RUNS").ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

/// Simulates a rule over its seeds; each situation relevant to it must occur at least this often.
fn property(rule: Rule, situations: &[(&str, u64)]) {
    // Restarted processes send less to endpoints that were unhealthy: more runs are needed for the same number of
    // situations.
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
        assert!(times >= *least, "`{what}` occurred {times} times in {runs} runs");
    }
}

#[test]
fn every_message_has_exactly_one_answer_in_time() {
    property(
        Rule::OneAnswer,
        &[
            ("delivered", 1000),
            ("failed", 1000),
            ("refused", 100),
            ("rejected", 100),
            ("cancelled in flight", 100),
            ("cancelled while held", 100),
            ("a duplicate end", 1000),
            ("an end of an unknown attempt of an open flow", 50),
            ("killed with a torn journal", 100),
            ("ended after a kill", 1000),
            ("deadline passed while no process ran", 50),
            ("upgraded", 1000),
        ],
    );
}

#[test]
fn messages_that_may_have_run_are_resent_only_as_their_class_allows() {
    property(
        Rule::Bounds,
        &[
            ("once: resent after proof that it was not executed", 200),
            ("keyed: resent within its window", 100),
            ("repeatable: resent though it may have run", 200),
            ("given up at once, as it may have run", 200),
            ("refused", 100),
            ("killed with calls in flight", 100),
            ("upgraded with calls in flight", 1000),
        ],
    );
}

#[test]
fn attempts_of_a_message_are_never_concurrent() {
    property(
        Rule::Concurrency,
        &[
            ("upgraded with calls in flight", 1000),
            ("resent", 1000),
            ("an old end while another attempt is in flight", 20),
            ("a call cancelled for its slot", 20),
            ("resent by another process", 100),
            ("killed with calls in flight", 100),
        ],
    );
}

#[test]
fn draining_or_gone_endpoints_receive_no_new_calls() {
    property(
        Rule::Drains,
        &[
            ("drained with messages waiting", 500),
            ("banned with a call in flight", 50),
            ("upgraded with messages for a banned server", 100),
            ("gone with a call in flight", 50),
            ("moved to another destination", 100),
            ("sent while others drain", 1000),
        ],
    );
}

#[test]
fn reported_waits_are_observed() {
    property(
        Rule::Waits,
        &[
            ("upgraded within a wait", 200),
            ("a wait reported while others wait", 500),
            ("sent soon after a wait", 60),
            ("sent during a wait of others", 200),
        ],
    );
}
