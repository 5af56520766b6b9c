//! Sockets as every role sets them up.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Connections that wait to be taken up; a full queue drops opening packets, which come again after seconds.
pub const BACKLOG: i32 = 1024;
/// Bytes that nobody acknowledges for this long end a connection between machines: one without power says nothing.
const PEER_ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for a client. The system counts the time in which a client reads nothing and its window is shut as well, so this is no
/// less than what a request without a deadline of its own may take.
const CLIENT_ACK_TIMEOUT: Duration = Duration::from_secs(30);
/// While a machine says nothing a further attempt to connect is made after this time.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(75);
/// A connection at rest is probed after this time.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Listens at an address, also right after another process did.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects within `patience`.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare_peer(&stream);
    Ok(stream)
}

/// The same to a machine that may be without power and about to return: an opening packet that met one, or a full queue, is
/// sent again by the system after a second only, so further attempts are made beside the first.
pub async fn connect_with_retries(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let mut attempts = JoinSet::new();
    let deadline = Instant::now() + timeout;
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        attempts.spawn_local(connect(address, deadline - now));
        let next = (now + ATTEMPT_INTERVAL).min(deadline);
        if let Ok(Some(attempt)) = tokio::time::timeout_at(next, attempts.join_next()).await {
            return attempt.map_err(io::Error::other)?;
        }
    }
}

/// Sets what a connection between machines needs.
pub fn prepare_peer(stream: &TcpStream) {
    prepare(stream, PEER_ACK_TIMEOUT);
}

/// Sets what a client's connection needs.
pub fn prepare_client(stream: &TcpStream) {
    prepare(stream, CLIENT_ACK_TIMEOUT);
}

/// Where the platform lacks an option, its default stays.
fn prepare(stream: &TcpStream, ack_timeout: Duration) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY: {error}");
    }
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(ack_timeout)) {
        log::debug!("TCP_USER_TIMEOUT: {error}");
    }
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(Duration::from_secs(1)).with_retries(2);
    if let Err(error) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("SO_KEEPALIVE: {error}");
    }
}
