//! Phase of the program between its start and its exit.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Phases in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Reading its configuration.
    Starting,
    /// Reading the journal.
    Recovering,
    /// Accepting flows.
    Serving,
    /// Shutdown requested: no longer ready, accepts flows for a limited time, and leaves open flows to the next
    /// process.
    Draining,
    /// Another process has taken over; this one exits on request.
    Handed,
    /// About to exit.
    Stopped,
}

/// Shared holder of the phase, which only advances.
#[derive(Debug, Clone)]
pub struct Phase(Rc<(Cell<State>, Notify)>);

impl Phase {
    /// Creates the phase of a starting program.
    pub fn new() -> Self {
        Phase(Rc::new((Cell::new(State::Starting), Notify::new())))
    }

    /// Current phase.
    pub fn state(&self) -> State {
        self.0.0.get()
    }

    /// Advances to a later phase; false if that phase or a later one has already been reached.
    pub fn advance(&self, to: State) -> bool {
        let from = self.state();
        if to <= from {
            return false;
        }
        tracing::info!("{from:?} -> {to:?}");
        self.0.0.set(to);
        self.0.1.notify_waiters();
        true
    }

    /// Waits until `state` or a later phase is reached.
    pub async fn reached(&self, state: State) {
        loop {
            let changed = self.0.1.notified();
            if self.state() >= state {
                return;
            }
            changed.await;
        }
    }
}

/// Whether clients are sent away. Unlike the phase, this can be undone.
#[derive(Debug, Clone, Default)]
pub struct Evacuation(Rc<(Cell<bool>, Notify)>);

impl Evacuation {
    /// Whether clients are currently sent away.
    pub fn is_on(&self) -> bool {
        self.0.0.get()
    }

    /// Starts or stops sending clients away; a repeated call has no effect.
    pub fn set(&self, on: bool) {
        if self.0.0.replace(on) != on {
            tracing::info!("{}", if on { "clients are sent away" } else { "clients are accepted again" });
            self.0.1.notify_waiters();
        }
    }

    /// Waits until clients are sent away.
    pub async fn begun(&self) {
        loop {
            let changed = self.0.1.notified();
            if self.is_on() {
                return;
            }
            changed.await;
        }
    }
}

impl Default for Phase {
    fn default() -> Self {
        Phase::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_phase_only_advances() {
        let phase = Phase::new();
        assert!(phase.advance(State::Serving));
        assert!(!phase.advance(State::Recovering) && !phase.advance(State::Serving));
        assert_eq!(phase.state(), State::Serving);
        assert!(phase.advance(State::Stopped));
    }
}
