//! In-memory cache of turns with least-recently-used eviction, which avoids fetching or reading them again.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use super::Turn;

/// Turns in memory, limited in bytes.
pub struct TurnCache {
    max_bytes: usize,
    bytes: usize,
    last_use: u64,
    turns: HashMap<String, (Rc<Turn>, u64)>,
    order: BTreeMap<u64, String>,
}

impl TurnCache {
    /// Creates a cache for at most `max_bytes` bytes of turns.
    pub fn new(max_bytes: usize) -> TurnCache {
        TurnCache { max_bytes, bytes: 0, last_use: 0, turns: HashMap::new(), order: BTreeMap::new() }
    }

    /// Returns a turn and marks it as used.
    pub fn get(&mut self, id: &str) -> Option<Rc<Turn>> {
        let (turn, last_use) = self.turns.get_mut(id)?;
        self.last_use += 1;
        self.order.remove(last_use);
        *last_use = self.last_use;
        self.order.insert(self.last_use, id.to_owned());
        Some(turn.clone())
    }

    /// Adds a turn.
    pub fn insert(&mut self, turn: Rc<Turn>) {
        if self.turns.contains_key(&turn.id) {
            return;
        }
        self.last_use += 1;
        self.bytes += turn.bytes();
        self.order.insert(self.last_use, turn.id.clone());
        self.turns.insert(turn.id.clone(), (turn, self.last_use));
        while self.bytes > self.max_bytes {
            let Some((_, id)) = self.order.pop_first() else { break };
            if let Some((turn, _)) = self.turns.remove(&id) {
                self.bytes -= turn.bytes();
            }
        }
    }

    /// Removes a turn.
    pub fn remove(&mut self, id: &str) {
        let Some((turn, last_use)) = self.turns.remove(id) else { return };
        self.order.remove(&last_use);
        self.bytes -= turn.bytes();
    }
}
