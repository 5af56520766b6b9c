//! The lingering close of a connection: its writing half is shut, and what still comes is read and dropped until the client
//! closes as well.
//!
//! The system resets a connection that is closed over unread bytes, and throws away what it had not yet sent of the answers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep};

/// A client that sends nothing more and does not close is waited for this long: a lost packet comes again after a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// One that goes on sending is read for this long in all.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes dropped at a time.
const CHUNK_BYTES: usize = 8 * 1024;
/// Pieces in one turn of the process: others are served meanwhile.
const CHUNKS_PER_POLL: usize = 16;

/// How far a lingering close is.
pub struct LingeringClose {
    deadline: Instant,
    discarded: u64,
}

impl LingeringClose {
    /// The writing half has just been shut; `sleep` is the connection's one timer.
    pub fn begin(sleep: Pin<&mut Sleep>) -> LingeringClose {
        let now = Instant::now();
        sleep.reset(now + IDLE_TIMEOUT);
        LingeringClose { deadline: now + TOTAL_TIMEOUT, discarded: 0 }
    }

    /// Bytes dropped so far.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }

    /// Reads and drops; ready once the client has closed or a bound is reached.
    pub fn poll<S: AsyncRead + Unpin>(
        &mut self, stream: &mut S, mut sleep: Pin<&mut Sleep>, cx: &mut Context<'_>,
    ) -> Poll<()> {
        for _ in 0..CHUNKS_PER_POLL {
            let mut chunk = [0; CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            let Poll::Ready(result) = Pin::new(&mut *stream).poll_read(cx, &mut buffer) else {
                return sleep.poll(cx);
            };
            let read = buffer.filled().len();
            if result.is_err() || read == 0 {
                return Poll::Ready(());
            }
            self.discarded += read as u64;
            sleep.as_mut().reset(self.deadline.min(Instant::now() + IDLE_TIMEOUT));
        }
        // More may be there: the next turn goes on, unless the time is over.
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
