//! What all TCP connections of the program share: how they are made, and how a socket itself is asked what has come.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What has come on a connection and nobody has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// Bytes.
    Bytes,
    /// The other side's end, or a failure.
    End,
}

/// Asks the socket itself. The runtime's own reads go by what it last heard of the socket, and what came while this thread
/// was busy is not among that.
pub fn unread(stream: &TcpStream) -> Unread {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) if n > 0 => Unread::Bytes,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
        Ok(_) | Err(_) => Unread::End,
    }
}

/// Connects. Small writes are not held back: a reset would take them along.
///
/// # Errors
/// The socket's.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// How long the other side is listened to after the end, and how much of what it sends is read meanwhile.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 64 * 1024;

/// Ends a connection whose last words are written: the sending side is shut, and what still comes is read away, within bounds.
/// Closed over unread bytes it would be reset, and what the other side has not read yet be gone.
pub async fn end(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let read_away = async {
        let (mut bytes, mut seen) = ([0; 4096], 0);
        while seen < LINGER_BYTES
            && let Ok(n @ 1..) = stream.read(&mut bytes).await
        {
            seen += n;
        }
    };
    let _ = timeout(LINGER, read_away).await;
}
