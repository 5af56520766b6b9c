//! A kept message, as it is written, and its states.
//!
//! ```text
//! failed, never ran, or keyed within its window ----> waiting <----------------- released by a person
//!                                                     |   ^                            ^
//!                                     begin, lasting  v   | failed, never ran          |
//!                                                   resending ----> may have run ------+
//!                                                     |      |
//!                                   delivered: gone <-+      +----> given up (too many tries)
//! ```
//! `held` is any of these but resending, set aside by a person.

use crate::Stamp;
use std::time::Duration;

/// Entries of a message's history, at most; the oldest but the first go.
const HISTORY: usize = 32;
/// Left of a key's window, at least, for a resend to begin in it.
const WINDOW_REST: Duration = Duration::from_millis(500);

/// What is to become of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// It goes again by its rule. It never ran, or a repeat is dropped.
    Waiting = 0,
    /// A resend has begun; `resend` is its flow.
    Resending = 1,
    /// It may have taken effect: only a person can let it go again.
    MayHaveRun = 2,
    /// Its rule's tries are used up.
    GivenUp = 3,
    /// A person has set it aside.
    Held = 4,
}

impl State {
    /// All of them.
    pub const ALL: [State; 5] =
        [State::Waiting, State::Resending, State::MayHaveRun, State::GivenUp, State::Held];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            State::Waiting => "waiting",
            State::Resending => "resending",
            State::MayHaveRun => "may-have-run",
            State::GivenUp => "given-up",
            State::Held => "held",
        }
    }

    /// The state of a name.
    pub fn named(name: &str) -> Option<State> {
        State::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// A moment as it is written.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Moment {
    /// Unix time in milliseconds.
    #[prost(uint64, tag = "1")]
    pub wall_ms: u64,
    /// Which start of the machine.
    #[prost(fixed64, tag = "2")]
    pub boot: u64,
    /// Milliseconds since then.
    #[prost(uint64, tag = "3")]
    pub up_ms: u64,
}

impl From<Stamp> for Moment {
    fn from(s: Stamp) -> Moment {
        Moment { wall_ms: s.wall.as_millis() as u64, boot: s.boot, up_ms: s.up.as_millis() as u64 }
    }
}

impl From<Moment> for Stamp {
    fn from(m: Moment) -> Stamp {
        let ms = Duration::from_millis;
        Stamp { wall: ms(m.wall_ms), boot: m.boot, up: ms(m.up_ms) }
    }
}

/// The first send that may have run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Risk {
    /// When it went out.
    #[prost(message, required, tag = "1")]
    pub at: Moment,
    /// To which real server, by its lasting name.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Something that happened to a kept message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Step {
    /// When, Unix time in milliseconds.
    #[prost(uint64, tag = "1")]
    pub at_ms: u64,
    /// What.
    #[prost(string, tag = "2")]
    pub what: String,
    /// Who, where it was a person.
    #[prost(string, tag = "3")]
    pub by: String,
}

/// A kept message without its body.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Kept {
    /// The number of the flow that failed: its key.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// The flow's id on the wire.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Its class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Its customer; empty where there is none.
    #[prost(string, tag = "4")]
    pub customer: String,
    /// Its destination, as the relay numbers them.
    #[prost(uint64, tag = "5")]
    pub destination: u64,
    /// Bytes of its body.
    #[prost(uint32, tag = "6")]
    pub bytes: u32,
    /// When it failed.
    #[prost(message, required, tag = "7")]
    pub failed: Moment,
    /// What is to become of it.
    #[prost(enumeration = "State", tag = "8")]
    pub state: i32,
    /// Resends that ended without a delivery.
    #[prost(uint32, tag = "9")]
    pub tries: u32,
    /// When the next may begin, Unix time in milliseconds.
    #[prost(uint64, tag = "10")]
    pub not_before_ms: u64,
    /// The first send that may have run.
    #[prost(message, optional, tag = "11")]
    pub risk: Option<Risk>,
    /// The window in which a repeat of it is dropped; 0: none is.
    #[prost(uint64, tag = "12")]
    pub window_ms: u64,
    /// The flow of the resend that has begun.
    #[prost(uint64, tag = "13")]
    pub resend: u64,
    /// When that began.
    #[prost(message, optional, tag = "14")]
    pub begun: Option<Moment>,
    /// What happened to it.
    #[prost(message, repeated, tag = "15")]
    pub history: Vec<Step>,
    /// For mail: the recipient.
    #[prost(string, tag = "16")]
    pub recipient: String,
    /// A person let it go again though it may have run.
    #[prost(bool, tag = "17")]
    pub released: bool,
    /// A person asked for its next resend: no rule's time is waited for.
    #[prost(bool, tag = "18")]
    pub asked: bool,
}

