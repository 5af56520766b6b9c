//! Handle to the log of a storage machine, which a thread of its own writes.
//!
//! What waits for the disk is bounded in bytes and in time. While the disk does not answer, requests are refused at once;
//! a refused request is never written. Once the writer has a request, only the disk knows its outcome, and it is answered
//! when the disk answers.

mod backlog;
mod queue;
mod writer;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use onyxstile_store::Error;
use tokio::sync::oneshot;

use super::log_entry::LogEntry;
use crate::byte_budget::REQUEST_OVERHEAD_BYTES;
use crate::clock::SteadyClock;
use crate::disk::{self, RECORD_MAX};
use crate::program::RecordNumber;
use backlog::RECORD_COPIES;
pub(super) use queue::BacklogStatus;
use queue::{Job, JobId, JobQueue, Numbered};

/// Maximum number of queued batches while the log is read.
const BATCHES_WAITING: usize = 4;
/// Longest time for which a request waits until the writer takes it. Shorter than the timeout of its callers, who then
/// learn that it was not carried out.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(700);

/// Events of the thread while it reads the log.
pub(super) enum LoadEvent {
    /// A batch of records.
    Records(Vec<Numbered>),
    /// All records were read.
    Done {
        /// Whether no acknowledged record is missing.
        is_intact: bool,
    },
    /// The log cannot be opened.
    Failed(Error),
}

/// Limits of a log.
#[derive(Debug, Clone, Copy)]
pub(super) struct JournalLimits {
    /// Maximum size of the log on the disk, in bytes.
    pub disk_bytes: u64,
    /// Maximum memory of the requests that wait for the disk, in bytes.
    pub backlog_bytes: usize,
}

/// Handle to the log for the serving thread.
pub(super) struct Journal {
    queue: Arc<JobQueue>,
    used_bytes: Arc<AtomicU64>,
}

/// The result of [`Journal::start`].
pub(super) struct StartedJournal {
    /// Handle to the log.
    pub journal: Journal,
    /// Yields the records found in the folder.
    pub loading: mpsc::Receiver<LoadEvent>,
    /// Completes when the thread has ended: it could not open the log, or has panicked.
    pub end: oneshot::Receiver<()>,
}

impl Journal {
    /// Starts the thread on a folder. Fails if the system has no thread left.
    pub(super) fn start(
        folder: PathBuf, limits: JournalLimits, clock: SteadyClock,
    ) -> io::Result<StartedJournal> {
        let queue = Arc::new(JobQueue::new(clock, limits.backlog_bytes));
        let (sender, loading) = mpsc::sync_channel(BATCHES_WAITING);
        let used_bytes = Arc::new(AtomicU64::new(0));
        let (writer_queue, shared_bytes) = (queue.clone(), used_bytes.clone());
        let (ending, end) = oneshot::channel();
        std::thread::Builder::new().name("log-writer".into()).spawn(move || {
            // Dropped however the thread ends.
            let _ending: oneshot::Sender<()> = ending;
            writer::run(folder, limits.disk_bytes, &sender, &writer_queue, &shared_bytes);
        })?;
        Ok(StartedJournal { journal: Journal { queue, used_bytes }, loading, end })
    }

    /// Total size of the log in bytes.
    pub(super) fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// What waits for the disk.
    pub(super) fn backlog(&self) -> BacklogStatus {
        self.queue.status()
    }

    /// Writes and syncs records for a caller; false if the backlog or the disk refused them, or a record exceeds the size
    /// limit.
    pub(super) async fn append(&self, records: Vec<(RecordNumber, LogEntry)>) -> bool {
        let encoded: Vec<Numbered> =
            records.into_iter().map(|(number, stored)| (number, disk::encode(&stored))).collect();
        if encoded.iter().any(|(_, bytes)| bytes.len() > RECORD_MAX) {
            log::warn!("refusing a record of more than {RECORD_MAX} bytes");
            return false;
        }
        let record_bytes: usize = encoded.iter().map(|(_, bytes)| bytes.len()).sum();
        let bytes = record_bytes * RECORD_COPIES + REQUEST_OVERHEAD_BYTES;
        self.request(bytes, |answer| Job::Append(encoded, answer)).await.unwrap_or(false)
    }

    /// Writes and syncs records of this machine itself, however long the disk takes; false if it refused them.
    pub(super) async fn append_own(&self, records: Vec<(RecordNumber, LogEntry)>) -> bool {
        let (answer, receiver) = oneshot::channel();
        let encoded = records.iter().map(|(number, stored)| (*number, disk::encode(stored))).collect();
        self.queue.submit_own(Job::Append(encoded, answer));
        receiver.await.unwrap_or(false)
    }

    /// Writes a record of this machine itself without waiting; its loss would only cost time.
    pub(super) fn append_later(&self, number: RecordNumber, stored: &LogEntry) {
        let (answer, _) = oneshot::channel();
        self.queue.submit_own(Job::Append(vec![(number, disk::encode(stored))], answer));
    }

    /// Reads records in the order of `numbers`; `None` for each that is missing or cannot be read. Empty if the backlog
    /// refused the request.
    pub(super) async fn read(&self, numbers: Vec<RecordNumber>) -> Vec<Option<Vec<u8>>> {
        self.request(REQUEST_OVERHEAD_BYTES, |answer| Job::Read(numbers, answer)).await.unwrap_or_default()
    }

    /// Drops records that are no longer needed.
    pub(super) fn drop_records(&self, numbers: Vec<RecordNumber>) {
        if !numbers.is_empty() {
            self.queue.submit_drop(numbers);
        }
    }

    /// Marks a loss as handled: everything that follows from it has been written.
    pub(super) fn accept_loss(&self) {
        self.queue.submit_own(Job::AcceptLoss);
    }

    /// Submits a request of a caller and waits for its answer; `None` if it was refused.
    async fn request<T>(&self, bytes: usize, job: impl FnOnce(oneshot::Sender<T>) -> Job) -> Option<T> {
        let (answer, receiver) = oneshot::channel();
        match self.queue.submit(bytes, job(answer)) {
            Ok(id) => self.wait(id, receiver).await,
            Err(refusal) => {
                log::debug!("refusing a request to the log: {}", refusal.label());
                None
            }
        }
    }

    async fn wait<T>(&self, id: JobId, mut answer: oneshot::Receiver<T>) -> Option<T> {
        if let Ok(answered) = tokio::time::timeout(QUEUE_WAIT_MAX, &mut answer).await {
            return answered.ok();
        }
        if self.queue.withdraw(id) {
            return None;
        }
        answer.await.ok()
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.queue.close();
    }
}
