//! The rungs of a flow: what happened to it, from when to when.

use crate::about::about;
use crate::events::Event;
use crate::events::event::What;
use crate::text::{end, outcome, why};

/// A rung.
#[derive(Debug, Clone, PartialEq)]
pub struct Rung {
    /// From when, wall time, microseconds since 1970.
    pub from: u64,
    /// To when; the same where it is a moment.
    pub to: u64,
    /// Where: the real server, or the relay itself.
    pub place: String,
    /// What.
    pub what: String,
}

/// Collects the rungs of a flow from its events.
#[derive(Debug, Default)]
pub struct Ladder {
    rungs: Vec<Rung>,
}

impl Ladder {
    /// An event of the flow at a wall time.
    pub fn add(&mut self, at: u64, event: &Event) {
        let mut moment = |what: String| {
            self.rungs.push(Rung { from: at, to: at, place: "relay".into(), what });
        };
        match &event.what {
            Some(What::Offered(e)) => moment(format!("offered, {} ms to live", e.life_us / 1000)),
            Some(What::Taken(_)) => moment("taken".into()),
            Some(What::TurnedDown(e)) => moment(format!("turned down: {}", why(e.why))),
            Some(What::Recovered(e)) => {
                // What was out when the process was killed ended with it.
                self.rungs.iter_mut().filter(|r| r.to == u64::MAX).for_each(|r| r.to = at);
                let out = if e.may_have_run { ", may have run" } else { "" };
                let what = format!("taken up by another process{out}");
                self.rungs.push(Rung { from: at, to: at, place: "relay".into(), what });
            }
            Some(What::TimerFired(e)) => {
                moment(format!("timer {}: {}", e.firings, if e.won { "goes again" } else { "waits on" }));
            }
            Some(What::Ended(e)) => moment(format!("ended: {}", end(e.end))),
            Some(What::NoticeOwed(_)) => moment("notice owed".into()),
            Some(What::NoticeHeard(_)) => moment("notice heard".into()),
            Some(What::Sent(e)) => {
                let place = about(event).server.to_string();
                self.rungs.push(Rung {
                    from: at,
                    to: u64::MAX,
                    place,
                    what: format!("attempt {}", e.attempt),
                });
            }
            Some(What::AttemptEnded(e)) => {
                let name = format!("attempt {}", e.attempt);
                if let Some(rung) = self.rungs.iter_mut().rev().find(|r| r.to == u64::MAX && r.what == name) {
                    rung.to = at;
                    rung.what = format!("{name}: {}", outcome(e.outcome));
                }
            }
            _ => {}
        }
    }

    /// The rungs; what had no end by `last` is open to there.
    pub fn rungs(mut self, last: u64) -> Vec<Rung> {
        for rung in self.rungs.iter_mut().filter(|r| r.to == u64::MAX) {
            rung.to = last;
            rung.what += ", no end seen";
        }
        self.rungs
    }
}
