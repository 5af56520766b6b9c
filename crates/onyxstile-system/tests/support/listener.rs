//! Loopback listeners for simulated endpoints.

use std::net::{Ipv4Addr, SocketAddrV4};

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Listens on a free port, serves each connection in its own task, and returns the address.
pub async fn listen<F: Future<Output: 'static> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let port = listener.local_addr().expect("its address").port();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(serve(stream));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Reads the next request and returns its head; the body is discarded. `None` after the peer has closed the connection.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = field(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
            let total = end + 4 + length;
            if buffer.len() >= total {
                buffer.drain(..total);
                return Some(head);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Value of the header `name`; case is ignored.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}
