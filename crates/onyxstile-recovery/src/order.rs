//! In which order service returns. One object, named states; each has a condition on which it is left and a longest time
//! after which it is left all the same: no state waits for a peer, a list or a partner for ever.

use crate::trust::Loss;
use std::fmt;
use std::time::Duration;

/// Where a return stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The folder is read, and judged by itself.
    Judging,
    /// The others are asked who they take this relay for, and what they have seen.
    AskingPeers,
    /// The list is waited for; the one that the configuration gives may be old.
    AwaitingList,
    /// What is owed for flows that are over is told.
    Owed,
    /// Flows that must not run twice: ended where a call may have gone out, sent where none can have.
    Once,
    /// Flows that may be repeated for a while, within what is left of it.
    Keyed,
    /// Flows are taken on again, by class and a ramp.
    Admission,
    /// Messages that were given up and kept may go again.
    Kept,
    /// As ever.
    Serving,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Judging => "judging the folder",
            Stage::AskingPeers => "asking the peers",
            Stage::AwaitingList => "awaiting the list",
            Stage::Owed => "telling what is owed",
            Stage::Once => "settling once-only flows",
            Stage::Keyed => "sending keyed flows",
            Stage::Admission => "admitting by the ramp",
            Stage::Kept => "sending kept messages",
            Stage::Serving => "serving",
        })
    }
}

/// Why a state was left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Why {
    /// Its condition holds.
    Done,
    /// Its time is up.
    TimeUp,
    /// There was nothing to do in it.
    Nothing,
}

/// How long each state may last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Times {
    /// Asking the peers, after a loss; and where only the process died, to find out whether the folder is an old copy.
    pub peers: Duration,
    /// See `peers`.
    pub peers_brief: Duration,
    /// Awaiting the list.
    pub list: Duration,
    /// Each of the three states that settle what the folder shows.
    pub settle: Duration,
    /// The ramp where no sound relay has told what it saw, and where one has.
    pub ramp_alone: Duration,
    /// See `ramp_alone`.
    pub ramp_told: Duration,
}

impl Times {
    /// The times in use; a relay that is alone admits flows 2.9 s after it has read its folder, at the latest. `cold`: the
    /// time in which a partner is warm; a quarter of it, and 4 s at most, is the ramp's.
    pub fn of(cold: Duration) -> Times {
        let ms = Duration::from_millis;
        let ramp_alone = (cold / 4).min(ms(4000));
        Times {
            peers: ms(800),
            peers_brief: ms(300),
            list: ms(1200),
            settle: ms(300),
            ramp_alone,
            ramp_told: ramp_alone / 4,
        }
    }

    /// The longest time from a judged folder to the first flow that is admitted.
    pub fn longest(&self) -> Duration {
        self.peers + self.list + 3 * self.settle
    }
}

/// What happens to a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The folder is judged by itself. `peers`: there are others to ask.
    Judged {
        /// What was lost.
        loss: Loss,
        /// Whether there is anybody to ask.
        peers: bool,
    },
    /// All questions to the others have ended. `sound`: one that knows the world answered.
    PeersHeard {
        /// See above.
        sound: bool,
    },
    /// Another relay knows a later life of this one.
    Overtaken,
    /// The list has come, or the others have it in the version that is here.
    ListHad,
    /// Nothing is owed any more of what the folder showed.
    OwedTold,
    /// No flow that must not run twice is left of those that the folder showed.
    OnceSettled,
    /// No flow at all is left of those.
    KeyedSettled,
    /// Time has passed.
    Tick,
}

/// What has to be done, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The state `.1` begins; the one before it, `.0`, was left for this reason, after this time.
    Entered(Stage, Stage, Why, Duration),
    /// Ask the others, for so long at most.
    AskPeers(Duration),
    /// Nothing that the folder shows is to be acted on: it is an old copy.
    GiveUpFolder,
    /// Tell what is owed.
    TellOwed,
    /// Hand over the flows that must not run twice.
    SettleOnce,
    /// Hand over the others.
    SendKeyed,
    /// Take flows on, by a ramp of this length.
    Admit(Duration),
    /// Kept messages may go.
    SendKept,
}

