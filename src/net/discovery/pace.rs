//! When discovery is asked, and how long it may take to answer.
//!
//! Whatever else is allowed after a call that failed, was refused or was given up, a change counts as told 6 s after
//! discovery had it and could be reached. So the longest call and the longest pause after it, with its random part, are one
//! sum that stays under that, with a margin for the answer itself; the sums stand below, and the program does not
//! compile with others.

use crate::api::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// A change counts as told this long after discovery had it and could be reached, or a watch fell silent.
pub(super) const TOLD_MS: u64 = 6000;
/// The same after SIGHUP has named another discovery.
pub(super) const TOLD_MOVED_MS: u64 = 4000;
/// What of these times is left for the call that brings the change, and for this thread to get to run.
const MARGIN_MS: u64 = 800;
/// A sign of life comes every 2 s; one missed, and some slack, mean that the watch is dead.
const SILENCE_MS: u64 = 3000;
/// How long a call to a discovery that all relays share may take until its answer begins. It works through calls one after
/// another: who leaves early only comes to stand behind its own call, which is worked on all the same.
const CALL_MS: u64 = 4000;
/// First and longest pause after a call in vain. A random part only shortens it.
const PAUSE_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 1200;
/// Calls after a common event are spread over this time at most.
const SPREAD_MAX_MS: u64 = 2000;
/// Time that a shared discovery may need for one call.
const TURN: Duration = Duration::from_millis(50);
/// An agent on this machine answers at once and at no cost, or is silent, as discovery is down. What it gets at the return
/// counts from that moment, so it is asked again soon; every so often with more patience, for this machine may be slow.
const AGENT_CALL: Duration = Duration::from_millis(100);
const AGENT_PATIENT_CALL: Duration = Duration::from_millis(400);
const AGENT_PATIENT_EACH: u32 = 8;
const AGENT_PAUSE: Duration = Duration::from_millis(50);
const AGENT_PAUSE_MAX: Duration = Duration::from_millis(100);

const _: () =
    assert!(CALL_MS + PAUSE_MAX_MS + MARGIN_MS <= TOLD_MS, "a call in vain, a pause, and the next call");
const _: () =
    assert!(SILENCE_MS + PAUSE_MS + SPREAD_MAX_MS + MARGIN_MS <= TOLD_MS, "a watch that fell silent");
const _: () = assert!(SPREAD_MAX_MS + MARGIN_MS <= TOLD_MOVED_MS, "another discovery");

/// Silence after which a watch is broken.
pub(super) const SILENCE: Duration = Duration::from_millis(SILENCE_MS);
const PAUSE: Duration = Duration::from_millis(PAUSE_MS);
const PAUSE_MAX: Duration = Duration::from_millis(PAUSE_MAX_MS);
const SPREAD_MAX: Duration = Duration::from_millis(SPREAD_MAX_MS);

/// When to ask, and for how long to wait.
///
/// Guards a discovery that all relays share: asked by all at the same moment, as after a kill of most of them, it answers
/// as many as it can before the others have waited too long, works on what nobody waits for any more, and is asked again by
/// all of these together. So calls are spread by the relay's seed, and wait long.
#[derive(Debug)]
pub struct Pace {
    /// Calls after a common event are spread over this time; none where nobody else asks.
    spread: Duration,
    rng: Pcg32,
    pause: Duration,
    /// Calls in vain, one after the other.
    failed: u32,
}

impl Pace {
    /// As the settings have it: a list is asked for, or is pushed to an agent on this machine.
    pub fn new(settings: &Settings, seed: u64) -> Pace {
        if settings.ask_for_list { Pace::shared(settings.senders, seed) } else { Pace::alone(seed) }
    }

    /// Of a relay with an agent of its own.
    pub fn alone(seed: u64) -> Pace {
        Pace { spread: Duration::ZERO, rng: Pcg32::seed_from_u64(seed), pause: AGENT_PAUSE, failed: 0 }
    }

    /// Of one relay of so many.
    pub fn shared(relays: u32, seed: u64) -> Pace {
        Pace { spread: (TURN * relays).min(SPREAD_MAX), pause: PAUSE, ..Pace::alone(seed) }
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Until the first call, and the first one at a new address.
    pub fn start(&mut self) -> Duration {
        (self.failed, self.pause) = (0, if self.spread.is_zero() { AGENT_PAUSE } else { PAUSE });
        self.spread.mul_f64(self.random())
    }

    /// Until the call after a watch that ended: it had begun, or it had not.
    pub fn again(&mut self, begun: bool) -> Duration {
        if begun {
            return self.start() + self.pause;
        }
        self.failed += 1;
        let most = if self.spread.is_zero() { AGENT_PAUSE_MAX } else { PAUSE_MAX };
        self.pause = (self.pause * 2).min(most);
        // Never all at the longest pause.
        if self.spread.is_zero() { self.pause } else { self.pause.mul_f64(1.0 - self.random() / 2.0) }
    }

    /// How long the next call may take until its answer begins.
    pub fn patience(&self) -> Duration {
        match (self.spread.is_zero(), self.failed) {
            (false, _) => Duration::from_millis(CALL_MS),
            (true, failed) if failed % AGENT_PATIENT_EACH == AGENT_PATIENT_EACH - 1 => AGENT_PATIENT_CALL,
            (true, _) => AGENT_CALL,
        }
    }
}
