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

use super::linger::Linger;
use crate::clock::SteadyClock;
use crate::connection_watchdog::{ConnectionTimeouts, ConnectionWatchdog, Overdue};

/// How often a connection on which a request is answered is looked at.
const LOOK: Duration = Duration::from_secs(5);

/// The connection.
pub struct Watched {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    state: State,
    sleep: Pin<Box<Sleep>>,
    linger: Option<Linger>,
}

/// The watch over a connection, for whoever answers its requests.
#[derive(Clone)]
pub struct State {
    clock: SteadyClock,
    watch: Rc<RefCell<ConnectionWatchdog>>,
    /// Bytes of an answer wait for the client to read.
    is_blocked: Rc<Cell<bool>>,
}

/// A request that is being answered, for as long as this lives.
pub struct Answering {
    state: State,
}

impl State {
    /// A request's head has ended.
    pub fn request(&self) -> Answering {
        self.watch.borrow_mut().request(self.clock.now());
        Answering { state: self.clone() }
    }

    /// Whether nothing is due on the connection: no answer is made, none leaves, and no head has begun.
    pub fn is_idle(&self) -> bool {
        self.watch.borrow().is_idle() && !self.is_blocked.get()
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.state.watch.borrow_mut().answered(self.state.clock.now());
    }
}

impl Watched {
    /// Begins to watch a connection that has just come.
    pub fn new(stream: TcpStream, clock: SteadyClock, bounds: ConnectionTimeouts) -> (Watched, State) {
        let watch = Rc::new(RefCell::new(ConnectionWatchdog::new(clock.now(), bounds)));
        let state = State { clock, watch, is_blocked: Rc::default() };
        let peer = stream.peer_addr().ok();
        let sleep = Box::pin(tokio::time::sleep(bounds.idle));
        (Watched { stream, peer, state: state.clone(), sleep, linger: None }, state)
    }

    /// Ready once the connection is overdue. It reads as ended by the client then, so that its close is one in order.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let left = match self.state.watch.borrow().deadline() {
                Some((ends, why)) => {
                    let left = ends.since(self.state.clock.now());
                    if left.is_zero() {
                        self.tell(why);
                        return Poll::Ready(Ok(()));
                    }
                    left
                }
                // The answer's end wakes nobody here: it is looked for now and then.
                None => LOOK,
            };
            self.sleep.as_mut().reset(Instant::now() + left);
            if self.sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn tell(&self, why: Overdue) {
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
    fn note_sent(&self, sent: &Poll<io::Result<usize>>, length: usize) {
        let mut watch = self.state.watch.borrow_mut();
        // Events of a stream leave all the time; while it lasts nothing is timed.
        if matches!(sent, Poll::Ready(Ok(1..))) && watch.deadline().is_some() {
            watch.sent(self.state.clock.now());
        }
        // What did not leave at once is written again; the last of it leaves whole.
        let is_blocked = match sent {
            Poll::Ready(Ok(count)) => *count < length,
            Poll::Ready(Err(_)) => false,
            Poll::Pending => true,
        };
        self.state.is_blocked.set(is_blocked);
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buffer) {
            Poll::Pending => this.poll_overdue(cx),
            ready => {
                if buffer.filled().len() > before {
                    this.state.watch.borrow_mut().bytes(this.state.clock.now());
                }
                ready
            }
        }
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.note_sent(&sent, bytes.len());
        sent
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.note_sent(&sent, slices.iter().map(|slice| slice.len()).sum());
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
            this.linger = Some(Linger::begin(this.sleep.as_mut()));
        }
        let Some(linger) = &mut this.linger else { return Poll::Ready(Ok(())) };
        ready!(linger.poll(&mut this.stream, this.sleep.as_mut(), cx));
        let dropped = linger.dropped();
        if dropped > 0 {
            log::info!("client {}: {dropped} bytes came behind the last answer", this.peer());
        }
        Poll::Ready(Ok(()))
    }
}
