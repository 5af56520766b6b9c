//! Turns that this proxy remembers, so that a chain need not be fetched; the one used longest ago gives way.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::program::Turn;

/// Remembered turns, bounded in bytes.
pub(super) struct Turns {
    most_bytes: usize,
    bytes: usize,
    stamp: u64,
    turns: HashMap<String, (Rc<Turn>, u64)>,
    order: BTreeMap<u64, String>,
}

impl Turns {
    /// Remembers at most `most_bytes` of turns.
    pub(super) fn new(most_bytes: usize) -> Turns {
        Turns { most_bytes, bytes: 0, stamp: 0, turns: HashMap::new(), order: BTreeMap::new() }
    }

    /// A turn, which counts as used.
    pub(super) fn get(&mut self, id: &str) -> Option<Rc<Turn>> {
        let (turn, stamp) = self.turns.get_mut(id)?;
        self.stamp += 1;
        self.order.remove(stamp);
        *stamp = self.stamp;
        self.order.insert(self.stamp, id.to_owned());
        Some(turn.clone())
    }

    /// Remembers a turn.
    pub(super) fn insert(&mut self, turn: Rc<Turn>) {
        if self.turns.contains_key(&turn.id) {
            return;
        }
        self.stamp += 1;
        self.bytes += size(&turn);
        self.order.insert(self.stamp, turn.id.clone());
        self.turns.insert(turn.id.clone(), (turn, self.stamp));
        while self.bytes > self.most_bytes {
            let Some((_, id)) = self.order.pop_first() else { break };
            if let Some((turn, _)) = self.turns.remove(&id) {
                self.bytes -= size(&turn);
            }
        }
    }
}

fn size(turn: &Turn) -> usize {
    turn.input.len() + turn.output.len() + turn.id.len() * (turn.ancestors.len() + 2)
}
