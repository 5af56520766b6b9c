//! Datagrams between relays: the socket, and nothing that is decided.

pub mod settings;

use onyxstile_peers::{DATAGRAM_MAX, NodeNo};
use settings::PeersSettings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Datagrams that wait for the owner, at most; more are lost, as on the network.
pub const WAITING: usize = 128;

/// Where a datagram came from, and what it holds.
pub type Datagram = (SocketAddr, Vec<u8>);

/// The way to the others.
#[derive(Debug, Clone)]
pub struct Link {
    socket: Rc<UdpSocket>,
    addresses: Rc<[SocketAddr]>,
}

impl Link {
    /// Listens.
    ///
    /// # Errors
    /// The address cannot be had.
    pub async fn bind(settings: &PeersSettings) -> io::Result<Link> {
        let socket = Rc::new(UdpSocket::bind(settings.listen).await?);
        tracing::info!("peers on {}", socket.local_addr()?);
        Ok(Link { socket, addresses: settings.addresses.clone().into() })
    }

    /// Sends a datagram; one that cannot go now is lost, like any other.
    pub fn send(&self, to: NodeNo, bytes: &[u8]) {
        if let Some(address) = self.addresses.get(usize::from(to.0)) {
            let _ = self.socket.try_send_to(bytes, *address);
        }
    }

    /// Passes on what comes, and from where, for as long as the program runs.
    pub async fn listen(self, owner: mpsc::Sender<Datagram>) {
        // One byte more than is read: a longer one shows.
        let mut bytes = [0; DATAGRAM_MAX + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => drop(owner.try_send((from, bytes[..length].to_vec()))),
                // Nobody listens where something was sent, most likely.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
            if owner.is_closed() {
                return;
            }
        }
    }
}
