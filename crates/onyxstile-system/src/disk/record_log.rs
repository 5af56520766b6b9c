//! Records on a durable store, each under a number of its own that is never used for another one.
//!
//! The store is `onyxstile-store`: a log of segments with an index in memory, compacted a slice at a time.

use onyxstile_store::disk::Disk;
use onyxstile_store::{Change, Error, Options, Store, Sync};

/// Bytes of a segment, about. Each new one costs some syncs; the oldest is read and rewritten as a whole.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes of what stands beside a record in a commit, at least.
const RECORD_OVERHEAD: usize = 64;
/// Bytes of a record, at most: what a client may send in one body, and its answer.
pub const RECORD_MAX: usize = 7 * 1024 * 1024;

/// A log of numbered records.
pub struct RecordLog<D: Disk> {
    store: Store<D, 0>,
    disk: D,
    options: Options,
    /// Records that the disk refused to drop.
    pending_drops: Vec<u64>,
}

/// A log that was opened.
pub struct OpenedLog<D: Disk> {
    /// The log.
    pub log: RecordLog<D>,
    /// Whether all that was ever acknowledged is there. If it is not, that stays so until
    /// [`RecordLog::accept_loss`] says that whoever uses the log knows it.
    pub is_intact: bool,
}

impl<D: Disk + Clone> RecordLog<D> {
    /// Opens the log in a folder that may hold `limit` bytes, and tells of each record in it.
    ///
    /// An end that is torn is no loss: it is what a loss of power leaves of writes that were not acknowledged, for each
    /// acknowledgement follows a sync of all before it.
    pub fn open(disk: D, limit: u64, mut visit: impl FnMut(u64, &[u8])) -> Result<OpenedLog<D>, Error> {
        let options =
            Options { limit, segment: SEGMENT_BYTES, commit: SEGMENT_BYTES as usize, verify: false };
        let (mut store, _) = Store::open(disk.clone(), options)?;
        if store.scan(&mut visit).is_err() {
            // Read whole, the log ends before the spoilt place, and what follows is set aside.
            (store, _) = Store::open(disk.clone(), Options { verify: true, ..options })?;
            store.scan(&mut visit)?;
        }
        let is_intact = store.aside_bytes() == 0;
        let log = RecordLog { store, disk, options, pending_drops: Vec::new() };
        Ok(OpenedLog { log, is_intact })
    }

    /// Whoever uses the log has drawn the consequence from a loss, for good.
    pub fn accept_loss(&mut self) -> Result<(), Error> {
        self.store.sync()?;
        self.store.accept_damage()?;
        self.store.remove_aside()
    }

    /// Writes records; once this returns they outlast a loss of power. After an error some of them may be there.
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

    /// What a record holds.
    pub fn read(&self, number: u64) -> Result<Option<Vec<u8>>, Error> {
        self.store.get(number)
    }

    /// Drops records. It is not waited for until that lasts; what the disk refuses now is dropped with the next ones.
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

    /// Bytes of all files.
    pub fn used_bytes(&self) -> u64 {
        self.store.used_bytes()
    }

    /// After a sync that failed nobody knows what the disk holds, so it is looked at anew.
    fn ensure_writable(&mut self) -> Result<(), Error> {
        if !self.store.writes() {
            (self.store, _) = Store::open(self.disk.clone(), self.options)?;
        }
        Ok(())
    }
}
