//! Logging: one line per event on standard error, set up once per process.

use quick_error::quick_error;

/// Environment variable with the log level (`error`, `warn`, `info`, `debug` or `trace`).
pub const LEVEL_VARIABLE: &str = "ONYXSTILE_LOG";

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
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {} {}", record.level(), record.target(), message))
        })
        .level(level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// The log level from the environment, or `info` if it is unset or invalid.
pub fn level_from_environment() -> log::LevelFilter {
    std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok()).unwrap_or(log::LevelFilter::Info)
}
