//! A stand-in for a model endpoint: registers itself, keeps the prompts that it got, and answers each with three events.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ask;
use crate::http::{Message, Wire};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

type Prompts = Rc<RefCell<BTreeMap<String, Vec<u8>>>>;

/// A running engine.
pub(super) struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    prompts: Prompts,
}

impl Engine {
    /// Starts one that sends its heartbeats to one of `controllers` after the other.
    pub(super) async fn start(controllers: Vec<SocketAddr>) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let prompts = Prompts::default();
        spawn_local(accept(listener, prompts.clone()));
        spawn_local(heartbeats(address, controllers));
        Ok(Engine { address, prompts })
    }

    /// The prompt of a request.
    pub(super) fn prompt(&self, id: &str) -> Option<Vec<u8>> {
        self.prompts.borrow().get(id).cloned()
    }
}

async fn accept(listener: TcpListener, prompts: Prompts) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(stream, prompts.clone()));
    }
}

async fn serve(stream: TcpStream, prompts: Prompts) {
    let mut wire = Wire::new(stream);
    // A connection ends as the proxy likes.
    while let Ok(Some(request)) = wire.read().await {
        if wire.write(answer(&request, &prompts).as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer(request: &Message, prompts: &Prompts) -> String {
    let id = request.field("request-id").unwrap_or_default().to_string();
    let length = request.body.len();
    prompts.borrow_mut().insert(id.clone(), request.body.clone());
    let events: String =
        (1..=3).map(|number| format!("id: {number}\ndata: word {number} after {length}\n\n")).collect();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: stand-in\r\nContent-Type: text/event-stream\r\n\
         Content-Length: {}\r\n\r\n{events}",
        events.len()
    )
}

async fn heartbeats(address: SocketAddr, controllers: Vec<SocketAddr>) {
    for sequence in 1_u64.. {
        let body = format!(
            r#"{{"service":"model","address":"{address}","zone":"z1","revision":"v1","capacity":4,"state":"ready","warmup_left_ms":0,"sequence":{sequence}}}"#
        );
        let request = format!(
            "PUT /api/instances/engine-1 HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for controller in &controllers {
            if ask(*controller, &request).await.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
        }
        sleep(HEARTBEAT).await;
    }
}
