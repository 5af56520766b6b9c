//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Creates the record.
pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    // It is opened once.
    RECORD.set((Instant::now(), Mutex::new(file))).ok();
    Ok(())
}

/// Writes one line.
pub fn note(text: &str) {
    let Some((start, file)) = RECORD.get() else { return };
    let line = format!("{:8.3} {text}", start.elapsed().as_secs_f64());
    let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    writeln!(file, "{line}").ok();
    file.flush().ok();
}
