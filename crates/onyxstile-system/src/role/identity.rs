//! Ids that tell disks and lives of processes apart.

use std::hash::{BuildHasher, Hasher};

use super::membership;

/// An id that no other disk or process has: the kernel's randomness, or the time of day where there is none.
pub fn random_id() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(membership::wall_clock_ms());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}
