//! Connections of HTTP clients: taken up until the shutdown begins, each a piece of work that ends with it.

use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, pending, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::guarded_body::GuardedBody;
use super::shutdown::{Shutdown, WorkGuard};
use super::socket;
use super::watched_stream::{WatchHandle, WatchedStream};
use crate::clock::SteadyClock;
use crate::connection_watchdog::ConnectionTimeouts;

/// Pause after a failure to accept: descriptors are short, most likely.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Takes up connections until the shutdown begins, and those that wait then, and listens no more. It does not return: a role's run
/// ends with its work, not with its listener.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, shutdown: Rc<Shutdown>, serve: impl Fn(TcpStream, WorkGuard) -> F,
) {
    // What waits to be taken up may become work: until the listener has closed the end has not come.
    let listener_guard = shutdown.enter();
    loop {
        let accepted = tokio::select! {
            // The end goes first: a listener that always has somebody to take up closes all the same.
            biased;
            () = shutdown.begun() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &shutdown, &serve),
            Err(error) => {
                log::warn!("accepting clients: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_queued(&listener, &shutdown, &serve).await;
    drop(listener);
    drop(listener_guard);
    log::info!("the listener has closed");
    pending().await
}

/// Takes up the connections that wait at a listener: closed over them it would reset each, whatever its client has sent.
async fn accept_queued<F: Future<Output = ()> + 'static>(
    listener: &TcpListener, shutdown: &Rc<Shutdown>, serve: &impl Fn(TcpStream, WorkGuard) -> F,
) {
    yield_to_io_driver().await;
    for _ in 0..socket::BACKLOG {
        let queued = poll_fn(|context| match listener.poll_accept(context) {
            Poll::Ready(Ok((stream, _))) => Poll::Ready(Some(stream)),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Ready(None),
        });
        let Some(stream) = queued.await else { return };
        spawn_connection(stream, shutdown, serve);
    }
}

fn spawn_connection<F: Future<Output = ()> + 'static>(
    stream: TcpStream, shutdown: &Rc<Shutdown>, serve: &impl Fn(TcpStream, WorkGuard) -> F,
) {
    socket::prepare_client(&stream);
    tokio::task::spawn_local(serve(stream, shutdown.enter()));
}

/// How requests are read at a listener.
#[derive(Clone, Copy)]
pub struct ReadLimits {
    /// How long a connection may stay as it is.
    pub timeouts: ConnectionTimeouts,
    /// The longest head, in bytes; the library's own bound if not given.
    pub head_max: Option<usize>,
}

/// Serves a connection to its end, which is when the client has closed it as well behind the last answer.
///
/// Once the shutdown has begun it is closed as soon as nothing is due on it: a head that has come in part is read to its end and
/// answered, and so is a request behind an answer that had begun before and could not say that the connection closes.
pub async fn serve<A, F, B>(
    stream: TcpStream, clock: SteadyClock, limits: ReadLimits, shutdown: &Shutdown, answer: A,
) where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (stream, handle) = WatchedStream::new(stream, clock, limits.timeouts);
    let service = service_fn(|request| {
        let guard = handle.request();
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await.map(|body| GuardedBody::new(body, guard))) }
    });
    let mut builder = Builder::new();
    builder.title_case_headers(true);
    if let Some(max_bytes) = limits.head_max {
        builder.max_buf_size(max_bytes);
    }
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        biased;
        () = shutdown.begun() => end(connection, &handle).await,
        result = connection.as_mut() => result,
    };
    if let Err(error) = result {
        log::debug!("client connection: {error}");
    }
}

/// Goes on with a connection until nothing is due on it, and closes it then.
async fn end<I, S>(mut connection: Pin<&mut Connection<I, S>>, handle: &WatchHandle) -> hyper::Result<()>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut was_idle = false;
    loop {
        let outcome = poll_fn(|context| match connection.as_mut().poll(context) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending if handle.is_idle() => Poll::Ready(None),
            Poll::Pending => {
                was_idle = false;
                Poll::Pending
            }
        });
        if let Some(result) = outcome.await {
            return result;
        }
        if was_idle {
            break;
        }
        was_idle = true;
        yield_to_io_driver().await;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Lets the runtime ask the system what has come: its reads go by what it last heard, and a socket that has just been taken up
/// was not heard of at all.
async fn yield_to_io_driver() {
    tokio::task::yield_now().await;
}
