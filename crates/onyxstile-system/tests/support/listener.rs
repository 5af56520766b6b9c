//! Listeners on loopback for stand-ins of endpoints.

use std::net::{Ipv4Addr, SocketAddrV4};

use tokio::net::{TcpListener, TcpStream};

/// Serves each connection to a port of its own by a task of its own; where it listens.
pub async fn listen<F: Future<Output: 'static> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let port = listener.local_addr().expect("its address").port();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(serve(stream));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}
