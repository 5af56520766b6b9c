//! The program's logger: one line a record on standard error.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            // A log that cannot be written must not end the relay.
            let _ = writeln!(
                std::io::stderr(),
                "{}.{:03} {:5} {}: {}",
                at.as_secs(),
                at.subsec_millis(),
                record.level(),
                record.target().rsplit("::").next().unwrap_or_default(),
                record.args()
            );
        }
    }

    fn flush(&self) {}
}

/// Starts logging at the level that `ONYXSTILE_LOG` names, else `info`.
pub fn start() {
    let level = std::env::var("ONYXSTILE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(level);
    }
}
