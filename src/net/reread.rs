//! SIGHUP: the configuration is read anew.

use super::config::Config;
use super::inbox::OwnerMessage;
use super::routing::Staged;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

/// Who is told of new addresses.
pub struct Addresses {
    /// Who follows the list.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    /// Who tells notices.
    pub outcomes: Option<watch::Sender<SocketAddr>>,
}

/// Reads the configuration again at each SIGHUP, all of it as at the start. If it is good, discovery's address,
/// that for notices, the operator's real servers and the relays that are gone are taken over from it; all else stays as it was.
pub async fn reread(
    mut hangup: Signal, operator: Option<PathBuf>, addresses: Addresses, owner: mpsc::Sender<OwnerMessage>,
) {
    let renew = |to: &Option<watch::Sender<SocketAddr>>, new: Option<SocketAddr>| {
        if let (Some(to), Some(new)) = (to, new) {
            to.send_if_modified(|old| std::mem::replace(old, new) != new);
        }
    };
    while hangup.recv().await.is_some() {
        match Config::load(operator.as_deref()) {
            Ok(config) => {
                tracing::info!("the configuration was read again");
                renew(&addresses.outcomes, config.http.and_then(|h| h.outcomes));
                renew(&addresses.discovery, config.discovery);
                if let Some(kept) = config.undelivered
                    && owner.send(OwnerMessage::Rules(kept.rules)).await.is_err()
                {
                    return;
                }
                if let Some(peers) = config.peers
                    && owner.send(OwnerMessage::Gone(peers.gone)).await.is_err()
                {
                    return;
                }
                let routing = config.routing.unwrap_or_default();
                let anew = Staged::build(routing)
                    .map(|staged| OwnerMessage::Operator(config.fixed, Some(Box::new(staged))));
                match anew {
                    Ok(anew) if operator.is_some() => {
                        if owner.send(anew).await.is_err() {
                            return;
                        }
                    }
                    Ok(_) => {}
                    Err(e) => tracing::error!("the routing table is not taken over: {e}"),
                }
            }
            Err(e) => tracing::error!("the configuration is not taken over: {e}"),
        }
    }
}
