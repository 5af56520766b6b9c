//! The owner's part in the program's end.

use super::*;

/// Time from the order to end within which calls may still begin, within which flows are still taken on, and
/// after which the program exits: the kill comes no sooner than 3.7 s after it. What is taken on after the last
/// call has begun is the next process's, which finds it in the journal. After the owner come the last answers (50 ms) and
/// the ends of clients' connections (100 ms at most): the program is gone 0.1 s before the kill.
const DRAIN_CALLS: Duration = Duration::from_millis(2700);
const DRAIN_ACCEPT: Duration = Duration::from_millis(3300);
const DRAIN_END: Duration = Duration::from_millis(3450);
/// Time without a flow open or handed in after which nobody is left who would use the rest.
const DRAIN_IDLE: Duration = Duration::from_millis(1000);
/// Time from the order to end after which the next process is there: the kill, its pause, and a start. Clients
/// are asked to stay away until then, within the two times.
const NEXT_READY: Duration = Duration::from_millis(4500);
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

impl Owner {
    pub(super) fn drain_due(&self) -> Option<Duration> {
        let since = self.draining_since?;
        let now = self.clock.now();
        let idle_until = self.last_submission.max(since) + DRAIN_IDLE;
        [idle_until, since + DRAIN_CALLS, since + DRAIN_END].into_iter().filter(|t| *t > now).min()
    }

    /// Follows the order to end; true once nothing is left that can still end in time.
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

    /// Whether flows are taken on. Guards what is handed in during a planned restart: a relay that turned all
    /// down from the order on left its clients without one for as long as it took to end and the next to come.
    pub(super) fn accepts_flows(&self) -> bool {
        let until = self.draining_since.map(|since| since + DRAIN_ACCEPT);
        match self.phase.state() {
            State::Serving => true,
            State::Draining => until.is_none_or(|t| self.clock.now() < t),
            _ => false,
        }
    }
}

/// How long clients should stay away from a relay that ends. Guards their time: told the same at every moment,
/// those refused last would come long after there is somebody again.
pub(super) fn retry_after(draining_since: Option<Duration>, now: Duration) -> Duration {
    let left = draining_since.map_or(NEXT_READY, |since| (since + NEXT_READY).saturating_sub(now));
    left.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}

#[cfg(test)]
mod tests;
