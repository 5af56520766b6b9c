//! A client's connection that ends itself when its [`Watch`] is overdue.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::clock::SteadyClock;
use crate::watch::{Bounds, Overdue, Watch};

/// How often a connection on which a request is answered is looked at.
const LOOK: Duration = Duration::from_secs(5);

/// The connection.
pub struct Watched {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    state: State,
    sleep: Pin<Box<Sleep>>,
}

/// The watch over a connection, for whoever answers its requests.
#[derive(Clone)]
pub struct State {
    clock: SteadyClock,
    watch: Rc<RefCell<Watch>>,
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
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.state.watch.borrow_mut().answered(self.state.clock.now());
    }
}

impl Watched {
    /// Begins to watch a connection that has just come.
    pub fn new(stream: TcpStream, clock: SteadyClock, bounds: Bounds) -> (Watched, State) {
        let watch = Rc::new(RefCell::new(Watch::new(clock.now(), bounds)));
        let state = State { clock, watch };
        let peer = stream.peer_addr().ok();
        let sleep = Box::pin(tokio::time::sleep(bounds.rest));
        (Watched { stream, peer, state: state.clone(), sleep }, state)
    }

    /// Ready with an error once the connection is overdue.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let left = match self.state.watch.borrow().ends() {
                Some((ends, why)) => {
                    let left = ends.since(self.state.clock.now());
                    if left.is_zero() {
                        self.tell(why);
                        return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
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
        let peer = self.peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string());
        match why {
            Overdue::Head => log::info!("client {peer}: the head of a request did not end in time"),
            Overdue::Rest => log::debug!("client {peer}: the connection has rested too long"),
        }
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
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
