//! HTTP/1.1 as far as the platform speaks it: heads, bodies by length or in chunks, each with a bound.

mod reader;

pub use reader::Reader;
use std::fmt;

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

#[cfg(test)]
mod tests;
