//! Recovery of the log of a storage machine at its start.

use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::journal::{Journal, JournalLimits, LoadEvent, StartedJournal};
use super::log_entry::{self, LogEntry};
use crate::clock::{Instant, SteadyClock};
use crate::program::{RecordIndex, RecordNumber};
use crate::role::error::StartError;
use crate::role::identity::random_id;
use crate::role::membership::wall_clock_ms;
use crate::settings::Limits;

/// Maximum share of the disk for the log. Three eighths of it are for live records, the rest is for obsolete ones that
/// are not removed yet.
const DISK_SHARE: f64 = 0.8;
/// Requests that wait for the disk take at most 1 part in this many of the memory. It holds some seconds of writes, which
/// is longer than their callers wait.
const BACKLOG_MEMORY_DIVISOR: usize = 16;
/// Number of the record with the id of the disk.
const DISK: RecordNumber = 0;
/// Number of the record that states that the machine has copied all the data that it should hold.
pub(super) const COMPLETE: RecordNumber = 1;
/// Number of the record of the epoch for which the machine is synced. Other records count up from [`FIRST`] and never
/// reach this number.
pub(super) const SYNCED: RecordNumber = RecordNumber::MAX;
/// Number of the record of the newest epoch that the machine has applied.
pub(super) const EPOCH: RecordNumber = RecordNumber::MAX - 1;
/// First number of other records.
const FIRST: RecordNumber = 2;

/// The log and its content.
pub(super) struct LoadedLog {
    pub journal: Journal,
    pub index: RecordIndex,
    /// Number of the next record.
    pub next: RecordNumber,
    /// Id of the disk; 0 if it has none yet.
    pub disk: u64,
    /// Whether the machine holds all the data that it should.
    pub is_complete: bool,
    /// Newest epoch for which it holds all the data that the plan assigns to it.
    pub synced_epoch: u64,
    /// Newest epoch that it has applied.
    pub epoch: u64,
    /// Whether the log has a gap that has not been handled yet.
    has_gap: bool,
}

impl LoadedLog {
    /// Opens and reads the log in a folder. The second value completes when its writer has ended.
    pub fn open(
        folder: PathBuf, limits: &Limits, clock: SteadyClock,
    ) -> Result<(LoadedLog, oneshot::Receiver<()>), StartError> {
        let StartedJournal { journal, loading, end } = Journal::start(folder, log_limits(limits), clock)?;
        let mut loaded = LoadedLog::empty(journal);
        if !loaded.read(&loading, clock.now())? {
            log::error!(
                "the log has a gap: keeping its records and copying all data from the other machines"
            );
            // Acknowledged records may be lost, so this counts as another disk from now on.
            loaded.disk = 0;
            loaded.is_complete = false;
            loaded.synced_epoch = 0;
            loaded.has_gap = true;
            loaded.journal.drop_records(vec![COMPLETE, SYNCED]);
        }
        Ok((loaded, end))
    }

    fn empty(journal: Journal) -> LoadedLog {
        LoadedLog {
            journal,
            index: RecordIndex::default(),
            next: FIRST,
            disk: 0,
            is_complete: false,
            synced_epoch: 0,
            epoch: 0,
            has_gap: false,
        }
    }

    /// Merges all records; returns whether the log is intact.
    fn read(&mut self, loading: &mpsc::Receiver<LoadEvent>, now: Instant) -> Result<bool, StartError> {
        let mut obsolete = Vec::new();
        for step in loading.iter() {
            match step {
                LoadEvent::Records(records) => {
                    for (number, bytes) in records {
                        obsolete.extend(self.merge_records(now, number, &bytes));
                    }
                }
                LoadEvent::Done { is_intact } => {
                    self.journal.drop_records(obsolete);
                    return Ok(is_intact);
                }
                LoadEvent::Failed(error) => return Err(StartError::Log(error.to_string())),
            }
        }
        Err(StartError::Log("the log reader thread has ended".into()))
    }

    /// Merges a record; returns a record that is no longer needed.
    fn merge_records(&mut self, now: Instant, number: RecordNumber, bytes: &[u8]) -> Option<RecordNumber> {
        if number < EPOCH {
            self.next = self.next.max(number + 1);
        }
        match log_entry::read(bytes) {
            Ok(LogEntry::Disk(id)) => self.disk = id,
            Ok(LogEntry::Complete) => self.is_complete = true,
            Ok(LogEntry::Synced(epoch)) => self.synced_epoch = epoch,
            Ok(LogEntry::Epoch(epoch)) => self.epoch = epoch,
            Ok(LogEntry::Record { record, written_ms }) => {
                let age = Duration::from_millis(wall_clock_ms().saturating_sub(written_ms));
                return self.index.merge(now, age, &record, number).obsolete;
            }
            Err(error) => log::error!("cannot read log record {number}: {error}"),
        }
        None
    }

    /// Assigns an id to a disk that is empty or has lost some of its data. At the first start of the whole system there
    /// is nothing to copy.
    pub async fn identify(&mut self, is_first_start: bool) {
        if self.disk != 0 {
            return;
        }
        self.disk = random_id();
        self.is_complete = is_first_start && !self.has_gap;
        let mut records = vec![(DISK, LogEntry::Disk(self.disk))];
        if self.is_complete {
            records.push((COMPLETE, LogEntry::Complete));
        }
        if self.journal.append_own(records).await && self.has_gap {
            self.journal.accept_loss();
        }
    }
}

/// Limits of the log on a machine with these limits; the log is unlimited if the size of the disk is unknown (0).
fn log_limits(limits: &Limits) -> JournalLimits {
    let disk_bytes = match limits.disk_mb {
        0 => u64::MAX / 2,
        disk_mb => (disk_mb as f64 * 1024.0 * 1024.0 * DISK_SHARE) as u64,
    };
    JournalLimits { disk_bytes, backlog_bytes: limits.memory_bytes() / BACKLOG_MEMORY_DIVISOR }
}
