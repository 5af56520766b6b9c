//! Queue between the serving thread and the log writer thread.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::backlog::{Backlog, Refusal};
use crate::clock::{Instant, SteadyClock};
use crate::program::RecordNumber;

/// Maximum size of the records that are written and synced together, in bytes.
const BATCH_BYTES: usize = 1024 * 1024;

/// Number and bytes of a record.
pub(super) type Numbered = (RecordNumber, Vec<u8>);

/// A request to the log.
pub(super) enum Job {
    /// Writes and syncs records; answers whether they are on the disk.
    Append(Vec<Numbered>, oneshot::Sender<bool>),
    /// Reads records.
    Read(Vec<RecordNumber>, oneshot::Sender<Vec<Option<Vec<u8>>>>),
    /// Removes records.
    Drop(Vec<RecordNumber>),
    /// Marks a loss as handled.
    AcceptLoss,
}

impl Job {
    fn record_bytes(&self) -> usize {
        match self {
            Job::Append(records, _) => records.iter().map(|(_, bytes)| bytes.len()).sum(),
            Job::Read(..) | Job::Drop(_) | Job::AcceptLoss => 0,
        }
    }

    fn ends_batch(&self) -> bool {
        matches!(self, Job::Drop(_) | Job::AcceptLoss)
    }
}

/// Identifies a queued job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobId(u64);

struct QueuedJob {
    id: JobId,
    submitted: Instant,
    bytes: usize,
    job: Job,
}

/// Jobs that the writer carries out together, in order.
#[derive(Default)]
pub(super) struct Batch {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// Bytes of each job in the backlog.
    pub bytes: Vec<usize>,
}

/// What waits for the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub(in crate::role::storage) struct BacklogStatus {
    /// Bytes of the requests that wait.
    pub bytes: usize,
    /// Number of the requests that wait.
    pub requests: usize,
    /// How long the oldest of them has waited.
    pub oldest_age: Duration,
    /// How long the current call to the disk has lasted.
    pub disk_call_time: Duration,
    /// Number of refusals by reason.
    pub refusals: Vec<(&'static str, u64)>,
}

struct State {
    jobs: VecDeque<QueuedJob>,
    backlog: Backlog,
    /// Submission time of the oldest job that the writer carries out.
    oldest_in_batch: Option<Instant>,
    last_id: u64,
    is_closed: bool,
}

/// The queue.
pub(super) struct JobQueue {
    state: Mutex<State>,
    has_work: Condvar,
    clock: SteadyClock,
}

impl JobQueue {
    /// An empty queue with a backlog of at most `max_bytes` bytes.
    pub(super) fn new(clock: SteadyClock, max_bytes: usize) -> JobQueue {
        let state = State {
            jobs: VecDeque::new(),
            backlog: Backlog::new(max_bytes),
            oldest_in_batch: None,
            last_id: 0,
            is_closed: false,
        };
        JobQueue { state: Mutex::new(state), has_work: Condvar::new(), clock }
    }

    /// The state is consistent between any two operations, so poisoning is ignored.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a job that takes `bytes` bytes of memory while it waits, unless the backlog refuses it.
    pub(super) fn submit(&self, bytes: usize, job: Job) -> Result<JobId, Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        state.backlog.admit(now, bytes)?;
        Ok(self.push(&mut state, now, bytes, job))
    }

    /// Queues a job of this machine itself; their number is bounded, and none is refused.
    pub(super) fn submit_own(&self, job: Job) {
        let now = self.clock.now();
        let mut state = self.state();
        let bytes = job.record_bytes();
        state.backlog.add(bytes);
        self.push(&mut state, now, bytes, job);
    }

    /// Queues removals, together with those that are queued last.
    pub(super) fn submit_drop(&self, numbers: Vec<RecordNumber>) {
        let now = self.clock.now();
        let mut state = self.state();
        if let Some(QueuedJob { job: Job::Drop(queued), .. }) = state.jobs.back_mut() {
            queued.extend(numbers);
            return;
        }
        state.backlog.add(0);
        self.push(&mut state, now, 0, Job::Drop(numbers));
    }

    fn push(&self, state: &mut State, now: Instant, bytes: usize, job: Job) -> JobId {
        state.last_id += 1;
        let id = JobId(state.last_id);
        state.jobs.push_back(QueuedJob { id, submitted: now, bytes, job });
        self.has_work.notify_one();
        id
    }

    /// Takes a job back that has waited too long. False if the writer has it: then only the disk knows its outcome.
    pub(super) fn withdraw(&self, id: JobId) -> bool {
        let mut state = self.state();
        let Ok(index) = state.jobs.binary_search_by_key(&id.0, |queued| queued.id.0) else { return false };
        let Some(queued) = state.jobs.remove(index) else { return false };
        state.backlog.remove(queued.bytes);
        state.backlog.refuse(Refusal::WaitedTooLong);
        true
    }

    /// Waits for jobs and returns those to carry out next; `None` once the queue is closed and empty.
    pub(super) fn next_batch(&self) -> Option<Batch> {
        let mut state = self.state();
        while state.jobs.is_empty() {
            if state.is_closed {
                return None;
            }
            state = self.has_work.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let now = self.clock.now();
        state.backlog.begin_disk_call(now);
        state.oldest_in_batch = state.jobs.front().map(|queued| queued.submitted);
        Some(take_batch(&mut state.jobs))
    }

    /// Notes that the jobs of a batch were carried out.
    pub(super) fn finish(&self, bytes: &[usize]) {
        let mut state = self.state();
        state.backlog.end_disk_call();
        state.oldest_in_batch = None;
        bytes.iter().for_each(|bytes| state.backlog.remove(*bytes));
    }

    /// Lets the writer end once the queue is empty.
    pub(super) fn close(&self) {
        self.state().is_closed = true;
        self.has_work.notify_one();
    }

    /// What waits now.
    pub(super) fn status(&self) -> BacklogStatus {
        let now = self.clock.now();
        let state = self.state();
        let oldest = state.oldest_in_batch.or_else(|| state.jobs.front().map(|queued| queued.submitted));
        BacklogStatus {
            bytes: state.backlog.bytes(),
            requests: state.backlog.requests(),
            oldest_age: oldest.map_or(Duration::ZERO, |submitted| now.since(submitted)),
            disk_call_time: state.backlog.disk_call_time(now),
            refusals: Refusal::ALL.map(|refusal| (refusal.label(), state.backlog.refusals(refusal))).into(),
        }
    }
}

/// Takes jobs up to [`BATCH_BYTES`], and none after a job that changes what earlier records mean; at least one.
fn take_batch(queued: &mut VecDeque<QueuedJob>) -> Batch {
    let mut batch = Batch::default();
    let mut record_bytes = 0;
    while let Some(next) = queued.front() {
        record_bytes += next.job.record_bytes();
        if record_bytes > BATCH_BYTES && !batch.jobs.is_empty() {
            break;
        }
        let Some(QueuedJob { bytes, job, .. }) = queued.pop_front() else { break };
        let is_last = job.ends_batch();
        batch.bytes.push(bytes);
        batch.jobs.push(job);
        if is_last {
            break;
        }
    }
    batch
}

#[cfg(test)]
mod tests;
