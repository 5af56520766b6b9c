//! A small durable store for one process on one thread.
//!
//! Records have a number for a key, a value, and up to `F` facets: numbers by which they are found too. A
//! [`Store::commit`] of several changes is atomic and is one write. Everything is in a log of segments; the index is
//! in memory. Compaction takes the oldest segment, appends what is live of it anew and removes it, a slice at a time.
//!
//! Since the log's oldest segment always goes first, whatever it says of a key is either the key's last word, and is
//! appended anew, or has a later word behind it: a deletion that is dropped can bring nothing back.
//!
//! Each frame of the log has the number that follows the one before. What is read at the start is a beginning of that
//! sequence without a gap, or else the rest is set aside and [`Report::damaged`] says so.
//!
//! All file work goes through [`disk::Disk`]; [`sim::SimDisk`] is one that fails on demand.

mod commit;
mod compact;
mod damage;
pub mod disk;
mod frame;
mod hint;
mod index;
mod read;
mod recover;
pub mod sim;
mod store;

pub use read::Snapshot;
pub use recover::Report;
pub use store::{Change, Options, Store, Sync};

use std::fmt;

/// Why the store did not do what was asked.
#[derive(Debug)]
pub enum Error {
    /// A file could not be worked on; which, and why.
    Io(String, std::io::Error),
    /// No room within the limit, also after compaction.
    Full,
    /// A value or a commit is larger than a frame may be; how large it is, in bytes.
    TooLarge(usize),
    /// What is stored there is spoilt: the segment and the place in it.
    Damaged(u64, u64),
    /// It was opened for reading, or a sync failed: what the disk holds is not known any more.
    ReadOnly,
    /// The folder was written with another count of facets, or by a newer program.
    Format(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(name, e) => write!(f, "{name}: {e}"),
            Error::Full => f.write_str("the store is full"),
            Error::TooLarge(bytes) => write!(f, "{bytes} bytes are more than a frame holds"),
            Error::Damaged(segment, at) => write!(f, "segment {segment} is spoilt at byte {at}"),
            Error::ReadOnly => f.write_str("the store takes no writes"),
            Error::Format(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}

/// What the store's functions give.
pub type Result<T> = std::result::Result<T, Error>;
