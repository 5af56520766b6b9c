//! Program records: written to the log before they take effect; turns are read from memory or from the log.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::StorageServer;
use super::log_entry::{self, LogEntry};
use crate::program::{Key, Record, RecordNumber, Turn};
use crate::role::membership::wall_clock_ms;

/// Maximum share of the memory for the record index; beyond it new records are refused.
const INDEX_SHARE: f64 = 0.5;
/// Maximum number of records read from the log at once.
const RECORDS_PER_READ: usize = 64;

/// Result of a turn lookup.
pub(super) enum Lookup {
    /// The turn is held.
    Held(Rc<Turn>),
    /// The turn is not held.
    Absent,
    /// The turn is held, but the disk cannot return it.
    Unreadable,
}

impl Lookup {
    /// The turn, if it could be read.
    pub(super) fn turn(self) -> Option<Rc<Turn>> {
        match self {
            Lookup::Held(turn) => Some(turn),
            Lookup::Absent | Lookup::Unreadable => None,
        }
    }
}

impl StorageServer {
    /// Writes records to the disk and then merges them; false if there is not enough disk space or memory, or if the disk does
    /// not answer.
    pub(super) async fn write(&self, records: Vec<Record>) -> bool {
        let fresh: Vec<Record> = {
            let index = self.index.borrow();
            records.into_iter().filter(|record| !index.holds(&record.key(), record.version())).collect()
        };
        if fresh.is_empty() {
            return true;
        }
        if self.is_index_full() {
            log::debug!("refusing a write: no memory left for the record index");
            return false;
        }
        let fresh: Vec<(RecordNumber, Record)> =
            fresh.into_iter().map(|record| (self.next_number(), record)).collect();
        let written_ms = wall_clock_ms();
        let stored = |(number, record): &(RecordNumber, Record)| {
            (*number, LogEntry::Record { record: record.clone(), written_ms })
        };
        if !self.journal.append(fresh.iter().map(stored).collect()).await {
            return false;
        }
        self.merge_records(fresh);
        true
    }

    /// Whether the index has reached its share of the memory.
    pub(super) fn is_index_full(&self) -> bool {
        let memory_bytes = self.settings.borrow().limits.memory_bytes() as f64;
        self.index.borrow().memory_bytes() as f64 > memory_bytes * INDEX_SHARE
    }

    fn next_number(&self) -> RecordNumber {
        self.next_number.replace(self.next_number.get() + 1)
    }

    fn merge_records(&self, records: Vec<(RecordNumber, Record)>) {
        let now = self.clock.now();
        let mut has_changed = false;
        let mut obsolete = Vec::new();
        for (number, record) in records {
            let merge = self.index.borrow_mut().merge(now, Duration::ZERO, &record, number);
            has_changed |= merge.has_changed;
            obsolete.extend(merge.obsolete);
            if let Record::Turn(turn) = record {
                self.turns.borrow_mut().insert(turn);
            }
        }
        self.journal.drop_records(obsolete);
        if has_changed {
            self.changed.notify_waiters();
        }
    }

    /// Looks up turns by their ids, in the same order.
    pub(super) async fn turns(&self, ids: &[String]) -> Vec<Lookup> {
        let mut found: HashMap<&String, Rc<Turn>> = HashMap::new();
        let mut wanted: Vec<(&String, RecordNumber)> = Vec::new();
        for id in ids {
            let Some(number) = self.index.borrow().turn(id) else { continue };
            match self.turns.borrow_mut().get(id) {
                Some(turn) => drop(found.insert(id, turn)),
                None => wanted.push((id, number)),
            }
        }
        let numbers: Vec<RecordNumber> = wanted.iter().map(|(_, number)| *number).collect();
        for ((id, _), record) in wanted.iter().zip(self.read(numbers).await) {
            if let Some(Record::Turn(turn)) = record {
                self.turns.borrow_mut().insert(turn.clone());
                found.insert(id, turn);
            }
        }
        let was_held = |id: &String| wanted.iter().any(|(wanted, _)| *wanted == id);
        ids.iter()
            .map(|id| match found.get(id) {
                Some(turn) => Lookup::Held(turn.clone()),
                None if was_held(id) => Lookup::Unreadable,
                None => Lookup::Absent,
            })
            .collect()
    }

    /// Returns the held records among `keys` until `max_bytes` are reached; at least one.
    pub(super) async fn records(&self, keys: &[Key], max_bytes: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut bytes = 0;
        for keys in keys.chunks(RECORDS_PER_READ) {
            for record in self.records_of(keys).await {
                if bytes >= max_bytes {
                    return records;
                }
                if let Record::Turn(turn) = &record {
                    bytes += turn.bytes();
                }
                records.push(record);
            }
        }
        records
    }

    async fn records_of(&self, keys: &[Key]) -> Vec<Record> {
        let ids: Vec<String> = keys
            .iter()
            .filter_map(|key| match key {
                Key::Turn(id) => Some(id.clone()),
                Key::ClaimEntry(..) | Key::TurnLease { .. } => None,
            })
            .collect();
        let turns = self.turns(&ids).await.into_iter().filter_map(Lookup::turn).map(Record::Turn);
        let index = self.index.borrow();
        let others = keys.iter().filter_map(|key| match key {
            Key::Turn(_) => None,
            Key::TurnLease { turn, .. } => index.lease(self.clock.now(), turn).map(Record::TurnLease),
            Key::ClaimEntry(program, request) => {
                let entry = index.claim(program, request)?.clone();
                Some(Record::ClaimEntry { program: program.clone(), entry })
            }
        });
        turns.chain(others).collect()
    }

    async fn read(&self, numbers: Vec<RecordNumber>) -> Vec<Option<Record>> {
        if numbers.is_empty() {
            return Vec::new();
        }
        let read = self.journal.read(numbers).await;
        read.into_iter()
            .map(|bytes| match log_entry::read(&bytes?) {
                Ok(LogEntry::Record { record, .. }) => Some(record),
                _ => None,
            })
            .collect()
    }
}
