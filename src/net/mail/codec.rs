//! Lines, replies and message data on the wire. Only CRLF ends a line, and only CRLF.CRLF a message: what
//! one side takes for a border and the other does not is how messages are smuggled.

use std::fmt;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes of a command or reply line, at most, with room for extensions (RFC 5321, 4.5.3.1).
pub const LINE_MAX: usize = 1024;
/// Bytes of a line of a message without its CRLF, at most.
pub const TEXT_LINE_MAX: usize = 998;
/// Lines of one reply, at most.
const REPLY_LINES_MAX: usize = 64;
/// How far a message that is refused anyway is read on for its end, as a multiple of the size allowed.
const PATIENCE: usize = 16;

/// Why nothing more can be read.
#[derive(Debug)]
pub enum CodecError {
    /// A line is over the bound.
    TooLong,
    /// A CR or LF that is no CRLF.
    BareEnd,
    /// Not a reply.
    Malformed,
    /// The other side has ended the connection.
    Ended,
    /// The connection failed.
    Io(std::io::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLong => f.write_str("a line is too long"),
            CodecError::BareEnd => f.write_str("a bare CR or LF"),
            CodecError::Malformed => f.write_str("no reply"),
            CodecError::Ended => f.write_str("the connection ended"),
            CodecError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// A real server's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Its code.
    pub code: u16,
    /// The text of its lines.
    pub lines: Vec<String>,
}

impl Reply {
    /// The first digit.
    pub fn kind(&self) -> u16 {
        self.code / 100
    }

    /// In one line.
    pub fn text(&self) -> String {
        format!("{} {}", self.code, self.lines.join(" "))
    }

    /// Whether one of its lines names this extension.
    pub fn offers(&self, extension: &str) -> bool {
        self.lines
            .iter()
            .skip(1)
            .any(|l| l.split(' ').next().is_some_and(|w| w.eq_ignore_ascii_case(extension)))
    }
}

/// What is wrong with a message that was read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DataFault {
    /// It holds a bare CR or LF.
    BareEnd,
    /// It holds a line over the bound.
    LongLine,
    /// It is too large.
    TooLarge,
}

/// Reads lines, keeping what came early.
#[derive(Debug)]
pub struct Lines<R> {
    inner: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    /// Reads from `inner`.
    pub fn new(inner: R) -> Self {
        Lines { inner, buffer: Vec::new() }
    }

    /// The connection.
    pub fn get_mut(&mut self) -> &mut R {
        &mut self.inner
    }

