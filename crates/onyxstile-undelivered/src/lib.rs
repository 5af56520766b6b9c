//! What becomes of messages that a relay gave up: which are kept and for how long, when and at what pace they are sent
//! again, and above all which never are.
//!
//! No input or output and no clock: times come in as [`Stamp`]s and durations. [`kept`] is what is written of a message
//! and how it changes; [`rules`] says what an operator may ask for; [`planner`] picks what goes next.

pub mod kept;
pub mod planner;
pub mod rules;

pub use kept::{Body, Kept, Ran, Refused, State};
pub use planner::{Pick, Planner, Traffic};
pub use rules::{Order, Rule, Rules, When};

use std::time::Duration;

/// A moment, by two clocks: wall time, which people set, and time since the machine started, which nobody does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Unix time.
    pub wall: Duration,
    /// Which start of the machine; 0 if that is not known.
    pub boot: u64,
    /// Time since then.
    pub up: Duration,
}

impl Stamp {
    /// How long ago another moment was. None: nobody can tell, for the clock was set back, or may have been.
    pub fn since(&self, earlier: &Stamp) -> Option<Duration> {
        if self.boot != 0 && self.boot == earlier.boot {
            return self.up.checked_sub(earlier.up);
        }
        self.wall.checked_sub(earlier.wall)
    }

    /// Whether the machine has started anew since another moment, so that writes may be lost that were not synced.
    pub fn another_start(&self, earlier: &Stamp) -> bool {
        self.boot == 0 || self.boot != earlier.boot
    }
}
