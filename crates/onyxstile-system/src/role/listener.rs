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
use crate::watch::Bounds;

/// Pause after a failure to accept: descriptors are short, most likely.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes up connections until the shutdown begins, and then listens no more. It does not return: a role's run ends with its
/// work, not with its listener.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener, shutdown: Rc<Shutdown>, serve: impl Fn(TcpStream, Work) -> F,
) {
    loop {
        let accepted = tokio::select! {
            // The end goes first: a client that connects in the same turn is not taken up.
            biased;
            () = shutdown.begun() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                socket::prepare_client(&stream);
                tokio::task::spawn_local(serve(stream, shutdown.enter()));
            }
            Err(error) => {
                log::warn!("accepting clients: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    drop(listener);
    log::info!("the listener has closed");
    pending().await
}

/// How requests are read at a listener.
#[derive(Clone, Copy)]
pub struct Reading {
    /// How long a connection may stay as it is.
    pub bounds: Bounds,
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
    let finished = poll_fn(|context| match connection.as_mut().poll(context) {
        Poll::Ready(result) => Poll::Ready(Some(result)),
        // What had come was read in this turn: a connection that is at rest now has nothing due.
        Poll::Pending if state.is_at_rest() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    });
    if let Some(result) = finished.await {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
