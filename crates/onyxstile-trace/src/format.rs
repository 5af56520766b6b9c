//! The layout of a file, byte by byte, and its limits.
//!
//! All numbers are little-endian. Checksums are CRC-32 (IEEE 802.3).

use crate::Error;
use crate::events::{Event, FileHeader};
use flate2::{Compression, Decompress, FlushDecompress};
use prost::Message;
use std::io::{Read, Write};

/// What a file begins with. The first byte is no ASCII and the end is a line's end, so that a copy that took it for
/// text shows.
pub const MAGIC: [u8; 8] = *b"\x89oxTRC\r\n";
/// The version that is written. Another major version cannot be read; a newer minor one can.
pub const MAJOR: u16 = 1;
/// Its minor part.
pub const MINOR: u16 = 1;
/// Bytes before the header: magic, major, minor, the header's length and checksum.
pub const PRELUDE: usize = 20;
/// Bytes of a header, at most.
pub const HEADER_MAX: usize = 1 << 20;
/// Bytes of a block's events before they are compressed, at most.
pub const RAW_MAX: usize = 1 << 20;
/// Bytes of a block as it is stored, at most; what cannot be compressed grows a little.
pub const STORED_MAX: usize = RAW_MAX + RAW_MAX / 8;
/// Bytes of one event, at most.
pub const EVENT_MAX: usize = 16 * 1024;
/// Bytes of a section of the index, at most.
pub const SECTION_MAX: usize = 64 << 20;
/// Bytes before each block's content.
pub const BLOCK_HEAD: usize = 44;
/// What each block begins with.
pub const BLOCK_MAGIC: [u8; 4] = *b"oBLK";
/// What the last bytes of a whole file begin with.
pub const END_MAGIC: [u8; 4] = *b"oEND";
/// Bytes at the end of a whole file: magic, checksum, and where the two sections of the index are, and the count of
/// events.
pub const TRAILER: usize = 32;
/// Bytes before each event that are not its length: the low half of its checksum.
const CHECK: usize = 2;
/// How hard deflate tries; another level gives other bytes for the same content, and so would need a codec of its own.
const LEVEL: Compression = Compression::new(1);

/// How a block's content is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Codec {
    /// As it is.
    None,
    /// By deflate (RFC 1951).
    Deflate,
    /// As an LZ4 block: larger by half than deflate, for a fifth of the time. Since version 1.1.
    Lz4,
}

impl Codec {
    /// Its number in a block's head.
    pub fn number(self) -> u8 {
        match self {
            Codec::None => 0,
            Codec::Deflate => 1,
            Codec::Lz4 => 2,
        }
    }

    /// The codec of a number.
    pub fn of(number: u8) -> Option<Codec> {
        match number {
            0 => Some(Codec::None),
            1 => Some(Codec::Deflate),
            2 => Some(Codec::Lz4),
            _ => None,
        }
    }

    /// The stored form. The same content gives the same bytes each time: what was cut and merged is as it was.
    ///
    /// # Errors
    /// None on memory.
    pub fn store(self, raw: &[u8]) -> std::io::Result<Vec<u8>> {
        match self {
            Codec::None => Ok(raw.to_vec()),
            Codec::Deflate => {
                let mut out = flate2::write::DeflateEncoder::new(Vec::with_capacity(raw.len() / 3), LEVEL);
                out.write_all(raw)?;
                out.finish()
            }
            Codec::Lz4 => Ok(lz4_flex::block::compress(raw)),
        }
    }

    /// What was stored, if it is just so long.
    pub fn load(self, stored: &[u8], raw_length: usize) -> Option<Vec<u8>> {
        let raw = match self {
            Codec::None => stored.to_vec(),
            Codec::Deflate => {
                let mut raw = Vec::with_capacity(raw_length.min(RAW_MAX));
                let from = flate2::read::DeflateDecoder::new(stored);
                from.take(raw_length as u64 + 1).read_to_end(&mut raw).ok()?;
                raw
            }
            Codec::Lz4 => lz4_flex::block::decompress(stored, raw_length.min(RAW_MAX)).ok()?,
        };
        (raw.len() == raw_length).then_some(raw)
    }