/// The rest of a kept message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Body {
    /// What is delivered.
    #[prost(bytes = "vec", tag = "1")]
    pub body: Vec<u8>,
    /// Its idempotency key.
    #[prost(string, optional, tag = "2")]
    pub key: Option<String>,
    /// For mail: the sender.
    #[prost(string, optional, tag = "3")]
    pub mail_from: Option<String>,
    /// For mail: the recipient.
    #[prost(string, optional, tag = "4")]
    pub mail_to: Option<String>,
    /// For what a routing table took in: the target.
    #[prost(string, optional, tag = "5")]
    pub routed_path: Option<String>,
    /// And what its group's method goes by.
    #[prost(bytes = "vec", optional, tag = "6")]
    pub routed_key: Option<Vec<u8>>,
}

/// What is known of whether a flow that was given up has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ran {
    /// No call of it can have.
    Never,
    /// One may have: when it went out, and where to.
    MayHave(Stamp, String),
}

/// Why a person's wish is not followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Its resend is under way; only its end tells what became of it.
    Resending,
    /// It may have run, and that was not said.
    MayHaveRun,
}

impl Kept {
    /// Its state.
    pub fn is(&self) -> State {
        self.state()
    }

    /// Appends to its history.
    pub fn note(&mut self, now: Stamp, what: impl Into<String>, by: &str) {
        if self.history.len() >= HISTORY {
            self.history.remove(1);
        }
        let (at_ms, what, by) = (now.wall.as_millis() as u64, what.into(), by.to_string());
        self.history.push(Step { at_ms, what, by });
    }

    /// The first state of a message that failed.
    pub fn settle_first(&mut self, ran: Ran, now: Stamp) {
        if let Ran::MayHave(at, server) = ran {
            self.risk = Some(Risk { at: at.into(), server });
        }
        let state = if self.may_go(now) { State::Waiting } else { State::MayHaveRun };
        self.set_state(state);
        self.note(now, format!("failed; {}", state.name()), "");
    }

    /// Whether it may be sent again without anybody's word: it never ran, or a repeat of it is dropped still.
    pub fn may_go(&self, now: Stamp) -> bool {
        let Some(risk) = &self.risk else { return true };
        let window = Duration::from_millis(self.window_ms);
        // Where nobody can tell how long ago that was, the window is over.
        self.released || now.since(&risk.at.into()).is_some_and(|age| age + WINDOW_REST < window)
    }

    /// What the module is told of earlier sends: how long ago the first was that may have run, and where to. None as
    /// well for one that a person released: it is asked for as if it were new.
    pub fn past(&self, now: Stamp) -> Option<(Duration, &str)> {
        let risk = self.risk.as_ref().filter(|_| !self.released)?;
        Some((now.since(&risk.at.into()).unwrap_or(Duration::MAX / 2), &risk.server))
    }

    /// A resend begins as a flow. False: it may not.
    pub fn begin(&mut self, flow: u64, now: Stamp) -> bool {
        if self.is() != State::Waiting || !self.may_go(now) {
            return false;
        }
        self.set_state(State::Resending);
        (self.resend, self.begun) = (flow, Some(now.into()));
        self.note(now, format!("resend {} begins as flow {flow}", self.tries + 1), "");
        true
    }

