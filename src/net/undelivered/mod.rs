//! Messages that were given up: kept, open to inspection, and sent again by rule.
//!
//! What is kept and when it goes is decided in `onyxstile-undelivered`, which is pure; a [`shelf::Shelf`] holds it in
//! a store, and a [`keeper::Keeper`] is both together for the owner. The order in which the store and the journal are
//! written is what keeps a message from taking effect twice (docs/design/undelivered.md): a resend's beginning and
//! each end are in the store before the journal has them.

pub mod keeper;
pub mod settings;
pub mod shelf;

use onyxstile_undelivered::Stamp;
use std::time::Duration;
use tokio::time::Instant;

/// The machine's own clock: which start of it this is, and how long ago that was.
#[derive(Debug, Clone, Copy)]
pub struct MachineClock {
    boot: u64,
    up: Duration,
    at: Instant,
}

impl MachineClock {
    /// Reads it; where the system does not tell, nothing is taken for known.
    pub fn read() -> MachineClock {
        let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        let up = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
        let up = up.split(' ').next().and_then(|s| s.parse().ok()).map(Duration::from_secs_f64);
        // Sixteen digits of a random id.
        let digits: String = id.chars().filter(char::is_ascii_hexdigit).take(16).collect();
        let boot = up.and_then(|_| u64::from_str_radix(&digits, 16).ok()).unwrap_or(0);
        MachineClock { boot, up: up.unwrap_or_default(), at: Instant::now() }
    }

    /// A moment of which the wall time is known.
    pub fn stamp(&self, wall: Duration) -> Stamp {
        Stamp { wall, boot: self.boot, up: self.up + self.at.elapsed() }
    }

    /// A moment of the past: so long before `wall`'s now.
    pub fn stamp_of(&self, then: Duration, wall: Duration) -> Stamp {
        let now = self.stamp(wall);
        let age = wall.checked_sub(then);
        let up = age.and_then(|a| now.up.checked_sub(a));
        // What lies before the machine's start, or in the future, only has its wall time.
        match up {
            Some(up) => Stamp { wall: then, boot: self.boot, up },
            None => Stamp { wall: then, boot: 0, up: Duration::ZERO },
        }
    }
}
