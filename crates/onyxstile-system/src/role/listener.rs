//! Connections of HTTP clients: taken up until the shutdown begins, each a piece of work that ends with it.

use std::error::Error;
use std::future::{Future, pending};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use tokio::net::{TcpListener, TcpStream};

use super::shutdown::{Shutdown, Work};
use super::socket;

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

/// Serves a connection to its end, which is when the client has closed it as well behind the last answer. Once the shutdown has begun it is closed
/// after the answer that is due; a head that has come in part is read to its end and answered.
pub async fn serve<I, S, B>(connection: Connection<I, S>, shutdown: &Shutdown)
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        biased;
        () = shutdown.begun() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        result = connection.as_mut() => result,
    };
    if let Err(error) = result {
        log::debug!("client connection: {error}");
    }
}
