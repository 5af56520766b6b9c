//! HTTP/1.1 messages: heads, bodies with a length or in chunks, and event streams.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// Start line and header fields.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection was closed before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk; `None` after the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length =
        usize::from_str_radix(line.trim(), 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Reads a body and passes on its pieces as they arrive; an error if it ends early.
pub fn read_body(
    reader: &mut BufReader<TcpStream>, head: &Head, mut piece: impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            piece(&chunk);
        }
        return Ok(());
    }
    let length = head.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    piece(&body);
    Ok(())
}

/// A whole body.
pub fn whole_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body(reader, head, |piece| body.extend_from_slice(piece))?;
    Ok(body)
}

/// An answer; `is_whole` is false if the connection ended within it.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

/// Opens a connection whose reads end after `silence`.
pub fn connect(to: SocketAddrV4, silence: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(silence))?;
    stream.set_write_timeout(Some(silence))?;
    Ok(stream)
}

/// Text of a request.
pub fn request(method: &str, path: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection and reads the answer; `event` gets the body's pieces as they arrive.
pub fn exchange(
    reader: &mut BufReader<TcpStream>, bytes: &[u8], mut event: impl FnMut(&[u8]),
) -> io::Result<Answer> {
    reader.get_mut().write_all(bytes)?;
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    let end = read_body(reader, &head, |piece| {
        body.extend_from_slice(piece);
        event(piece);
    });
    Ok(Answer { head, body, is_whole: end.is_ok() })
}

/// Sends a request on a connection of its own.
pub fn ask(to: SocketAddrV4, bytes: &[u8], silence: Duration) -> io::Result<Answer> {
    let mut reader = BufReader::new(connect(to, silence)?);
    exchange(&mut reader, bytes, |_| {})
}

/// The data of a stream's complete events, a line feed behind each.
pub fn event_data(stream: &[u8]) -> String {
    let text = String::from_utf8_lossy(stream);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole.lines().filter_map(|line| line.strip_prefix("data: ")).map(|data| format!("{data}\n")).collect()
}

/// Id of the last complete event.
pub fn last_event(stream: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(stream);
    let whole = &text[..text.rfind("\n\n")?];
    whole.lines().rev().find_map(|line| line.strip_prefix("id: ")).map(str::to_owned)
}
