//! The queue between the serving thread and the writer, without threads.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::{BATCH_BYTES, Batch, Job, JobId, JobQueue};
use crate::clock::SteadyClock;
use crate::role::storage::journal::backlog::Refusal;

const MAX_BYTES: usize = 4 * BATCH_BYTES;

fn queue() -> JobQueue {
    JobQueue::new(SteadyClock::start(), MAX_BYTES)
}

fn append(number: u64, bytes: usize) -> Job {
    let (answer, _) = oneshot::channel();
    Job::Append(vec![(number, vec![0; bytes])], answer)
}

/// Numbers of the records in a batch.
fn numbers(batch: &Batch) -> Vec<u64> {
    let of_job = |job: &Job| match job {
        Job::Append(records, _) => records.iter().map(|(number, _)| *number).collect(),
        Job::Read(numbers, _) | Job::Drop(numbers) => numbers.clone(),
        Job::AcceptLoss => Vec::new(),
    };
    batch.jobs.iter().flat_map(of_job).collect()
}

#[test]
fn a_withdrawn_request_never_reaches_the_writer() {
    let queue = queue();
    let ids: Vec<JobId> =
        (0..3).map(|number| queue.submit(1, append(number, 1)).expect("is admitted")).collect();
    assert!(queue.withdraw(ids[1]));
    assert!(!queue.withdraw(ids[1]), "only once");
    let batch = queue.next_batch().expect("a batch");
    assert_eq!(numbers(&batch), [0, 2]);
    assert!(!queue.withdraw(ids[0]), "the writer has it");
    queue.finish(&batch.bytes);
    assert_eq!((queue.status().bytes, queue.status().requests), (0, 0));
    let refusals = queue.status().refusals;
    assert!(refusals.contains(&(Refusal::WaitedTooLong.label(), 1)), "{refusals:?}");
}

#[test]
fn a_batch_is_bounded_and_ends_with_a_removal() {
    let queue = queue();
    queue.submit(0, append(0, BATCH_BYTES / 2)).expect("is admitted");
    queue.submit_drop(vec![1]);
    queue.submit_drop(vec![2]);
    queue.submit(0, append(3, BATCH_BYTES)).expect("is admitted");
    queue.submit(0, append(4, 1)).expect("is admitted");
    let batches: Vec<Vec<u64>> = (0..3).map(|_| numbers(&queue.next_batch().expect("a batch"))).collect();
    assert_eq!(batches, [vec![0, 1, 2], vec![3], vec![4]]);
}

/// Random histories of requests, withdrawals and batches: what waits never exceeds the limit, and nothing is left at the end.
#[test]
fn the_backlog_stays_within_its_limit_and_ends_empty() {
    for seed in 0..200u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut below = |bound: usize| random.next_u32() as usize % bound;
        let queue = queue();
        let mut waiting = Vec::new();
        let mut with_writer: Option<Batch> = None;
        for number in 0..300 {
            match below(4) {
                0 | 1 => {
                    let bytes = below(MAX_BYTES / 8);
                    waiting.extend(queue.submit(bytes, append(number, bytes)));
                }
                2 if !waiting.is_empty() => {
                    queue.withdraw(waiting.swap_remove(below(waiting.len())));
                }
                _ => match with_writer.take() {
                    Some(batch) => queue.finish(&batch.bytes),
                    None if queue.status().requests > 0 => with_writer = queue.next_batch(),
                    None => {}
                },
            }
            assert!(queue.status().bytes <= MAX_BYTES, "seed {seed}");
        }
        with_writer.into_iter().for_each(|batch| queue.finish(&batch.bytes));
        queue.close();
        while let Some(batch) = queue.next_batch() {
            queue.finish(&batch.bytes);
        }
        assert_eq!((queue.status().bytes, queue.status().requests), (0, 0), "seed {seed}");
    }
}
