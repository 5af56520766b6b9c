//! The sub-commands, a file each.

pub mod check;
pub mod import_nginx;
pub mod route;
pub mod serve;
pub mod trace;
pub mod undelivered;
pub mod version;

use std::fmt::Display;
use std::process::ExitCode;

/// Why a sub-command ended without doing what it was for, and the exit code that says so.
#[derive(Debug)]
pub struct Failed {
    /// What stands on standard error.
    pub what: String,
    /// The exit code.
    pub code: u8,
}

impl<E: Display> From<E> for Failed {
    fn from(e: E) -> Failed {
        Failed { what: e.to_string(), code: 1 }
    }
}

impl Failed {
    /// What was given cannot be read.
    pub fn unreadable(e: impl Display) -> Failed {
        Failed { what: e.to_string(), code: 2 }
    }
}

/// How a sub-command ends.
pub type Done = Result<ExitCode, Failed>;

/// How a result is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is neither `text` nor `json`")),
        }
    }
}
