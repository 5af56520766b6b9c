//! Random ids that distinguish disks and process incarnations.

use std::hash::{BuildHasher, Hasher};

use super::membership;

/// Returns a non-zero id that no other disk or process has: from random keys of the kernel, and from the wall clock and
/// the process id in case there is no randomness.
pub fn random_id() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(membership::wall_clock_ms());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}
