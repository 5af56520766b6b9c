//! Facts about this process that an operator sees without its log: how it ends (exit code), how the one before it ended
//! (a file), panics, lost log lines and what a start waits for (metrics).

mod end_record;
mod exit;
mod memory;
mod panics;
mod start_waits;

use std::sync::OnceLock;

use crate::logging;
use crate::metrics::Metrics;
pub use end_record::{EndRecord, PreviousEnd};
pub use exit::Exit;
pub use memory::ResidentMemory;
pub use panics::{count_panics, panics};
pub use start_waits::{Resource, StartWaits};

/// How the process before this one ended, once it is known.
static PREVIOUS_END: OnceLock<PreviousEnd> = OnceLock::new();

/// Notes how the process before this one ended; the first call counts.
pub fn set_previous_end(end: PreviousEnd) {
    log::info!("the process before this one: {end}");
    PREVIOUS_END.get_or_init(|| end);
}

/// How the process before this one ended.
pub fn previous_end() -> &'static PreviousEnd {
    PREVIOUS_END.get().unwrap_or(&PreviousEnd::Unknown)
}

/// Adds metrics that all roles have.
pub fn add_metrics(metrics: &mut Metrics, waits: &StartWaits) {
    waits.add_metrics(metrics);
    memory::add_metrics(metrics);
    metrics.counter("log_lines_lost", "Log lines that could not be written.", logging::lines_lost());
    metrics.counter("panics", "Panics of any task or thread.", panics());
    let end = [(previous_end().to_string(), 1.0)];
    metrics.gauges("previous_end", "How the process before this one ended.", "how", &end);
}
