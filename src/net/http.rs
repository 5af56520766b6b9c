//! HTTP/1.1 as far as the platform speaks it: heads, bodies by length or in chunks, each with a bound.

use std::fmt;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes of a head, at most.
pub const HEAD_MAX: usize = 8 * 1024;
/// Header fields of a head, at most.
pub const FIELDS_MAX: usize = 64;
/// Bytes of a body, at most.
pub const BODY_MAX: usize = 64 * 1024;
/// Bytes of the line before a chunk, at most.
const CHUNK_LINE_MAX: usize = 128;

/// What every answer begins with.
const VERSION: &[u8] = b"HTTP/1.";

/// Why a message cannot be had.
#[derive(Debug)]
pub enum HttpError {
    /// It is not HTTP/1.1 as it should be.
    Malformed(&'static str),
    /// Its head is over the bound.
    HeadTooLarge,
    /// Its body is over the bound.
    BodyTooLarge,
    /// The other side ended the connection inside a message.
    Ended,
    /// The other side ended the connection between messages.
    Closed,
    /// The connection failed.
    Io(std::io::Error),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Malformed(what) => write!(f, "malformed: {what}"),
            HttpError::HeadTooLarge => f.write_str("the head is too large"),
            HttpError::BodyTooLarge => f.write_str("the body is too large"),
            HttpError::Ended => f.write_str("ended inside a message"),
            HttpError::Closed => f.write_str("closed"),
            HttpError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// The first line and the header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The three parts of the first line: method, target and version, or version, status and reason.
    pub first: [String; 3],
    fields: Vec<(String, String)>,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Until the connection ends (answers only).
    UntilEnd,
}

impl Head {
    /// Reads a head from the start of `bytes`; none if it is not complete. Also returns its length.
    ///
    /// # Errors
    /// What is malformed or over a bound.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HttpError> {
        let window = &bytes[..bytes.len().min(HEAD_MAX)];
        let Some(end) = window.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if bytes.len() >= HEAD_MAX { Err(HttpError::HeadTooLarge) } else { Ok(None) };
        };
        // Bytes that are no text can only stand in a value that nobody can use; the rest of the head holds.
        let text = String::from_utf8_lossy(&window[..end]);
        // A bare line end could be read as a border by one side and not by the other.
        let mut after_cr = false;
        for byte in text.bytes() {
            if (byte == b'\n') != after_cr || byte == 0 {
                return Err(HttpError::Malformed("a bare line end in the head"));
            }
            after_cr = byte == b'\r';
        }
        if after_cr {
            return Err(HttpError::Malformed("a bare line end in the head"));
        }
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let mut parts = first.splitn(3, ' ').map(str::to_string);
        let mut part = || parts.next().ok_or(HttpError::Malformed("the first line"));
        let first = [part()?, part()?, parts.next().unwrap_or_default()];
        let mut fields = Vec::new();
        for line in lines {
            if fields.len() == FIELDS_MAX {
                return Err(HttpError::HeadTooLarge);
            }
            let (name, value) = line.split_once(':').ok_or(HttpError::Malformed("a header field"))?;
            let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            if name.is_empty() || !name.bytes().all(token) {
                return Err(HttpError::Malformed("a header field's name"));
            }
            fields.push((name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_string()));
        }
        Ok(Some((Head { first, fields }, end + 4)))
    }

    /// The value of a field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The value of a field that may stand only once, by its name in lower case.
    ///
    /// # Errors
    /// It is there more than once: two readers could each take another one.
    pub fn only(&self, name: &str) -> Result<Option<&str>, HttpError> {
        let mut values = self.fields.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let value = values.next();
        if values.next().is_some() { Err(HttpError::Malformed("a field given twice")) } else { Ok(value) }
    }

    fn names(&self, field: &str, word: &str) -> bool {
        let values = self.fields.iter().filter(|(n, _)| n == field);
        values.flat_map(|(_, v)| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the sender of this head keeps the connection.
    pub fn keeps_alive(&self, version: &str) -> bool {
        version == "HTTP/1.1" && !self.names("connection", "close")
    }

    /// Whether the client waits for a word before it sends its body.
    pub fn expects_continue(&self) -> bool {
        self.names("expect", "100-continue")
    }

    /// How the body is delimited; `without` is what holds where the head does not say.
    ///
    /// # Errors
    /// Lengths that contradict one another, that are no numbers or that are over the bound.
    pub fn framing(&self, without: Framing) -> Result<Framing, HttpError> {
        match (self.only("transfer-encoding")?, self.only("content-length")?) {
            (Some(_), Some(_)) => Err(HttpError::Malformed("a length and chunks")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            (Some(_), None) => Err(HttpError::Malformed("the transfer coding")),
            (None, None) => Ok(without),
            (None, Some(digits)) => {
                if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(HttpError::Malformed("the length"));
                }
                match digits.parse() {
                    Ok(length) if length <= BODY_MAX => Ok(Framing::Length(length)),
                    _ => Err(HttpError::BodyTooLarge),
                }
            }
        }
    }
}

/// Reads messages from a connection, keeping what came early.
#[derive(Debug)]
pub struct Reader<R> {
    inner: R,
    buffer: Vec<u8>,
    /// What was used up of the message that is being read, where that is kept.
    tape: Option<Vec<u8>>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads from `inner`.
    pub fn new(inner: R) -> Self {
        Reader { inner, buffer: Vec::new(), tape: None }
    }

    /// Reads from `inner`, of which so much has been read already, and keeps what it uses up of each message until
    /// that is whole: see [`Reader::into_parts`].
    pub fn rewinding(inner: R, buffer: Vec<u8>) -> Self {
        Reader { inner, buffer, tape: Some(Vec::new()) }
    }

    /// The message before has been dealt with: nothing of it is kept.
    pub fn forget(&mut self) {
        self.tape = self.tape.take().map(|_| Vec::new());
    }

    /// The connection, and all that was read of the message that is not whole yet.
    pub fn into_parts(self) -> (R, Vec<u8>) {
        let mut read = self.tape.unwrap_or_default();
        read.extend(self.buffer);
        (self.inner, read)
    }

    /// Takes so many bytes from the buffer.
    fn used(&mut self, length: usize) -> Vec<u8> {
        let used: Vec<u8> = self.buffer.drain(..length).collect();
        if let Some(tape) = &mut self.tape {
            tape.extend(&used);
        }
        used
    }

    /// The connection.
    pub fn get_mut(&mut self) -> &mut R {
        &mut self.inner
    }

    /// Whether anything has come that was not asked for yet.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        self.buffer.reserve(4096);
        match self.inner.read_buf(&mut self.buffer).await {
            Ok(0) => Err(HttpError::Ended),
            Ok(_) => Ok(()),
            Err(e) => Err(HttpError::Io(e)),
        }
    }

    /// The status of the answer that has begun to come, once its first line is there and can be read.
    pub fn status(&self) -> Option<u16> {
        let line = &self.buffer[..self.buffer.windows(2).position(|w| w == b"\r\n")?];
        let rest = line.strip_prefix(b"HTTP/1.1 ").or(line.strip_prefix(b"HTTP/1.0 "))?;
        let (digits, after) = rest.split_at_checked(3)?;
        let good = digits.iter().all(u8::is_ascii_digit) && after.first().is_none_or(|b| *b == b' ');
        std::str::from_utf8(digits).ok().filter(|_| good)?.parse().ok()
    }

    /// Reads until [`Reader::status`] can tell, or nobody ever can.
    ///
    /// # Errors
    /// As [`Reader::head`].
    pub async fn first_line(&mut self) -> Result<u16, HttpError> {
        self.begun().await?;
        while !self.buffer.windows(2).any(|w| w == b"\r\n") {
            let seen = self.buffer.len().min(VERSION.len());
            if self.buffer[..seen] != VERSION[..seen] {
                return Err(HttpError::Malformed("the first line"));
            }
            if self.buffer.len() >= HEAD_MAX {
                return Err(HttpError::HeadTooLarge);
            }
            self.more().await?;
        }
        self.status().ok_or(HttpError::Malformed("the first line"))
    }

    /// Waits for the first byte of a message.
    ///
    /// # Errors
    /// [`HttpError::Closed`] if there is none.
    pub async fn begun(&mut self) -> Result<(), HttpError> {
        if self.buffer.is_empty() {
            // Guards memory: what a large body took is not kept for as long as the connection stands.
            self.buffer = Vec::new();
            self.more()
                .await
                .map_err(|e| if matches!(e, HttpError::Ended) { HttpError::Closed } else { e })?;
        }
        Ok(())
    }

    /// The next head.
    ///
    /// # Errors
    /// As [`Head::parse`], or the end of the connection.
    pub async fn head(&mut self) -> Result<Head, HttpError> {
        self.begun().await?;
        loop {
            if let Some((head, length)) = Head::parse(&self.buffer)? {
                self.used(length);
                return Ok(head);
            }
            self.more().await?;
        }
    }

    /// The body that follows a head.
    ///
    /// # Errors
    /// A body over the bound, malformed chunks, or the end of the connection.
    pub async fn body(&mut self, framing: Framing) -> Result<Vec<u8>, HttpError> {
        match framing {
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.more().await?;
                }
                Ok(self.buffer.drain(..length).collect())
            }
            Framing::Chunked => {
                let mut body = Vec::new();
                while let Some(chunk) = self.chunk(BODY_MAX - body.len()).await? {
                    body.extend(chunk);
                }
                Ok(body)
            }
            Framing::UntilEnd => {
                while self.buffer.len() <= BODY_MAX {
                    match self.more().await {
                        Ok(()) => {}
                        Err(HttpError::Ended) => return Ok(std::mem::take(&mut self.buffer)),
                        Err(e) => return Err(e),
                    }
                }
                Err(HttpError::BodyTooLarge)
            }
        }
    }

    /// The next chunk of a chunked body, of `most` bytes at most; none after the last.
    ///
    /// # Errors
    /// A chunk over the bound, a malformed one, or the end of the connection.
    pub async fn chunk(&mut self, most: usize) -> Result<Option<Vec<u8>>, HttpError> {
        let line = self.line(CHUNK_LINE_MAX).await?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed("a chunk's length"));
        }
        let length =
            usize::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed("a chunk's length"))?;
        if length == 0 {
            for _ in 0..FIELDS_MAX {
                if self.line(HEAD_MAX).await?.is_empty() {
                    return Ok(None);
                }
            }
            return Err(HttpError::HeadTooLarge);
        }
        if length > most {
            return Err(HttpError::BodyTooLarge);
        }
        while self.buffer.len() < length + 2 {
            self.more().await?;
        }
        if &self.buffer[length..length + 2] != b"\r\n" {
            return Err(HttpError::Malformed("the end of a chunk"));
        }
        let chunk = self.used(length);
        self.used(2);
        Ok(Some(chunk))
    }

    async fn line(&mut self, most: usize) -> Result<String, HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n").filter(|e| *e <= most) {
                let mut line = self.used(end + 2);
                line.truncate(end);
                return String::from_utf8(line).map_err(|_| HttpError::Malformed("no text"));
            }
            if self.buffer.len() > most + 2 {
                return Err(HttpError::HeadTooLarge);
            }
            self.more().await?;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run<T>(future: impl Future<Output = T>) -> T {
        tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
    }

    /// A connection that brings its bytes one read at a time.
    struct Pieces<'a>(Vec<&'a [u8]>);

    impl AsyncRead for Pieces<'_> {
        fn poll_read(
            mut self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>,
            buf: &mut tokio::io::ReadBuf<'_>,
        ) -> std::task::Poll<std::io::Result<()>> {
            if !self.0.is_empty() {
                buf.put_slice(self.0.remove(0));
            }
            std::task::Poll::Ready(Ok(()))
        }
    }

    #[test]
    fn a_message_split_anywhere_reads_the_same() {
        let text = b"POST /a HTTP/1.1\r\nX-A:  b \r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\n\r\n\r\n0\r\n\r\nGET";
        for cut in 1..text.len() - 3 {
            run(async {
                let mut reader = Reader::new(Pieces(vec![&text[..cut], &text[cut..]]));
                let head = reader.head().await.unwrap();
                assert_eq!((head.first[1].as_str(), head.field("x-a")), ("/a", Some("b")));
                let framing = head.framing(Framing::Length(0)).unwrap();
                assert_eq!(reader.body(framing).await.unwrap(), b"abc\r\n", "cut at {cut}");
                assert!(reader.has_more() || cut < text.len());
            });
        }
    }

    #[test]
    fn what_was_read_of_a_message_that_is_not_whole_can_be_read_again() {
        let text = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for cut in 0..text.len() {
            run(async {
                let mut reader = Reader::rewinding(Pieces(vec![&text[..cut]]), Vec::new());
                // It ends where the pieces do.
                if let Ok(head) = reader.head().await {
                    assert!(reader.body(head.framing(Framing::Length(0)).unwrap()).await.is_err());
                }
                let (_, read) = reader.into_parts();
                assert_eq!(read, &text[..cut]);
                let mut again = Reader::rewinding(Pieces(vec![&text[cut..]]), read);
                let head = again.head().await.unwrap();
                let body = again.body(head.framing(Framing::Length(0)).unwrap()).await.unwrap();
                assert_eq!(body, b"abcde", "cut at {cut}");
                again.forget();
                assert!(again.into_parts().1.is_empty());
            });
        }
    }

    #[test]
    fn bounds_and_contradictions_are_errors() {
        let bad = [
            "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
            "GET / HTTP/1.1\r\n folded\r\n\r\n",
            "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
            "GET\r\n\r\n",
        ];
        for text in bad {
            assert!(matches!(Head::parse(text.as_bytes()), Err(HttpError::Malformed(_))), "{text:?}");
        }
        let framing = |fields: &str| {
            let text = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
            Head::parse(text.as_bytes()).unwrap().unwrap().0.framing(Framing::Length(0))
        };
        assert!(matches!(framing("Content-Length: 65537"), Err(HttpError::BodyTooLarge)));
        assert!(matches!(framing("Content-Length: 99999999999999999999"), Err(HttpError::BodyTooLarge)));
        for text in [
            "Content-Length: +1",
            "Content-Length: -1",
            "Content-Length: 1\r\nContent-Length: 1",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            "Transfer-Encoding: gzip",
            "Content-Length: 1\r\nTransfer-Encoding: chunked",
        ] {
            assert!(matches!(framing(text), Err(HttpError::Malformed(_))), "{text:?}");
        }
        assert!(matches!(Head::parse(&[b'a'; HEAD_MAX]), Err(HttpError::HeadTooLarge)));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(FIELDS_MAX + 1));
        assert!(matches!(Head::parse(many.as_bytes()), Err(HttpError::HeadTooLarge)));
        let long = b"10001\r\n".to_vec();
        let read = run(async { Reader::new(Pieces(vec![&long])).body(Framing::Chunked).await });
        assert!(matches!(read, Err(HttpError::BodyTooLarge)));
    }

    /// Guards against a relay that stands still: with each chunk that is taken, all that has come after it is moved.
    #[test]
    fn many_small_chunks_in_a_large_buffer_are_read_in_time() {
        const LARGE: usize = 1 << 20;
        const SMALL: usize = 1_000_000;
        let large = [format!("{LARGE:x}\r\n").as_bytes(), &vec![b'x'; LARGE], b"\r\n"].concat();
        let source = [large, b"1\r\nx\r\n".repeat(SMALL)].concat();
        let began = std::time::Instant::now();
        run(async {
            let mut reader = Reader::new(std::io::Cursor::new(source));
            assert_eq!(reader.chunk(LARGE).await.unwrap().unwrap().len(), LARGE);
            for _ in 0..SMALL {
                assert_eq!(reader.chunk(LARGE).await.unwrap().unwrap(), b"x");
                assert!(began.elapsed() < std::time::Duration::from_secs(10), "{:?}", began.elapsed());
            }
        });
    }
}
