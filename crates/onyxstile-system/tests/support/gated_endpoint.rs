//! An endpoint that responds only after the test allows it, and a client that reads to the end of the connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::listener::{field, listen, read_head};
use super::virtual_time::VirtualTime;

/// Endpoint whose responses wait for `may_respond`.
pub struct GatedEndpoint {
    /// Number of received requests.
    pub requests: Cell<usize>,
    /// Whether it may respond.
    pub may_respond: watch::Sender<bool>,
    body: RefCell<Vec<u8>>,
}

impl GatedEndpoint {
    /// Starts an endpoint that responds with this body.
    pub async fn listen(body: &[u8]) -> (Rc<GatedEndpoint>, SocketAddrV4) {
        let endpoint = Rc::new(GatedEndpoint {
            requests: Cell::new(0),
            may_respond: watch::Sender::new(false),
            body: RefCell::new(body.to_vec()),
        });
        let endpoint_for_connections = endpoint.clone();
        (endpoint, listen(move |stream| endpoint_for_connections.clone().serve(stream)).await)
    }

    async fn serve(self: Rc<GatedEndpoint>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let id = field(&head, "request-id").unwrap_or_default();
            self.requests.set(self.requests.get() + 1);
            self.may_respond
                .subscribe()
                .wait_for(|may_respond| *may_respond)
                .await
                .expect("the endpoint outlives its connections");
            let body = self.body.borrow().clone();
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = [head.into_bytes(), body].concat();
            if stream.write_all(&sent).await.is_err() {
                return;
            }
        }
    }

    /// Waits for a request for up to 20 ms.
    pub async fn wait_for_request(&self, time: &VirtualTime) {
        for _ in 0..20 {
            if self.requests.get() > 0 {
                return;
            }
            time.advance(Duration::from_millis(1)).await;
        }
        panic!("no request was received");
    }
}

/// Reads until the connection ends; returns the status, and the number of bytes received after the head.
pub async fn read_answer(stream: &mut TcpStream) -> (Option<u16>, usize) {
    let mut bytes = Vec::new();
    // A reset is visible as missing bytes.
    stream.read_to_end(&mut bytes).await.ok();
    let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") else { return (None, 0) };
    let head = String::from_utf8_lossy(&bytes[..end]);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    (status, bytes.len() - end - 4)
}