/// A relay's return to service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Return {
    times: Times,
    stage: Stage,
    since: Duration,
    loss: Loss,
    peers: bool,
    sound: bool,
    /// Conditions that hold already; they may come to hold before their state does.
    peers_heard: bool,
    list_had: bool,
    owed_told: bool,
    once_settled: bool,
    keyed_settled: bool,
}

impl Return {
    /// A return that begins.
    pub fn new(times: Times, now: Duration) -> Return {
        Return {
            times,
            stage: Stage::Judging,
            since: now,
            loss: Loss::Nothing,
            peers: false,
            sound: false,
            peers_heard: false,
            list_had: false,
            owed_told: false,
            once_settled: false,
            keyed_settled: false,
        }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// What was lost, as far as is known by now.
    pub fn loss(&self) -> Loss {
        self.loss
    }

    /// Whether a sound relay told what it has seen.
    pub fn told(&self) -> bool {
        self.sound
    }

    /// When the present state is left at the latest.
    pub fn due(&self) -> Option<Duration> {
        self.longest().map(|longest| self.since + longest)
    }

    fn longest(&self) -> Option<Duration> {
        let t = &self.times;
        match self.stage {
            Stage::Judging | Stage::Serving => None,
            Stage::AskingPeers if self.loss.shakes() => Some(t.peers),
            Stage::AskingPeers => Some(t.peers_brief),
            Stage::AwaitingList => Some(t.list),
            Stage::Owed | Stage::Once | Stage::Keyed => Some(t.settle),
            Stage::Admission => Some(self.ramp()),
            Stage::Kept => Some(Duration::ZERO),
        }
    }

    fn ramp(&self) -> Duration {
        match (self.loss.shakes(), self.sound) {
            (false, _) => Duration::ZERO,
            (true, true) => self.times.ramp_told,
            (true, false) => self.times.ramp_alone,
        }
    }

    /// Takes in what happened.
    pub fn on(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Judged { loss, peers } if self.stage == Stage::Judging => {
                (self.loss, self.peers) = (loss, peers);
                self.enter(Stage::AskingPeers, Why::Done, now, &mut effects);
            }
            Event::Judged { .. } | Event::Tick => {}
            Event::PeersHeard { sound } => (self.peers_heard, self.sound) = (true, self.sound || sound),
            Event::Overtaken if self.loss != Loss::OldCopy => {
                // Whenever it is heard: what has not gone out by then does not go out.
                self.loss = Loss::OldCopy;
                (self.owed_told, self.once_settled, self.keyed_settled) = (true, true, true);
                effects.push(Effect::GiveUpFolder);
            }
            Event::Overtaken => {}
            Event::ListHad => self.list_had = true,
            Event::OwedTold => self.owed_told = true,
            Event::OnceSettled => self.once_settled = true,
            Event::KeyedSettled => self.keyed_settled = true,
        }
        while let Some(why) = self.may_leave(now) {
            let Some(next) = self.next() else { break };
            self.enter(next, why, now, &mut effects);
        }
        effects
    }

    fn may_leave(&self, now: Duration) -> Option<Why> {
        let done = match self.stage {
            Stage::Judging | Stage::Serving => return None,
            Stage::AskingPeers if !self.peers => return Some(Why::Nothing),
            Stage::AskingPeers => self.peers_heard,
            // Where only the process died the configuration's list is what it had.
            Stage::AwaitingList if !self.loss.shakes() => return Some(Why::Nothing),
            Stage::AwaitingList => self.list_had,
            Stage::Owed => self.owed_told,
            Stage::Once => self.once_settled,
            Stage::Keyed => self.keyed_settled,
            Stage::Admission => false,
            Stage::Kept => true,
        };
        let late = self.due().is_some_and(|due| now >= due);
        if done { Some(Why::Done) } else { late.then_some(Why::TimeUp) }
    }

