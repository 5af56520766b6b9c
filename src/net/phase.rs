//! Where the program stands between its start and its exit.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The named states, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Reading its configuration.
    Starting,
    /// Reading the journal.
    Recovering,
    /// Taking flows.
    Serving,
    /// Told to end: no longer ready, takes flows on for a while yet, and leaves what is open to the next process.
    Draining,
    /// Another process has everything; told to end, this one does.
    Handed,
    /// About to exit.
    Stopped,
}

/// The one object that holds the state. It only ever moves on.
#[derive(Debug, Clone)]
pub struct Phase(Rc<(Cell<State>, Notify)>);

impl Phase {
    /// A program at its start.
    pub fn new() -> Self {
        Phase(Rc::new((Cell::new(State::Starting), Notify::new())))
    }

    /// The present state.
    pub fn state(&self) -> State {
        self.0.0.get()
    }

    /// Moves on to a later state; false if that state or a later one has been reached before.
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

    /// Returns once `state` or a later one is reached.
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

/// Whether clients are sent away. It stands beside the phase, which only moves on: this can be undone.
#[derive(Debug, Clone, Default)]
pub struct Evacuation(Rc<(Cell<bool>, Notify)>);

impl Evacuation {
    /// Whether clients are sent away now.
    pub fn is_on(&self) -> bool {
        self.0.0.get()
    }

    /// Begins or ends it; doing so twice changes nothing.
    pub fn set(&self, on: bool) {
        if self.0.0.replace(on) != on {
            tracing::info!("{}", if on { "clients are sent away" } else { "clients are welcome again" });
            self.0.1.notify_waiters();
        }
    }

    /// Returns once clients are sent away.
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
