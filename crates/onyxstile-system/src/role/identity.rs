//! Random ids that distinguish disks and process incarnations.

use std::hash::{BuildHasher, Hasher};

use super::membership;

/// Returns a non-zero id that is unique among disks and processes, from the random keys of the standard hasher, the wall
/// clock and the process id.
pub fn random_id() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(membership::wall_clock_ms());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}
