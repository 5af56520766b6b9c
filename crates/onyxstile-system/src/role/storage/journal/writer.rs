//! The log writer thread: requests that arrive during a sync are written together with the next one.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;

use onyxstile_store::Error;
use onyxstile_store::disk::{Disk, OsDisk};
use tokio::sync::oneshot;

use super::LoadEvent;
use super::queue::{Batch, Job, JobQueue, Numbered};
use crate::disk::{OpenedLog, RecordLog};
use crate::program::RecordNumber;

/// Maximum size in bytes of a batch of records while the log is read.
const LOAD_BATCH_BYTES: usize = 256 * 1024;

/// Reads the log in a folder that may hold `limit` bytes, then carries out the jobs of the queue until it is closed.
pub(super) fn run(
    folder: PathBuf, limit: u64, loading: &SyncSender<LoadEvent>, queue: &JobQueue, used_bytes: &AtomicU64,
) {
    let opened = OsDisk::new(&folder)
        .map_err(|error| Error::Io(folder.display().to_string(), error))
        .and_then(|disk| load(disk, limit, loading));
    // The thread that started this one waits for these events.
    match opened {
        Ok(OpenedLog { log, is_intact }) => {
            used_bytes.store(log.used_bytes(), Ordering::Relaxed);
            loading.send(LoadEvent::Done { is_intact }).ok();
            Writer { log, has_failed: false }.serve(queue, used_bytes);
        }
        Err(error) => drop(loading.send(LoadEvent::Failed(error))),
    }
}

fn load<D: Disk + Clone>(
    disk: D, limit: u64, loading: &SyncSender<LoadEvent>,
) -> Result<OpenedLog<D>, Error> {
    let (mut batch, mut bytes) = (Vec::new(), 0);
    let opened = RecordLog::open(disk, limit, |number, value| {
        bytes += value.len();
        batch.push((number, value.to_vec()));
        if bytes > LOAD_BATCH_BYTES {
            bytes = 0;
            loading.send(LoadEvent::Records(std::mem::take(&mut batch))).ok();
        }
    });
    loading.send(LoadEvent::Records(batch)).ok();
    opened
}

struct Writer<D: Disk> {
    log: RecordLog<D>,
    /// Whether the last write failed.
    has_failed: bool,
}

impl<D: Disk + Clone> Writer<D> {
    fn serve(mut self, queue: &JobQueue, used_bytes: &AtomicU64) {
        while let Some(Batch { jobs, bytes }) = queue.next_batch() {
            self.carry_out(jobs);
            used_bytes.store(self.log.used_bytes(), Ordering::Relaxed);
            queue.finish(&bytes);
        }
    }

    /// Answers the reads first: they need not wait for a sync.
    fn carry_out(&mut self, jobs: Vec<Job>) {
        let (mut records, mut responders, mut last) = (Vec::new(), Vec::new(), None);
        for job in jobs {
            match job {
                Job::Append(more, answer) => {
                    records.extend(more);
                    responders.push(answer);
                }
                Job::Read(numbers, answer) => self.answer_read(&numbers, answer),
                Job::Drop(_) | Job::AcceptLoss => last = Some(job),
            }
        }
        if !responders.is_empty() {
            self.append(records, responders);
        }
        match last {
            Some(Job::Drop(numbers)) => note_failure("dropping records", self.log.drop_records(numbers)),
            Some(Job::AcceptLoss) => note_failure("accepting a loss", self.log.accept_loss()),
            _ => {}
        }
    }

    fn answer_read(&self, numbers: &[RecordNumber], answer: oneshot::Sender<Vec<Option<Vec<u8>>>>) {
        let read = |number: &RecordNumber| {
            self.log.read(*number).unwrap_or_else(|error| {
                log::error!("cannot read record {number}: {error}");
                None
            })
        };
        // The caller may have timed out.
        answer.send(numbers.iter().map(read).collect()).ok();
    }

    fn append(&mut self, records: Vec<Numbered>, responders: Vec<oneshot::Sender<bool>>) {
        let result = self.log.append(records);
        let had_failed = std::mem::replace(&mut self.has_failed, result.is_err());
        match &result {
            Err(error) if !had_failed => log::error!("the disk refuses writes: {error}"),
            Ok(()) if had_failed => log::info!("the disk accepts writes again"),
            _ => {}
        }
        for answer in responders {
            // The caller may have timed out.
            answer.send(result.is_ok()).ok();
        }
    }
}

fn note_failure(what: &str, result: Result<(), Error>) {
    if let Err(error) = result {
        log::error!("{what}: {error}");
    }
}
