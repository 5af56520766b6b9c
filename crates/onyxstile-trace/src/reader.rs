//! Reads a file: in order, or by its index.

use crate::Error;
use crate::events::{Event, FileHeader};
use crate::format::{self, BLOCK_HEAD, BLOCK_MAGIC, BlockHead, Codec, END_MAGIC, Kind, TRAILER, Trailer};
use crate::index::{self, Entry};
use std::fmt;
use std::io::{self, Read, Seek, SeekFrom};

/// What was found wrong in a file, and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Trouble {
    /// The file ends in the middle of a block or of its index: where that began, and how many of the block's events
    /// are whole.
    Cut(u64, u32),
    /// The file ends without an index.
    NoIndex,
    /// These bytes are no block, and were passed over: where, and how many.
    Spoilt(u64, u64),
    /// A block whose content is spoilt was passed over: where, number of its first event, and how many it had.
    LostBlock(u64, u64, u32),
    /// Events are missing before this number, so many.
    Gap(u64, u64),
    /// The index says of a block what is not so: where that should be. The whole file was read instead.
    WrongIndex(u64),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Cut(at, 0) => write!(f, "the file is cut off at byte {at}"),
            Trouble::Cut(at, n) => {
                write!(f, "the file is cut off in the block at byte {at}; its first {n} events are whole")
            }
            Trouble::NoIndex => f.write_str("the file has no index (`trace repair` writes one)"),
            Trouble::Spoilt(at, n) => write!(f, "{n} bytes from byte {at} on are no block; passed over"),
            Trouble::LostBlock(at, first, n) => {
                write!(
                    f,
                    "the block at byte {at} is spoilt: events {first} to {} are lost",
                    first + u64::from(*n)
                )
            }
            Trouble::Gap(at, n) => write!(f, "{n} events are missing before event {at}"),
            Trouble::WrongIndex(at) => {
                write!(f, "the index is wrong about the block at byte {at}; the whole file is read instead")
            }
        }
    }
}

/// Troubles that are kept; a file of noise would have one in every few bytes.
const TROUBLES_MAX: usize = 1000;

/// A block of events.
#[derive(Debug, Clone)]
pub struct Block {
    /// Where it begins.
    pub offset: u64,
    /// What its head says; of a block that is cut off, `events` is how many are whole.
    pub head: BlockHead,
    /// How it was stored.
    pub codec: Codec,
    raw: Vec<u8>,
}

impl Block {
    /// Its events in their encoded form, with their numbers.
    pub fn encoded(&self) -> impl Iterator<Item = (u64, &[u8])> {
        format::split(&self.raw).take(self.head.events as usize).zip(self.head.first..).map(|(e, n)| (n, e))
    }

    /// Its events with their numbers and their encoded form.
    pub fn both(&self) -> impl Iterator<Item = (u64, &[u8], Event)> {
        self.encoded().map(|(n, e)| (n, e, format::decode(e).unwrap_or_default()))
    }

    /// Its events with their numbers.
    pub fn events(&self) -> impl Iterator<Item = (u64, Event)> {
        self.both().map(|(n, _, event)| (n, event))
    }
}

/// What may stand at a place of a file.
enum At {
    Block(BlockHead),
    /// The end: whole, or with no more bytes.
    End(Option<Trailer>),
    /// So few bytes that they are no head.
    Short,
    Noise,
}

/// Reads a file.
#[derive(Debug)]
pub struct Reader<R> {
    from: R,
    header: FileHeader,
    begin: u64,
    length: u64,
    offset: u64,
    position: u64,
    next: Option<u64>,
    ended: bool,
    troubles: Vec<Trouble>,
    read: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file.
    ///
    /// # Errors
    /// It is no trace, of another major version, or its header is spoilt.
    pub fn open(mut from: R) -> Result<Self, Error> {
        let length = from.seek(SeekFrom::End(0))?;
        from.seek(SeekFrom::Start(0))?;
        let (header, begin) = format::read_header(&mut from)?;
        Ok(Reader {
            from,
            header,
            begin,
            length,
            offset: begin,
            position: begin,
            next: None,
            ended: false,
            troubles: Vec::new(),
            read: begin,
        })
    }

