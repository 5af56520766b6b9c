//! Panics of any thread or task: logged and counted. What they end is decided where the task was started.

use std::sync::atomic::{AtomicU64, Ordering};

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic from now on. The default report would write to standard error itself, which may be blocked.
pub fn count_panics() {
    std::panic::set_hook(Box::new(|panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        log::error!("{panic}");
    }));
}

/// Number of panics so far.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}
