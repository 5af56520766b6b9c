//! The log's layout. All numbers are little-endian; checksums are CRC-32 (IEEE 802.3).
//!
//! A segment is a head and frames. A frame is length (4), checksum of the rest (4), its number in the log (8) and the
//! changes of one commit. A change is a kind (1), the key (8), facets (8 each, where the kind has them) and, if it is
//! a put, the value's length (4), its checksum (4) and the value.

/// Bytes of a segment's head.
pub(crate) const HEAD: u64 = 40;
/// Bytes before a frame's changes.
pub(crate) const FRAME: usize = 16;
/// Bytes of a frame, at most: what recovery believes of a length.
pub(crate) const FRAME_MAX: usize = 16 << 20;
const MAGIC: [u8; 8] = *b"\x89oxSEG\r\n";
const VERSION: u32 = 1;
const PUT: u8 = 1;
const PUT_WITH_FACETS: u8 = 3;
const DELETE: u8 = 4;

/// What a segment says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Head {
    pub facets: u32,
    pub id: u64,
    /// The number that its first frame has.
    pub first: u64,
}

/// What the head of a file is.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HeadRead {
    Good(Head),
    /// Not all of it was written.
    Short,
    Spoilt,
    /// Of another version.
    Version(u32),
}

impl Head {
    pub(crate) fn write(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend(VERSION.to_le_bytes());
        out.extend(self.facets.to_le_bytes());
        out.extend(self.id.to_le_bytes());
        out.extend(self.first.to_le_bytes());
        out.extend(crc32fast::hash(&out).to_le_bytes());
        out.extend([0; 4]);
        out
    }

    pub(crate) fn read(bytes: &[u8]) -> HeadRead {
        let Some(head) = bytes.get(..HEAD as usize) else { return HeadRead::Short };
        if head[..8] != MAGIC || crc32fast::hash(&head[..32]) != u32_at(head, 32) || head[36..] != [0; 4] {
            return HeadRead::Spoilt;
        }
        if u32_at(head, 8) != VERSION {
            return HeadRead::Version(u32_at(head, 8));
        }
        HeadRead::Good(Head { facets: u32_at(head, 12), id: u64_at(head, 16), first: u64_at(head, 24) })
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// A change as it stands in a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Found<const F: usize> {
    /// Where the value begins in the buffer that was read, and its length.
    Put {
        key: u64,
        facets: Option<[u64; F]>,
        at: usize,
        length: usize,
    },
    Delete(u64),
}

/// Begins a frame; [`end`] completes it.
pub(crate) fn begin(out: &mut Vec<u8>, number: u64) {
    out.extend([0; 8]);
    out.extend(number.to_le_bytes());
}

pub(crate) fn put<const F: usize>(
    out: &mut Vec<u8>, key: u64, facets: Option<&[u64; F]>, value: &[u8],
) -> (usize, usize) {
    out.push(if facets.is_some() { PUT_WITH_FACETS } else { PUT });
    out.extend(key.to_le_bytes());
    facets.into_iter().flatten().for_each(|f| out.extend(f.to_le_bytes()));
    out.extend((value.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(value).to_le_bytes());
    let at = out.len();
    out.extend(value);
    (at, value.len())
}

pub(crate) fn delete(out: &mut Vec<u8>, key: u64) {
    out.push(DELETE);
    out.extend(key.to_le_bytes());
}

/// Bytes that a put takes beside its value, at most.
pub(crate) const fn overhead(facets: usize) -> usize {
    1 + 8 + 8 * facets + 8
}

/// Completes the frame that began at `start`.
pub(crate) fn end(out: &mut [u8], start: usize) {
    let length = (out.len() - start - 8) as u32;
    let sum = crc32fast::hash(&out[start + 8..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&sum.to_le_bytes());
}

/// A whole frame at a place: its number, its changes, and where it ends.
pub(crate) fn read<const F: usize>(bytes: &[u8], at: usize) -> Option<(u64, Vec<Found<F>>, usize)> {
    let frame = bytes.get(at..)?;
    let length = u32_at(frame.get(..FRAME)?, 0) as usize;
    if !(8..=FRAME_MAX).contains(&length) {
        return None;
    }
    let content = frame.get(8..8 + length)?;
    if crc32fast::hash(content) != u32_at(frame, 4) {
        return None;
    }
    let (number, end) = (u64_at(content, 0), at + 8 + length);
    let (mut found, mut place) = (Vec::new(), at + FRAME);
    while place < end {
        let (change, next) = change::<F>(bytes.get(..end)?, place)?;
        found.push(change);
        place = next;
    }
    Some((number, found, end))
}

fn change<const F: usize>(bytes: &[u8], at: usize) -> Option<(Found<F>, usize)> {
    let (kind, key) = (*bytes.get(at)?, u64_at(bytes.get(..at + 9)?, at + 1));
    let mut place = at + 9;
    let facets = match kind {
        DELETE => return Some((Found::Delete(key), place)),
        PUT => None,
        PUT_WITH_FACETS => {
            let mut facets = [0; F];
            for facet in &mut facets {
                *facet = u64_at(bytes.get(..place + 8)?, place);
                place += 8;
            }
            Some(facets)
        }
        _ => return None,
    };
    let length = u32_at(bytes.get(..place + 8)?, place) as usize;
    place += 8;
    bytes.get(place..place.checked_add(length)?)?;
    Some((Found::Put { key, facets, at: place, length }, place + length))
}

/// Whether a value is what its checksum, which stands right before it, says.
pub(crate) fn value_is_good(with_sum: &[u8]) -> bool {
    with_sum.len() >= 4 && crc32fast::hash(&with_sum[4..]) == u32_at(with_sum, 0)
}