    /// As much as the beginning of the stored form gives, up to a length.
    pub fn load_begin(self, stored: &[u8], raw_length: usize) -> Vec<u8> {
        match self {
            Codec::None => stored[..stored.len().min(raw_length)].to_vec(),
            Codec::Deflate => {
                let mut raw = vec![0; raw_length.min(RAW_MAX)];
                let mut inflate = Decompress::new(false);
                let (mut read, mut made) = (0, 0);
                while read < stored.len() && made < raw.len() {
                    let done = inflate.decompress(&stored[read..], &mut raw[made..], FlushDecompress::None);
                    let (at, to) = (inflate.total_in() as usize, inflate.total_out() as usize);
                    if done.is_err() || (at, to) == (read, made) {
                        made = to;
                        break;
                    }
                    (read, made) = (at, to);
                }
                raw.truncate(made);
                raw
            }
            Codec::Lz4 => crate::lz4::beginning(stored, raw_length.min(RAW_MAX)),
        }
    }
}

/// What a block holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Events.
    Events,
    /// The section of the index that says where blocks are, and their times.
    Times,
    /// The section that says which names are in them.
    Names,
    /// Something of a newer version, which is passed over.
    Other(u8),
}

/// What stands before a block's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockHead {
    /// What it holds.
    pub kind: Kind,
    /// How it is stored.
    pub codec: u8,
    /// Bytes as stored.
    pub stored: u32,
    /// Bytes of its content.
    pub raw: u32,
    /// Events in it.
    pub events: u32,
    /// Number of its first event in the file; in a piece, in the original file.
    pub first: u64,
    /// In a piece: how many events of the original block come before the first, and how many it had.
    pub part: (u32, u32),
    /// Checksum of the stored bytes.
    pub checksum: u32,
}

impl BlockHead {
    /// Its bytes.
    pub fn write(&self) -> [u8; BLOCK_HEAD] {
        let mut bytes = [0; BLOCK_HEAD];
        let kind = match self.kind {
            Kind::Events => 1,
            Kind::Times => 2,
            Kind::Names => 3,
            Kind::Other(n) => n,
        };
        bytes[..4].copy_from_slice(&BLOCK_MAGIC);
        (bytes[4], bytes[5]) = (kind, self.codec);
        let numbers = [self.stored, self.raw, self.events];
        for (at, number) in numbers.iter().enumerate() {
            bytes[8 + at * 4..12 + at * 4].copy_from_slice(&number.to_le_bytes());
        }
        bytes[20..28].copy_from_slice(&self.first.to_le_bytes());
        bytes[28..32].copy_from_slice(&self.part.0.to_le_bytes());
        bytes[32..36].copy_from_slice(&self.part.1.to_le_bytes());
        bytes[36..40].copy_from_slice(&self.checksum.to_le_bytes());
        let own = crc32fast::hash(&bytes[..40]);
        bytes[40..].copy_from_slice(&own.to_le_bytes());
        bytes
    }

    /// Reads a head; none if it is spoilt or outside the limits.
    pub fn read(bytes: &[u8; BLOCK_HEAD]) -> Option<BlockHead> {
        let u32_at = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        if bytes[..4] != BLOCK_MAGIC || u32_at(40) != crc32fast::hash(&bytes[..40]) {
            return None;
        }
        let kind = match bytes[4] {
            1 => Kind::Events,
            2 => Kind::Times,
            3 => Kind::Names,
            n => Kind::Other(n),
        };
        let head = BlockHead {
            kind,
            codec: bytes[5],
            stored: u32_at(8),
            raw: u32_at(12),
            events: u32_at(16),
            first: u64::from(u32_at(20)) | u64::from(u32_at(24)) << 32,
            part: (u32_at(28), u32_at(32)),
            checksum: u32_at(36),
        };
        let (stored, raw) =
            if kind == Kind::Events { (STORED_MAX, RAW_MAX) } else { (SECTION_MAX, SECTION_MAX) };
        // Each event takes a byte of length and its check at least.
        let bounded = head.stored as usize <= stored
            && head.raw as usize <= raw
            && (kind != Kind::Events || u64::from(head.events) * 3 <= u64::from(head.raw))
            && head.first.checked_add(u64::from(head.events)).is_some()
            && u64::from(head.part.0) + u64::from(head.events) <= u64::from(head.part.1);
        bounded.then_some(head)
    }
}

/// The end of a whole file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trailer {
    /// Where the section of times begins.
    pub times: u64,
    /// Where that of names does.
    pub names: u64,
    /// Events in the file.
    pub events: u64,
}

