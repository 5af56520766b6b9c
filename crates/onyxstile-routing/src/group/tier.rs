//! Servers of a group that are tried together, for round robin and `least_conn`.

use std::collections::BTreeSet;

use super::Allowed;
use super::peer::Peer;
use super::round_robin::{RoundRobin, TURNS_MAX};

/// Servers that are tried together: the primaries, or the backups.
#[derive(Debug, Default)]
pub(super) struct Tier {
    pub(super) members: Vec<usize>,
    pub(super) robin: RoundRobin,
    /// For `least_conn`: by calls out for the weight, then turns had for it.
    pub(super) by_load: BTreeSet<(u64, u64, usize)>,
    idle: usize,
}

impl Tier {
    pub(super) fn new(peers: &[Peer], members: Vec<usize>, sorted: bool) -> Tier {
        let mut tier = Tier { robin: RoundRobin::new(peers, &members), members, ..Tier::default() };
        if sorted {
            for at in tier.members.iter().filter(|at| !peers[**at].down) {
                tier.by_load.insert((peers[*at].load(), peers[*at].turns.to_bits(), *at));
            }
            tier.idle = tier.by_load.len();
        }
        tier
    }

    /// Fewest calls out for the weight. Where all are alike, round robin says who of them (as nginx does); else
    /// the one that had the fewest turns for its weight.
    pub(super) fn least(&mut self, peers: &mut [Peer], allowed: &mut Allowed<'_>) -> Option<usize> {
        let lowest = self.by_load.first()?.0;
        if self.by_load.last()?.0 == lowest {
            return self.robin.choose(peers, allowed).inspect(|at| self.sort(peers, *at));
        }
        let found = self.by_load.iter().find(|(.., at)| peers[*at].usable().is_some_and(&mut *allowed))?.2;
        // Those before it in line were passed over: they get no more than their turn when they are back.
        let turns = peers[found].turns;
        let skipped: Vec<usize> =
            self.by_load.iter().map(|e| e.2).take_while(|at| *at != found).take(TURNS_MAX).collect();
        for at in skipped {
            let behind = peers[at].turns.max(turns);
            self.set_turns(peers, at, behind);
        }
        self.set_turns(peers, found, turns + 1.0 / f64::from(peers[found].weight));
        Some(found)
    }

    fn set_turns(&mut self, peers: &mut [Peer], at: usize, turns: f64) {
        if self.by_load.remove(&(peers[at].load(), peers[at].turns.to_bits(), at)) {
            peers[at].turns = turns;
            self.by_load.insert((peers[at].load(), turns.to_bits(), at));
        }
    }

    /// After a peer's turns were changed by round robin.
    fn sort(&mut self, peers: &[Peer], at: usize) {
        let load = peers[at].load();
        let old = self.by_load.iter().find(|e| e.0 == load && e.2 == at).copied();
        if let Some(old) = old {
            self.by_load.remove(&old);
            self.by_load.insert((load, peers[at].turns.to_bits(), at));
        }
    }
}
