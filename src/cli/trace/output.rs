//! What the tools have in common: traces opened, results written, progress and troubles told.

use std::fs::File;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use onyxstile_trace::{Error, Reader, text};

use crate::cli::Failed;

pub(super) fn open(path: &Path) -> Result<Reader<File>, Failed> {
    let named = |e: &dyn std::fmt::Display| Failed::unreadable(format!("{}: {e}", path.display()));
    Reader::open(File::open(path).map_err(|e| named(&e))?).map_err(|e| named(&e))
}

/// Writes a file whole or not at all: under another name first.
pub(super) fn create(
    path: &Path, fill: impl FnOnce(BufWriter<File>) -> Result<(), Error>,
) -> Result<(), Failed> {
    let named = |e: &dyn std::fmt::Display| Failed::unreadable(format!("{}: {e}", path.display()));
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let file = File::create(&beside).map_err(|e| named(&e))?;
    let done = fill(BufWriter::new(file)).map_err(|e| named(&e));
    let done = done.and_then(|()| std::fs::rename(&beside, path).map_err(|e| named(&e)));
    if done.is_err() {
        let _ = std::fs::remove_file(&beside);
    }
    done
}

/// Tells on a terminal how far long work is.
pub(super) struct Shown {
    last: Instant,
    /// Whether it is shown at all.
    pub on: bool,
    written: bool,
}

impl Shown {
    pub fn new() -> Shown {
        Shown { last: Instant::now(), on: std::io::stderr().is_terminal(), written: false }
    }

    pub fn tell(&mut self, of: u64, done: u64) {
        if self.on && self.last.elapsed() > Duration::from_millis(500) {
            (self.last, self.written) = (Instant::now(), true);
            let _ = write!(std::io::stderr(), "\r{:3} %", done.min(of) * 100 / of.max(1));
        }
    }
}

impl Drop for Shown {
    fn drop(&mut self) {
        if self.written {
            let _ = write!(std::io::stderr(), "\r     \r");
        }
    }
}

/// What was found wrong with a file goes to standard error.
pub(super) fn say(reader: &Reader<File>) {
    reader.troubles().iter().for_each(|t| eprintln!("onyxstile: {t}"));
}

pub(super) fn moment(given: &Option<String>, near: u64) -> Result<Option<u64>, Failed> {
    let Some(given) = given else { return Ok(None) };
    let read = text::read_time(given, near);
    read.map(Some).ok_or_else(|| Failed::unreadable(format!("`{given}` is no time")))
}

/// A broken pipe is the reader's way to say that it has enough.
pub(super) fn unless_closed(done: Result<(), Error>) -> Result<(), Failed> {
    match done {
        Err(Error::Io(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other?),
    }
}
