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
/// Maximum size of an event id, in bytes. Ids are sent in a header when a stream is resumed.
const ID_BYTES_MAX: usize = 4096;
/// Memory that is kept for the next event after a large one, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// Received bytes that do not form a complete event yet. Each byte is examined once, however many pieces an event comes in.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
    /// Number of bytes of the rest that have been searched for line ends.
    scanned: usize,
    /// Start of the last line of the rest.
    line_start: usize,
    has_long_id: bool,
}

impl Splitter {
    /// Adds received bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(line_end) = self.next_line_end() {
            let line = &self.rest[self.line_start..line_end];
            let is_empty = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            if is_empty && line_end > start {
                events.push(parse(&self.rest[start..=line_end]));
                start = line_end + 1;
            }
        }
        self.remove(start);
        let is_long = |event: &Event| event.id.as_ref().is_some_and(|id| id.len() > ID_BYTES_MAX);
        self.has_long_id |= events.iter().any(is_long);
        events
    }

    /// Whether no event has started.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Whether the incomplete event, or an event id, exceeds its maximum size.
    pub fn is_over_limit(&self) -> bool {
        self.rest.len() > EVENT_BYTES_MAX || self.has_long_id
    }

    /// Memory of the incomplete event, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.rest.capacity()
    }

    /// Index of the next line end that has not been examined.
    fn next_line_end(&mut self) -> Option<usize> {
        let found = self.rest[self.scanned..].iter().position(|byte| *byte == b'\n');
        let line_end = found.map(|offset| self.scanned + offset);
        self.scanned = line_end.map_or(self.rest.len(), |line_end| line_end + 1);
        line_end
    }

    /// Removes the first `length` bytes, which have been examined.
    fn remove(&mut self, length: usize) {
        self.rest.drain(..length);
        self.scanned -= length;
        self.line_start -= length;
        if length > 0 {
            self.rest.shrink_to(KEPT_BYTES);
        }
    }
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
