//! Durable storage in files: versioned records and an append-only record log. Data that has not been synced may be lost
//! when power fails.
//!
//! [`Versions`] stores each version of a record in its own file, which is written under a temporary name, synced and
//! renamed. It works on the [`Folder`] trait, so that the same contract tests run on the file system and on a simulated
//! folder with power failures. [`ControlRecord`] adds one file per write. [`RecordLog`] stores many records in
//! `onyxstile-store`.

mod control_record;
mod folder;
mod folder_lock;
mod format;
mod record_log;
mod versions;

pub use control_record::ControlRecord;
pub use folder::{Folder, RealFolder};
pub use folder_lock::FolderLock;
pub use format::{FORMAT_VERSION, decode, encode};
pub use record_log::{OpenedLog, RECORD_MAX, RecordLog};
pub use versions::Versions;

/// Appends a frame to `out`: length, CRC-32, then the bytes.
fn write_frame(bytes: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// Returns the body of the first frame and the bytes after it, or `None` if the frame is truncated or corrupt. Empty
/// frames are rejected: a file of zeros would otherwise be a valid one.
fn read_frame(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let body = bytes.get(8..8usize.checked_add(length)?)?;
    (length > 0 && crc32fast::hash(body) == checksum).then(|| (body, &bytes[8 + length..]))
}
