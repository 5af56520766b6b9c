//! A client connection: requests sent in any manner, and answers read at any speed.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::listener::field;

/// Time after the deadline within which an answer or the end of the connection has to arrive.
pub const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// Receive buffer of a client that reads slowly; the rest of an answer is queued at the proxy.
const SMALL_BUFFER: u32 = 8 * 1024;

/// Bytes that are kept of an answer that is read to the end of its connection.
const HELD_BYTES: usize = 64;

/// A complete answer.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether it announces that the connection closes after it.
    pub closes: bool,
}

/// An answer that was read to the end of its connection.
pub struct Ended {
    /// Status of its head, if that came.
    pub status: Option<u16>,
    /// Whether it ends as a complete body in chunks does.
    pub has_end_marker: bool,
}

/// Outcome of a request.
pub enum Outcome {
    /// A complete answer arrived.
    Answered(Answer),
    /// The connection ended after this many bytes of an incomplete answer.
    Closed(usize),
    /// Neither an answer nor the end of the connection arrived in time.
    TimedOut,
}

/// A connection to a proxy.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects, with a small receive buffer if `reads_slowly`.
    pub async fn open(to: SocketAddrV4, reads_slowly: bool) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        if reads_slowly {
            socket.set_recv_buffer_size(SMALL_BUFFER)?;
        }
        Ok(Connection { stream: socket.connect(to.into()).await?, buffer: Vec::new() })
    }

    /// Sends bytes. Errors are ignored: they show as a missing answer.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.ok();
    }

    /// Closes the sending half.
    pub async fn finish_sending(&mut self) {
        self.stream.shutdown().await.ok();
    }

    /// Reads an answer; `timeout` limits the time for all of it.
    pub async fn answer(&mut self, timeout: Duration) -> Outcome {
        tokio::time::timeout(timeout, self.read_answer()).await.unwrap_or(Outcome::TimedOut)
    }

    /// Reads the first bytes of an answer and returns whether there were any. The next read reports the end of the connection again.
    pub async fn read_some(&mut self, timeout: Duration) -> bool {
        let first = tokio::time::timeout(timeout, self.stream.read_buf(&mut self.buffer)).await;
        first.is_ok_and(|read| read.is_ok_and(|count| count > 0))
    }

    /// Reads to the end of the connection and keeps only what tells how the answer ended; `None` if it does not end in time.
    pub async fn read_to_end(&mut self, timeout: Duration) -> Option<Ended> {
        let reading = async {
            let mut status = None;
            while matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {
                status = status.or_else(|| status_of(&self.buffer));
                let surplus = self.buffer.len().saturating_sub(HELD_BYTES);
                self.buffer.drain(..surplus);
            }
            Ended { status, has_end_marker: self.buffer.ends_with(b"\r\n0\r\n\r\n") }
        };
        tokio::time::timeout(timeout, reading).await.ok()
    }

    async fn read_answer(&mut self) -> Outcome {
        loop {
            if let Some((answer, length)) = parse(&self.buffer) {
                self.buffer.drain(..length);
                return Outcome::Answered(answer);
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return Outcome::Closed(self.buffer.len()),
                Ok(_) => {}
            }
        }
    }

    /// Waits until the proxy sends a `100 Continue`, answers or closes; returns whether it sent a `100 Continue`.
    pub async fn receives_continue(&mut self, timeout: Duration) -> bool {
        const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
        let received = async {
            while !self.buffer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {
                    return false;
                }
            }
            self.buffer.starts_with(CONTINUE)
        };
        let is_continue = tokio::time::timeout(timeout, received).await.unwrap_or(false);
        if is_continue {
            self.buffer.drain(..CONTINUE.len());
        }
        is_continue
    }
}

/// Status of the answer that begins with `bytes`, if its first line has come.
fn status_of(bytes: &[u8]) -> Option<u16> {
    let line = bytes.split(|byte| *byte == b'\n').next()?;
    String::from_utf8_lossy(line).split(' ').nth(1)?.parse().ok()
}

/// The answer at the start of `bytes` and its length; `None` if it is incomplete.
fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let closes = field(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let (body, length) = match field(&head, "content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => (bytes.get(end..end + length)?.to_vec(), length),
        None => parse_chunked(&bytes[end..])?,
    };
    Some((Answer { status, body, closes }, end + length))
}

/// The chunked body at the start of `bytes` and its encoded length; `None` if it is incomplete.
fn parse_chunked(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line = bytes[at..].windows(2).position(|part| part == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&bytes[at..at + line]).ok()?, 16).ok()?;
        let start = at + line + 2;
        body.extend_from_slice(bytes.get(start..start + length)?);
        bytes.get(start + length..start + length + 2)?;
        at = start + length + 2;
        if length == 0 {
            return Some((body, at));
        }
    }
}
