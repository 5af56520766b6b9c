//! From the start to the end of a proxy: when it calls itself ready, and how it drains.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};

use super::{Proxy, forward};
use crate::clock::Instant;
use crate::configuration::ClientLimits;
use crate::connection_watchdog::ConnectionTimeouts;
use crate::role::http::{Answer, text};
use crate::role::listener::{self, ReadLimits};
use crate::role::shortest_grace::ShortestGrace;
use crate::role::shutdown::WorkGuard;
use crate::role::signals::Termination;

/// The platform takes a relay out after two misses, a second apart; until then clients still come.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2600);
/// The system's buffers are emptied meanwhile. Nothing can be taken any more.
const FLUSH_TIME: Duration = Duration::from_millis(80);

/// Heads of at least this many bytes are read, whatever the limit says: `Prompt-Prefix` names hundreds of parts.
const MIN_HEAD_LIMIT: usize = 64 * 1024;

/// Answers the platform's question.
pub(super) async fn readiness(proxy: Rc<Proxy>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/api/readyz" {
        return text(StatusCode::NOT_FOUND, "");
    }
    text(if proxy.phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

/// Takes up clients' connections until the listener closes.
pub(super) async fn accept(proxy: Rc<Proxy>, listener: TcpListener) {
    let shutdown = proxy.phase.shutdown();
    listener::accept(listener, shutdown, |stream, work| serve(proxy.clone(), stream, work)).await;
}

async fn serve(proxy: Rc<Proxy>, stream: TcpStream, _work: WorkGuard) {
    let shutdown = proxy.phase.shutdown();
    let limits = read_limits(&proxy.client_limits());
    listener::serve(stream, proxy.clock, limits, &shutdown, |request| {
        forward::handle(proxy.clone(), request)
    })
    .await;
}

fn read_limits(limits: &ClientLimits) -> ReadLimits {
    let timeouts = ConnectionTimeouts {
        head: Duration::from_millis(limits.header_timeout_ms),
        idle: Duration::from_millis(limits.idle_timeout_ms),
    };
    ReadLimits { timeouts, head_max: Some(limits.max_header_bytes.max(MIN_HEAD_LIMIT)) }
}

/// Waits for SIGTERM; then refuses readiness, goes on for as long as clients are still sent here, and ends once the listener is
/// closed and every connection has ended, or shortly before the kill.
pub(super) async fn drain(proxy: Rc<Proxy>, termination: Termination) {
    termination.received().await;
    log::info!("SIGTERM: draining");
    let settings = &proxy.settings;
    let grace = proxy.phase.drain(ShortestGrace::new(proxy.clock.now(), settings.borrow().grace()));
    grace.wait_until(settings, proxy.clock, listener_close_time).await;
    let shutdown = proxy.phase.shutdown();
    shutdown.begin();
    log::info!("the listener closes: {}", open_work(&proxy));
    let requests_before = proxy.counts.requests();
    // The end of all work, not a look at the open requests: a connection that is open may still bring one.
    if !grace.wait_for_shutdown(&shutdown, settings, proxy.clock).await {
        log::warn!("the kill is near: {}", open_work(&proxy));
    }
    tokio::time::sleep(FLUSH_TIME).await;
    let late_requests = proxy.counts.requests() - requests_before;
    log::info!("the proxy ends: {}; {late_requests} requests came after the close", open_work(&proxy));
}

/// When the listener closes.
fn listener_close_time(grace: &ShortestGrace) -> Instant {
    grace.sigterm_at() + ACCEPT_WHILE_DRAINING.min(grace.grace() / 2)
}

/// What is open, for the log.
fn open_work(proxy: &Proxy) -> String {
    let (work, requests) = (proxy.phase.shutdown().open(), proxy.phase.open_requests());
    format!("{work} pieces of work and {requests} requests are open")
}
