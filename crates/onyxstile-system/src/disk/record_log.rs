//! A durable log of records. Each record has a number of its own, which is never reused.
//!
//! It is backed by `onyxstile-store`: a segmented log with an index in memory and incremental compaction.

use onyxstile_store::disk::Disk;
use onyxstile_store::{Change, Error, Options, Store, Sync};

/// Approximate size of a segment in bytes. Each new segment costs several syncs, and compaction reads and rewrites the
/// oldest segment completely.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Minimum overhead of a record in a commit, in bytes.
const RECORD_OVERHEAD: usize = 64;
/// Largest record in bytes: the largest request body that a client may send, together with its response.
pub const RECORD_MAX: usize = 7 * 1024 * 1024;

/// A log of numbered records.
pub struct RecordLog<D: Disk> {
    store: Store<D, 0>,
    disk: D,
    options: Options,
    /// Records whose removal has not been written yet.
    pending_drops: Vec<u64>,
}

/// The result of [`RecordLog::open`].
pub struct OpenedLog<D: Disk> {
    /// The log.
    pub log: RecordLog<D>,
    /// Whether every acknowledged record is present. A loss is reported at each start until [`RecordLog::accept_loss`] is
    /// called.
    pub is_intact: bool,
}

impl<D: Disk + Clone> RecordLog<D> {
    /// Opens the log in a folder that may hold `limit` bytes and calls `visit` with each record.
    ///
    /// A truncated end is not a loss. A power failure leaves it for writes that were not acknowledged, since each
    /// acknowledgement follows a sync of all earlier writes.
    pub fn open(disk: D, limit: u64, mut visit: impl FnMut(u64, &[u8])) -> Result<OpenedLog<D>, Error> {
        let options =
            Options { limit, segment: SEGMENT_BYTES, commit: SEGMENT_BYTES as usize, verify: false };
        let (mut store, _) = Store::open(disk.clone(), options)?;
        if store.scan(&mut visit).is_err() {
            // With verification the log ends before the corrupt position, and what follows is set aside.
            (store, _) = Store::open(disk.clone(), Options { verify: true, ..options })?;
            store.scan(&mut visit)?;
        }
        let is_intact = store.aside_bytes() == 0;
        let log = RecordLog { store, disk, options, pending_drops: Vec::new() };
        Ok(OpenedLog { log, is_intact })
    }

    /// Acknowledges a loss permanently, once the caller has handled it.
    pub fn accept_loss(&mut self) -> Result<(), Error> {
        self.store.sync()?;
        self.store.accept_damage()?;
        self.store.remove_aside()
    }

    /// Appends records, which are durable once this returns. After an error some of them may have been written.
    pub fn append(&mut self, records: Vec<(u64, Vec<u8>)>) -> Result<(), Error> {
        self.ensure_writable()?;
        let mut changes = Vec::with_capacity(records.len());
        let mut bytes = 0;
        for (key, value) in records {
            let size = value.len() + RECORD_OVERHEAD;
            if bytes + size > self.store.commit_max() && !changes.is_empty() {
                self.store.commit(&changes, Sync::Lasting)?;
                changes.clear();
                bytes = 0;
            }
            bytes += size;
            changes.push(Change::Put { key, facets: None, value });
        }
        self.store.commit(&changes, Sync::Lasting)
    }

    /// The content of a record.
    pub fn read(&self, number: u64) -> Result<Option<Vec<u8>>, Error> {
        self.store.get(number)
    }

    /// Removes records without waiting until that is durable. Removals that the disk rejects are retried with the next
    /// call.
    pub fn drop_records(&mut self, numbers: Vec<u64>) -> Result<(), Error> {
        self.pending_drops.extend(numbers);
        self.ensure_writable()?;
        let max_records = self.store.commit_max() / RECORD_OVERHEAD;
        while !self.pending_drops.is_empty() {
            let count = self.pending_drops.len().min(max_records);
            let changes: Vec<Change<0>> =
                self.pending_drops[..count].iter().map(|number| Change::Delete(*number)).collect();
            self.store.commit(&changes, Sync::Written)?;
            self.pending_drops.drain(..count);
        }
        Ok(())
    }

    /// Total size of all files in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.store.used_bytes()
    }

    /// After a failed sync the content of the disk is undefined, so the store is opened again.
    fn ensure_writable(&mut self) -> Result<(), Error> {
        if !self.store.writes() {
            (self.store, _) = Store::open(self.disk.clone(), self.options)?;
        }
        Ok(())
    }
}
