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

/// Ends a connection whose last words are written: the sending side is shut, and what still comes is read away, for so long and
/// so many bytes at most. Closed over unread bytes it would be reset, and what the other side has not read yet be gone.
pub async fn end(stream: &mut TcpStream, time: Duration, most: usize) {
    let read_away = async {
        let (mut bytes, mut seen) = ([0; 1024], 0);
        stream.shutdown().await?;
        while seen < most {
            match stream.read(&mut bytes).await? {
                0 => break,
                n => seen += n,
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(time, read_away).await;
}
