//! Smooth weighted round robin over rings of servers of one weight.

use std::collections::BTreeMap;

use super::Allowed;
use super::peer::Peer;

/// Turns of round robin that may be passed over before all servers are gone through.
pub(super) const TURNS_MAX: usize = 64;

/// Servers of one weight, in a ring.
#[derive(Debug)]
struct Ring {
    weight: u64,
    members: Vec<usize>,
}

/// Smooth weighted round robin: at each turn every server gains its weight, the one that has most is chosen
/// and pays the sum of all weights (nginx, commit 52327e0627f4). Of servers of one weight the one chosen least
/// often, and of those the first, has most; so the rings' heads are all that has to be compared, and after as
/// many turns as the weights add up to, all begins anew.
#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    rings: Vec<Ring>,
    total: u64,
    turn: u64,
    /// Turns that each ring has had.
    had: Vec<u64>,
}

impl RoundRobin {
    pub(super) fn new(peers: &[Peer], members: &[usize]) -> RoundRobin {
        let mut by_weight: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for at in members.iter().filter(|at| !peers[**at].down) {
            by_weight.entry(peers[*at].weight).or_default().push(*at);
        }
        let rings = by_weight.into_iter().map(|(w, members)| Ring { weight: w.into(), members });
        let rings: Vec<Ring> = rings.collect();
        let total = rings.iter().map(|r| r.weight * r.members.len() as u64).sum();
        RoundRobin { had: vec![0; rings.len()], rings, total, turn: 0 }
    }

    /// Whose turn it is, and what is then the state.
    fn next(&self, turn: u64, had: &mut [u64]) -> (usize, u64) {
        let head = |(r, ring): (usize, &Ring)| {
            let (size, had) = (ring.members.len() as u64, had[r]);
            let gained = i128::from(ring.weight * (turn + 1)) - i128::from(self.total * (had / size));
            (gained, std::cmp::Reverse(ring.members[(had % size) as usize]), r)
        };
        let (_, std::cmp::Reverse(peer), ring) =
            self.rings.iter().enumerate().map(head).max().expect("a ring for each weight");
        had[ring] += 1;
        let turn = turn + 1;
        if turn == self.total {
            had.fill(0);
            return (peer, 0);
        }
        (peer, turn)
    }

    pub(super) fn choose(&mut self, peers: &mut [Peer], allowed: &mut Allowed<'_>) -> Option<usize> {
        if self.rings.is_empty() {
            return None;
        }
        let (mut turn, mut had) = (self.turn, self.had.clone());
        let mut passed = Vec::new();
        for _ in 0..TURNS_MAX {
            let (peer, after) = self.next(turn, &mut had);
            turn = after;
            if peers[peer].usable().is_some_and(&mut *allowed) {
                (self.turn, self.had) = (turn, had);
                passed.push(peer);
                passed.iter().for_each(|at| peers[*at].turns += 1.0 / f64::from(peers[*at].weight));
                return Some(peer);
            }
            passed.push(peer);
        }
        // So many were not allowed: the rest is gone through from there on, whatever the weights say.
        let order = self.rings.iter().flat_map(|r| {
            let from = (had[0] % r.members.len() as u64) as usize;
            r.members[from..].iter().chain(&r.members[..from])
        });
        let found = order.copied().find(|at| peers[*at].usable().is_some_and(&mut *allowed))?;
        (self.turn, self.had) = (turn, had);
        Some(found)
    }
}
