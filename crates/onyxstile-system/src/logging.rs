//! The log: one line an event on standard error, set up once a process.

use quick_error::quick_error;

/// The variable that sets the level (`error`, `warn`, `info`, `debug`, `trace`).
pub const LEVEL_VARIABLE: &str = "ONYXSTILE_LOG";

quick_error! {
    /// Why the log can't be set up.
    #[derive(Debug)]
    pub enum LoggingError {
        /// Another logger is in place.
        AlreadySet(error: log::SetLoggerError) {
            from()
            display("the log is set up already: {}", error)
        }
    }
}

/// Sends log lines of at least `level` to standard error, each with level, module and text.
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

/// The level that the environment asks for; `info` if it says nothing that is known.
pub fn level_from_environment() -> log::LevelFilter {
    std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok()).unwrap_or(log::LevelFilter::Info)
}
