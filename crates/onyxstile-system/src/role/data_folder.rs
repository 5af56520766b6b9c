//! Start of the roles with a data folder.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use tokio::net::{TcpListener, UdpSocket};

use super::error::StartError;
use super::host::Host;
use super::{membership, socket};
use crate::disk::FolderLock;
use crate::process::Resource;

/// A data folder that this process uses alone.
pub struct ClaimedFolder {
    /// Path of the folder.
    pub path: PathBuf,
    /// Socket of the membership protocol.
    pub socket: UdpSocket,
    /// Lock on the folder.
    pub lock: FolderLock,
}

/// Waits for the data folder, before anything in it is read: while another process has the socket or the lock, its votes and
/// records may still change. The socket also holds off a process of a version without the lock.
pub async fn claim<S>(host: &Host<S>) -> ClaimedFolder {
    let (settings, waits) = (&host.settings, &host.waits);
    let socket = waits.acquire(Resource::Membership, || membership::bind(&settings.borrow())).await;
    let lock_folder = || {
        let path = settings.borrow().data_dir.clone().ok_or(StartError::Missing("data_dir"))?;
        let lock = FolderLock::acquire(&path)?;
        Ok::<_, StartError>((path, lock))
    };
    let (path, lock) = waits.acquire(Resource::DataFolder, lock_folder).await;
    ClaimedFolder { path, socket, lock }
}

/// Waits for the TCP address for other machines.
pub async fn listen_to_peers<S>(host: &Host<S>) -> TcpListener {
    let listen = || {
        let settings = host.settings.borrow();
        socket::listen(SocketAddrV4::new(settings.ip, settings.peer_port()))
    };
    host.waits.acquire(Resource::Peers, listen).await
}
