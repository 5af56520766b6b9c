//! What a return has to come to.

use super::*;

/// Small fleets, as the report has them: with the program's return no cold partner gets more than its budget.
#[test]
fn no_cold_partner_falls_and_service_comes_back() {
    for seed in 1..=2 {
        for way in [Way::Peers, Way::Alone, Way::Forgets] {
            let came = play(Scene { relays: 6, kept: 0, way, seed });
            assert_eq!(came.fallen, 0, "{way:?} seed {seed}: {:.2} of the budget", came.coldest);
            assert!(came.back[1].is_some(), "{way:?} seed {seed}: {:?}", came.curve);
        }
    }
}

/// A fleet that knows its partners' limits from its folders uses their budgets, and is back sooner.
#[test]
fn a_larger_fleet_that_knows_the_limits_uses_its_budget() {
    let [knows, forgets] =
        [Way::Alone, Way::Forgets].map(|way| play(Scene { relays: 40, kept: 0, way, seed: 1 }));
    assert!(knows.coldest > 2.0 * forgets.coldest, "{} and {}", knows.coldest, forgets.coldest);
    assert!(knows.back[0] < forgets.back[0], "{:?} and {:?}", knows.back, forgets.back);
    assert_eq!(knows.fallen, 0);
}
