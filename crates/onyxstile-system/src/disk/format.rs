//! How records stand in files: borsh behind the version of the format, which changes on its own, not with the messages.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::wire::{self, WireError};

/// The version of the records on disk.
pub const FORMAT_VERSION: u8 = 4;

/// The bytes of a record.
pub fn encode<T: BorshSerialize>(record: &T) -> Vec<u8> {
    wire::encode_versioned(FORMAT_VERSION, record)
}

/// Reads what [`encode`] wrote.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, WireError> {
    wire::decode_versioned(FORMAT_VERSION, bytes)
}
