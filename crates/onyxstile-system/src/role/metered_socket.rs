//! Socket whose reads are bounded below the HTTP library, which may read on without returning anything to its caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may be read in a row before other tasks run. Without this bound a peer that always has bytes ready keeps the
/// thread for itself.
const TURN_BYTES: usize = 64 * 1024;

/// Counts the bytes that were read since the last whole unit: a head, or a frame of a body.
#[derive(Debug)]
pub struct ReadMeter {
    max_bytes: usize,
    bytes: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl ReadMeter {
    /// A meter that allows `max_bytes` bytes without a whole unit.
    pub fn new(max_bytes: usize) -> Arc<ReadMeter> {
        Arc::new(ReadMeter { max_bytes, bytes: AtomicUsize::new(0), is_exceeded: AtomicBool::new(false) })
    }

    /// Records a whole unit.
    pub fn progress(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Whether too many bytes were read without a whole unit. The connection has then failed.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }

    /// Records read bytes; fails if they are too many.
    fn record(&self, bytes: usize) -> io::Result<()> {
        if self.bytes.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes) <= self.max_bytes {
            return Ok(());
        }
        self.is_exceeded.store(true, Ordering::Relaxed);
        Err(io::Error::new(io::ErrorKind::InvalidData, "too many bytes without a whole head or frame"))
    }
}

/// A socket with its meter.
pub struct MeteredSocket<S> {
    socket: S,
    meter: Arc<ReadMeter>,
    read_in_a_row: usize,
}

impl<S> MeteredSocket<S> {
    /// Meters the reads of `socket`.
    pub fn new(socket: S, meter: Arc<ReadMeter>) -> MeteredSocket<S> {
        MeteredSocket { socket, meter, read_in_a_row: 0 }
    }

    /// The socket; what is read from it directly is not metered.
    pub fn socket_mut(&mut self) -> &mut S {
        &mut self.socket
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredSocket<S> {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.read_in_a_row >= TURN_BYTES {
            this.read_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut this.socket).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let read = buffer.filled().len() - before;
                this.read_in_a_row += read;
                Poll::Ready(this.meter.record(read))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                this.read_in_a_row = 0;
                Poll::Pending
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredSocket<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(context)
    }
}
