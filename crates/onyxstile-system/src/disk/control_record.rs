//! The durable state of a controller: a snapshot of the complete state, with one file per version, followed by one file
//! for each write to the control state. The cost of a write therefore depends on the size of the change and not on the
//! size of the state.
//!
//! A file name is never reused for another write, because a removed name can reappear after a power failure. Each file
//! records the view and the sequence that its write belongs to; a write that does not follow the newest snapshot is
//! obsolete.

use std::io;
use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::{Folder, Versions, decode, encode, read_frame, write_frame};
use crate::control::{Ballot, ControlState, Durable, View, Write};

/// File name prefix of snapshots.
const SNAPSHOT_NAME: &str = "version";
/// File name prefix of writes.
const WRITE_PREFIX: &str = "write-";
/// A snapshot is due once the writes since the last one take half of its size, and at least this many bytes.
const SNAPSHOT_MIN_BYTES: usize = 64 * 1024;
/// A snapshot is due after this many writes in any case, since each write is a file.
const SNAPSHOT_MAX_WRITES: usize = 256;

/// A snapshot. `state` is omitted if it equals the initial state of the view.
#[derive(BorshSerialize, BorshDeserialize)]
struct Snapshot {
    disk: u64,
    view: Option<Rc<View>>,
    state: Option<ControlState>,
    promised: Ballot,
    accepted: Option<(Ballot, Rc<View>)>,
}

impl Snapshot {
    fn of(durable: &Durable) -> Snapshot {
        let is_initial = durable.view.as_ref().is_some_and(|view| view.state == durable.state);
        Snapshot {
            disk: durable.disk,
            view: durable.view.clone(),
            state: (!is_initial).then(|| durable.state.clone()),
            promised: durable.promised,
            accepted: durable.accepted.clone(),
        }
    }

    fn durable(self) -> Durable {
        let initial = || self.view.as_ref().map(|view| view.state.clone()).unwrap_or_default();
        Durable {
            disk: self.disk,
            state: self.state.unwrap_or_else(initial),
            view: self.view,
            promised: self.promised,
            accepted: self.accepted,
        }
    }
}

/// The content of a write's file.
#[derive(BorshSerialize, BorshDeserialize)]
struct LogEntry {
    view: u64,
    write: Write,
}

/// The durable files of one controller.
pub struct ControlRecord<F> {
    versions: Versions<F>,
    folder: F,
    next_number: u64,
    snapshot_bytes: usize,
    log_bytes: usize,
    log_entries: usize,
    last_write: Option<Rc<Write>>,
}

impl<F: Folder> ControlRecord<F> {
    /// Opens the files of a folder and returns the stored state, if there is any. `snapshots` and `folder` must refer to
    /// the same folder.
    ///
    /// A snapshot that cannot be read is an error that names its file. Falling back to an older snapshot could lose votes
    /// that were already cast.
    pub fn open(snapshots: F, folder: F) -> io::Result<(ControlRecord<F>, Option<Durable>)> {
        let (versions, stored) = Versions::open(snapshots, SNAPSHOT_NAME)?;
        let snapshot_bytes = stored.as_ref().map_or(0, Vec::len);
        let mut record = ControlRecord {
            versions,
            folder,
            next_number: 0,
            snapshot_bytes,
            log_bytes: 0,
            log_entries: 0,
            last_write: None,
        };
        let Some(bytes) = stored else {
            // Writes without a snapshot remain if the process crashes while it discards a record. They follow no state.
            if !record.writes()?.is_empty() {
                ControlRecord::discard(&mut record.folder)?;
            }
            return Ok((record, None));
        };
        let unreadable = |error| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", record.versions.newest_file()))
        };
        let snapshot: Snapshot = decode(&bytes).map_err(unreadable)?;
        let mut durable = snapshot.durable();
        record.replay(&mut durable)?;
        Ok((record, Some(durable)))
    }

    /// Removes a record that cannot be read, which leaves the same state as an empty disk.
    pub fn discard(folder: &mut F) -> io::Result<()> {
        for file in folder.list()?.iter().filter(|file| file.starts_with(WRITE_PREFIX)) {
            folder.remove(file)?;
        }
        Versions::discard(folder, SNAPSHOT_NAME)
    }

    /// Applies the writes that follow the snapshot, in sequence order.
    fn replay(&mut self, durable: &mut Durable) -> io::Result<()> {
        let view = durable.view.as_ref().map_or(0, |view| view.number);
        let mut entries = Vec::new();
        for (number, file) in self.writes()? {
            self.next_number = self.next_number.max(number + 1);
            let bytes = self.folder.read(&file)?;
            self.log_entries += 1;
            self.log_bytes += bytes.len();
            // A truncated write was never acknowledged.
            let found = read_frame(&bytes).and_then(|(body, _)| decode::<LogEntry>(body).ok());
            entries.extend(found.filter(|entry| entry.view == view));
        }
        entries.sort_by_key(|entry| entry.write.sequence);
        for LogEntry { write, .. } in entries {
            if durable.state.apply(&write) {
                self.last_write = Some(Rc::new(write));
            }
        }
        Ok(())
    }

    /// The newest write that was replayed when the files were opened.
    pub fn last_recovered_write(&self) -> Option<Rc<Write>> {
        self.last_write.clone()
    }

    fn writes(&self) -> io::Result<Vec<(u64, String)>> {
        let number = |file: &String| file.strip_prefix(WRITE_PREFIX)?.parse().ok();
        Ok(self.folder.list()?.into_iter().filter_map(|file| Some((number(&file)?, file))).collect())
    }

    /// Writes a snapshot, which is durable once this returns.
    pub fn save(&mut self, durable: &Durable) -> io::Result<()> {
        let bytes = encode(&Snapshot::of(durable));
        self.versions.write(&bytes)?;
        self.snapshot_bytes = bytes.len();
        if self.log_entries > 0 {
            for (_, file) in self.writes()? {
                self.folder.remove(&file)?;
            }
        }
        (self.log_entries, self.log_bytes) = (0, 0);
        Ok(())
    }

    /// Appends a write to the newest state in `view`. The write is durable once this returns.
    pub fn append(&mut self, view: u64, write: &Write) -> io::Result<()> {
        let mut bytes = Vec::new();
        write_frame(&encode(&LogEntry { view, write: write.clone() }), &mut bytes);
        let file = format!("{WRITE_PREFIX}{}", self.next_number);
        self.next_number += 1;
        self.log_entries += 1;
        self.log_bytes += bytes.len();
        self.folder.append(&file, &bytes)?;
        self.folder.sync(&file)
    }

    /// Whether the writes since the last snapshot warrant a new one.
    pub fn is_snapshot_due(&self) -> bool {
        self.log_entries >= SNAPSHOT_MAX_WRITES
            || self.log_bytes >= SNAPSHOT_MIN_BYTES.max(self.snapshot_bytes / 2)
    }
}
