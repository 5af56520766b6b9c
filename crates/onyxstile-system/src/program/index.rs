//! Index of the records of one storage machine: claims in full, turns by their record number in the log. A change
//! counter lets other machines fetch the records that they miss.

mod leases;
mod merge_result;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::lease::initial_lease;
use super::{ClaimEntry, ClaimSummary, Key, Record, Settled, Turn, TurnLease};
use crate::clock::Instant;
use leases::Leases;
pub use merge_result::MergeResult;

/// Time that a turn is kept beyond its lease, because clocks differ and a machine that was unreachable may receive a
/// renewal late. A machine that starts keeps each turn for at least this long for the same reason.
const RETENTION_SLACK: Duration = Duration::from_secs(30);
/// A program is removed after this time without a new claim.
const PROGRAM_LIFETIME: Duration = Duration::from_secs(1800);
/// Memory use of a turn in the index, in bytes: two copies of its id and an entry in two tables.
const TURN_ENTRY_BYTES: usize = 250;
/// Memory use of a lease, in bytes: two copies of a turn id and an entry in two tables.
const LEASE_ENTRY_BYTES: usize = 230;
/// Memory use of a claim, in bytes: program id and request id, some of them twice, and an entry in two tables.
const CLAIM_ENTRY_BYTES: usize = 350;

/// Number of a record in the log of its machine.
pub type RecordNumber = u64;

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

/// Index of turns, leases on turns, and claims.
#[derive(Default)]
pub struct RecordIndex {
    turns: HashMap<String, HeldTurn>,
    leases: Leases,
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
        self.turns.len() * TURN_ENTRY_BYTES
            + self.leases.len() * LEASE_ENTRY_BYTES
            + self.claims * CLAIM_ENTRY_BYTES
    }

    /// Number of leases that prolong a turn.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
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
            Record::TurnLease(lease) => self.merge_lease(now, age, lease, number),
        }
    }

    fn merge_turn(&mut self, now: Instant, age: Duration, turn: &Turn, number: RecordNumber) -> MergeResult {
        if let Some(held) = self.turns.get(&turn.id) {
            return MergeResult::unchanged(held.number, number);
        }
        let counter = self.note(Key::Turn(turn.id.clone()));
        let expires = now + time_left(initial_lease(Duration::from_millis(turn.retention_ms)), age);
        self.turns.insert(turn.id.clone(), HeldTurn { number, counter, expires });
        MergeResult::changed(None)
    }

    fn merge_lease(
        &mut self, now: Instant, age: Duration, lease: &TurnLease, number: RecordNumber,
    ) -> MergeResult {
        if let Some(held) = self.leases.number_of(&lease.turn, lease.until_ms) {
            return MergeResult::unchanged(held, number);
        }
        let counter = self.note(Key::TurnLease { turn: lease.turn.clone(), until_ms: lease.until_ms });
        let expires = now + time_left(Duration::from_millis(lease.duration_ms), age);
        let replaced = self.leases.insert(lease, number, counter, expires);
        if let Some((_, counter)) = replaced {
            self.changes.remove(&counter);
        }
        MergeResult::changed(replaced.map(|(number, _)| number))
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

    /// The lease that prolongs a turn, with the time that it has left.
    pub fn lease(&self, now: Instant, turn: &str) -> Option<TurnLease> {
        let (until_ms, expires) = self.leases.end(turn)?;
        let duration_ms = expires.since(now).saturating_sub(RETENTION_SLACK).as_millis() as u64;
        Some(TurnLease { turn: turn.to_owned(), until_ms, duration_ms })
    }

    /// Whether this or a later version of a record is stored.
    pub fn holds(&self, key: &Key, version: u8) -> bool {
        match key {
            Key::Turn(id) => self.turns.contains_key(id),
            Key::ClaimEntry(program, request) => {
                self.claim(program, request).is_some_and(|held| held.version() >= version)
            }
            Key::TurnLease { turn, until_ms } => self.leases.number_of(turn, *until_ms).is_some(),
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
            Key::Turn(_) | Key::TurnLease { .. } => 0,
            Key::ClaimEntry(program, request) => self.claim(program, request).map_or(0, ClaimEntry::version),
        }
    }

    /// Removes expired records; returns the numbers of the records that are no longer needed.
    pub fn expire(&mut self, now: Instant) -> Vec<RecordNumber> {
        let mut dropped = Vec::new();
        self.turns.retain(|id, held| {
            let is_kept = held.expires > now || self.leases.keeps(now, id);
            if !is_kept {
                dropped.push((held.number, held.counter));
            }
            is_kept
        });
        dropped.extend(self.leases.expire(now));
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

/// Time until a record expires that was written `age` ago with this lease.
fn time_left(lease: Duration, age: Duration) -> Duration {
    lease.saturating_add(RETENTION_SLACK).saturating_sub(age).max(RETENTION_SLACK)
}
