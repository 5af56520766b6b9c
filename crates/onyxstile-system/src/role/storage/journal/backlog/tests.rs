//! Admission by bytes and by the time of the current call to the disk.

use super::{Backlog, Refusal, STALL_TIME};
use crate::clock::Instant;

const MAX_BYTES: usize = 1000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn requests_are_refused_while_a_call_to_the_disk_lasts_too_long() {
    let stalled_ms = STALL_TIME.as_millis() as u64;
    let mut backlog = Backlog::new(MAX_BYTES);
    backlog.begin_disk_call(at(10));
    assert_eq!(backlog.admit(at(10 + stalled_ms - 1), 1), Ok(()));
    assert_eq!(backlog.admit(at(10 + stalled_ms), 1), Err(Refusal::DiskStalled));
    backlog.end_disk_call();
    assert_eq!(backlog.admit(at(10 + stalled_ms), 1), Ok(()), "the disk has answered");
    assert_eq!(backlog.refusals(Refusal::DiskStalled), 1);
}

#[test]
fn requests_are_refused_while_as_many_bytes_wait_as_may() {
    let mut backlog = Backlog::new(MAX_BYTES);
    assert_eq!(backlog.admit(at(0), MAX_BYTES), Ok(()));
    assert_eq!(backlog.admit(at(0), 1), Err(Refusal::BacklogFull));
    backlog.remove(MAX_BYTES);
    assert_eq!(backlog.admit(at(0), 1), Ok(()));
    assert_eq!((backlog.bytes(), backlog.requests()), (1, 1));
}

#[test]
fn a_request_larger_than_the_limit_is_admitted_alone() {
    let mut backlog = Backlog::new(MAX_BYTES);
    assert_eq!(backlog.admit(at(0), 2 * MAX_BYTES), Ok(()));
    assert_eq!(backlog.admit(at(0), 1), Err(Refusal::BacklogFull));
}
