//! Log writer thread: requests that arrive during a sync are written together with the next one.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use onyxstile_store::Error;
use onyxstile_store::disk::OsDisk;
use tokio::sync::oneshot;

use super::log_entry::LogEntry;
use crate::disk::{self, OpenedLog, RECORD_MAX, RecordLog};
use crate::program::RecordNumber;

/// Maximum size in bytes of a batch of records while the log is read.
const BATCH_BYTES: usize = 256 * 1024;
/// Maximum number of queued batches while the log is read.
const BATCHES_WAITING: usize = 4;

/// Number and bytes of a record.
type Numbered = (RecordNumber, Vec<u8>);

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

enum Job {
    Append(Vec<Numbered>, oneshot::Sender<bool>),
    Read(Vec<RecordNumber>, oneshot::Sender<Vec<Option<Vec<u8>>>>),
    Drop(Vec<RecordNumber>),
    AcceptLoss,
}

/// Handle to the log for the serving thread.
pub(super) struct Journal {
    jobs: mpsc::Sender<Job>,
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
    /// Starts the thread on a folder that may hold `limit` bytes. Fails if the system has no thread left.
    pub(super) fn start(folder: PathBuf, limit: u64) -> io::Result<StartedJournal> {
        let (jobs, queue) = mpsc::channel();
        let (sender, loading) = mpsc::sync_channel(BATCHES_WAITING);
        let used_bytes = Arc::new(AtomicU64::new(0));
        let shared = used_bytes.clone();
        let (ending, end) = oneshot::channel();
        std::thread::Builder::new().name("log-writer".into()).spawn(move || {
            // Dropped however the thread ends.
            let _ending: oneshot::Sender<()> = ending;
            run(folder, limit, &sender, &queue, &shared);
        })?;
        Ok(StartedJournal { journal: Journal { jobs, used_bytes }, loading, end })
    }

    /// Total size of the log in bytes.
    pub(super) fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Writes and syncs records; false if the disk refused them or a record exceeds the size limit.
    pub(super) async fn append(&self, records: Vec<(RecordNumber, LogEntry)>) -> bool {
        let bytes: Vec<Numbered> =
            records.into_iter().map(|(number, stored)| (number, disk::encode(&stored))).collect();
        if bytes.iter().any(|(_, bytes)| bytes.len() > RECORD_MAX) {
            log::warn!("refusing a record of more than {RECORD_MAX} bytes");
            return false;
        }
        self.request(|answer| Job::Append(bytes, answer)).await.unwrap_or(false)
    }

    /// Writes a record without waiting; its loss would only cost time.
    pub(super) fn append_later(&self, number: RecordNumber, stored: &LogEntry) {
        let (answer, _) = oneshot::channel();
        self.submit(Job::Append(vec![(number, disk::encode(stored))], answer));
    }

    /// Reads records in the order of `numbers`; `None` for each that is missing or cannot be read.
    pub(super) async fn read(&self, numbers: Vec<RecordNumber>) -> Vec<Option<Vec<u8>>> {
        self.request(|answer| Job::Read(numbers, answer)).await.unwrap_or_default()
    }

    /// Drops records that are no longer needed.
    pub(super) fn drop_records(&self, numbers: Vec<RecordNumber>) {
        if !numbers.is_empty() {
            self.submit(Job::Drop(numbers));
        }
    }

    /// Marks a loss as handled: everything that follows from it has been written.
    pub(super) fn accept_loss(&self) {
        self.submit(Job::AcceptLoss);
    }

    fn submit(&self, job: Job) {
        // The thread runs until the process ends.
        self.jobs.send(job).ok();
    }

    async fn request<T>(&self, job: impl FnOnce(oneshot::Sender<T>) -> Job) -> Option<T> {
        let (answer, receiver) = oneshot::channel();
        self.submit(job(answer));
        receiver.await.ok()
    }
}

fn run(
    folder: PathBuf, limit: u64, loading: &mpsc::SyncSender<LoadEvent>, queue: &mpsc::Receiver<Job>,
    used_bytes: &AtomicU64,
) {
    let opened = OsDisk::new(&folder)
        .map_err(|error| Error::Io(folder.display().to_string(), error))
        .and_then(|disk| load(disk, limit, loading));
    // The thread that started this one waits for these events.
    match opened {
        Ok(OpenedLog { mut log, is_intact }) => {
            used_bytes.store(log.used_bytes(), Ordering::Relaxed);
            loading.send(LoadEvent::Done { is_intact }).ok();
            serve(&mut log, queue, used_bytes);
        }
        Err(error) => drop(loading.send(LoadEvent::Failed(error))),
    }
}

fn load(disk: OsDisk, limit: u64, loading: &mpsc::SyncSender<LoadEvent>) -> Result<OpenedLog<OsDisk>, Error> {
    let (mut batch, mut bytes) = (Vec::new(), 0);
    let opened = RecordLog::open(disk, limit, |number, value| {
        bytes += value.len();
        batch.push((number, value.to_vec()));
        if bytes > BATCH_BYTES {
            bytes = 0;
            loading.send(LoadEvent::Records(std::mem::take(&mut batch))).ok();
        }
    });
    loading.send(LoadEvent::Records(batch)).ok();
    opened
}

fn serve(log: &mut RecordLog<OsDisk>, queue: &mpsc::Receiver<Job>, used_bytes: &AtomicU64) {
    let mut has_failed = false;
    let mut next = queue.recv().ok();
    while let Some(job) = next.take() {
        match job {
            Job::Append(records, answer) => next = append(log, queue, records, answer, &mut has_failed),
            Job::Read(numbers, answer) => answer_read(log, &numbers, answer),
            Job::Drop(numbers) => note_failure("dropping records", log.drop_records(numbers)),
            Job::AcceptLoss => note_failure("accepting a loss", log.accept_loss()),
        }
        used_bytes.store(log.used_bytes(), Ordering::Relaxed);
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

fn note_failure(what: &str, result: Result<(), Error>) {
    if let Err(error) = result {
        log::error!("{what}: {error}");
    }
}

fn answer_read(
    log: &RecordLog<OsDisk>, numbers: &[RecordNumber], answer: oneshot::Sender<Vec<Option<Vec<u8>>>>,
) {
    let read = |number: &RecordNumber| {
        log.read(*number).unwrap_or_else(|error| {
            log::error!("cannot read record {number}: {error}");
            None
        })
    };
    // The caller may have timed out.
    answer.send(numbers.iter().map(read).collect()).ok();
}

/// Writes one append request together with all queued ones; reads between them are answered at once. Returns the first
/// job that is neither an append nor a read.
fn append(
    log: &mut RecordLog<OsDisk>, queue: &mpsc::Receiver<Job>, mut records: Vec<Numbered>,
    answer: oneshot::Sender<bool>, has_failed: &mut bool,
) -> Option<Job> {
    let mut responders = vec![answer];
    let mut other = None;
    while let Ok(job) = queue.try_recv() {
        match job {
            Job::Append(more, answer) => {
                records.extend(more);
                responders.push(answer);
            }
            Job::Read(numbers, answer) => answer_read(log, &numbers, answer),
            job => {
                other = Some(job);
                break;
            }
        }
    }
    let result = log.append(records);
    let had_failed = std::mem::replace(has_failed, result.is_err());
    match &result {
        Err(error) if !had_failed => log::error!("the disk refuses writes: {error}"),
        Ok(()) if had_failed => log::info!("the disk accepts writes again"),
        _ => {}
    }
    for answer in responders {
        // The caller may have timed out.
        answer.send(result.is_ok()).ok();
    }
    other
}
