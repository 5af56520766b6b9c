//! Processes whose log is not taken.
//!
//! Failure (rule FAULT): a process ended with 101 at its next log line once the reader of its standard error had gone, and
//! stood still at the next line once a pipe that nobody reads was full.

mod support;

use std::io::{ErrorKind, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;

use support::role_process::{ROLES, RoleMachine};
use support::tier::{free_ports, lock_ports};

/// Starts each role with a standard error; it has to serve, to count the lost lines if `loses`, and to end in order.
fn assert_serves(test: &str, loses: bool, mut standard_error: impl FnMut() -> (OwnedFd, Option<UnixStream>)) {
    let _alone = lock_ports();
    for role in ROLES {
        let machine = RoleMachine::new(free_ports(1).remove(0), role, test);
        let (output, _reader) = standard_error();
        let mut process = machine.start(Stdio::from(output));
        process.wait_for_metric("onyxstile_log_lines_lost_total");
        if loses {
            process
                .wait_until("lost lines", |process| !process.has_metric("onyxstile_log_lines_lost_total 0"));
        }
        process.signal("-HUP");
        process.wait_for_metric("onyxstile_log_lines_lost_total");
        process.ends_in_order();
    }
}

/// Guards against the end of a process by a log whose reader has gone.
#[test]
fn a_reader_of_the_log_that_has_gone_does_not_end_a_process() {
    assert_serves("log-gone", true, || {
        let (output, reader) = UnixStream::pair().expect("a pair");
        drop(reader);
        (output.into(), None)
    });
}

/// Guards against a process that stands still because nobody reads its log.
#[test]
fn a_log_that_nobody_reads_does_not_stop_a_process() {
    assert_serves("log-full", false, || {
        let (mut output, reader) = UnixStream::pair().expect("a pair");
        output.set_nonblocking(true).expect("is set");
        let full = loop {
            if let Err(error) = output.write(&[b'.'; 4096]) {
                break error;
            }
        };
        assert_eq!(full.kind(), ErrorKind::WouldBlock);
        while output.write(b".").is_ok() {}
        output.set_nonblocking(false).expect("is set");
        (output.into(), Some(reader))
    });
}
