//! Times at which the module requested to be woken.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// All requested wake-ups that are still to come. The module requests a later one only after the one that it
/// waits for has passed, so none may be dropped: if only the earliest were kept, a wake-up between two others
/// would replace the later one, and without other events the module would sleep past its timers and deadlines.
/// The set stays small: within one wait the module only requests earlier ones.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Wakes(BTreeSet<Duration>);

impl Wakes {
    /// Adds a wake-up.
    pub fn add(&mut self, at: Duration) {
        self.0.insert(at);
    }

    /// The next wake-up.
    pub fn next(&self) -> Option<Duration> {
        self.0.first().copied()
    }

    /// Removes the wake-ups due by `now`; true if there were any.
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

    /// Drives a core like a relay that is always slightly late and has no events other than one message and,
    /// some time later, a second one that changes the timers.
    #[test]
    fn an_unsendable_flow_ends_in_time_when_wakes_are_the_only_events() {
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
                assert!(
                    now <= deadline + late,
                    "no wake-up until {:?} past the end of a flow",
                    now - deadline
                );
            }
        }
    }
}
