//! What a store tells of its records.

use std::collections::VecDeque;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;

use crate::disk::Disk;
use crate::frame::{self, FRAME, FRAME_MAX, Found, HEAD};
use crate::index::Place;
use crate::store::{SLACK, Segment, Store, at, segment_name};
use crate::{Error, Result};

impl<D: Disk, const F: usize> Store<D, F> {
    /// The value of a key.
    ///
    /// # Errors
    /// It cannot be read, or what is there is not what was written.
    pub fn get(&self, key: u64) -> Result<Option<Vec<u8>>> {
        self.index.place(key).map(|place| read_value(&self.disk, &self.segments, place)).transpose()
    }

    /// Tells of each record with what it holds, those of one segment after the other; the log is read from its beginning.
    ///
    /// # Errors
    /// A segment cannot be read, or is spoilt; what was told until then is good.
    pub fn scan(&self, mut tell: impl FnMut(u64, &[u8])) -> Result<()> {
        self.segments.iter().try_for_each(|segment| self.scan_segment(segment, &mut tell))
    }

    fn scan_segment(&self, segment: &Segment<D::File>, tell: &mut impl FnMut(u64, &[u8])) -> Result<()> {
        let id = segment.head.id;
        let mut bytes = vec![0; segment.good as usize];
        let have = at(&segment_name(id), self.disk.read(&segment.file, 0, &mut bytes))?;
        bytes.truncate(have);
        let mut place = HEAD as usize;
        while let Some((_, changes, end)) = frame::read::<F>(&bytes, place) {
            let live = changes.iter().filter_map(|change| self.live(id, 0, change));
            live.for_each(|(key, value)| tell(key, &bytes[value]));
            place = end;
        }
        let is_whole = place as u64 == segment.good;
        if is_whole { Ok(()) } else { Err(Error::Damaged(id, place as u64)) }
    }

    /// The key of a change and where its value stands in what was read of the segment from `from` on, if it is the key's
    /// last word.
    pub(crate) fn live(&self, segment: u64, from: u64, change: &Found<F>) -> Option<(u64, Range<usize>)> {
        let Found::Put { key, at, length, .. } = *change else { return None };
        let here = Place { segment: segment as u32, at: (from as usize + at) as u32, length: length as u32 };
        (self.index.place(key) == Some(here)).then_some((key, at..at + length))
    }

    /// Whether there is a record of a key.
    pub fn has(&self, key: u64) -> bool {
        self.index.place(key).is_some()
    }

    /// The facets of a key.
    pub fn facets(&self, key: u64) -> Option<&[u64; F]> {
        self.index.facets(key)
    }

    /// Keys in their order.
    pub fn keys(&self, range: RangeInclusive<u64>) -> impl DoubleEndedIterator<Item = u64> + '_ {
        self.index.keys(range)
    }

    /// What a facet holds and the keys, in the order of both.
    pub fn by(
        &self, facet: usize, range: RangeInclusive<u64>,
    ) -> impl DoubleEndedIterator<Item = (u64, u64)> + '_ {
        self.index.by(facet, range)
    }

    /// Records.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that the records would take by themselves.
    pub fn live_bytes(&self) -> u64 {
        self.index.bytes() + (self.index.len() * (frame::overhead(F) + FRAME)) as u64
    }

    /// Whether it takes writes. It does not once a sync has failed, for nobody knows then what the disk holds.
    pub fn writes(&self) -> bool {
        !self.read_only
    }

    /// Bytes of all files.
    pub fn used_bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.length + s.hint).sum::<u64>() + self.aside
    }

    /// Bytes of files that were set aside because the log had a gap before them.
    pub fn aside_bytes(&self) -> u64 {
        self.aside
    }

    /// Bytes that compaction has appended since the start.
    pub fn copied_bytes(&self) -> u64 {
        self.copied
    }

    /// Bytes of one commit, at most, with what each change takes beside its value.
    pub fn commit_max(&self) -> usize {
        self.options.commit.min(FRAME_MAX / 2).min(self.options.segment as usize)
    }

    /// Whether records of so many bytes more fit for good, whatever compaction needs.
    pub fn has_room(&self, records: usize, bytes: usize) -> bool {
        let more = (bytes + records * (frame::overhead(F) + FRAME)) as u64;
        self.live_bytes() + more <= self.capacity()
    }

    /// Bytes that records may take: three eighths of the limit. The rest is for what is over and not yet removed, the
    /// copies of a segment and the closed segments' indexes.
    pub fn capacity(&self) -> u64 {
        self.options.limit.saturating_sub(self.aside + SLACK) / 8 * 3
    }

    /// The records of some keys as they are now, whatever is written later. It takes 24 bytes for each, and no segment
    /// is removed before it is dropped: hold it for a moment only.
    pub fn snapshot(&self, keys: impl IntoIterator<Item = u64>) -> Snapshot<D, F> {
        let places = keys.into_iter().filter_map(|key| Some((key, self.index.place(key)?))).collect();
        let files = self.segments.iter().map(|s| (s.head.id, s.file.clone())).collect();
        Snapshot { places, files, _pin: self.pins.clone() }
    }
}

fn read_value<D: Disk>(disk: &D, segments: &VecDeque<Segment<D::File>>, place: Place) -> Result<Vec<u8>> {
    let first = segments.front().map_or(0, |s| s.head.id);
    let there = u64::from(place.segment).checked_sub(first).and_then(|n| segments.get(n as usize));
    let Some(segment) = there else { return Err(Error::Damaged(place.segment.into(), place.at.into())) };
    read_at(disk, &segment.file, place)
}

fn read_at<D: Disk>(disk: &D, file: &D::File, place: Place) -> Result<Vec<u8>> {
    // The value's checksum stands right before it.
    let mut bytes = vec![0; place.length as usize + 4];
    let have = at(&segment_name(place.segment.into()), disk.read(file, u64::from(place.at) - 4, &mut bytes))?;
    if have < bytes.len() || !frame::value_is_good(&bytes) {
        return Err(Error::Damaged(place.segment.into(), place.at.into()));
    }
    bytes.drain(..4);
    Ok(bytes)
}

/// Some records as they were at one moment.
#[derive(Debug)]
pub struct Snapshot<D: Disk, const F: usize> {
    places: Vec<(u64, Place)>,
    files: Vec<(u64, Rc<D::File>)>,
    _pin: Rc<()>,
}

impl<D: Disk, const F: usize> Snapshot<D, F> {
    /// Records in it.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The key and value at a place among them.
    ///
    /// # Errors
    /// It cannot be read, or is spoilt.
    pub fn read(&self, store: &Store<D, F>, n: usize) -> Option<Result<(u64, Vec<u8>)>> {
        let (key, place) = *self.places.get(n)?;
        let file = self.files.iter().find(|(id, _)| *id as u32 == place.segment).map(|(_, f)| f);
        let value = match file {
            Some(file) => read_at(&store.disk, file, place),
            None => Err(Error::Damaged(place.segment.into(), place.at.into())),
        };
        Some(value.map(|v| (key, v)))
    }
}
