//! Lifecycle of a proxy: readiness, accepting connections and draining.

use std::convert::Infallible;
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

/// How long the listener stays open after SIGTERM. The platform removes a relay after two failed readiness checks, one second
/// apart; until then clients still connect.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2600);

/// Lower bound of the limit on request heads, in bytes: `Prompt-Prefix` may list hundreds of parts.
const MIN_HEAD_LIMIT: usize = 64 * 1024;

/// Serves the platform's readiness check.
pub(super) async fn readiness(proxy: Rc<Proxy>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/api/readyz" {
        return text(StatusCode::NOT_FOUND, "");
    }
    text(if proxy.phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

/// Accepts client connections until the listener closes.
pub(super) async fn accept(proxy: Rc<Proxy>, listener: TcpListener) -> Infallible {
    let shutdown = proxy.phase.shutdown();
    listener::accept(listener, shutdown, |stream, work| serve(proxy.clone(), stream, work)).await
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

/// Waits for SIGTERM, then reports not ready and keeps accepting connections while clients may still be directed here. Returns
/// when the listener is closed and every connection has ended, or shortly before the process would be killed: calls that are
/// still open by then have been answered, and the process waits until the answers have been sent.
pub(super) async fn drain(proxy: Rc<Proxy>, termination: &mut Termination) {
    termination.received().await;
    log::info!("SIGTERM received; draining: {}", open_work(&proxy));
    let end = proxy.phase.end();
    end.begin();
    end.reached(listener_close_time).await;
    let shutdown = proxy.phase.shutdown();
    shutdown.begin();
    log::info!("the listener closes: {}", open_work(&proxy));
    let requests_before = proxy.counts.requests();
    // Waits for all work, not only for the open requests: an open connection may still carry another request.
    end.wait_for_shutdown(&shutdown, || log::warn!("grace period almost over: {}", open_work(&proxy))).await;
    let late_requests = proxy.counts.requests() - requests_before;
    log::info!("proxy exits: {}; {late_requests} requests came after the close", open_work(&proxy));
}

/// Time at which the listener closes.
fn listener_close_time(grace: &ShortestGrace) -> Instant {
    grace.sigterm_at() + ACCEPT_WHILE_DRAINING.min(grace.grace() / 2)
}

/// Summary of the open work for the log.
fn open_work(proxy: &Proxy) -> String {
    let (work, requests) = (proxy.phase.shutdown().open(), proxy.phase.open_requests());
    let (refused, cut_off) = (proxy.counts.refused_at_end(), proxy.counts.cut_off());
    format!("{work} tasks and {requests} requests open, {refused} refused and {cut_off} cut off by the end")
}
