//! The times at which the module asked to be woken.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Every wake that was asked for and has not come. The module asks for a later one only once the one that it
/// waits for has passed, so each of them has to come: kept as the earliest alone, a wake that comes between two
/// of them swallows the later one, and where nothing else happens the module sleeps past its timers and ends.
/// Bounded by that: within one wait the module only asks for earlier ones.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Wakes(BTreeSet<Duration>);

impl Wakes {
    /// One more wake is wanted.
    pub fn add(&mut self, at: Duration) {
        self.0.insert(at);
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Duration> {
        self.0.first().copied()
    }

    /// Whether any were due by `now`; they are over.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let before = self.0.len();
        self.0.retain(|at| *at > now);
        self.0.len() < before
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{NOW, core, terms};
    use super::super::{Effect, FlowNo};
    use super::*;

    /// Drives a core as a relay does that is a little late in all it does and to which nothing else happens
    /// than one message and, some time later, one that disturbs its timers.
    #[test]
    fn a_flow_that_cannot_be_sent_ends_in_its_time_though_nothing_but_wakes_moves_the_relay() {
        let late = Duration::from_micros(700);
        let deadline = NOW + terms(0).remaining;
        for disturbed_at in (0..400u64).map(|i| deadline - Duration::from_micros(10_000 + i * 400)) {
            let mut core = core(8);
            let (mut now, mut wakes, mut disturbed) = (NOW, Wakes::default(), false);
            core.update_entries(vec![], true);
            core.submit(FlowNo(1), terms(0), "p");
            loop {
                let mut effects = Vec::new();
                core.step(now, &mut effects);
                if effects.iter().any(|e| matches!(e, Effect::Ended(..))) {
                    break;
                }
                for effect in effects {
                    if let Effect::Wake(after) = effect {
                        wakes.add(now + late + after);
                    }
                }
                let due = wakes.next().unwrap_or(now + Duration::from_secs(1));
                now = if !disturbed && due > disturbed_at {
                    disturbed = true;
                    core.submit(FlowNo(2), terms(0), "q");
                    disturbed_at.max(now)
                } else {
                    due.max(now)
                };
                if wakes.take_due(now) {
                    core.wake();
                }
                assert!(now <= deadline + late, "asleep {:?} past the end of a flow", now - deadline);
            }
        }
    }
}
