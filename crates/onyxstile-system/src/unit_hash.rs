//! Draws that are the same wherever they are made. Pure.

use xxhash_rust::xxh3::xxh3_64;

/// A number in 0..1 that stays the same for one text, at all machines.
pub fn unit_hash(text: &str) -> f64 {
    (xxh3_64(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
}
