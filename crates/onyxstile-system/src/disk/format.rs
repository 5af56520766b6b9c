//! Encoding of records in files: borsh with a leading format version. This version is independent of the version of the
//! wire protocol.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::wire::{self, WireError};

/// Version of the on-disk record format.
pub const FORMAT_VERSION: u8 = 4;

/// Encodes a record.
pub fn encode<T: BorshSerialize>(record: &T) -> Vec<u8> {
    wire::encode_versioned(FORMAT_VERSION, record)
}

/// Decodes a record that was encoded by [`encode`].
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, WireError> {
    wire::decode_versioned(FORMAT_VERSION, bytes)
}
