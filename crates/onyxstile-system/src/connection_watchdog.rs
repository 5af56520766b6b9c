//! How long a client's connection may stay as it is: a head that does not end and a rest that lasts too long are ended.
//! Pure.

use std::time::Duration;

use crate::clock::Instant;

/// What a listener allows a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time from a request's first byte to the end of its head.
    pub head: Duration,
    /// Time without a byte between requests, or before the first.
    pub idle: Duration,
}

/// Why a connection is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overdue {
    /// The head of a request did not end in time.
    Head,
    /// It has rested too long.
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Answering,
}

/// One connection.
#[derive(Debug)]
pub struct ConnectionWatchdog {
    timeouts: ConnectionTimeouts,
    phase: Phase,
    since: Instant,
}

impl ConnectionWatchdog {
    /// A connection that has just come.
    pub fn new(now: Instant, timeouts: ConnectionTimeouts) -> ConnectionWatchdog {
        ConnectionWatchdog { timeouts, phase: Phase::Idle, since: now }
    }

    /// Bytes came; the first after a rest begin a head.
    pub fn bytes(&mut self, now: Instant) {
        if self.phase == Phase::Idle {
            self.enter(now, Phase::Head);
        }
    }

    /// A head has ended and its request is being answered. The body has a bound of its own.
    pub fn request(&mut self, now: Instant) {
        self.enter(now, Phase::Answering);
    }

    /// The answer has ended.
    pub fn answered(&mut self, now: Instant) {
        self.enter(now, Phase::Idle);
    }

    /// Bytes of an answer have left. A rest begins with the last of them, however long ago the answer was made, and so does the
    /// time of a head that came behind a request whose answer still leaves: nobody reads it until then.
    pub fn sent(&mut self, now: Instant) {
        self.since = now;
    }

    /// Whether no request is answered and no head has begun.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// When the connection is to be ended if nothing changes, and why; never while a request is answered.
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
