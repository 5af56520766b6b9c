//! Waits that the end of a process bounds, on a clock that stands still between the steps.

use std::rc::Rc;

use tokio::task::{JoinHandle, LocalSet, yield_now};
use tokio::time::advance;

use super::*;

const GRACE: Duration = Duration::from_secs(8);

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn process_end() -> Rc<ProcessEnd> {
    Rc::new(ProcessEnd::new(SteadyClock::start(), GRACE))
}

/// Starts a wait of `wait` and returns after it has begun.
async fn begin_wait(end: &Rc<ProcessEnd>, wait: Duration) -> JoinHandle<bool> {
    let (end, until) = (end.clone(), Instant::from_elapsed(wait));
    let waiting =
        tokio::task::spawn_local(async move { end.sleep_until(until, ShortestGrace::deadline).await });
    yield_now().await;
    waiting
}

async fn outcome(waiting: &mut JoinHandle<bool>) -> Option<bool> {
    for _ in 0..4 {
        yield_now().await;
    }
    if waiting.is_finished() { Some(waiting.await.expect("no panic")) } else { None }
}

#[test]
fn a_wait_that_the_end_cuts_short_ends_at_sigterm_and_a_shorter_one_goes_on() {
    run_test(async {
        let end = process_end();
        let mut long = begin_wait(&end, GRACE).await;
        let mut short = begin_wait(&end, GRACE / 2).await;
        end.begin();
        assert_eq!(outcome(&mut long).await, Some(false));
        assert_eq!(outcome(&mut short).await, None);
        advance(GRACE / 2).await;
        assert_eq!(outcome(&mut short).await, Some(true));
    });
}

/// Failure: a grace period that was shortened less than 100 ms before it expired was not noticed in time.
#[test]
fn a_grace_period_shortened_during_a_wait_is_noticed_at_once() {
    run_test(async {
        let end = process_end();
        end.begin();
        let mut waiting = begin_wait(&end, GRACE / 2).await;
        let shorter = Duration::from_secs(3);
        advance(shorter - Duration::from_millis(1)).await;
        end.set_grace(shorter);
        assert_eq!(outcome(&mut waiting).await, Some(false));
        let noticed_at = Instant::from_elapsed(shorter - Duration::from_millis(1));
        assert_eq!(end.limit(ShortestGrace::deadline, std::future::pending::<()>()).await, None);
        assert_eq!(end.clock.now(), noticed_at);
        assert_eq!(end.limit(ShortestGrace::exit_deadline, std::future::pending::<()>()).await, None);
        assert_eq!(end.clock.now(), noticed_at + Duration::from_millis(200), "the time for the last answers");
    });
}

#[test]
fn a_grace_period_set_before_sigterm_counts_from_sigterm() {
    run_test(async {
        let end = process_end();
        end.set_grace(GRACE * 2);
        advance(GRACE).await;
        end.begin();
        let grace = end.grace().expect("SIGTERM was received");
        assert_eq!((grace.sigterm_at(), grace.grace()), (Instant::from_elapsed(GRACE), GRACE * 2));
    });
}

#[test]
fn work_that_is_done_as_the_end_is_reached_counts_as_done() {
    run_test(async {
        let end = process_end();
        end.begin();
        let work = tokio::time::sleep(shutdown_time());
        assert_eq!(end.limit(ShortestGrace::deadline, work).await, Some(()));
    });
}

/// Failure (LOST): a process exited before the calls that a late shorter grace period gave up had been answered.
#[test]
fn work_that_a_late_shorter_grace_period_gives_up_is_waited_for() {
    run_test(async {
        let (end, shutdown) = (process_end(), Rc::new(Shutdown::default()));
        let (call, work) = (end.clone(), shutdown.enter());
        tokio::task::spawn_local(async move {
            call.reached(ShortestGrace::deadline).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
            drop(work);
        });
        let (ending, ended) = (end.clone(), shutdown.clone());
        let exit = tokio::task::spawn_local(async move { ending.wait_for_shutdown(&ended, || {}).await });
        shutdown.begin();
        end.begin();
        let shorter = Duration::from_secs(3);
        advance(shorter - Duration::from_millis(60)).await;
        end.set_grace(shorter);
        exit.await.expect("no panic");
        assert!(shutdown.is_ended(), "{} calls were open at the exit", shutdown.open());
    });
}

fn shutdown_time() -> Duration {
    crate::settings::shutdown_time(GRACE)
}
