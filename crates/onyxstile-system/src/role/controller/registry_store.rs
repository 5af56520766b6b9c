//! Stores the registry on disk, so that endpoints are known right after a power loss of all controllers, and drains
//! survive it.
//!
//! A separate thread writes it. Most changes are soft and are written together shortly afterwards: changes lost in a
//! power failure arrive again with the next heartbeats, and a call to an endpoint that has left meanwhile is refused by
//! the current owner of its address (`Expect-Instance`). A drain is written before it is acknowledged.

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use tokio::sync::oneshot;

use super::recovery::open_or_discard;
use crate::clock::Instant;
use crate::disk::{self, RealFolder, Versions};
use crate::registry::{Instance, Registry};

/// Name of the record.
const RECORD: &str = "registry";
/// Changes within this time are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Content of the record.
#[derive(Debug, Default, BorshSerialize, BorshDeserialize)]
pub(super) struct StoredRegistry {
    /// Whether the controller held every acknowledged drain.
    pub is_complete: bool,
    /// All endpoints that the controller knew.
    pub instances: Vec<Instance>,
}

/// Pending write. A newer record replaces an older one, whose content it includes.
#[derive(Default)]
struct PendingWrite {
    /// The record and the newest registry change in it.
    record: Option<(Vec<u8>, u64)>,
    answers: Vec<oneshot::Sender<bool>>,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<PendingWrite>,
    has_work: Condvar,
    is_busy: AtomicBool,
    has_failed: AtomicBool,
    /// Newest registry change that is on the disk.
    written: AtomicU64,
}

impl Shared {
    /// A thread that panics while it holds the lock leaves the data consistent, so poisoning is ignored.
    fn pending(&self) -> MutexGuard<'_, PendingWrite> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> (Vec<u8>, u64, Vec<oneshot::Sender<bool>>) {
        let mut pending = self.pending();
        loop {
            if let Some((record, counter)) = pending.record.take() {
                return (record, counter, std::mem::take(&mut pending.answers));
            }
            pending = self.has_work.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Handle for submitting writes.
pub(super) struct RegistryStore {
    shared: Arc<Shared>,
    submitted: Cell<u64>,
    last_attempt: Cell<Instant>,
}

/// The result of [`RegistryStore::open`].
pub(super) struct OpenedStore {
    /// Handle for submitting writes.
    pub store: RegistryStore,
    /// Content of the record.
    pub stored: StoredRegistry,
    /// Completes when the thread has ended, which it does only by a panic.
    pub end: oneshot::Receiver<()>,
}

impl RegistryStore {
    /// Opens the record in a folder. One that cannot be read counts as lost.
    pub(super) fn open(folder: PathBuf) -> io::Result<OpenedStore> {
        let ((versions, held), _) = open_or_discard(
            || Versions::open(RealFolder::open(folder.clone())?, RECORD),
            || Versions::discard(&mut RealFolder::open(folder.clone())?, RECORD),
        )?;
        let stored = held.map_or_else(StoredRegistry::default, |bytes| {
            disk::decode(&bytes).unwrap_or_else(|error| {
                log::warn!("cannot read the registry record: {error}");
                StoredRegistry::default()
            })
        });
        let shared: Arc<Shared> = Arc::default();
        let writing = shared.clone();
        let (ending, end) = oneshot::channel();
        std::thread::Builder::new().name("registry".into()).spawn(move || {
            // Dropped however the thread ends.
            let _ending: oneshot::Sender<()> = ending;
            run(versions, &writing);
        })?;
        let store = RegistryStore { shared, submitted: Cell::new(0), last_attempt: Cell::default() };
        Ok(OpenedStore { store, stored, end })
    }

    /// Writes the registry if it has changed or if the last write failed; postponed while the disk is busy.
    pub(super) fn write_if_due(&self, now: Instant, registry: &Registry, is_complete: bool) {
        let is_due = now.since(self.last_attempt.get()) >= WRITE_INTERVAL;
        let has_failed = self.shared.has_failed.load(Ordering::Relaxed);
        let is_submitted = registry.changes() == self.submitted.get() && !has_failed;
        if is_submitted || !is_due || self.shared.is_busy.load(Ordering::Relaxed) {
            return;
        }
        self.last_attempt.set(now);
        drop(self.write(registry, is_complete));
    }

    /// Writes the registry now unless it is already written; the receiver yields whether it is on the disk.
    pub(super) fn write_now(&self, registry: &Registry, is_complete: bool) -> oneshot::Receiver<bool> {
        if self.shared.written.load(Ordering::Acquire) >= registry.changes() {
            let (answer, receiver) = oneshot::channel();
            answer.send(true).ok();
            return receiver;
        }
        self.write(registry, is_complete)
    }

    /// Writes the registry whether it has changed or not.
    pub(super) fn write(&self, registry: &Registry, is_complete: bool) -> oneshot::Receiver<bool> {
        let (answer, receiver) = oneshot::channel();
        let record = disk::encode(&StoredRegistry { is_complete, instances: registry.records() });
        let mut pending = self.shared.pending();
        pending.record = Some((record, registry.changes()));
        // Callers that no longer wait would otherwise add up while the disk does not answer.
        pending.answers.retain(|waiting| !waiting.is_closed());
        pending.answers.push(answer);
        self.shared.has_work.notify_one();
        self.submitted.set(registry.changes());
        receiver
    }
}

fn run(mut versions: Versions<RealFolder>, shared: &Shared) {
    loop {
        let (record, counter, answers) = shared.next();
        shared.is_busy.store(true, Ordering::Relaxed);
        let result = versions.write(&record);
        let had_failed = shared.has_failed.swap(result.is_err(), Ordering::Relaxed);
        match &result {
            Err(error) if !had_failed => log::warn!("cannot write the registry record: {error}"),
            Ok(()) if had_failed => log::info!("writes of the registry record succeed again"),
            _ => {}
        }
        if result.is_ok() {
            shared.written.store(counter, Ordering::Release);
        }
        for answer in answers {
            // Soft changes have no waiting receiver.
            answer.send(result.is_ok()).ok();
        }
        shared.is_busy.store(false, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
