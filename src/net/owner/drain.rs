//! Draining and shutdown of the owner.

use super::*;

/// Times after the shutdown request until which calls may begin and flows are accepted, and after which the program
/// exits: the kill follows 3.7 s after the request at the earliest. Flows accepted after the last call has begun are
/// left in the journal for the next process. After the owner come the last answers (50 ms) and the closing of client
/// connections (100 ms at most), so the program has exited 0.1 s before the kill.
const DRAIN_CALLS: Duration = Duration::from_millis(2700);
const DRAIN_ACCEPT: Duration = Duration::from_millis(3300);
const DRAIN_END: Duration = Duration::from_millis(3450);
/// The drain ends early after this time without an open flow or a submission.
const DRAIN_IDLE: Duration = Duration::from_millis(1000);
/// Expected time from the shutdown request until the next process is ready: the kill, its pause and a start. Clients
/// receive the remaining time as retry-after, limited to `RETRY_AFTER_RANGE`.
const NEXT_READY: Duration = Duration::from_millis(4500);
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

impl Owner {
    pub(super) fn drain_due(&self) -> Option<Duration> {
        let since = self.draining_since?;
        let now = self.clock.now();
        let idle_until = self.last_submission.max(since) + DRAIN_IDLE;
        [idle_until, since + DRAIN_CALLS, since + DRAIN_END].into_iter().filter(|t| *t > now).min()
    }

    /// Advances the drain; true once nothing is left that can still end in time.
    pub(super) fn drained(&mut self) -> bool {
        let now = self.clock.now();
        if self.draining_since.is_none() {
            self.record_phase(Stage::Draining);
        }
        let since = *self.draining_since.get_or_insert(now);
        if now >= since + DRAIN_CALLS {
            self.core.close();
        }
        let idle =
            self.all_steps_done() && self.core.open_flows() == 0 && self.journal.ledger().owed.is_empty();
        now >= since + DRAIN_END || idle && now >= self.last_submission.max(since) + DRAIN_IDLE
    }

    /// Whether flows are accepted. Accepting continues while draining: rejecting from the shutdown request on would
    /// leave the clients without a relay until the next process is ready.
    pub(super) fn accepts_flows(&self) -> bool {
        let until = self.draining_since.map(|since| since + DRAIN_ACCEPT);
        match self.phase.state() {
            State::Serving => true,
            State::Draining => until.is_none_or(|t| self.clock.now() < t),
            _ => false,
        }
    }
}

/// Retry-after time for clients of a relay that shuts down. It shrinks as the drain proceeds; a constant would make the
/// clients that are rejected last return long after the next process is ready.
pub(super) fn retry_after(draining_since: Option<Duration>, now: Duration) -> Duration {
    let left = draining_since.map_or(NEXT_READY, |since| (since + NEXT_READY).saturating_sub(now));
    left.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}

#[cfg(test)]
mod tests;
