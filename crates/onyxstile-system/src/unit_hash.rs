//! Hash of a text to a fraction, equal on all machines. Performs no I/O.

use xxhash_rust::xxh3::xxh3_64;

/// Maps a text to a number in 0..1, equal on all machines.
pub fn unit_hash(text: &str) -> f64 {
    (xxh3_64(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
}
