//! Watchdog of a client connection: closes it if a request head is incomplete or the connection is idle for too long.
//! Performs no I/O.

use std::time::Duration;

use crate::clock::Instant;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time from a request's first byte to the end of its head.
    pub head: Duration,
    /// Time without a byte between requests, or before the first.
    pub idle: Duration,
}

/// Reason for closing a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overdue {
    /// A request head was not completed in time.
    Head,
    /// The connection was idle for too long.
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Answering,
}

/// Watchdog of one connection.
#[derive(Debug)]
pub struct ConnectionWatchdog {
    timeouts: ConnectionTimeouts,
    phase: Phase,
    since: Instant,
}

impl ConnectionWatchdog {
    /// Creates the watchdog of a new connection.
    pub fn new(now: Instant, timeouts: ConnectionTimeouts) -> ConnectionWatchdog {
        ConnectionWatchdog { timeouts, phase: Phase::Idle, since: now }
    }

    /// Records received bytes; the first ones on an idle connection start a request head.
    pub fn bytes(&mut self, now: Instant) {
        if self.phase == Phase::Idle {
            self.enter(now, Phase::Head);
        }
    }

    /// Records a complete request head; the request is being answered. The body has its own time limit.
    pub fn request(&mut self, now: Instant) {
        self.enter(now, Phase::Answering);
    }

    /// Records the end of the answer.
    pub fn answered(&mut self, now: Instant) {
        self.enter(now, Phase::Idle);
    }

    /// Records that bytes of an answer were written. The idle time starts with the last of them, however long ago the
    /// answer was created. So does the time limit of a head that follows a request whose answer is still being written,
    /// because it is not read until then.
    pub fn sent(&mut self, now: Instant) {
        self.since = now;
    }

    /// Whether no request is being answered and no request head has started.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Time at which the connection is closed unless its state changes, and the reason; `None` while a request is being
    /// answered.
    pub fn deadline(&self) -> Option<(Instant, Overdue)> {
        match self.phase {
            Phase::Idle => Some((self.since + self.timeouts.idle, Overdue::Idle)),
            Phase::Head => Some((self.since + self.timeouts.head, Overdue::Head)),
            Phase::Answering => None,
        }
    }

    fn enter(&mut self, now: Instant, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }
}
