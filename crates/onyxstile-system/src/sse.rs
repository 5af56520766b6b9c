//! Splits a stream's bytes into events (`text/event-stream`). Performs no I/O.

/// One received event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// All bytes of the event, including the terminating empty line.
    pub bytes: Vec<u8>,
    /// Event id, if present.
    pub id: Option<String>,
    /// Event data; multiple lines are joined by line feeds.
    pub data: Option<Vec<u8>>,
}

/// Maximum size of one event, in bytes; a stream with a larger one is invalid.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Received bytes that do not form a complete event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
}

impl Splitter {
    /// Adds received bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.rest[start..]) {
            events.push(parse(&self.rest[start..start + length]));
            start += length;
        }
        self.rest.drain(..start);
        events
    }

    /// Whether no event has started.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Memory of the incomplete event, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.rest.capacity()
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_over_limit(&self) -> bool {
        self.rest.len() > EVENT_BYTES_MAX
    }
}

/// Length of the first event, including the terminating empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn parse(bytes: &[u8]) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|byte| *byte == b':');
        let Some(colon) = colon.filter(|colon| *colon > 0) else { continue };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => id = Some(String::from_utf8_lossy(value).into_owned()),
            b"data" => match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            },
            _ => {}
        }
    }
    Event { bytes: bytes.to_vec(), id, data }
}
