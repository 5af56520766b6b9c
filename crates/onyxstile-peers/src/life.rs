//! Lives: which folder a relay has, and which of its starts this is. They outlast the process that has them.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// A relay's number: its place in the list of all relays, which is the same at each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeNo(pub u16);

/// One process of a relay, told apart from all others that had its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// When its folder was first used, Unix time in seconds, and above all that was known of the relay then.
    pub born: u32,
    /// The folder's own number, by chance.
    pub folder: u32,
    /// Which start of a process in that folder, from 1; written there before anything is said.
    pub start: u32,
    /// The process's own number, by chance: two processes that count the same start differ in it.
    pub process: u16,
    /// How often this process took itself back after it had been taken for dead.
    pub turn: u16,
}

impl Life {
    /// Of whom nothing is known.
    pub const UNKNOWN: Life = Life { born: 0, folder: 0, start: 0, process: 0, turn: 0 };

    /// The same process, whatever it was taken for meanwhile.
    pub fn same_process(&self, other: &Life) -> bool {
        (self.born, self.folder, self.start, self.process)
            == (other.born, other.folder, other.start, other.process)
    }

    fn same_folder(&self, other: &Life) -> bool {
        (self.born, self.folder) == (other.born, other.folder)
    }

    /// Later lives win. Two processes of one start have no order that means anything; chance decides.
    pub fn order(&self, other: &Life) -> Ordering {
        let key = |l: &Life| (l.born, l.folder, l.start, l.process, l.turn);
        key(self).cmp(&key(other))
    }
}

/// What a relay is, seen against what was known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Comeback {
    /// Nothing was known.
    First,
    /// The same process.
    Same,
    /// Another process, and the same folder: what was written there is there.
    Restarted,
    /// Another folder: what it held is gone.
    LostFolder,
    /// A start that somebody has had already, or a folder that was given up: an old copy. Nothing that it holds is to
    /// be acted on.
    OldCopy,
}

impl Comeback {
    /// What `now` is, if `before` was the latest that was known.
    pub fn of(before: Option<&Life>, now: &Life) -> Comeback {
        let Some(before) = before.filter(|l| **l != Life::UNKNOWN) else { return Comeback::First };
        if before.same_process(now) {
            return Comeback::Same;
        }
        match (before.same_folder(now), now.order(before)) {
            (true, _) if now.start > before.start => Comeback::Restarted,
            (false, Ordering::Greater) => Comeback::LostFolder,
            _ => Comeback::OldCopy,
        }
    }
}

/// The latest life of a relay that was heard of, and the latest of another process before that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Known {
    /// The latest.
    pub life: Life,
    /// The one before, of another process.
    pub previous: Option<Life>,
}

impl Known {
    /// What is known once `now` has been heard. An old copy does not take its relay's place.
    pub fn hear(before: Option<Known>, now: Life) -> (Known, Comeback) {
        let comeback = Comeback::of(before.as_ref().map(|k| &k.life), &now);
        let known = match (comeback, before) {
            (Comeback::Same, Some(k)) if now.turn > k.life.turn => Known { life: now, ..k },
            (Comeback::Same | Comeback::OldCopy, Some(k)) => k,
            _ => Known { life: now, previous: before.map(|k| k.life) },
        };
        (known, comeback)
    }

    /// What a process of the relay is told when it asks who it is taken for: told of itself, it would learn nothing.
    pub fn but_for(&self, asking: &Life) -> Option<Life> {
        if self.life.same_process(asking) { self.previous } else { Some(self.life) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn restarts_lost_folders_and_old_copies_are_told_apart() {
        let life = |born, start, process| Life { born, folder: born * 7, start, process, turn: 0 };
        let known = life(100, 4, 9);
        let is = |now: Life| Comeback::of(Some(&known), &now);
        assert_eq!(Comeback::of(None, &known), Comeback::First);
        assert_eq!(Comeback::of(Some(&Life::UNKNOWN), &known), Comeback::First);
        assert_eq!(is(Life { turn: 3, ..known }), Comeback::Same);
        assert_eq!(is(life(100, 5, 1)), Comeback::Restarted);
        assert_eq!(is(life(200, 1, 1)), Comeback::LostFolder);
        // A start that was had before, and one that two processes counted.
        assert_eq!(is(life(100, 3, 1)), Comeback::OldCopy);
        assert_eq!(is(life(100, 4, 1)), Comeback::OldCopy);
        assert_eq!(is(life(50, 90, 1)), Comeback::OldCopy);
    }
}
