//! A file that tells how the previous incarnation of a process ended, for when there is no log.
//!
//! It is not synced and not relied on: after a loss of power it may be missing or old.

use std::fmt::{self, Display};
use std::path::{Path, PathBuf};

use crate::settings::Settings;

/// First word of the record of a process that has not ended in order.
const RUNNING: &str = "running";

/// How the previous incarnation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreviousEnd {
    /// There is no record of an earlier incarnation.
    Unknown,
    /// It has left no word: it was killed, crashed or lost power.
    Unrecorded,
    /// It still runs.
    StillRunning,
    /// It ended by itself, with this text.
    Recorded(String),
}

impl Display for PreviousEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PreviousEnd::Unknown => "unknown",
            PreviousEnd::Unrecorded => "killed, crashed or lost power",
            PreviousEnd::StillRunning => "still running",
            PreviousEnd::Recorded(text) => text,
        })
    }
}

impl PreviousEnd {
    fn parse(text: &str) -> PreviousEnd {
        match text.trim().strip_prefix(RUNNING) {
            Some(process) if is_running(process.trim()) => PreviousEnd::StillRunning,
            Some(_) => PreviousEnd::Unrecorded,
            None => PreviousEnd::Recorded(text.trim().to_owned()),
        }
    }
}

/// Whether a process other than this one has the id `process`.
fn is_running(process: &str) -> bool {
    process != std::process::id().to_string() && Path::new("/proc").join(process).exists()
}

/// The record of this process: in its data folder, or, on a machine without one, in the folder for temporary files.
pub struct EndRecord {
    path: PathBuf,
    own: String,
}

impl EndRecord {
    /// The record of the process of `role`.
    pub fn new(settings: &Settings, role: &str) -> EndRecord {
        let own = format!("{RUNNING} {}", std::process::id());
        let path = match &settings.data_dir {
            Some(folder) => folder.join(format!("last-end-{role}")),
            None => std::env::temp_dir()
                .join(format!("onyxstile-{}-{role}-last-end", file_name(&settings.node_name))),
        };
        EndRecord { path, own }
    }

    /// Reads how the previous incarnation ended, and records that this one runs.
    pub fn begin(&self) -> PreviousEnd {
        let previous = std::fs::read_to_string(&self.path)
            .map_or(PreviousEnd::Unknown, |text| PreviousEnd::parse(&text));
        self.write(&self.own);
        previous
    }

    /// Records how this process ends, unless its successor already runs.
    pub fn end(&self, text: &str) {
        let is_own = std::fs::read_to_string(&self.path).is_ok_and(|found| found == self.own);
        if is_own {
            self.write(&text.replace('\n', " "));
        }
    }

    /// Replaces the file, so that a reader never sees half of it. Nothing depends on it.
    fn write(&self, text: &str) {
        let aside = self.path.with_extension(std::process::id().to_string());
        let written = std::fs::write(&aside, text).and_then(|()| std::fs::rename(&aside, &self.path));
        if let Err(error) = written {
            log::debug!("{}: {error}", self.path.display());
        }
    }
}

/// A machine's name as part of a file name.
fn file_name(name: &str) -> String {
    name.replace(|character: char| !character.is_ascii_alphanumeric() && character != '-', "_")
}

#[cfg(test)]
mod tests;
