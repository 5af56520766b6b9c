//! Time left for a role after SIGTERM.

use std::cell::Cell;
use std::time::Duration;

use crate::clock::Instant;
use crate::settings::shutdown_time;

/// Time between the exit of a process and the kill, in which a signal may arrive late and the kernel sends its socket buffers.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Time for the last answers after a shorter grace period has become known so late that they are all due at once.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Shortest grace period in the settings since SIGTERM. The platform may kill the process by the grace period at SIGTERM
/// or by a later one; which one applies is unknown.
#[derive(Debug)]
pub struct ShortestGrace {
    sigterm_at: Instant,
    grace: Cell<Duration>,
    /// Time at which this grace period became known.
    known_at: Cell<Instant>,
}

impl ShortestGrace {
    /// Creates the state for a SIGTERM at `sigterm_at`; the kill follows `grace` later.
    pub fn new(sigterm_at: Instant, grace: Duration) -> ShortestGrace {
        ShortestGrace { sigterm_at, grace: Cell::new(grace), known_at: Cell::new(sigterm_at) }
    }

    /// Applies the grace period in the settings at `now`. One that has already expired is ignored: if it applied, the
    /// kill would have come.
    pub fn update(&self, now: Instant, grace: Duration) {
        if self.sigterm_at + grace > now && grace < self.grace() {
            self.grace.set(grace);
            self.known_at.set(now);
        }
    }

    /// Time of SIGTERM.
    pub fn sigterm_at(&self) -> Instant {
        self.sigterm_at
    }

    /// Effective grace period.
    pub fn grace(&self) -> Duration {
        self.grace.get()
    }

    /// Time at which work that is still open is given up and answered.
    pub fn deadline(&self) -> Instant {
        self.deadline_before(Duration::ZERO)
    }

    /// The time `reserve` before [`ShortestGrace::deadline`], but not before SIGTERM.
    pub fn deadline_before(&self, reserve: Duration) -> Instant {
        self.sigterm_at + shutdown_time(self.grace()).saturating_sub(reserve)
    }

    /// Time at which the process exits at the latest, whether its last answers have been read or not. After a late change this
    /// may be later than the kill, which is not certain to go by the shorter grace period.
    pub fn exit_deadline(&self) -> Instant {
        let before_kill = self.sigterm_at + self.grace().saturating_sub(EXIT_MARGIN);
        before_kill.max(self.known_at.get() + ANSWER_TIME)
    }

    /// The time `reserve` before [`ShortestGrace::exit_deadline`], but not before SIGTERM.
    pub fn exit_deadline_before(&self, reserve: Duration) -> Instant {
        self.sigterm_at + self.exit_deadline().since(self.sigterm_at).saturating_sub(reserve)
    }
}

#[cfg(test)]
mod tests;
