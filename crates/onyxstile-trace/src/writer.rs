//! Writes a file.

use crate::about::about;
use crate::batch::{Encoded, NameDigests};
use crate::events::{Event, FileHeader};
use crate::format::{self, BlockHead, Codec, Kind, Trailer};
use crate::index::{Collector, Gathered};
use prost::Message;
use std::io::{self, Write};

/// How blocks are made.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Bytes of events in a block, about; a block that is flushed early has fewer.
    pub block: usize,
    /// How they are stored.
    pub codec: Codec,
}

impl Default for Options {
    fn default() -> Self {
        Options { block: 64 * 1024, codec: Codec::Deflate }
    }
}

/// Writes events to a file, block by block, each with one write.
#[derive(Debug)]
pub struct Writer<W> {
    to: W,
    options: Options,
    raw: Vec<u8>,
    events: u32,
    /// Number of the block's first event, and in a piece its place in the original block and that one's size.
    first: u64,
    part: Option<(u32, u32)>,
    gathered: Gathered,
    index: Collector,
    offset: u64,
    next: u64,
    written: u64,
    scratch: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Begins a file.
    ///
    /// # Errors
    /// Those of `to`.
    pub fn new(mut to: W, header: &FileHeader, options: Options) -> io::Result<Self> {
        let begin = format::begin(header);
        to.write_all(&begin)?;
        let block = options.block.clamp(1024, format::RAW_MAX - format::EVENT_MAX - 16);
        let next = header.piece.as_ref().map_or(0, |p| p.from);
        Ok(Writer {
            to,
            options: Options { block, ..options },
            raw: Vec::new(),
            events: 0,
            first: next,
            part: None,
            gathered: Gathered::default(),
            index: Collector::default(),
            offset: begin.len() as u64,
            next,
            written: 0,
            scratch: Vec::new(),
        })
    }

    /// Appends an event. One that is too large to be an event is left out.
    ///
    /// # Errors
    /// A block was full and could not be written; it is still there, and the next write tries again.
    pub fn push(&mut self, event: &Event) -> io::Result<()> {
        let bytes = event.encode_to_vec();
        self.push_encoded(&bytes, event)
    }

    /// Appends an event whose encoded form is at hand; that is what is written.
    ///
    /// # Errors
    /// As [`Writer::push`].
    pub fn push_encoded(&mut self, bytes: &[u8], event: &Event) -> io::Result<()> {
        self.push_bytes(bytes, event.at_us, NameDigests::of(&about(event)))
    }

    /// Appends an event of a batch, whose time counts from `start_us` on.
    ///
    /// # Errors
    /// As [`Writer::push`].
    pub fn push_batched(&mut self, event: Encoded<'_>, start_us: u64) -> io::Result<()> {
        let at_us = event.at_us.saturating_sub(start_us);
        let mut bytes = std::mem::take(&mut self.scratch);
        bytes.clear();
        // As the whole event would be encoded: its time is its first field, and left out where it is 0.
        if at_us > 0 {
            prost::encoding::uint64::encode(1, &at_us, &mut bytes);
        }
        bytes.extend(event.body);
        let pushed = self.push_bytes(&bytes, at_us, event.names);
        self.scratch = bytes;
        pushed
    }

    fn push_bytes(&mut self, bytes: &[u8], at_us: u64, names: NameDigests) -> io::Result<()> {
        if bytes.len() > format::EVENT_MAX {
            return Ok(());
        }
        if self.part.is_none() && self.raw.len() + format::put_length(bytes) > self.options.block {
            self.flush()?;
        }
        if self.events == 0 {
            self.first = self.next;
        }
        format::put(&mut self.raw, bytes);
        self.gathered.add(at_us, names);
        self.events += 1;
        self.next += 1;
        Ok(())
    }

    /// From here on events belong to a part of an original block: the number of its first one, how many came before
    /// it in that block, how many that block had, and how that was stored.
    ///
    /// # Errors
    /// As [`Writer::flush`].
    pub fn begin_part(&mut self, first: u64, part: (u32, u32), codec: Codec) -> io::Result<()> {
        self.flush()?;
        self.options.codec = codec;
        (self.next, self.part) = (first, Some(part));
        Ok(())
    }

    /// Writes what there is as a block.
    ///
    /// # Errors
    /// Those of what is written to; the events are still there.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.events == 0 {
            return Ok(());
        }
        let stored = self.options.codec.store(&self.raw)?;
        let part = self.part.unwrap_or((0, self.events));
        let bytes =
            block(Kind::Events, self.options.codec, &stored, &self.raw, (self.events, self.first), part);
        self.to.write_all(&bytes)?;
        self.index.add(self.offset, self.events, &self.gathered);
        self.written += u64::from(self.events);
        self.offset += bytes.len() as u64;
        self.raw.clear();
        (self.events, self.gathered, self.part) = (0, Gathered::default(), None);
        Ok(())
    }

    /// Bytes written, and those that wait for their block.
    pub fn size(&self) -> (u64, usize) {
        (self.offset, self.raw.len())
    }

    /// What is written to.
    pub fn get_mut(&mut self) -> &mut W {
        &mut self.to
    }

    /// The events that wait for their block; they are given up, as if they had never been pushed.
    pub fn give_up(&mut self) -> u32 {
        self.raw.clear();
        self.gathered = Gathered::default();
        self.next = self.first;
        std::mem::take(&mut self.events)
    }

    /// Ends the file with its index.
    ///
    /// # Errors
    /// Those of what is written to.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        let (times, names) = self.index.sections();
        let trailer = Trailer { times: self.offset, names: 0, events: self.written };
        let times = block(Kind::Times, Codec::None, &times, &times, (0, 0), (0, 0));
        let trailer = Trailer { names: self.offset + times.len() as u64, ..trailer };
        self.to.write_all(&times)?;
        self.to.write_all(&block(Kind::Names, Codec::None, &names, &names, (0, 0), (0, 0)))?;
        self.to.write_all(&trailer.write())?;
        self.to.flush()?;
        Ok(self.to)
    }
}

/// A block's bytes.
fn block(
    kind: Kind, codec: Codec, stored: &[u8], raw: &[u8], (events, first): (u32, u64), part: (u32, u32),
) -> Vec<u8> {
    let head = BlockHead {
        kind,
        codec: codec.number(),
        stored: stored.len() as u32,
        raw: raw.len() as u32,
        events,
        first,
        part,
        checksum: crc32fast::hash(stored),
    };
    let mut bytes = head.write().to_vec();
    bytes.extend(stored);
    bytes
}
