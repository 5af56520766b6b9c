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

use super::held_body::HeldBody;
use super::shutdown::{Shutdown, Work};
use super::socket;
use super::watched::{State, Watched};
use crate::clock::SteadyClock;
use crate::connection_watchdog::ConnectionTimeouts;

/// Pause after a failure to accept: descriptors are short, most likely.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes up connections until the shutdown begins, and those that wait then, and listens no more. It does not return: a role's run
/// ends with its work, not with its listener.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, shutdown: Rc<Shutdown>, serve: impl Fn(TcpStream, Work) -> F,
) {
    // What waits to be taken up may become work: until the listener has closed the end has not come.
    let listening = shutdown.enter();
    loop {
        let accepted = tokio::select! {
            // The end goes first: a listener that always has somebody to take up closes all the same.
            biased;
            () = shutdown.begun() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => take(stream, &shutdown, &serve),
            Err(error) => {
                log::warn!("accepting clients: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    take_waiting(&listener, &shutdown, &serve).await;
    drop(listener);
    drop(listening);
    log::info!("the listener has closed");
    pending().await
}

/// Takes up the connections that wait at a listener: closed over them it would reset each, whatever its client has sent.
async fn take_waiting<F: Future<Output = ()> + 'static>(
    listener: &TcpListener, shutdown: &Rc<Shutdown>, serve: &impl Fn(TcpStream, Work) -> F,
) {
    hear_of_sockets().await;
    for _ in 0..socket::BACKLOG {
        let waiting = poll_fn(|context| match listener.poll_accept(context) {
            Poll::Ready(Ok((stream, _))) => Poll::Ready(Some(stream)),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Ready(None),
        });
        let Some(stream) = waiting.await else { return };
        take(stream, shutdown, serve);
    }
}

fn take<F: Future<Output = ()> + 'static>(
    stream: TcpStream, shutdown: &Rc<Shutdown>, serve: &impl Fn(TcpStream, Work) -> F,
) {
    socket::prepare_client(&stream);
    tokio::task::spawn_local(serve(stream, shutdown.enter()));
}

/// How requests are read at a listener.
#[derive(Clone, Copy)]
pub struct Reading {
    /// How long a connection may stay as it is.
    pub bounds: ConnectionTimeouts,
    /// The longest head, in bytes; the library's own bound if not given.
    pub head_max: Option<usize>,
}

/// Serves a connection to its end, which is when the client has closed it as well behind the last answer.
///
/// Once the shutdown has begun it is closed as soon as nothing is due on it: a head that has come in part is read to its end and
/// answered, and so is a request behind an answer that had begun before and could not say that the connection closes.
pub async fn serve<A, F, B>(
    stream: TcpStream, clock: SteadyClock, reading: Reading, shutdown: &Shutdown, answer: A,
) where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (stream, state) = Watched::new(stream, clock, reading.bounds);
    let service = service_fn(|request| {
        let answering = state.request();
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await.map(|body| HeldBody::new(body, answering))) }
    });
    let mut builder = Builder::new();
    builder.title_case_headers(true);
    if let Some(most) = reading.head_max {
        builder.max_buf_size(most);
    }
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        biased;
        () = shutdown.begun() => end(connection, &state).await,
        result = connection.as_mut() => result,
    };
    if let Err(error) = result {
        log::debug!("client connection: {error}");
    }
}

/// Goes on with a connection until nothing is due on it, and closes it then.
async fn end<I, S>(mut connection: Pin<&mut Connection<I, S>>, state: &State) -> hyper::Result<()>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut was_at_rest = false;
    loop {
        let went_on = poll_fn(|context| match connection.as_mut().poll(context) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending if state.is_idle() => Poll::Ready(None),
            Poll::Pending => {
                was_at_rest = false;
                Poll::Pending
            }
        });
        if let Some(result) = went_on.await {
            return result;
        }
        if was_at_rest {
            break;
        }
        was_at_rest = true;
        hear_of_sockets().await;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Lets the runtime ask the system what has come: its reads go by what it last heard, and a socket that has just been taken up
/// was not heard of at all.
async fn hear_of_sockets() {
    tokio::task::yield_now().await;
}
