//! A relay's trace: a versioned, indexed file of what happened to flows, with what writes it, reads it and works
//! on it.
//!
//! A file is a header, blocks of events and an index (docs/trace-format.md). Events are in protobuf
//! (`proto/trace.proto`). A [`Writer`] fills blocks and writes each with one write; a [`Reader`] reads a file in
//! order, or by its index the blocks of a time, a destination or a customer. What is cut off anywhere is read up to
//! the last whole event; what is spoilt in the middle is passed over and said. Nothing that a file says of sizes or
//! counts is believed before it has been held against the limits in [`format`](mod@format).

pub mod about;
pub mod anonymise;
pub mod batch;
pub mod cut;
pub mod format;
pub mod index;
pub mod input;
pub mod ladder;
mod lz4;
pub mod merge;
pub mod reader;
pub mod sample;
pub mod summary;
pub mod text;
pub mod verify;
pub mod writer;

/// The events and the rest of trace.proto, as types.
#[allow(missing_docs)]
pub mod events {
    include!("events.rs");
}

pub use batch::Batch;
pub use events::{Event, FileHeader};
pub use reader::{Reader, Trouble};
pub use writer::{Options, Writer};

use std::fmt;

/// Why a trace cannot be read or written.
#[derive(Debug)]
pub enum Error {
    /// The file or disk.
    Io(std::io::Error),
    /// It is no trace.
    NoTrace,
    /// It is of a version that cannot be read: the file's, and the newest that can.
    Version(u16, u16),
    /// Its header is spoilt; what is wrong with it.
    Header(&'static str),
    /// What was asked for cannot be done.
    Asked(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::NoTrace => f.write_str("this is no trace"),
            Error::Version(found, known) => {
                write!(f, "its format is of version {found}; this program reads versions up to {known}")
            }
            Error::Header(what) => write!(f, "its header is spoilt: {what}"),
            Error::Asked(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Error::Io(e)
    }
}
