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
const REST: Duration = Duration::from_secs(2);
/// One that goes on sending is read for this long in all.
const MOST: Duration = Duration::from_secs(30);
/// Bytes dropped at a time.
const PIECE: usize = 8 * 1024;
/// Pieces in one turn of the process: others are served meanwhile.
const PIECES_A_TURN: usize = 16;

/// How far a lingering close is.
pub struct Linger {
    ends: Instant,
    dropped: u64,
}

impl Linger {
    /// The writing half has just been shut; `sleep` is the connection's one timer.
    pub fn begin(sleep: Pin<&mut Sleep>) -> Linger {
        let now = Instant::now();
        sleep.reset(now + REST);
        Linger { ends: now + MOST, dropped: 0 }
    }

    /// Bytes dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Reads and drops; ready once the client has closed or a bound is reached.
    pub fn poll<S: AsyncRead + Unpin>(
        &mut self, stream: &mut S, mut sleep: Pin<&mut Sleep>, cx: &mut Context<'_>,
    ) -> Poll<()> {
        for _ in 0..PIECES_A_TURN {
            let mut piece = [0; PIECE];
            let mut buffer = ReadBuf::new(&mut piece);
            let Poll::Ready(result) = Pin::new(&mut *stream).poll_read(cx, &mut buffer) else {
                return sleep.poll(cx);
            };
            let read = buffer.filled().len();
            if result.is_err() || read == 0 {
                return Poll::Ready(());
            }
            self.dropped += read as u64;
            sleep.as_mut().reset(self.ends.min(Instant::now() + REST));
        }
        // More may be there: the next turn goes on, unless the time is over.
        if Instant::now() >= self.ends {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
