//! From the start to the end of a proxy: when it calls itself ready, and how it drains.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::phase::Connected;
use super::{Node, forward};
use crate::configuration::ClientLimits;
use crate::role::http::{Answer, text};
use crate::role::watched::Watched;
use crate::role::{signals, socket};
use crate::watch::Bounds;

/// The platform takes a relay out after two misses, a second apart; until then clients still come.
const STILL_OFFERED: Duration = Duration::from_millis(2600);
/// Room before the kill for the last bytes to leave.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// How often a drain looks whether all is answered.
const DRAIN_LOOK: Duration = Duration::from_millis(40);

/// Heads of at least this many bytes are read, whatever the limit says: `Prompt-Prefix` names hundreds of parts.
const HEAD_MIN: usize = 64 * 1024;

/// Answers the platform's question.
pub(super) async fn readiness(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/api/readyz" {
        return text(StatusCode::NOT_FOUND, "");
    }
    text(if node.phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

/// Takes up clients' connections until the drain closes the door.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.phase.closed() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                socket::prepare(&stream);
                tokio::task::spawn_local(serve(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("accepting clients: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    log::info!("the listener has closed");
    std::future::pending::<()>().await;
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let _connected = Connected::new(node.clone());
    if node.phase.is_closing() {
        log::warn!("a client's connection was taken up after the listener was to close");
    }
    let serving = node.clone();
    let limits = node.client_limits();
    let (stream, watch) = Watched::new(stream, node.clock, bounds(&limits));
    let service = service_fn(move |request| {
        let (node, answering) = (serving.clone(), watch.request());
        async move { Ok::<_, Infallible>(forward::answer(node, request, answering).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(limits.max_header_bytes.max(HEAD_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing(&node) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("client connection: {error}");
    }
}

fn bounds(limits: &ClientLimits) -> Bounds {
    Bounds {
        head: Duration::from_millis(limits.header_timeout_ms),
        rest: Duration::from_millis(limits.idle_timeout_ms),
    }
}

async fn closing(node: &Node) {
    loop {
        let notified = node.phase.closed();
        if node.phase.is_closing() {
            return;
        }
        notified.await;
    }
}

/// Waits for SIGTERM; then refuses readiness, goes on for as long as clients are still sent here, and ends once all
/// that was read is answered, or shortly before the kill.
pub(super) async fn drain(node: Rc<Node>) {
    signals::terminated().await;
    log::info!("SIGTERM: draining");
    node.phase.drain();
    let grace = node.settings.borrow().grace();
    let end = tokio::time::Instant::now() + grace.saturating_sub(BEFORE_KILL);
    tokio::time::sleep(STILL_OFFERED.min(grace / 2)).await;
    node.phase.close();
    log::info!("the listener closes: {}", open(&node));
    while node.phase.open() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    // The last answers' bytes leave, and what waits on storage is written.
    tokio::time::sleep(DRAIN_LOOK * 2).await;
    log::info!("the proxy ends: {}", open(&node));
}

/// What is open, for the log.
fn open(node: &Node) -> String {
    format!("{} connections, {} requests are open", node.phase.connections(), node.phase.open())
}
