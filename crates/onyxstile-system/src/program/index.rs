//! Index of the records of one storage machine: claims in full, turns by their record number in the log. A change
//! counter lets other machines fetch the records that they miss.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{ClaimEntry, ClaimSummary, Key, Record, Settled, Turn};
use crate::clock::Instant;

/// Time that a turn is kept beyond its retention, because clocks differ and the last turn of a chain is younger than
/// the first.
const RETENTION_SLACK: Duration = Duration::from_secs(30);
/// A program is removed after this time without a new claim.
const PROGRAM_LIFETIME: Duration = Duration::from_secs(1800);
/// Memory use of a turn in the index, in bytes: two copies of its id and an entry in two tables.
const TURN_ENTRY_BYTES: usize = 250;
/// Memory use of a claim, in bytes: program id and request id, some of them twice, and an entry in two tables.
const CLAIM_ENTRY_BYTES: usize = 350;

/// Number of a record in the log of its machine.
pub type RecordNumber = u64;

/// Result of merging a record into the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether the record was new or newer than the stored one.
    pub has_changed: bool,
    /// Record that is no longer needed: the replaced one, or the merged one if the same or a newer one is stored.
    pub obsolete: Option<RecordNumber>,
}

impl MergeResult {
    fn changed(replaced: Option<RecordNumber>) -> MergeResult {
        MergeResult { has_changed: true, obsolete: replaced }
    }

    fn unchanged(held: RecordNumber, number: RecordNumber) -> MergeResult {
        MergeResult { has_changed: false, obsolete: (held != number).then_some(number) }
    }
}

struct HeldTurn {
    number: RecordNumber,
    counter: u64,
    expires: Instant,
}

struct HeldClaim {
    entry: ClaimEntry,
    number: RecordNumber,
    counter: u64,
}

#[derive(Default)]
struct Program {
    claims: BTreeMap<String, HeldClaim>,
    settled: Settled,
    last_claim_at: Instant,
}

/// Index of turns and claims.
#[derive(Default)]
pub struct RecordIndex {
    turns: HashMap<String, HeldTurn>,
    programs: HashMap<String, Program>,
    claims: usize,
    changes: BTreeMap<u64, Key>,
    counter: u64,
}

impl RecordIndex {
    /// Counter of the newest change.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Approximate memory use of the index, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.turns.len() * TURN_ENTRY_BYTES + self.claims * CLAIM_ENTRY_BYTES
    }

    /// Number of turns and of programs.
    pub fn sizes(&self) -> (usize, usize) {
        (self.turns.len(), self.programs.len())
    }

    /// Merges a record that has the number `number` in the log; `age` is the time since it was written.
    pub fn merge(
        &mut self, now: Instant, age: Duration, record: &Record, number: RecordNumber,
    ) -> MergeResult {
        match record {
            Record::Turn(turn) => self.merge_turn(now, age, turn, number),
            Record::ClaimEntry { program, entry } => self.merge_entry(now, program, entry, number),
        }
    }

    fn merge_turn(&mut self, now: Instant, age: Duration, turn: &Turn, number: RecordNumber) -> MergeResult {
        if let Some(held) = self.turns.get(&turn.id) {
            return MergeResult::unchanged(held.number, number);
        }
        let counter = self.note(Key::Turn(turn.id.clone()));
        let kept = Duration::from_millis(turn.retention_ms) + RETENTION_SLACK;
        let expires = now + kept.saturating_sub(age);
        self.turns.insert(turn.id.clone(), HeldTurn { number, counter, expires });
        MergeResult::changed(None)
    }

    fn merge_entry(
        &mut self, now: Instant, program: &str, entry: &ClaimEntry, number: RecordNumber,
    ) -> MergeResult {
        let held = self.held_claim(program, &entry.request);
        if let Some(held) = held.filter(|held| held.entry.version() >= entry.version()) {
            return MergeResult::unchanged(held.number, number);
        }
        let counter = self.note(Key::ClaimEntry(program.to_owned(), entry.request.clone()));
        let held = self.programs.entry(program.to_owned()).or_default();
        held.last_claim_at = now;
        if let Some(tokens) = entry.settled {
            held.settled.add(&entry.request, tokens);
        }
        let claim = HeldClaim { entry: entry.clone(), number, counter };
        let before = held.claims.insert(entry.request.clone(), claim);
        match &before {
            Some(before) => drop(self.changes.remove(&before.counter)),
            None => self.claims += 1,
        }
        MergeResult::changed(before.map(|before| before.number))
    }

    fn note(&mut self, key: Key) -> u64 {
        self.counter += 1;
        self.changes.insert(self.counter, key);
        self.counter
    }

    /// All claims of a program.
    pub fn claims(&self, program: &str) -> Vec<ClaimEntry> {
        let held = self.programs.get(program);
        held.map_or_else(Vec::new, |held| held.claims.values().map(|claim| claim.entry.clone()).collect())
    }

    /// Claims of a program, with the settled ones summed up.
    pub fn claim_summary(&self, program: &str) -> ClaimSummary {
        let Some(held) = self.programs.get(program) else { return ClaimSummary::default() };
        let entries = held.claims.values().map(|claim| &claim.entry);
        let open = entries.filter(|entry| entry.settled.is_none()).cloned().collect();
        ClaimSummary { open, settled: held.settled }
    }

    /// Returns a claim.
    pub fn claim(&self, program: &str, request: &str) -> Option<&ClaimEntry> {
        self.held_claim(program, request).map(|held| &held.entry)
    }

    fn held_claim(&self, program: &str, request: &str) -> Option<&HeldClaim> {
        self.programs.get(program)?.claims.get(request)
    }

    /// Record number of a turn.
    pub fn turn(&self, id: &str) -> Option<RecordNumber> {
        self.turns.get(id).map(|held| held.number)
    }

    /// Whether this or a later version of a record is stored.
    pub fn holds(&self, key: &Key, version: u8) -> bool {
        match key {
            Key::Turn(id) => self.turns.contains_key(id),
            Key::ClaimEntry(program, request) => {
                self.claim(program, request).is_some_and(|held| held.version() >= version)
            }
        }
    }

    /// At most `max_keys` keys changed after `counter`, oldest first, with their versions, and the counter of the last one.
    pub fn changed_since(&self, counter: u64, max_keys: usize) -> (Vec<(Key, u8)>, u64) {
        let mut last = counter;
        let mut keys = Vec::new();
        for (counter, key) in self.changes.range(counter + 1..).take(max_keys) {
            last = *counter;
            keys.push((key.clone(), self.version(key)));
        }
        (keys, last)
    }

    fn version(&self, key: &Key) -> u8 {
        match key {
            Key::Turn(_) => 0,
            Key::ClaimEntry(program, request) => self.claim(program, request).map_or(0, ClaimEntry::version),
        }
    }

    /// Removes expired records; returns the numbers of the records that are no longer needed.
    pub fn expire(&mut self, now: Instant) -> Vec<RecordNumber> {
        let mut dropped = Vec::new();
        self.turns.retain(|_, held| {
            let is_kept = held.expires > now;
            if !is_kept {
                dropped.push((held.number, held.counter));
            }
            is_kept
        });
        self.programs.retain(|_, held| {
            let is_kept = now.since(held.last_claim_at) < PROGRAM_LIFETIME;
            if !is_kept {
                dropped.extend(held.claims.values().map(|claim| (claim.number, claim.counter)));
                self.claims -= held.claims.len();
            }
            is_kept
        });
        for (_, counter) in &dropped {
            self.changes.remove(counter);
        }
        dropped.into_iter().map(|(number, _)| number).collect()
    }
}
