//! A client's connection: requests in any manner, and answers read as fast or slowly as the client likes.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::listener::field;

/// An answer, or the end of the connection, comes by so long after the deadline.
pub const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// What a client that reads slowly holds; the rest of an answer waits at the other side.
const SMALL_BUFFER: u32 = 8 * 1024;

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether it says that the connection closes behind it.
    pub closes: bool,
}

/// What became of a request.
pub enum Outcome {
    /// A whole answer.
    Answered(Answer),
    /// The connection ended before; so many bytes of an answer had come.
    Closed(usize),
    /// Neither came.
    TimedOut,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects.
    pub async fn open(to: SocketAddrV4, reads_slowly: bool) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        if reads_slowly {
            socket.set_recv_buffer_size(SMALL_BUFFER)?;
        }
        Ok(Connection { stream: socket.connect(to.into()).await?, buffer: Vec::new() })
    }

    /// Sends bytes. What can't be sent shows in the answer that is missing.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.ok();
    }

    /// Sends nothing more.
    pub async fn finish_sending(&mut self) {
        self.stream.shutdown().await.ok();
    }

    /// Reads an answer; `timeout` bounds the wait for all of it.
    pub async fn answer(&mut self, timeout: Duration) -> Outcome {
        tokio::time::timeout(timeout, self.read_answer()).await.unwrap_or(Outcome::TimedOut)
    }

    /// Reads the first bytes of an answer; whether there were any. An end shows again in the next read.
    pub async fn read_some(&mut self, timeout: Duration) -> bool {
        let first = tokio::time::timeout(timeout, self.stream.read_buf(&mut self.buffer)).await;
        first.is_ok_and(|read| read.is_ok_and(|count| count > 0))
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

    /// Waits until the other side asks for the body with a `100 Continue`, closes, or answers; whether it received.
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

/// The answer at the start of some bytes, and its length; none if it is not whole.
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

/// A chunked body at the start of some bytes, and how many it takes.
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
