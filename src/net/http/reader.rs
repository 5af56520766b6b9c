//! Reads messages from a connection.

use super::{BODY_MAX, CHUNK_LINE_MAX, FIELDS_MAX, Framing, HEAD_MAX, Head, HttpError, VERSION};
use tokio::io::{AsyncRead, AsyncReadExt};

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
