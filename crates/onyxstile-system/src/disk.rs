//! Files: versions of one record, and a log of records, both on a folder that may lose what was not synced.
//!
//! [`Versions`] keeps one file a version, written aside, synced and renamed, on the trait [`Folder`], whose contract a
//! simulated folder with losses of power has to pass as well. [`ControlRecord`] adds a file a write. [`RecordLog`] keeps
//! many records on `onyxstile-store`.

mod control_record;
mod folder;
mod format;
mod record_log;
mod versions;

pub use control_record::ControlRecord;
pub use folder::{Folder, RealFolder};
pub use format::{FORMAT_VERSION, decode, encode};
pub use record_log::{OpenedLog, RECORD_MAX, RecordLog};
pub use versions::Versions;

/// Frames bytes with length and CRC-32.
fn write_frame(bytes: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// The first framed bytes and what follows them; `None` if they are torn. A frame is never empty: a file of zeros would be one.
fn read_frame(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let body = bytes.get(8..8usize.checked_add(length)?)?;
    (length > 0 && crc32fast::hash(body) == checksum).then(|| (body, &bytes[8 + length..]))
}