    /// Whether anything has come that was not asked for yet.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn more(&mut self) -> Result<(), CodecError> {
        self.buffer.reserve(4096);
        match self.inner.read_buf(&mut self.buffer).await {
            Ok(0) => Err(CodecError::Ended),
            Ok(_) => Ok(()),
            Err(e) => Err(CodecError::Io(e)),
        }
    }

    /// The next line, without its CRLF.
    ///
    /// # Errors
    /// A line over the bound, a bare CR or LF, or the end of the connection.
    pub async fn line(&mut self) -> Result<Vec<u8>, CodecError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
                line.pop();
                if line.pop() != Some(b'\r') || line.contains(&b'\r') {
                    return Err(CodecError::BareEnd);
                }
                return if line.len() > LINE_MAX { Err(CodecError::TooLong) } else { Ok(line) };
            }
            if self.buffer.len() > LINE_MAX {
                return Err(CodecError::TooLong);
            }
            self.more().await?;
        }
    }

    /// The next reply, all its lines.
    ///
    /// # Errors
    /// As [`Lines::line`], and what is no reply.
    pub async fn reply(&mut self) -> Result<Reply, CodecError> {
        let mut reply = Reply { code: 0, lines: Vec::new() };
        loop {
            let line = self.line().await?;
            let text = String::from_utf8_lossy(&line);
            let code = text.get(..3).filter(|c| c.bytes().all(|b| b.is_ascii_digit()));
            let code: u16 = code.and_then(|c| c.parse().ok()).ok_or(CodecError::Malformed)?;
            let border = text.as_bytes().get(3).copied().unwrap_or(b' ');
            if !(200..600).contains(&code)
                || reply.code != 0 && reply.code != code
                || !b" -".contains(&border)
            {
                return Err(CodecError::Malformed);
            }
            reply.code = code;
            reply.lines.push(text.get(4..).unwrap_or_default().to_string());
            if border == b' ' {
                return Ok(reply);
            }
            if reply.lines.len() == REPLY_LINES_MAX {
                return Err(CodecError::TooLong);
            }
        }
    }

    /// Reads a message to its end; with dots unstuffed, unless something is wrong with it.
    ///
    /// # Errors
    /// The end of the connection, or a message that goes on and on.
    pub async fn data(&mut self, most: usize) -> Result<Result<Vec<u8>, DataFault>, CodecError> {
        let mut sink = Sink::new(most);
        loop {
            if let Some(end) = self.buffer.iter().position(|b| sink.push(*b)) {
                self.buffer.drain(..=end);
                return Ok(sink.fault.map_or(Ok(sink.body), Err));
            }
            self.buffer.clear();
            if sink.seen > most.saturating_mul(PATIENCE) {
                return Err(CodecError::TooLong);
            }
            self.more().await?;
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum At {
    LineStart,
    Text,
    Cr,
    Dot,
    DotCr,
}

#[derive(Debug)]
struct Sink {
    at: At,
    body: Vec<u8>,
    most: usize,
    line: usize,
    seen: usize,
    fault: Option<DataFault>,
}

impl Sink {
    fn new(most: usize) -> Self {
        Sink { at: At::LineStart, body: Vec::new(), most, line: 0, seen: 0, fault: None }
    }

    fn put(&mut self, bytes: &[u8]) {
        if self.body.len() + bytes.len() > self.most {
            self.fault = self.fault.or(Some(DataFault::TooLarge));
        }
        if self.fault.is_none() {
            self.body.extend_from_slice(bytes);
        }
    }

    fn text(&mut self, byte: u8) -> At {
        self.line += 1;
        if self.line > TEXT_LINE_MAX {
            self.fault = self.fault.or(Some(DataFault::LongLine));
        }
        self.put(&[byte]);
        At::Text
    }

    /// Takes one byte; true once the message is at its end.
    fn push(&mut self, byte: u8) -> bool {
        self.seen += 1;
        self.at = match (self.at, byte) {
            (At::DotCr, b'\n') => return true,
            (At::Cr, b'\n') => {
                self.put(b"\r\n");
                self.line = 0;
                At::LineStart
            }
            // Guards against smuggling: a border that other programs might see is no part of a message.
            (At::Cr | At::DotCr, _) | (_, b'\n') => {
                self.fault = Some(DataFault::BareEnd);
                if byte == b'\r' { At::Cr } else { At::Text }
            }
            (At::Dot, b'\r') => At::DotCr,
            (_, b'\r') => At::Cr,
            (At::LineStart, b'.') => At::Dot,
            (At::LineStart | At::Text | At::Dot, _) => self.text(byte),
        };
        false
    }
}

/// A message as it goes out, without the dot that ends it: dots at the start of lines doubled, and a CRLF at
/// the end.
pub fn stuffed(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 64);
    let mut start = true;
    for byte in body {
        if start && *byte == b'.' {
            out.push(b'.');
        }
        out.push(*byte);
        start = *byte == b'\n';
    }
    if !start {
        out.extend_from_slice(b"\r\n");
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run<T>(future: impl Future<Output = T>) -> T {
        tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
    }

    fn lines<'a>(first: &'a [u8], second: &'a [u8]) -> Lines<tokio::io::Chain<&'a [u8], &'a [u8]>> {
        Lines::new(first.chain(second))
    }

    #[test]
    fn data_survives_stuffing_whole_or_split_anywhere() {
        let body = b".\r\n..\r\nx\r\n\r\n.y\r\n".to_vec();
        let mut wire = stuffed(&body);
        wire.extend_from_slice(b".\r\nQUIT\r\n");
        for cut in 0..wire.len() {
            let (a, b) = wire.split_at(cut);
            let (data, next) = run(async {
                let mut l = lines(a, b);
                (l.data(100).await.unwrap(), l.line().await.unwrap())
            });
            assert_eq!((data, next.as_slice()), (Ok(body.clone()), &b"QUIT"[..]), "cut at {cut}");
        }
    }

    #[test]
    fn smuggled_ends_and_excess_are_refused_at_the_true_end() {
        let long = format!("{}\r\n.\r\n", "x".repeat(TEXT_LINE_MAX + 1));
        let large = format!("{}.\r\n", "0123456789\r\n".repeat(100));
        for (wire, fault) in [
            ("a\n.\nMAIL FROM:<x@y>\r\n.\r\n", DataFault::BareEnd),
            ("a\r\n.\nMAIL\r\n.\r\n", DataFault::BareEnd),
            ("a\r.\r\nMAIL\r\n.\r\n", DataFault::BareEnd),
            ("a\r\n.\rMAIL\r\n.\r\n", DataFault::BareEnd),
            ("a\r\r\n.\r\n", DataFault::BareEnd),
            (&long, DataFault::LongLine),
            (&large, DataFault::TooLarge),
        ] {
            let most = if fault == DataFault::TooLarge { 1000 } else { 2000 };
            let rest = run(async {
                let mut l = lines(wire.as_bytes(), b"NOOP\r\n");
                (l.data(most).await.unwrap(), l.line().await.unwrap())
            });
            assert_eq!(rest, (Err(fault), b"NOOP".to_vec()), "{wire:.30?}");
        }
    }

    #[test]
    fn replies_and_lines_have_bounds() {
        let read = |wire: &str| run(async { lines(wire.as_bytes(), b"").reply().await });
        let reply = read("250-a.example\r\n250-8BITMIME\r\n250 SIZE 9\r\n").unwrap();
        assert!(reply.offers("size") && reply.offers("8bitmime") && !reply.offers("a.example"));
        for bad in ["250-a\r\n251 b\r\n", "25x a\r\n", "990 a\r\n", "250_a\r\n", "250 a\n", "250 a"] {
            assert!(read(bad).is_err(), "{bad:?}");
        }
        assert!(matches!(read(&"250-x\r\n".repeat(100)), Err(CodecError::TooLong)));
        assert!(matches!(read(&"2".repeat(5000)), Err(CodecError::TooLong)));
    }
}
