//! Tests of the guard of steps.

use super::*;

/// Guards against a controller that votes on by a state which a panic left half changed.
#[tokio::test]
async fn no_step_runs_after_one_that_panicked() {
    let guard = StepGuard::default();
    assert!(guard.enter().is_some());
    assert!(guard.enter().is_some());
    let step = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let _running = guard.enter();
        panic!("a fault of the state machine");
    }));
    assert!(step.is_err());
    assert!(guard.enter().is_none());
    guard.broken().await;
}
