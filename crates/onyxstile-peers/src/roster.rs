//! What is known of each relay of the fleet: its latest life, and when it was heard.

use crate::life::{Comeback, Known, Life, NodeNo};
use crate::note::About;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of one relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Its lives, as far as they were heard of.
    pub known: Known,
    /// Membership takes it for up.
    pub up: bool,
    /// When it was last heard itself.
    pub heard: Option<Duration>,
    /// What it last said of itself, and when.
    pub about: Option<(About, Duration)>,
}

/// News of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It was heard for the first time, or is another process now, or tries to be one.
    Came(Comeback),
    /// Up again, the same process as before: it had been cut off.
    CutOffAndBack,
    /// It is not answering.
    Down,
}

/// All relays, as one of them knows them.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    seen: BTreeMap<NodeNo, Seen>,
}

impl Roster {
    /// A relay was heard of: by itself, or by what another told.
    pub fn life(&mut self, node: NodeNo, life: Life, itself: bool, now: Duration) -> Option<Turn> {
        let before = self.seen.get(&node).copied();
        let (known, comeback) = Known::hear(before.map(|s| s.known), life);
        let heard = if itself { Some(now) } else { before.and_then(|s| s.heard) };
        match (comeback, before) {
            (Comeback::Same, Some(b)) => {
                let back = itself && !b.up;
                self.seen.insert(node, Seen { known, heard, up: b.up || itself, ..b });
                back.then_some(Turn::CutOffAndBack)
            }
            // It is not what counts as that relay, and it does not take its place.
            (Comeback::OldCopy, _) => Some(Turn::Came(Comeback::OldCopy)),
            _ => {
                self.seen.insert(node, Seen { known, up: true, heard, about: None });
                Some(Turn::Came(comeback))
            }
        }
    }

    /// What a relay said of itself.
    pub fn about(&mut self, node: NodeNo, about: About, now: Duration) {
        if let Some(s) = self.seen.get_mut(&node).filter(|s| s.known.life.same_process(&about.life)) {
            s.about = Some((about, now));
        }
    }

    /// Membership takes one for up or down.
    pub fn up(&mut self, node: NodeNo, up: bool) -> Option<Turn> {
        let s = self.seen.get_mut(&node)?;
        let was = std::mem::replace(&mut s.up, up);
        match (was, up) {
            (true, false) => Some(Turn::Down),
            (false, true) => Some(Turn::CutOffAndBack),
            _ => None,
        }
    }

    /// One relay.
    pub fn get(&self, node: NodeNo) -> Option<&Seen> {
        self.seen.get(&node)
    }

    /// All that were ever heard of.
    pub fn all(&self) -> impl Iterator<Item = (NodeNo, &Seen)> {
        self.seen.iter().map(|(no, s)| (*no, s))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cut_off_and_back_restarted_and_lost_are_told_apart() {
        let (node, s) = (NodeNo(3), Duration::from_secs);
        let life = |start| Life { born: 9, folder: 8, start, process: start as u16, turn: 0 };
        let mut roster = Roster::default();
        assert_eq!(roster.life(node, life(4), true, s(1)), Some(Turn::Came(Comeback::First)));
        assert_eq!(roster.life(node, life(4), true, s(2)), None);
        assert_eq!(roster.up(node, false), Some(Turn::Down));
        // Word of it by others does not bring it back; its own does.
        assert_eq!(roster.life(node, life(4), false, s(3)), None);
        assert_eq!(roster.life(node, life(4), true, s(3)), Some(Turn::CutOffAndBack));
        assert_eq!(roster.life(node, life(5), true, s(4)), Some(Turn::Came(Comeback::Restarted)));
        // An old copy of its folder does not take its place.
        assert_eq!(roster.life(node, life(4), true, s(5)), Some(Turn::Came(Comeback::OldCopy)));
        assert_eq!(roster.get(node).map(|s| s.known.life), Some(life(5)));
        let lost = Life { born: 10, folder: 1, ..life(1) };
        assert_eq!(roster.life(node, lost, true, s(6)), Some(Turn::Came(Comeback::LostFolder)));
        assert_eq!(roster.get(node).and_then(|s| s.heard), Some(s(6)));
    }
}
