//! What a storage machine finds on its disk at its start.

use std::path::PathBuf;
use std::time::Duration;

use super::journal::{self, Journal, LoadEvent, LogEntry};
use crate::clock::Instant;
use crate::program::{RecordIndex, RecordNumber};
use crate::role::controller::RoleError;
use crate::role::identity::random_id;
use crate::role::membership::wall_clock_ms;
use crate::settings::Settings;

/// The log takes at most this share of the disk; three eighths of that are for what counts, the rest is for what is over
/// and not yet removed.
const DISK_SHARE: f64 = 0.8;
/// The record that holds the disk's id.
const DISK: RecordNumber = 0;
/// The record that says that the machine has copied all that it should hold.
pub(super) const COMPLETE: RecordNumber = 1;
/// The record of the epoch for which the machine is synced. Other records count up from [`FIRST`] and never come this far.
pub(super) const SYNCED: RecordNumber = RecordNumber::MAX;
/// The record of the newest epoch that the machine has gone by.
pub(super) const EPOCH: RecordNumber = RecordNumber::MAX - 1;
/// The first number of other records.
const FIRST: RecordNumber = 2;

/// The log and what it holds.
pub(super) struct LoadedLog {
    pub journal: Journal,
    pub index: RecordIndex,
    /// The number of the next record.
    pub next: RecordNumber,
    /// The id of the disk; 0 if it has none yet.
    pub disk: u64,
    /// Whether the machine holds all that it should.
    pub is_complete: bool,
    /// The newest epoch for which it holds all that the plan gives it.
    pub synced_epoch: u64,
    /// The newest epoch that it has gone by.
    pub epoch: u64,
    /// Whether the log has a gap whose consequence is still to be drawn.
    has_gap: bool,
}

impl LoadedLog {
    /// Opens the log and reads it.
    pub fn open(settings: &Settings, now: Instant) -> Result<LoadedLog, RoleError> {
        let folder = settings.data_dir.clone().ok_or(RoleError::Settings("data_dir"))?;
        let (mut loaded, is_intact) = LoadedLog::read(folder, log_limit(settings.limits.disk_mb), now)?;
        if !is_intact {
            log::error!("the log has a gap: what it holds is kept, and all is copied anew from the others");
            // What it acknowledged it may have lost: it is another disk from now on.
            loaded.disk = 0;
            loaded.is_complete = false;
            loaded.synced_epoch = 0;
            loaded.has_gap = true;
            loaded.journal.drop_records(vec![COMPLETE, SYNCED]);
        }
        Ok(loaded)
    }

    fn read(folder: PathBuf, limit: u64, now: Instant) -> Result<(LoadedLog, bool), RoleError> {
        let (journal, loading) = Journal::start(folder, limit);
        let mut loaded = LoadedLog {
            journal,
            index: RecordIndex::default(),
            next: FIRST,
            disk: 0,
            is_complete: false,
            synced_epoch: 0,
            epoch: 0,
            has_gap: false,
        };
        let mut obsolete = Vec::new();
        for step in loading.iter() {
            match step {
                LoadEvent::Records(records) => {
                    for (number, bytes) in records {
                        obsolete.extend(loaded.merge_records(now, number, &bytes));
                    }
                }
                LoadEvent::Done { is_intact } => {
                    loaded.journal.drop_records(obsolete);
                    return Ok((loaded, is_intact));
                }
                LoadEvent::Failed(error) => return Err(unreadable(&error.to_string())),
            }
        }
        Err(unreadable("the thread that reads the log has ended"))
    }

    /// Takes a record in; returns one that need not be kept.
    fn merge_records(&mut self, now: Instant, number: RecordNumber, bytes: &[u8]) -> Option<RecordNumber> {
        if number < EPOCH {
            self.next = self.next.max(number + 1);
        }
        match journal::read(bytes) {
            Ok(LogEntry::Disk(id)) => self.disk = id,
            Ok(LogEntry::Complete) => self.is_complete = true,
            Ok(LogEntry::Synced(epoch)) => self.synced_epoch = epoch,
            Ok(LogEntry::Epoch(epoch)) => self.epoch = epoch,
            Ok(LogEntry::Record { record, written_ms }) => {
                let age = Duration::from_millis(wall_clock_ms().saturating_sub(written_ms));
                return self.index.merge(now, age, &record, number).obsolete;
            }
            Err(error) => log::error!("record {number} of the log can't be read: {error}"),
        }
        None
    }

    /// Gives a disk that is empty, or has lost some of what it held, its id. At the first start of the whole system there is
    /// nothing to be copied.
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
        if self.journal.append(records).await && self.has_gap {
            self.journal.accept_loss();
        }
    }
}

fn unreadable(why: &str) -> RoleError {
    RoleError::Io("data_dir", std::io::Error::other(why.to_owned()))
}

/// Bytes that the log may take of a disk; one of unknown size bounds nothing.
fn log_limit(disk_mb: u64) -> u64 {
    match disk_mb {
        0 => u64::MAX / 2,
        disk_mb => (disk_mb as f64 * 1024.0 * 1024.0 * DISK_SHARE) as u64,
    }
}