impl Trailer {
    /// Its bytes.
    pub fn write(&self) -> [u8; TRAILER] {
        let mut bytes = [0; TRAILER];
        bytes[..4].copy_from_slice(&END_MAGIC);
        for (at, number) in [self.times, self.names, self.events].iter().enumerate() {
            bytes[8 + at * 8..16 + at * 8].copy_from_slice(&number.to_le_bytes());
        }
        let own = crc32fast::hash(&bytes[8..]);
        bytes[4..8].copy_from_slice(&own.to_le_bytes());
        bytes
    }

    /// Reads a trailer; none if these bytes are none.
    pub fn read(bytes: &[u8; TRAILER]) -> Option<Trailer> {
        let mut numbers = [0; 3];
        for (at, number) in numbers.iter_mut().enumerate() {
            *number = u64::from_le_bytes(bytes[8 + at * 8..16 + at * 8].try_into().ok()?);
        }
        let own = u32::from_le_bytes(bytes[4..8].try_into().ok()?);
        let good = bytes[..4] == END_MAGIC && own == crc32fast::hash(&bytes[8..]);
        let [times, names, events] = numbers;
        good.then_some(Trailer { times, names, events })
    }
}

/// The bytes that a file with this header begins with.
pub fn begin(header: &FileHeader) -> Vec<u8> {
    let header = header.encode_to_vec();
    let mut bytes = Vec::with_capacity(PRELUDE + header.len());
    bytes.extend(MAGIC);
    bytes.extend(MAJOR.to_le_bytes());
    bytes.extend(MINOR.to_le_bytes());
    bytes.extend((header.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&header).to_le_bytes());
    bytes.extend(header);
    bytes
}

/// Fills `bytes` as far as there is something to read; how far.
///
/// # Errors
/// Those of what is read.
pub fn fill(from: &mut impl Read, bytes: &mut [u8]) -> std::io::Result<usize> {
    let mut have = 0;
    while have < bytes.len() {
        match from.read(&mut bytes[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(have)
}

/// Reads the header from the beginning of a file.
///
/// # Errors
/// It is no trace, of another major version, or spoilt.
pub fn read_header(from: &mut impl Read) -> Result<(FileHeader, u64), Error> {
    let mut prelude = [0; PRELUDE];
    let have = fill(from, &mut prelude)?;
    if have < MAGIC.len() || prelude[..8] != MAGIC {
        return Err(Error::NoTrace);
    }
    let u16_at = |at: usize| u16::from_le_bytes([prelude[at], prelude[at + 1]]);
    let u32_at =
        |at: usize| u32::from_le_bytes([prelude[at], prelude[at + 1], prelude[at + 2], prelude[at + 3]]);
    if have >= 10 && u16_at(8) != MAJOR {
        return Err(Error::Version(u16_at(8), MAJOR));
    }
    if have < PRELUDE {
        return Err(Error::Header("it is cut off"));
    }
    let length = u32_at(12) as usize;
    if length > HEADER_MAX {
        return Err(Error::Header("it is too long"));
    }
    let mut bytes = Vec::new();
    from.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(Error::Header("it is cut off"));
    }
    if crc32fast::hash(&bytes) != u32_at(16) {
        return Err(Error::Header("its checksum is another"));
    }
    let header = FileHeader::decode(&bytes[..]).map_err(|_| Error::Header("it is no header"))?;
    Ok((header, (PRELUDE + length) as u64))
}

/// Appends an encoded event to a block's content: its length as a varint, the low half of its checksum, itself.
pub fn put(raw: &mut Vec<u8>, event: &[u8]) {
    prost::encoding::encode_varint(event.len() as u64, raw);
    raw.extend((crc32fast::hash(event) as u16).to_le_bytes());
    raw.extend(event);
}

/// How long [`put`] makes an event.
pub fn put_length(event: &[u8]) -> usize {
    prost::encoding::encoded_len_varint(event.len() as u64) + CHECK + event.len()
}

/// The encoded events in a block's content, up to the first that is not whole.
pub fn split(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = raw;
    std::iter::from_fn(move || {
        let mut after = rest;
        let length = usize::try_from(prost::encoding::decode_varint(&mut after).ok()?).ok()?;
        if length > EVENT_MAX || after.len() < CHECK + length {
            return None;
        }
        let (check, after) = after.split_at(CHECK);
        let (event, after) = after.split_at(length);
        if u16::from_le_bytes([check[0], check[1]]) != crc32fast::hash(event) as u16 {
            return None;
        }
        rest = after;
        Some(event)
    })
}

/// Decodes an event; none if the bytes are no event.
pub fn decode(event: &[u8]) -> Option<Event> {
    Event::decode(event).ok()
}
