//! The proxy's sockets: clients' connections, and a call to a server for each request.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Chosen, Proxy};
use crate::http::Wire;

/// How long a real server's answer is waited for (`proxy_read_timeout`; nginx has 60 s unless it is set).
const READ_TIME: Duration = Duration::from_secs(5);

impl Proxy {
    fn done(&self, address: SocketAddr, answered: bool) {
        for group in self.groups.borrow_mut().values_mut() {
            for server in group.servers.iter_mut().filter(|s| s.address == address) {
                server.out = server.out.saturating_sub(1);
                if answered {
                    server.fails = 0;
                } else {
                    server.failed();
                }
            }
        }
    }

    /// Serves on a port of its own.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn serve(self: Rc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        spawn_local(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                spawn_local(self.clone().attend(stream, peer.ip()));
            }
        });
        Ok(address)
    }

    async fn attend(self: Rc<Self>, stream: TcpStream, client: IpAddr) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        let mut kept: HashMap<SocketAddr, Wire> = HashMap::new();
        while let Some(request) = wire.read().await? {
            let status = match self.choose(&request, client) {
                Chosen::Status(status) => status,
                Chosen::To(address, target) => {
                    let asked = async {
                        let mut server = match kept.remove(&address) {
                            Some(server) => server,
                            None => Wire::to(address, None).await?,
                        };
                        let id = request.field("x-correlation-id").unwrap_or_default();
                        let answer = server.ask(&crate::http::post("proxied", &target, id, "")).await?;
                        Ok::<_, io::Error>((server, answer.status()))
                    };
                    let asked = timeout(READ_TIME, asked).await;
                    self.done(address, matches!(asked, Ok(Ok(_))));
                    match asked {
                        Ok(Ok((server, status))) => {
                            kept.insert(address, server);
                            status
                        }
                        Ok(Err(_)) => 502,
                        Err(_) => 504,
                    }
                }
            };
            wire.write(format!("HTTP/1.1 {status} .\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        }
        Ok(())
    }
}
