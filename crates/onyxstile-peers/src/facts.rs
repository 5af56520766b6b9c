//! What relays have seen of partners, and what is made of several answers about the same.
//!
//! An answer is evidence, not an order: of two the more careful one holds, and one by a relay that itself lost what it
//! knew a short while ago is heeded only where no other says anything. Times are ages and rests, never moments: no two
//! clocks have to agree.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a real server was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sight {
    /// It answered.
    Well,
    /// It came back a while ago and is cold.
    Warming,
    /// It did not answer.
    Down,
}

/// What is said of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// How it was seen.
    Sight(Sight),
    /// It told to wait, for so many milliseconds more.
    Wait(u32),
    /// Its limit, as it told it: thousandths of a call a second.
    Limit(u32),
    /// An operator has banned it.
    Ban,
    /// The list says that it drains.
    Drain,
}

/// One thing that a relay knows of a real server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fact {
    /// The digest of the real server's lasting name ([`crate::book::name_digest`]).
    pub of: u32,
    /// How long ago this was seen; of one that is cold, how long ago it came back.
    pub age_ms: u32,
    /// What.
    pub kind: Kind,
}

/// What several answers come to, for one real server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Weighed {
    /// The worst that was seen, and how long ago.
    pub sight: Option<(Sight, Duration)>,
    /// The longest rest of a told wait.
    pub wait: Duration,
    /// The lowest limit, thousandths of a call a second.
    pub limit: Option<u32>,
    /// Somebody's operator has banned it.
    pub banned: bool,
    /// Somebody's list says that it drains.
    pub drained: bool,
}

/// Facts of partners as the fleet told them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    sound: BTreeMap<u32, Weighed>,
    /// By relays that lost what they knew: heeded where no sound one says anything of that server.
    shaken: BTreeMap<u32, Weighed>,
    /// Whether any sound relay answered at all.
    pub any_sound: bool,
}

impl Evidence {
    /// Takes in what a relay told; `sound` if it has known the world for longer than `memory`, what it says might
    /// concern. The note may have been on its way for `late` at most: rests count from its sending.
    pub fn take(&mut self, facts: &[Fact], sound: bool) {
        self.any_sound |= sound;
        let into = if sound { &mut self.sound } else { &mut self.shaken };
        for fact in facts {
            let w = into.entry(fact.of).or_default();
            let age = Duration::from_millis(fact.age_ms.into());
            match fact.kind {
                // The worse one, and of two of a kind the younger one.
                Kind::Sight(s) => {
                    let worse = w.sight.is_none_or(|(old, at)| s > old || s == old && age < at);
                    w.sight = if worse { Some((s, age)) } else { w.sight };
                }
                Kind::Wait(rest) => w.wait = w.wait.max(Duration::from_millis(rest.into())),
                Kind::Limit(rate) => w.limit = Some(w.limit.map_or(rate, |l| l.min(rate))),
                Kind::Ban => w.banned = true,
                Kind::Drain => w.drained = true,
            }
        }
    }

    /// What is known of one real server. A ban and a wait hold whoever told of them; the rest goes by sound relays.
    pub fn of(&self, digest: u32) -> Weighed {
        let (sound, shaken) = (self.sound.get(&digest).copied(), self.shaken.get(&digest).copied());
        match (sound, shaken) {
            (Some(a), b) => {
                let b = b.unwrap_or_default();
                let (banned, drained) = (a.banned || b.banned, a.drained || b.drained);
                Weighed { wait: a.wait.max(b.wait), banned, drained, ..a }
            }
            (None, b) => b.unwrap_or_default(),
        }
    }

    /// Everything that anything is known of.
    pub fn all(&self) -> impl Iterator<Item = u32> + '_ {
        let more = self.shaken.keys().filter(|of| !self.sound.contains_key(of));
        self.sound.keys().chain(more).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_more_careful_answer_holds_and_a_shaken_relay_weighs_less() {
        let fact = |kind, age_ms| Fact { of: 5, age_ms, kind };
        let ms = Duration::from_millis;
        let mut e = Evidence::default();
        e.take(
            &[fact(Kind::Sight(Sight::Down), 10), fact(Kind::Limit(500), 10), fact(Kind::Wait(700), 0)],
            false,
        );
        assert_eq!(e.of(5).sight, Some((Sight::Down, ms(10))));
        assert!(!e.any_sound);
        e.take(&[fact(Kind::Sight(Sight::Well), 10), fact(Kind::Limit(9000), 10)], true);
        // Two sound ones saw it well and warming; of its returns the later one counts.
        e.take(&[fact(Kind::Sight(Sight::Warming), 4000)], true);
        e.take(&[fact(Kind::Sight(Sight::Warming), 2000), fact(Kind::Limit(8000), 1)], true);
        e.take(&[fact(Kind::Ban, 0)], false);
        let w = Weighed {
            sight: Some((Sight::Warming, ms(2000))),
            wait: ms(700),
            limit: Some(8000),
            banned: true,
            drained: false,
        };
        assert_eq!(e.of(5), w);
        assert_eq!(e.of(6), Weighed::default());
        assert_eq!(e.all().collect::<Vec<_>>(), [5]);
    }
}