    /// It was not taken on: as if it had not begun.
    pub fn not_begun(&mut self, pause: Duration, now: Stamp) {
        self.set_state(State::Waiting);
        (self.resend, self.begun) = (0, None);
        self.not_before_ms = (now.wall + pause).as_millis() as u64;
        self.note(now, "not taken on", "");
    }

    /// Its resend ended without a delivery. `tries`, `pause`: its rule's.
    pub fn settle(&mut self, ran: Ran, tries: u32, pause: Duration, now: Stamp) {
        (self.resend, self.begun, self.asked) = (0, None, false);
        self.tries += 1;
        if let Ran::MayHave(at, server) = ran {
            // What a person released ran, as far as anybody knows, before and now.
            self.released = false;
            if self.risk.is_none() {
                self.risk = Some(Risk { at: at.into(), server });
            }
        }
        let state = match self.may_go(now) {
            false => State::MayHaveRun,
            true if self.tries >= tries => State::GivenUp,
            true => State::Waiting,
        };
        self.set_state(state);
        let longer = pause.saturating_mul(1 << (self.tries - 1).min(6));
        self.not_before_ms = (now.wall + longer).as_millis() as u64;
        self.note(now, format!("resend {} failed; {}", self.tries, state.name()), "");
    }

    /// The process that resent it has ended, and its flow is not in the journal of this one. `journal_is_new`: there
    /// is no journal to tell by.
    pub fn found_resending(&mut self, journal_is_new: bool, now: Stamp) {
        let begun = self.begun.map(Stamp::from);
        // A killed process left every record that it had written: without one no call went out. After a loss of
        // power, or with another journal, that says nothing.
        let proved = !journal_is_new && begun.is_some_and(|b| !now.another_start(&b));
        if proved {
            return self.not_begun(Duration::ZERO, now);
        }
        self.settle(Ran::MayHave(begun.unwrap_or(now), String::new()), u32::MAX, Duration::ZERO, now);
        if self.is() == State::Waiting {
            self.set_state(State::MayHaveRun);
        }
    }

    /// The store has lost what it had confirmed: nothing that it says of not having run is believed any more.
    pub fn doubt(&mut self, now: Stamp) {
        if !matches!(self.is(), State::MayHaveRun | State::Held) {
            self.set_state(State::MayHaveRun);
            self.note(now, "the store was damaged; may-have-run", "");
        }
        (self.released, self.asked) = (false, false);
        if self.risk.is_none() {
            self.risk = Some(Risk { at: Moment::default(), server: String::new() });
        }
    }

    /// A person lets it go again, at once.
    ///
    /// # Errors
    /// Its resend is under way, or it may have run and that was not accepted.
    pub fn release(&mut self, though_it_may_have_run: bool, by: &str, now: Stamp) -> Result<(), Refused> {
        if self.is() == State::Resending {
            return Err(Refused::Resending);
        }
        let risky = !self.may_go(now);
        if risky && !though_it_may_have_run {
            return Err(Refused::MayHaveRun);
        }
        self.released |= risky;
        self.asked = true;
        self.set_state(State::Waiting);
        (self.tries, self.not_before_ms) = (0, 0);
        let what = if risky { "released though it may have run" } else { "released" };
        self.note(now, what, by);
        Ok(())
    }

