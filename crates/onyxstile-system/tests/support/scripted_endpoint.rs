//! An endpoint that treats all requests alike, in a way that the test changes.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::listener::{field, listen, read_head};

/// How an endpoint treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// Answers 200.
    Serve,
    /// Refuses without executing them.
    Refuse,
    /// Executes them and answers 500.
    Fail,
    /// Executes them and does not answer.
    StaySilent,
}

/// An endpoint with the current treatment.
pub struct ScriptedEndpoint {
    /// How it treats requests from now on.
    pub treatment: Cell<Treatment>,
    /// Number of requests that it has executed.
    pub executions: Cell<usize>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint.
    pub async fn listen(treatment: Treatment) -> (Rc<ScriptedEndpoint>, SocketAddrV4) {
        let endpoint =
            Rc::new(ScriptedEndpoint { treatment: Cell::new(treatment), executions: Cell::default() });
        let serving = endpoint.clone();
        let address = listen(move |stream| serving.clone().serve(stream)).await;
        (endpoint, address)
    }

    async fn serve(self: Rc<ScriptedEndpoint>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let id = field(&head, "request-id").unwrap_or_default();
            let treatment = self.treatment.get();
            if treatment != Treatment::Refuse {
                self.executions.set(self.executions.get() + 1);
            }
            let (status, header) = match treatment {
                Treatment::Serve => (200, "Response-Seal: s"),
                Treatment::Refuse => (503, "Not-Executed: 1"),
                Treatment::Fail => (500, "Response-Seal: s"),
                Treatment::StaySilent => continue,
            };
            let answer =
                format!("HTTP/1.1 {status} -\r\nRequest-Id: {id}\r\n{header}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
