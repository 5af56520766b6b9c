//! From the start to the end of a proxy: when it calls itself ready, and how it drains.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use super::{Node, forward};
use crate::clock::Instant;
use crate::configuration::ClientLimits;
use crate::connection_watchdog::ConnectionTimeouts;
use crate::role::http::{Answer, text};
use crate::role::listener::{self, Reading};
use crate::role::shortest_grace::ShortestGrace;
use crate::role::shutdown::Work;
use crate::role::signals::Termination;

/// The platform takes a relay out after two misses, a second apart; until then clients still come.
const STILL_OFFERED: Duration = Duration::from_millis(2600);
/// The system's buffers are emptied meanwhile. Nothing can be taken any more.
const LAST_BYTES: Duration = Duration::from_millis(80);

/// Heads of at least this many bytes are read, whatever the limit says: `Prompt-Prefix` names hundreds of parts.
const HEAD_MIN: usize = 64 * 1024;

/// Answers the platform's question.
pub(super) async fn readiness(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/api/readyz" {
        return text(StatusCode::NOT_FOUND, "");
    }
    text(if node.phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

/// Takes up clients' connections until the listener closes.
pub(super) async fn accept(node: Rc<Node>, listener: TcpListener) {
    let shutdown = node.phase.shutdown();
    listener::accept(listener, shutdown, |stream, work| serve(node.clone(), stream, work)).await;
}

async fn serve(node: Rc<Node>, stream: TcpStream, _work: Work) {
    let shutdown = node.phase.shutdown();
    let reading = reading(&node.client_limits());
    listener::serve(stream, node.clock, reading, &shutdown, |request| forward::answer(node.clone(), request))
        .await;
}

fn reading(limits: &ClientLimits) -> Reading {
    let bounds = ConnectionTimeouts {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
    };
    Reading { bounds, head_max: Some(limits.max_header_bytes.max(HEAD_MIN)) }
}

/// Waits for SIGTERM; then refuses readiness, goes on for as long as clients are still sent here, and ends once the listener is
/// closed and every connection has ended, or shortly before the kill.
pub(super) async fn drain(node: Rc<Node>, termination: Termination) {
    termination.come().await;
    log::info!("SIGTERM: draining");
    let settings = &node.settings;
    let grace = node.phase.drain(ShortestGrace::new(node.clock.now(), settings.borrow().grace()));
    grace.reached(settings, node.clock, closes).await;
    let shutdown = node.phase.shutdown();
    shutdown.begin();
    log::info!("the listener closes: {}", open(&node));
    let before = node.counts.requests();
    // The end of all work, not a look at the open requests: a connection that is open may still bring one.
    if !grace.suffices(&shutdown, settings, node.clock).await {
        log::warn!("the kill is near: {}", open(&node));
    }
    tokio::time::sleep(LAST_BYTES).await;
    let late = node.counts.requests() - before;
    log::info!("the proxy ends: {}; {late} requests came after the close", open(&node));
}

/// When the listener closes.
fn closes(grace: &ShortestGrace) -> Instant {
    grace.told() + STILL_OFFERED.min(grace.grace() / 2)
}

/// What is open, for the log.
fn open(node: &Node) -> String {
    let (work, requests) = (node.phase.shutdown().open(), node.phase.open());
    format!("{work} pieces of work and {requests} requests are open")
}
