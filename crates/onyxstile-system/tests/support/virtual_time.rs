//! Time that passes only when a test says so, while sockets work as ever.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;

/// Turns of the runtime in which whatever can go on without time has gone on.
const YIELDS: usize = 400;

/// A story that stands still for so long by the real clock is given its time back, so that its own bound ends it.
const REAL_TIME_LIMIT: Duration = Duration::from_secs(20);

/// Stands still for as long as this lives, but for what [`VirtualTime::pass`] adds.
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
        // A runtime with nothing to do would move the clock to the next timer by itself.
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

    /// Moves the clock on in one step: timers that are due by then and sockets that are ready are met in one turn.
    pub async fn advance(&self, time: Duration) {
        assert!(self.is_stopped.get(), "the story stood still");
        tokio::time::advance(time).await;
        run_ready_tasks().await;
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

/// Lets whatever can go on without time go on.
pub async fn run_ready_tasks() {
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
}
