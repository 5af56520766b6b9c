//! The program's log: one line a record on standard error, for people or as JSON.

use std::fmt;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Unix time in seconds, with milliseconds: what clients, platform and traces count in too.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(w, "{}.{:03}", at.as_secs(), at.subsec_millis())
    }
}

/// Starts logging at what `ONYXSTILE_LOG` says: a level, or levels by module (`info,onyxstile::net::owner=debug`);
/// else `info`. `ONYXSTILE_LOG_FORMAT=json` makes each line an object.
pub fn start() {
    let filter = EnvFilter::builder()
        .with_default_directive(LevelFilter::INFO.into())
        .with_env_var("ONYXSTILE_LOG")
        .from_env_lossy();
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_timer(UnixTime)
        .with_ansi(false)
        .with_writer(io::stderr)
        // A log that cannot be written must not end the relay, nor be written about.
        .log_internal_errors(false);
    // A second start would only be refused.
    let _ = match std::env::var("ONYXSTILE_LOG_FORMAT").as_deref() {
        Ok("json") => lines.json().flatten_event(true).try_init(),
        _ => lines.try_init(),
    };
}
