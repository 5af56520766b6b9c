//! Lingering close of a connection: the write half is shut down, and input is read and discarded until the client closes
//! as well.
//!
//! If a socket is closed with unread input, the operating system resets the connection and drops response bytes that it
//! has not sent yet.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Time to wait for a client that sends nothing and does not close: a lost packet is sent again after 1 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Total time for which input of a client that keeps sending is read.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes discarded per read.
const CHUNK_BYTES: usize = 8 * 1024;
/// Reads per poll, so that other tasks are not blocked.
const CHUNKS_PER_POLL: usize = 16;

/// State of a lingering close.
pub struct LingeringClose {
    deadline: Instant,
    discarded: u64,
}

impl LingeringClose {
    /// Starts after the write half was shut down. `sleep` is the single timer of the connection.
    pub fn begin(sleep: Pin<&mut Sleep>) -> LingeringClose {
        let now = Instant::now();
        sleep.reset(now + IDLE_TIMEOUT);
        LingeringClose { deadline: now + TOTAL_TIMEOUT, discarded: 0 }
    }

    /// Bytes discarded so far.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }

    /// Reads and discards input; ready once the client has closed or a timeout has expired.
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
        // More input may be available: continue in the next poll unless the time is over.
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
