//! Listeners of a proxy.

use std::net::SocketAddrV4;

use tokio::net::TcpListener;

use super::Proxy;
use crate::process::Resource;
use crate::role::error::StartError;
use crate::role::host::Host;
use crate::role::socket;
use crate::settings::Settings;

/// The listeners of a proxy.
pub(super) struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// For the platform's readiness checks.
    pub readiness: TcpListener,
    /// For the agent of the machine.
    pub feed: TcpListener,
}

impl Listeners {
    /// Listens at all addresses; waits while one is taken. Clients come last: without a feed there is nothing to serve them
    /// with, and without readiness checks nobody sends them here.
    pub(super) async fn open(host: &Host<Proxy>) -> Listeners {
        let feed = listen(host, Resource::Feed, |settings| Ok(settings.feed_address())).await;
        let readiness = listen(host, Resource::Readiness, |settings| {
            settings.listen.readiness.ok_or(StartError::Missing("listen.readiness"))
        })
        .await;
        let clients = listen(host, Resource::Front, |settings| {
            settings.listen.front.ok_or(StartError::Missing("listen.front"))
        })
        .await;
        Listeners { clients, readiness, feed }
    }
}

async fn listen(
    host: &Host<Proxy>, resource: Resource, address: impl Fn(&Settings) -> Result<SocketAddrV4, StartError>,
) -> TcpListener {
    let attempt = || Ok::<_, StartError>(socket::listen(address(&host.settings.borrow())?)?);
    host.waits.acquire(resource, attempt).await
}