    fn next(&self) -> Option<Stage> {
        Some(match self.stage {
            Stage::Judging => Stage::AskingPeers,
            Stage::AskingPeers => Stage::AwaitingList,
            Stage::AwaitingList => Stage::Owed,
            Stage::Owed => Stage::Once,
            Stage::Once => Stage::Keyed,
            Stage::Keyed => Stage::Admission,
            Stage::Admission => Stage::Kept,
            Stage::Kept => Stage::Serving,
            Stage::Serving => return None,
        })
    }

    fn enter(&mut self, stage: Stage, why: Why, now: Duration, effects: &mut Vec<Effect>) {
        let (before, took) = (self.stage, now.saturating_sub(self.since));
        (self.stage, self.since) = (stage, now);
        effects.push(Effect::Entered(before, stage, why, took));
        match stage {
            Stage::AskingPeers if self.peers => {
                effects.extend(self.longest().map(Effect::AskPeers));
            }
            Stage::Owed => effects.push(Effect::TellOwed),
            Stage::Once => effects.push(Effect::SettleOnce),
            Stage::Keyed => effects.push(Effect::SendKeyed),
            Stage::Admission => effects.push(Effect::Admit(self.ramp())),
            Stage::Kept => effects.push(Effect::SendKept),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn times() -> Times {
        Times::of(ms(14_000))
    }

    fn entered(effects: &[Effect]) -> Vec<(Stage, Why)> {
        let stage = |e: &Effect| if let Effect::Entered(_, s, w, _) = e { Some((*s, *w)) } else { None };
        effects.iter().filter_map(stage).collect()
    }

    /// Nobody answers, no list comes, nothing settles: every state ends by itself.
    #[test]
    fn a_relay_that_comes_back_alone_admits_flows_in_time() {
        let mut r = Return::new(times(), ms(0));
        let mut effects = r.on(Event::Judged { loss: Loss::Unsynced, peers: true }, ms(0));
        let mut admitted = None;
        while let Some(due) = r.due() {
            effects.extend(r.on(Event::Tick, due));
            if r.stage() == Stage::Admission && admitted.is_none() {
                admitted = Some(due);
            }
        }
        assert_eq!((r.stage(), admitted), (Stage::Serving, Some(times().longest())));
        assert!(times().longest() < ms(5000));
        let order = [
            Effect::TellOwed,
            Effect::SettleOnce,
            Effect::SendKeyed,
            Effect::Admit(ms(3500)),
            Effect::SendKept,
        ];
        let done: Vec<_> = effects.into_iter().filter(|e| order.contains(e)).collect();
        assert_eq!(done, order);
    }

    #[test]
    fn where_only_the_process_died_all_goes_on_at_once() {
        let mut r = Return::new(times(), ms(0));
        let effects = r.on(Event::Judged { loss: Loss::Nothing, peers: false }, ms(0));
        // What the folder shows is settled in its states, but none of them is waited for longer than it has to be.
        assert_eq!(entered(&effects).last(), Some(&(Stage::Owed, Why::Nothing)));
        for event in [Event::OwedTold, Event::OnceSettled, Event::KeyedSettled] {
            r.on(event, ms(1));
        }
        assert_eq!(r.stage(), Stage::Serving);
    }

    #[test]
    fn what_others_tell_makes_it_faster_and_an_old_copy_is_given_up_at_any_time() {
        let mut r = Return::new(times(), ms(0));
        r.on(Event::Judged { loss: Loss::Unsaved, peers: true }, ms(0));
        r.on(Event::ListHad, ms(10));
        let effects = r.on(Event::PeersHeard { sound: true }, ms(20));
        assert_eq!(entered(&effects), [(Stage::AwaitingList, Why::Done), (Stage::Owed, Why::Done)]);
        let effects = r.on(Event::Overtaken, ms(30));
        assert_eq!(effects[0], Effect::GiveUpFolder);
        assert!(effects.contains(&Effect::Admit(ms(875))), "{effects:?}");
        assert_eq!((r.loss(), r.on(Event::Overtaken, ms(40))), (Loss::OldCopy, vec![]));
    }
}