    /// What the file says of itself.
    pub fn header(&self) -> &FileHeader {
        &self.header
    }

    /// Bytes of the file, and how far it is read.
    pub fn progress(&self) -> (u64, u64) {
        (self.length, self.offset)
    }

    /// Bytes read so far, wherever.
    pub fn bytes_read(&self) -> u64 {
        self.read
    }

    /// What was found wrong so far.
    pub fn troubles(&self) -> &[Trouble] {
        &self.troubles
    }

    /// Begins again at the first block.
    pub fn rewind(&mut self) {
        (self.offset, self.next, self.ended) = (self.begin, None, false);
        self.troubles.clear();
    }

    fn trouble(&mut self, trouble: Trouble) {
        if self.troubles.len() < TROUBLES_MAX {
            self.troubles.push(trouble);
        }
    }

    /// Fills `bytes` from a place, as far as the file goes.
    fn fill(&mut self, at: u64, bytes: &mut [u8]) -> io::Result<usize> {
        if self.position != at {
            self.from.seek(SeekFrom::Start(at))?;
            self.position = at;
        }
        let have = format::fill(&mut self.from, bytes)?;
        self.position += have as u64;
        self.read += have as u64;
        Ok(have)
    }

    fn at(&mut self, offset: u64) -> io::Result<At> {
        let mut bytes = [0; BLOCK_HEAD];
        let have = self.fill(offset, &mut bytes)?;
        if have == 0 {
            return Ok(At::End(None));
        }
        if have >= TRAILER
            && bytes[..4] == END_MAGIC
            && let Some(trailer) = bytes[..TRAILER].try_into().ok().and_then(Trailer::read)
        {
            return Ok(At::End(Some(trailer)));
        }
        if have < BLOCK_HEAD {
            return Ok(At::Short);
        }
        Ok(BlockHead::read(&bytes).map_or(At::Noise, At::Block))
    }

    /// Where the next head stands after noise at `from`, or the file's end.
    fn resync(&mut self, from: u64) -> io::Result<u64> {
        const STEP: usize = 64 * 1024;
        let mut at = from + 1;
        let mut bytes = vec![0; STEP];
        loop {
            let have = self.fill(at, &mut bytes)?;
            if have < 4 {
                return Ok(self.length);
            }
            for n in 0..have - 3 {
                if bytes[n..n + 4] == BLOCK_MAGIC || bytes[n..n + 4] == END_MAGIC {
                    let here = at + n as u64;
                    if matches!(self.at(here)?, At::Block(_) | At::End(_)) {
                        return Ok(here);
                    }
                }
            }
            at += have as u64 - 3;
        }
    }

    /// The next block of events, in order.
    ///
    /// # Errors
    /// The file cannot be read. What is wrong in it is no error: see [`Reader::troubles`].
    pub fn next_block(&mut self) -> io::Result<Option<Block>> {
        while !self.ended {
            let offset = self.offset;
            match self.at(offset)? {
                At::End(trailer) => {
                    self.ended = true;
                    if trailer.is_none() {
                        self.trouble(Trouble::NoIndex);
                    }
                }
                At::Short => {
                    self.ended = true;
                    self.trouble(Trouble::Cut(offset, 0));
                }
                At::Noise => {
                    self.offset = self.resync(offset)?;
                    self.trouble(Trouble::Spoilt(offset, self.offset - offset));
                }
                At::Block(head) => {
                    self.offset = offset + BLOCK_HEAD as u64 + u64::from(head.stored);
                    if head.kind != Kind::Events {
                        if self.offset > self.length {
                            self.ended = true;
                            self.trouble(Trouble::Cut(offset, 0));
                        }
                        continue;
                    }
                    if let Some(block) = self.load(offset, head)? {
                        let expected = self.next.unwrap_or(block.head.first);
                        if block.head.first > expected {
                            self.trouble(Trouble::Gap(block.head.first, block.head.first - expected));
                        }
                        self.next = Some(block.head.first + u64::from(block.head.events));
                        return Ok(Some(block));
                    }
                    self.next = Some(head.first + u64::from(head.events));
                }
            }
        }
        Ok(None)
    }

