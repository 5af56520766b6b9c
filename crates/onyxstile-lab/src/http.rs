//! As much of HTTP/1.1 as stand-ins need: plain heads, bodies by length or in chunks.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Bytes of a message, at most.
const MESSAGE_MAX: usize = 128 * 1024;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of its first line.
    pub first: Vec<String>,
    /// Its fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection that is read message by message.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    /// On a connection that stands.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// A new connection, from an address of its own if one is given.
    ///
    /// # Errors
    /// It does not come up in time.
    pub async fn to(address: SocketAddr, from: Option<IpAddr>) -> io::Result<Wire> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let connected = timeout(Duration::from_secs(5), socket.connect(address)).await;
        Ok(Wire::new(connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??))
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// As the connection has them.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// The next message; none at the connection's end.
    ///
    /// # Errors
    /// It is cut short, too long, or none.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MESSAGE_MAX {
                return Err(bad("a head without end"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(bad("cut short")) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().split(' ').map(str::to_string).collect();
        let field = |l: &str| l.split_once(':').map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()));
        let mut message = Message { first, fields: lines.filter_map(field).collect(), body: Vec::new() };
        let length: usize = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        if length > MESSAGE_MAX {
            return Err(bad("a body too long"));
        }
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(bad("cut short"));
            }
        }
        message.body = self.buffer.drain(..length).collect();
        if message.field("transfer-encoding").is_some_and(|encoding| encoding == "chunked") {
            message.body = self.read_chunks().await?;
        }
        Ok(Some(message))
    }

    /// The body of a message whose head says that it comes in chunks.
    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
        let mut body = Vec::new();
        loop {
            let line = self.buffer.windows(2).position(|bytes| bytes == b"\r\n");
            let size = line.map(|at| String::from_utf8_lossy(&self.buffer[..at]).into_owned());
            let size = size.map(|text| usize::from_str_radix(&text, 16).map_err(|_| bad("no chunk size")));
            if let (Some(at), Some(size)) = (line, size.transpose()?) {
                let (from, to) = (at + 2, at + 2 + size);
                if body.len() + size > MESSAGE_MAX {
                    return Err(bad("a body too long"));
                }
                if self.buffer.len() >= to + 2 {
                    body.extend_from_slice(&self.buffer[from..to]);
                    self.buffer.drain(..to + 2);
                    if size == 0 {
                        return Ok(body);
                    }
                    continue;
                }
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(bad("cut short"));
            }
        }
    }

    /// Asks and reads the answer.
    ///
    /// # Errors
    /// There is none.
    pub async fn ask(&mut self, request: &str) -> io::Result<Message> {
        self.write(request.as_bytes()).await?;
        self.read().await?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))
    }
}

/// A request that hands a message in.
pub fn post(host: &str, target: &str, id: &str, fields: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: {id}\r\n{fields}Content-Length: 2\r\n\r\nab"
    )
}
