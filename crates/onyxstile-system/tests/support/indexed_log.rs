//! Record index of a storage machine, with a log that drops the records that the index reports as obsolete.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::clock::Instant;
use onyxstile_system::program::{Key, Record, RecordIndex, RecordNumber, Turn};

/// A record and the time at which it was written, in ms.
type Entry = (Record, u64);

/// Index and log of a storage machine.
#[derive(Default)]
pub struct IndexedLog {
    pub index: RecordIndex,
    pub log: BTreeMap<RecordNumber, Entry>,
    next: RecordNumber,
}

impl IndexedLog {
    /// Writes a record at `now`.
    pub fn merge(&mut self, now: Instant, record: &Record) {
        let number = self.next;
        self.next += 1;
        self.log.insert(number, (record.clone(), milliseconds(now)));
        let merge = self.index.merge(now, Duration::ZERO, record, number);
        merge.obsolete.iter().for_each(|number| drop(self.log.remove(number)));
    }

    /// Reads the log into a new index, as a process does that starts at `now`.
    pub fn restart(&mut self, now: Instant) {
        self.index = RecordIndex::default();
        for (number, (record, written_ms)) in &self.log {
            let age = Duration::from_millis(milliseconds(now) - written_ms);
            let merge = self.index.merge(now, age, record, *number);
            assert_eq!(merge.obsolete, None, "the log holds a record that is not needed");
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Instant) {
        for number in self.index.expire(now) {
            self.log.remove(&number).expect("a removed record was in the log");
        }
    }

    /// A turn, if it is held.
    pub fn turn(&self, id: &str) -> Option<Rc<Turn>> {
        let number = self.index.turn(id)?;
        match self.log.get(&number).expect("an indexed record is in the log") {
            (Record::Turn(turn), _) => Some(turn.clone()),
            other => panic!("{id} refers to {other:?}"),
        }
    }

    /// The record with this key, if it is held.
    pub fn record(&self, now: Instant, key: &Key) -> Option<Record> {
        match key {
            Key::Turn(id) => self.turn(id).map(Record::Turn),
            Key::ClaimEntry(program, request) => {
                let entry = self.index.claim(program, request)?.clone();
                Some(Record::ClaimEntry { program: program.clone(), entry })
            }
            Key::TurnLease { turn, .. } => self.index.lease(now, turn).map(Record::TurnLease),
        }
    }
}

fn milliseconds(now: Instant) -> u64 {
    now.since(Instant::default()).as_millis() as u64
}
