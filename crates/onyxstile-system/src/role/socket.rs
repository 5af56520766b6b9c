//! Socket setup shared by all roles.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Length of the accept queue. If it is full, SYN packets are dropped and sent again only after seconds.
pub const BACKLOG: i32 = 1024;
/// A connection between machines ends if data stays unacknowledged for this long: a machine that lost power sends no
/// reset.
const PEER_ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for a client connection. The operating system also counts the time in which the client reads nothing and its
/// window is closed, so this must not be less than the longest duration of a request without a deadline.
const CLIENT_ACK_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the system's receive buffer of a connection to an endpoint, in bytes. Without it the system chooses one of up to
/// several megabytes for an endpoint that sends faster than the proxy reads.
const RECEIVE_BUFFER_BYTES: u32 = 128 * 1024;
/// Interval between further connection attempts while a machine does not respond.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(75);
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Listens at an address, also right after another process has used it.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects within `timeout`.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare_peer(&stream);
    Ok(stream)
}

/// Connects to an endpoint. The system keeps a bounded number of bytes that have arrived and were not read.
pub async fn connect_endpoint(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("SO_RCVBUF: {error}");
    }
    let stream = tokio::time::timeout(timeout, socket.connect(address.into()))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare_peer(&stream);
    Ok(stream)
}

/// Connects to a machine that may have lost power and may be about to return. The operating system resends a SYN that met
/// a machine without power or a full accept queue only after 1 s, so further attempts are made in parallel to the first.
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

/// Sets the options of a connection between machines.
pub fn prepare_peer(stream: &TcpStream) {
    prepare(stream, PEER_ACK_TIMEOUT);
}

/// Sets the options of a client connection.
pub fn prepare_client(stream: &TcpStream) {
    prepare(stream, CLIENT_ACK_TIMEOUT);
}

/// Sets the options; one that the platform does not support keeps its default.
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
