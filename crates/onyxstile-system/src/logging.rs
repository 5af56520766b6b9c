//! Logging: one line per event on standard error, set up once per process.
//!
//! Nothing that a process does depends on its log. A line is queued for a thread that writes it; one that finds no place in
//! the queue, or that standard error does not accept, is lost and counted.

mod line_writer;

use std::sync::OnceLock;
use std::time::Duration;

use quick_error::quick_error;

pub use line_writer::LineWriter;

/// Environment variable with the log level (`error`, `warn`, `info`, `debug` or `trace`).
pub const LEVEL_VARIABLE: &str = "ONYXSTILE_LOG";

/// Writer of the lines of this process.
static WRITER: OnceLock<LineWriter> = OnceLock::new();

quick_error! {
    /// Why logging cannot be set up.
    #[derive(Debug)]
    pub enum LoggingError {
        /// Another logger is already set.
        AlreadySet(error: log::SetLoggerError) {
            from()
            display("the logger is already set: {}", error)
        }
    }
}

/// Writes log records of at least `level` to standard error, each with its level, module and text.
pub fn start(level: log::LevelFilter) -> Result<(), LoggingError> {
    let writer = WRITER.get_or_init(|| LineWriter::start(std::io::stderr()));
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {} {}", record.level(), record.target(), message))
        })
        .level(level)
        .chain(fern::Output::call(|record| writer.push(record.args().to_string())))
        .apply()?;
    Ok(())
}

/// Number of log lines of this process that were lost.
pub fn lines_lost() -> u64 {
    WRITER.get().map_or(0, LineWriter::lost)
}

/// Waits for at most `timeout` until all lines so far are written or lost.
pub fn flush(timeout: Duration) {
    if let Some(writer) = WRITER.get() {
        writer.flush(timeout);
    }
}

/// The log level from the environment, or `info` if it is unset or invalid.
pub fn level_from_environment() -> log::LevelFilter {
    std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok()).unwrap_or(log::LevelFilter::Info)
}