    /// A person sets it aside.
    ///
    /// # Errors
    /// Its resend is under way.
    pub fn hold(&mut self, by: &str, now: Stamp) -> Result<(), Refused> {
        if self.is() == State::Resending {
            return Err(Refused::Resending);
        }
        self.set_state(State::Held);
        self.note(now, "held", by);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Stamp {
        Stamp { wall: Duration::from_secs(1_000_000 + s), boot: 5, up: Duration::from_secs(s) }
    }

    fn kept(window_s: u64) -> Kept {
        Kept { key: 1, window_ms: window_s * 1000, ..Kept::default() }
    }

    const PAUSE: Duration = Duration::from_secs(10);

    #[test]
    fn what_may_have_run_goes_only_on_a_person_s_word_and_once_for_it() {
        let mut k = kept(0);
        k.settle_first(Ran::MayHave(at(10), "s".into()), at(30));
        assert_eq!(k.is(), State::MayHaveRun);
        assert!(!k.begin(9, at(31)));
        assert_eq!(k.release(false, "eka", at(32)), Err(Refused::MayHaveRun));
        k.release(true, "eka", at(33)).unwrap();
        assert!(k.begin(9, at(34)) && k.past(at(34)).is_none());
        assert_eq!(k.history.last().map(|s| s.by.as_str()), Some(""));
        assert!(k.history.iter().any(|s| s.by == "eka" && s.what.contains("may have run")));
        assert_eq!(
            (k.release(true, "eka", at(35)), k.hold("eka", at(35))),
            (Err(Refused::Resending), Err(Refused::Resending))
        );
        // It may have run again: her word is used up.
        k.settle(Ran::MayHave(at(34), "t".into()), 5, PAUSE, at(40));
        assert_eq!(k.is(), State::MayHaveRun);
        assert!(!k.may_go(at(41)));
        // A resend that never ran leaves her word standing.
        k.release(true, "eka", at(42)).unwrap();
        assert!(k.begin(10, at(43)));
        k.settle(Ran::Never, 5, PAUSE, at(44));
        assert_eq!(k.is(), State::Waiting);
    }

    #[test]
    fn a_key_s_window_counts_from_the_first_send_whatever_the_clock_says() {
        let mut k = kept(12);
        k.settle_first(Ran::MayHave(at(100), "s".into()), at(105));
        assert_eq!(k.is(), State::Waiting);
        assert_eq!(k.past(at(106)), Some((Duration::from_secs(6), "s")));
        assert!(k.may_go(at(111)) && !k.may_go(at(112)));
        // Set back by an hour: the machine's own clock tells.
        let back = |s: u64| Stamp { wall: at(s).wall - Duration::from_secs(3600), ..at(s) };
        assert!(k.may_go(back(106)) && !k.may_go(back(113)));
        // And after a new start with a clock set back nobody can tell.
        let restarted = Stamp { boot: 6, ..back(106) };
        assert!(!k.may_go(restarted));
        // A later send within the window does not open it again.
        assert!(k.begin(7, at(106)));
        k.settle(Ran::MayHave(at(106), "s".into()), 9, PAUSE, at(110));
        assert_eq!((k.is(), k.may_go(at(113))), (State::Waiting, false));
        assert!(!k.begin(8, at(113)));
    }

    #[test]
    fn a_resend_without_its_flow_never_began_unless_the_journal_cannot_tell() {
        for (new_journal, boot, state) in [
            (false, 5, State::Waiting),
            (true, 5, State::MayHaveRun),
            (false, 6, State::MayHaveRun),
            (false, 0, State::MayHaveRun),
        ] {
            let mut k = kept(0);
            k.settle_first(Ran::Never, at(1));
            assert!(k.begin(7, at(2)));
            k.found_resending(new_journal, Stamp { boot, ..at(3) });
            assert_eq!((k.is(), k.resend), (state, 0), "{new_journal} {boot}");
        }
    }

    #[test]
    fn tries_end_pauses_grow_and_a_damaged_store_proves_nothing() {
        let mut k = kept(0);
        k.settle_first(Ran::Never, at(0));
        let mut pauses = vec![];
        for n in 1..=3 {
            let now = at(1000 * n);
            assert!(k.begin(n, now));
            k.settle(Ran::Never, 3, PAUSE, now);
            pauses.push(k.not_before_ms - now.wall.as_millis() as u64);
        }
        assert_eq!((k.is(), pauses), (State::GivenUp, vec![10_000, 20_000, 40_000]));
        k.release(false, "eka", at(9000)).unwrap();
        assert_eq!((k.is(), k.tries), (State::Waiting, 0));
        k.doubt(at(9001));
        assert_eq!(k.is(), State::MayHaveRun);
        assert_eq!(k.release(false, "eka", at(9002)), Err(Refused::MayHaveRun));
        for n in 0..100 {
            k.note(at(n), "x", "");
        }
        assert!(k.history.len() <= HISTORY && k.history[0].what.starts_with("failed"));
    }
}
