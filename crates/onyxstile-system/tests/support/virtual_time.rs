//! A virtual clock that advances only on request, while sockets work normally.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;

/// Yields to the runtime after which all tasks that do not wait for time have made progress.
const YIELDS: usize = 400;

/// Real time after which the clock is resumed, so that a stuck test ends by its own timeout.
const REAL_TIME_LIMIT: Duration = Duration::from_secs(20);

/// Keeps the runtime's clock stopped until it is dropped. [`VirtualTime::advance`] moves it on.
pub struct VirtualTime {
    keep_awake: JoinHandle<()>,
    is_stopped: Rc<Cell<bool>>,
}

impl VirtualTime {
    /// Stops the clock of this runtime.
    pub fn stop() -> VirtualTime {
        tokio::time::pause();
        let is_stopped = Rc::new(Cell::new(true));
        let stopped = is_stopped.clone();
        // An idle runtime would advance the clock to the next timer by itself.
        let keep_awake = tokio::task::spawn_local(async move {
            let start = std::time::Instant::now();
            while start.elapsed() < REAL_TIME_LIMIT {
                tokio::task::yield_now().await;
            }
            stopped.set(false);
            tokio::time::resume();
        });
        VirtualTime { keep_awake, is_stopped }
    }

    /// Advances the clock in one step. Timers that are due by then and sockets that are ready are handled in the same
    /// turn of the runtime.
    pub async fn advance(&self, time: Duration) {
        assert!(self.is_stopped.get(), "the test exceeded its real-time limit");
        tokio::time::advance(time).await;
        run_ready_tasks().await;
    }

    /// Advances the clock by `total` in steps, as a running process sees it. Timers that are due within a step fire at its end.
    pub async fn advance_in_steps(&self, total: Duration, step: Duration) {
        let mut left = total;
        while !left.is_zero() {
            let next = left.min(step);
            self.advance(next).await;
            left -= next;
        }
    }
}

impl Drop for VirtualTime {
    fn drop(&mut self) {
        self.keep_awake.abort();
        if self.is_stopped.get() {
            tokio::time::resume();
        }
    }
}

/// Lets all tasks run that do not wait for time.
pub async fn run_ready_tasks() {
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
}
