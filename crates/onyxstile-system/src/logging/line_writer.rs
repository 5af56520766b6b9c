//! Writes log lines in a thread of its own, so that a log that is not read or not accepted delays nobody.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of queued lines; further ones are lost. Without a limit, a log that nobody reads would fill the memory.
pub const QUEUE_LINES: usize = 512;
/// Maximum length of a line in bytes; the rest of it is cut off.
pub const LINE_BYTES: usize = 2048;

#[derive(Default)]
struct Queue {
    lines: VecDeque<String>,
    is_writing: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    lost: AtomicU64,
}

impl Shared {
    /// The queue is consistent between any two operations, so poisoning is ignored.
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_lost(&self, lines: u64) {
        self.lost.fetch_add(lines, Ordering::Relaxed);
    }

    fn next_lines(&self) -> VecDeque<String> {
        let mut queue = self.queue();
        queue.is_writing = false;
        self.changed.notify_all();
        while queue.lines.is_empty() {
            queue = self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
        queue.is_writing = true;
        std::mem::take(&mut queue.lines)
    }
}

/// Handle for queueing lines.
pub struct LineWriter {
    shared: Arc<Shared>,
    has_thread: bool,
}

impl LineWriter {
    /// Starts the thread. If the system has no thread left, all lines are lost.
    pub fn start(output: impl Write + Send + 'static) -> LineWriter {
        let shared: Arc<Shared> = Arc::default();
        let writing = shared.clone();
        let thread = std::thread::Builder::new().name("log".into()).spawn(move || run(output, &writing));
        LineWriter { shared, has_thread: thread.is_ok() }
    }

    /// Queues a line without its line break.
    pub fn push(&self, mut line: String) {
        if line.len() > LINE_BYTES {
            line = String::from_utf8_lossy(&line.as_bytes()[..LINE_BYTES]).into_owned();
        }
        line.push('\n');
        let mut queue = self.shared.queue();
        if self.has_thread && queue.lines.len() < QUEUE_LINES {
            queue.lines.push_back(line);
            self.shared.changed.notify_all();
        } else {
            self.shared.count_lost(1);
        }
    }

    /// Number of lines that were lost.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// Waits for at most `timeout` until all queued lines are written or lost.
    pub fn flush(&self, timeout: Duration) {
        let is_open = |queue: &mut Queue| queue.is_writing || !queue.lines.is_empty();
        // After the timeout the lines stay queued.
        drop(self.shared.changed.wait_timeout_while(self.shared.queue(), timeout, is_open));
    }
}

fn run(mut output: impl Write, shared: &Shared) {
    let mut reported = 0;
    loop {
        for line in shared.next_lines() {
            let lost = shared.lost.load(Ordering::Relaxed);
            if lost > reported && output.write_all(notice(lost - reported).as_bytes()).is_ok() {
                reported = lost;
            }
            if output.write_all(line.as_bytes()).is_err() {
                shared.count_lost(1);
            }
        }
    }
}

fn notice(lost: u64) -> String {
    format!("WARN {} {lost} log lines were lost before this one\n", module_path!())
}

#[cfg(test)]
mod tests;
