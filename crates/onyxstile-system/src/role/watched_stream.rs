//! Client connection that ends when its [`ConnectionWatchdog`] is overdue, and that is closed with a lingering close.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::lingering_close::LingeringClose;
use super::metered_socket::{MeteredSocket, ReadMeter};
use crate::clock::SteadyClock;
use crate::connection_watchdog::{ConnectionTimeouts, ConnectionWatchdog, Overdue};

/// Interval between checks of a connection while a request on it is being answered.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Bytes that a client may send without a whole head or frame of a body: more than the HTTP library buffers.
const BYTES_WITHOUT_UNIT_MAX: usize = 1024 * 1024;

/// Stream of a client connection with its timeouts.
pub struct WatchedStream {
    stream: MeteredSocket<TcpStream>,
    peer: Option<SocketAddr>,
    handle: WatchHandle,
    sleep: Pin<Box<Sleep>>,
    linger: Option<LingeringClose>,
}

/// Handle to the watchdog of a connection, for the code that answers its requests.
#[derive(Clone)]
pub struct WatchHandle {
    clock: SteadyClock,
    watchdog: Rc<RefCell<ConnectionWatchdog>>,
    meter: Arc<ReadMeter>,
    /// Whether response bytes are waiting for the client to read.
    has_unsent_bytes: Rc<Cell<bool>>,
}

/// Guard of a request that is being answered; the answer ends when it is dropped.
pub struct RequestGuard {
    handle: WatchHandle,
}

impl WatchHandle {
    /// Records that the head of a request is complete.
    pub fn request(&self) -> RequestGuard {
        self.watchdog.borrow_mut().request(self.clock.now());
        self.meter.progress();
        RequestGuard { handle: self.clone() }
    }

    /// Meter of the bytes that the client sends.
    pub fn meter(&self) -> Arc<ReadMeter> {
        self.meter.clone()
    }

    /// Whether the connection is idle: no response is being produced or sent, and no request head has begun.
    pub fn is_idle(&self) -> bool {
        self.watchdog.borrow().is_idle() && !self.has_unsent_bytes.get()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.handle.watchdog.borrow_mut().answered(self.handle.clock.now());
    }
}

impl WatchedStream {
    /// Starts to watch a new connection.
    pub fn new(
        stream: TcpStream, clock: SteadyClock, timeouts: ConnectionTimeouts,
    ) -> (WatchedStream, WatchHandle) {
        let watchdog = Rc::new(RefCell::new(ConnectionWatchdog::new(clock.now(), timeouts)));
        let meter = ReadMeter::new(BYTES_WITHOUT_UNIT_MAX);
        let peer = stream.peer_addr().ok();
        let stream = MeteredSocket::new(stream, meter.clone());
        let handle = WatchHandle { clock, watchdog, meter, has_unsent_bytes: Rc::default() };
        let sleep = Box::pin(tokio::time::sleep(timeouts.idle));
        (WatchedStream { stream, peer, handle: handle.clone(), sleep, linger: None }, handle)
    }

    /// Ready once the connection is overdue. The read side then reports the end of input, so that the connection is
    /// closed in the regular way.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let left = match self.handle.watchdog.borrow().deadline() {
                Some((deadline, why)) => {
                    let left = deadline.since(self.handle.clock.now());
                    if left.is_zero() {
                        self.log_overdue(why);
                        return Poll::Ready(Ok(()));
                    }
                    left
                }
                // The end of a response does not wake this task, so it is polled.
                None => CHECK_INTERVAL,
            };
            self.sleep.as_mut().reset(Instant::now() + left);
            if self.sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn log_overdue(&self, why: Overdue) {
        match why {
            Overdue::Head => {
                log::info!("client {}: request head not complete within the timeout", self.peer())
            }
            Overdue::Idle => log::debug!("client {}: idle timeout expired", self.peer()),
        }
    }

    /// Address of the client for log messages.
    fn peer(&self) -> String {
        self.peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string())
    }

    /// Records how many of `length` response bytes were sent.
    fn record_sent(&self, sent: &Poll<io::Result<usize>>, length: usize) {
        let mut watchdog = self.handle.watchdog.borrow_mut();
        // Streams send events often, and no timeout runs while they last.
        if matches!(sent, Poll::Ready(Ok(1..))) && watchdog.deadline().is_some() {
            watchdog.sent(self.handle.clock.now());
        }
        // Unsent bytes are written again; the last write is complete.
        let has_unsent_bytes = match sent {
            Poll::Ready(Ok(count)) => *count < length,
            Poll::Ready(Err(_)) => false,
            Poll::Pending => true,
        };
        self.handle.has_unsent_bytes.set(has_unsent_bytes);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buffer) {
            Poll::Pending => this.poll_overdue(cx),
            ready => {
                if buffer.filled().len() > before {
                    this.handle.watchdog.borrow_mut().bytes(this.handle.clock.now());
                }
                ready
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.record_sent(&sent, bytes.len());
        sent
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.record_sent(&sent, slices.iter().map(|slice| slice.len()).sum());
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    /// Completes after the lingering close, so that waiting for the end of the connection includes the client's close.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.linger = Some(LingeringClose::begin(this.sleep.as_mut()));
        }
        let Some(linger) = &mut this.linger else { return Poll::Ready(Ok(())) };
        ready!(linger.poll(this.stream.socket_mut(), this.sleep.as_mut(), cx));
        let discarded = linger.discarded();
        if discarded > 0 {
            log::info!(
                "client {}: discarded {discarded} bytes received after the last response",
                this.peer()
            );
        }
        Poll::Ready(Ok(()))
    }
}
