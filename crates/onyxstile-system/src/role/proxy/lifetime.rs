//! From the start to the end of a proxy: when it calls itself ready, and how it drains.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use super::drain_times::DrainTimes;
use super::{Node, forward};
use crate::clock::Instant;
use crate::configuration::ClientLimits;
use crate::role::http::{Answer, text};
use crate::role::listener::{self, Reading};
use crate::role::shutdown::Work;
use crate::role::signals::Termination;
use crate::watch::Bounds;

/// The system's buffers are emptied meanwhile. Nothing can be taken any more.
const LAST_BYTES: Duration = Duration::from_millis(80);

/// How often a drain looks whether the settings name another grace.
const LOOK: Duration = Duration::from_millis(100);

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
    let bounds = Bounds {
        head: Duration::from_millis(limits.header_timeout_ms),
        rest: Duration::from_millis(limits.idle_timeout_ms),
    };
    Reading { bounds, head_max: Some(limits.max_header_bytes.max(HEAD_MIN)) }
}

/// Waits for SIGTERM; then refuses readiness, goes on for as long as clients are still sent here, and ends once the listener is
/// closed and every connection has ended, or shortly before the kill.
pub(super) async fn drain(node: Rc<Node>, termination: Termination) {
    termination.come().await;
    log::info!("SIGTERM: draining");
    node.phase.drain();
    let mut times = DrainTimes::new(node.clock.now(), node.settings.borrow().grace());
    reached(&node, &mut times, DrainTimes::closes).await;
    node.phase.close(times.ends());
    log::info!("the listener closes: {}", open(&node));
    // The end of all work, not a look at the open requests: a connection that is open may still bring one.
    let shutdown = node.phase.shutdown();
    tokio::select! {
        biased;
        () = shutdown.ended() => {}
        () = reached(&node, &mut times, DrainTimes::ends) => log::warn!("the kill is near: {}", open(&node)),
    }
    tokio::time::sleep(LAST_BYTES).await;
    log::info!("the proxy ends: {}", open(&node));
}

/// Waits for a time of the drain, which a change of the settings may bring forward.
async fn reached(node: &Node, times: &mut DrainTimes, time: impl Fn(&DrainTimes) -> Instant) {
    loop {
        times.note_grace(node.settings.borrow().grace());
        node.phase.shorten(times.ends());
        let left = time(times).since(node.clock.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LOOK)).await;
    }
}

/// What is open, for the log.
fn open(node: &Node) -> String {
    let (work, requests) = (node.phase.shutdown().open(), node.phase.open());
    format!("{work} pieces of work and {requests} requests are open")
}
