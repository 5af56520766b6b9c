//! HTTP client connections: accepted until the shutdown begins. Each one counts as open work until it ends.

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

/// Delay after a failed accept, most likely due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the shutdown begins, then those still in the accept queue, and closes the listener. The
/// future never completes: a role ends when its open work does, not when its listener closes.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, shutdown: Rc<Shutdown>, serve: impl Fn(TcpStream, WorkGuard) -> F,
) -> Infallible {
    // Queued connections may become work, so the shutdown must not complete before the listener has closed.
    let listener_guard = shutdown.enter();
    loop {
        let accepted = tokio::select! {
            // Shutdown takes precedence: otherwise a listener with a steady stream of connections would never close.
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

/// Accepts the queued connections. Closing the listener would reset each of them, whatever the client has already sent.
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

/// Limits for reading requests at a listener.
#[derive(Clone, Copy)]
pub struct ReadLimits {
    /// Timeouts of a connection.
    pub timeouts: ConnectionTimeouts,
    /// Maximum size of a request head in bytes; `None` for the default of the HTTP library.
    pub head_max: Option<usize>,
}

/// Serves a connection until the client has also closed it after the last response.
///
/// Once the shutdown has begun, the connection is closed as soon as nothing is pending on it. A head that has arrived in
/// part is read to its end and answered. So is a request that follows a response which had begun before the shutdown and
/// could not announce that the connection closes.
pub async fn serve<A, F, B>(
    stream: TcpStream, clock: SteadyClock, limits: ReadLimits, shutdown: &Shutdown, answer: A,
) where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (stream, handle) = WatchedStream::new(stream, clock, limits.timeouts);
    let service = service_fn(|mut request: Request<Incoming>| {
        let guard = handle.request();
        request.extensions_mut().insert(handle.meter());
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

/// Polls a connection until nothing is pending on it, then closes it.
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

/// Yields so that the runtime polls the operating system for events. Its reads rely on the last poll, which does not
/// cover a socket that has just been accepted.
async fn yield_to_io_driver() {
    tokio::task::yield_now().await;
}
