//! In-memory cache of turns with least-recently-used eviction, which avoids fetching or reading them again.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use super::Turn;

/// Turns in memory, limited in bytes.
pub struct TurnCache {
    most_bytes: usize,
    bytes: usize,
    stamp: u64,
    turns: HashMap<String, (Rc<Turn>, u64)>,
    order: BTreeMap<u64, String>,
}

impl TurnCache {
    /// Creates a cache for at most `most_bytes` bytes of turns.
    pub fn new(most_bytes: usize) -> TurnCache {
        TurnCache { most_bytes, bytes: 0, stamp: 0, turns: HashMap::new(), order: BTreeMap::new() }
    }

    /// Returns a turn and marks it as used.
    pub fn get(&mut self, id: &str) -> Option<Rc<Turn>> {
        let (turn, stamp) = self.turns.get_mut(id)?;
        self.stamp += 1;
        self.order.remove(stamp);
        *stamp = self.stamp;
        self.order.insert(self.stamp, id.to_owned());
        Some(turn.clone())
    }

    /// Adds a turn.
    pub fn insert(&mut self, turn: Rc<Turn>) {
        if self.turns.contains_key(&turn.id) {
            return;
        }
        self.stamp += 1;
        self.bytes += turn.bytes();
        self.order.insert(self.stamp, turn.id.clone());
        self.turns.insert(turn.id.clone(), (turn, self.stamp));
        while self.bytes > self.most_bytes {
            let Some((_, id)) = self.order.pop_first() else { break };
            if let Some((turn, _)) = self.turns.remove(&id) {
                self.bytes -= turn.bytes();
            }
        }
    }
}
