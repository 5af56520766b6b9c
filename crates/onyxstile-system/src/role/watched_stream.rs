//! A client's connection: it ends itself when its [`Watch`] is overdue, and its close lingers.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::lingering_close::LingeringClose;
use crate::clock::SteadyClock;
use crate::connection_watchdog::{ConnectionTimeouts, ConnectionWatchdog, Overdue};

/// How often a connection on which a request is answered is looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The connection.
pub struct WatchedStream {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    handle: WatchHandle,
    sleep: Pin<Box<Sleep>>,
    linger: Option<LingeringClose>,
}

/// The watch over a connection, for whoever answers its requests.
#[derive(Clone)]
pub struct WatchHandle {
    clock: SteadyClock,
    watchdog: Rc<RefCell<ConnectionWatchdog>>,
    /// Bytes of an answer wait for the client to read.
    has_unsent_bytes: Rc<Cell<bool>>,
}

/// A request that is being answered, for as long as this lives.
pub struct RequestGuard {
    handle: WatchHandle,
}

impl WatchHandle {
    /// A request's head has ended.
    pub fn request(&self) -> RequestGuard {
        self.watchdog.borrow_mut().request(self.clock.now());
        RequestGuard { handle: self.clone() }
    }

    /// Whether nothing is due on the connection: no answer is made, none leaves, and no head has begun.
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
    /// Begins to watch a connection that has just come.
    pub fn new(
        stream: TcpStream, clock: SteadyClock, timeouts: ConnectionTimeouts,
    ) -> (WatchedStream, WatchHandle) {
        let watchdog = Rc::new(RefCell::new(ConnectionWatchdog::new(clock.now(), timeouts)));
        let handle = WatchHandle { clock, watchdog, has_unsent_bytes: Rc::default() };
        let peer = stream.peer_addr().ok();
        let sleep = Box::pin(tokio::time::sleep(timeouts.idle));
        (WatchedStream { stream, peer, handle: handle.clone(), sleep, linger: None }, handle)
    }

    /// Ready once the connection is overdue. It reads as ended by the client then, so that its close is one in order.
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
                // The answer's end wakes nobody here: it is looked for now and then.
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
            Overdue::Head => log::info!("client {}: the head of a request did not end in time", self.peer()),
            Overdue::Idle => log::debug!("client {}: the connection has rested too long", self.peer()),
        }
    }

    /// The client, for the log.
    fn peer(&self) -> String {
        self.peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string())
    }

    /// Notes how many of some bytes of an answer have left.
    fn record_sent(&self, sent: &Poll<io::Result<usize>>, length: usize) {
        let mut watchdog = self.handle.watchdog.borrow_mut();
        // Events of a stream leave all the time; while it lasts nothing is timed.
        if matches!(sent, Poll::Ready(Ok(1..))) && watchdog.deadline().is_some() {
            watchdog.sent(self.handle.clock.now());
        }
        // What did not leave at once is written again; the last of it leaves whole.
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

    /// The shutdown is over once the close has lingered: whoever waits for the connection's end waits for the client's too.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.linger = Some(LingeringClose::begin(this.sleep.as_mut()));
        }
        let Some(linger) = &mut this.linger else { return Poll::Ready(Ok(())) };
        ready!(linger.poll(&mut this.stream, this.sleep.as_mut(), cx));
        let discarded = linger.discarded();
        if discarded > 0 {
            log::info!("client {}: {discarded} bytes came behind the last answer", this.peer());
        }
        Poll::Ready(Ok(()))
    }
}