    /// Reads the content of a block whose head was just read.
    fn load(&mut self, offset: u64, head: BlockHead) -> io::Result<Option<Block>> {
        let stored_at = offset + BLOCK_HEAD as u64;
        // Guards memory: no more is asked for than the file has, whatever a head says.
        let there = self.length.saturating_sub(stored_at).min(u64::from(head.stored)) as usize;
        let mut stored = vec![0; there];
        let have = self.fill(stored_at, &mut stored)?;
        stored.truncate(have);
        let codec = Codec::of(head.codec);
        if have < head.stored as usize {
            let raw = codec.map(|c| c.load_begin(&stored, head.raw as usize)).unwrap_or_default();
            let events = format::split(&raw).take(head.events as usize).count() as u32;
            self.ended = true;
            self.trouble(Trouble::Cut(offset, events));
            let head = BlockHead { events, ..head };
            return Ok(codec.filter(|_| events > 0).map(|codec| Block { offset, head, codec, raw }));
        }
        let whole = crc32fast::hash(&stored) == head.checksum;
        let loaded = codec.filter(|_| whole).and_then(|c| Some((c, c.load(&stored, head.raw as usize)?)));
        let good = loaded.filter(|(_, raw)| format::split(raw).count() == head.events as usize);
        if good.is_none() {
            self.trouble(Trouble::LostBlock(offset, head.first, head.events));
        }
        Ok(good.map(|(codec, raw)| Block { offset, head, codec, raw }))
    }

    fn trailer(&mut self) -> io::Result<Option<Trailer>> {
        let Some(at) = self.length.checked_sub(TRAILER as u64) else { return Ok(None) };
        let mut bytes = [0; TRAILER];
        self.fill(at, &mut bytes)?;
        Ok(Trailer::read(&bytes))
    }

    fn section(&mut self, at: u64, kind: Kind) -> io::Result<Option<Vec<u8>>> {
        let At::Block(head) = self.at(at)? else { return Ok(None) };
        let begin = at + BLOCK_HEAD as u64;
        if head.kind != kind || head.stored != head.raw || begin + u64::from(head.stored) > self.length {
            return Ok(None);
        }
        let mut bytes = vec![0; head.stored as usize];
        let have = self.fill(begin, &mut bytes)?;
        Ok((have == bytes.len() && crc32fast::hash(&bytes) == head.checksum).then_some(bytes))
    }

    /// How many events the index says that there are.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn counted(&mut self) -> io::Result<Option<u64>> {
        Ok(self.trailer()?.map(|t| t.events))
    }

    /// What the index says, with the section of names if it is asked for; none if there is no index.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn index(&mut self, with_names: bool) -> io::Result<Option<(Vec<Entry>, Vec<u8>)>> {
        let Some(trailer) = self.trailer()? else { return Ok(None) };
        let times = self.section(trailer.times, Kind::Times)?;
        let Some(entries) = times.and_then(|t| index::read_times(&t)) else { return Ok(None) };
        let names = if with_names { self.section(trailer.names, Kind::Names)? } else { None };
        Ok(Some((entries, names.unwrap_or_default())))
    }

    /// The block that an entry of the index names; none if it is not there.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn block(&mut self, entry: &Entry) -> io::Result<Option<Block>> {
        if entry.offset < self.begin {
            return Ok(None);
        }
        match self.at(entry.offset)? {
            At::Block(head) if head.kind == Kind::Events && head.events == entry.events => {
                self.load(entry.offset, head)
            }
            _ => Ok(None),
        }
    }

    /// Says that the index is wrong and begins again, with the whole file.
    pub fn distrust_index(&mut self, at: u64) {
        self.trouble(Trouble::WrongIndex(at));
        (self.offset, self.next, self.ended) = (self.begin, None, false);
    }
}
