//! Records of the log of a storage machine.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::disk;
use crate::program::Record;
use crate::wire::WireError;

/// Record of the log.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) enum LogEntry {
    /// Id of the disk.
    Disk(u64),
    /// The machine has copied all the data that it should hold.
    Complete,
    /// Record of a program.
    Record {
        /// The record.
        record: Record,
        /// Wall-clock time of the write in ms.
        written_ms: u64,
    },
    /// Newest epoch for which the machine holds all the data that the plan assigns to it.
    Synced(u64),
    /// Newest epoch that the machine has applied.
    Epoch(u64),
}

/// Decodes one record.
pub(super) fn read(bytes: &[u8]) -> Result<LogEntry, WireError> {
    disk::decode(bytes)
}
