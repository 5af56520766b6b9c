//! The store at work: commits, reads, snapshots and compaction.

use crate::disk::Disk;
use crate::frame::{self, FRAME, FRAME_MAX, Found, HEAD, Head};
use crate::hint::Hint;
use crate::index::{Index, Place};
use crate::{Error, Result};
use std::collections::VecDeque;
use std::io;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// Bytes that one slice of compaction appends, about.
const SLICE: usize = 64 * 1024;
/// Slices that one commit may wait for when there is no room else.
const SLICES: usize = 64;
/// The folder itself, and the last, partly filled blocks of its files.
const SLACK: u64 = 8 * 1024;

/// How a store is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bytes that the folder may hold, compaction's second copies included.
    pub limit: u64,
    /// Bytes of a segment, about. No more than an eighth of the limit is used.
    pub segment: u64,
    /// Whether the start reads all of the log, and so finds what is spoilt, or closed segments by their index alone.
    pub verify: bool,
}

/// What a commit waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sync {
    /// The write: a killed process loses nothing, a loss of power the last commits.
    Written,
    /// The disk: neither loses it.
    Lasting,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change<const F: usize> {
    /// A record is there, in place of one with its key.
    Put {
        /// Its key.
        key: u64,
        /// By what else it is found.
        facets: Option<[u64; F]>,
        /// What it holds.
        value: Vec<u8>,
    },
    /// The record of a key is there no more.
    Delete(u64),
}

/// A segment of the log.
#[derive(Debug)]
pub(crate) struct Segment<T> {
    pub head: Head,
    pub file: Rc<T>,
    /// Up to where it is good, and how long the file is.
    pub good: u64,
    pub length: u64,
    /// Bytes of its index beside it.
    pub hint: u64,
}

pub(crate) fn segment_name(id: u64) -> String {
    format!("{id:012}.seg")
}

pub(crate) fn hint_name(id: u64) -> String {
    format!("{id:012}.idx")
}

/// Marks a folder that was found damaged, until whoever uses it has heard so.
pub(crate) const MARK: &str = "damaged";

/// How far compaction has come in the oldest segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cursor {
    segment: u64,
    at: u64,
}

/// A durable store. `F`: facets of a record.
#[derive(Debug)]
pub struct Store<D: Disk, const F: usize> {
    pub(crate) disk: D,
    pub(crate) options: Options,
    pub(crate) index: Index<F>,
    /// The oldest first; the last is written to.
    pub(crate) segments: VecDeque<Segment<D::File>>,
    /// The number of the next frame.
    pub(crate) next: u64,
    /// What the last segment's index will say.
    pub(crate) changes: Vec<Found<F>>,
    /// The last segment's end is not known to be good: it goes on in another.
    pub(crate) spoilt_end: bool,
    pub(crate) read_only: bool,
    /// Bytes of files that were set aside.
    pub(crate) aside: u64,
    cursor: Option<Cursor>,
    /// Snapshots hold on to this; while any does, no segment is removed.
    pins: Rc<()>,
    copied: u64,
}

pub(crate) fn at<T>(name: &str, result: io::Result<T>) -> Result<T> {
    result.map_err(|e| Error::Io(name.to_string(), e))
}

impl<D: Disk, const F: usize> Store<D, F> {
    pub(crate) fn new(disk: D, options: Options) -> Self {
        let segment = options.segment.min(options.limit / 8).max(4096);
        Store {
            disk,
            options: Options { segment, ..options },
            index: Index::new(),
            segments: VecDeque::new(),
            next: 1,
            changes: Vec::new(),
            spoilt_end: false,
            read_only: false,
            aside: 0,
            cursor: None,
            pins: Rc::new(()),
            copied: 0,
        }
    }

    // ---- Reading ------------------------------------------------------------------------------------------

    /// The value of a key.
    ///
    /// # Errors
    /// It cannot be read, or what is there is not what was written.
    pub fn get(&self, key: u64) -> Result<Option<Vec<u8>>> {
        self.index.place(key).map(|place| read_value(&self.disk, &self.segments, place)).transpose()
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

    /// Bytes that compaction has appended since the start.
    pub fn copied_bytes(&self) -> u64 {
        self.copied
    }

    /// Bytes of one commit, at most, with what each change takes beside its value.
    pub fn commit_max(&self) -> usize {
        (FRAME_MAX / 2).min(self.options.segment as usize)
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

    // ---- Writing ------------------------------------------------------------------------------------------

    /// Makes several changes, all or none; when it returns they will not be lost, as far as `sync` says.
    ///
    /// # Errors
    /// Nothing was changed. After a sync that failed nothing will be until the store is opened anew ([`Store::writes`]),
    /// and what was asked for then may or may not be there.
    pub fn commit(&mut self, changes: &[Change<F>], sync: Sync) -> Result<()> {
        if changes.is_empty() {
            return Ok(());
        }
        let adds = changes.iter().any(|c| matches!(c, Change::Put { .. }));
        let mut frame = Vec::new();
        frame::begin(&mut frame, self.next);
        let mut found = Vec::with_capacity(changes.len());
        for change in changes {
            found.push(match change {
                Change::Put { key, facets, value } => {
                    let (at, length) = frame::put(&mut frame, *key, facets.as_ref(), value);
                    Found::Put { key: *key, facets: *facets, at, length }
                }
                Change::Delete(key) => {
                    frame::delete(&mut frame, *key);
                    Found::Delete(*key)
                }
            });
        }
        frame::end(&mut frame, 0);
        if frame.len() > self.commit_max() {
            return Err(Error::TooLarge(frame.len()));
        }
        if adds {
            let bytes =
                found.iter().map(|f| if let Found::Put { length, .. } = f { *length } else { 0 }).sum();
            // What takes an old record's place needs room only for what it is longer by; that is not looked at,
            // so that the capacity has a little more than it says.
            let replaces = |f: &Found<F>| matches!(f, Found::Put { key, .. } if self.has(*key));
            if !found.iter().all(replaces) && !self.has_room(found.len(), bytes) {
                return Err(Error::Full);
            }
        }
        // What is kept for compaction is used only where that could not make room in time.
        let wanted = frame.len() as u64 + self.options.segment + SLACK;
        for _ in 0..SLICES {
            if self.used_bytes() + wanted <= self.options.limit || !matches!(self.work(), Ok(true)) {
                break;
            }
        }
        if self.used_bytes() + frame.len() as u64 + SLACK > self.options.limit {
            return Err(Error::Full);
        }
        self.append(&frame, &found, sync)?;
        // Whoever writes pays for what that makes garbage of, in slices.
        let mut paid = 0;
        while paid < 2 * frame.len() && self.wants_work() {
            paid += SLICE;
            // It is done, whatever becomes of this.
            if !matches!(self.work(), Ok(true)) {
                break;
            }
        }
        Ok(())
    }

    fn append(&mut self, frame: &[u8], found: &[Found<F>], sync: Sync) -> Result<()> {
        if self.read_only {
            return Err(Error::ReadOnly);
        }
        let full = |s: &Segment<D::File>| s.good > HEAD && s.good + frame.len() as u64 > self.options.segment;
        if self.spoilt_end || self.segments.back().is_none_or(full) {
            self.roll()?;
        }
        let Some(last) = self.segments.back_mut() else { return Err(Error::ReadOnly) };
        let name = segment_name(last.head.id);
        if let Err(e) = self.disk.append(&last.file, frame) {
            // What part of it is there is no part of the log, and must not come back when power is lost.
            match self.disk.cut(&last.file, last.good).and_then(|()| self.disk.sync(&last.file)) {
                Ok(()) => last.length = last.good,
                Err(_) => {
                    last.length = self.disk.length(&last.file).unwrap_or(last.good + frame.len() as u64);
                    self.spoilt_end = true;
                }
            }
            return Err(Error::Io(name, e));
        }
        if sync == Sync::Lasting
            && let Err(e) = self.disk.sync(&last.file)
        {
            // The system may have dropped what it could not write: no later sync would tell.
            self.read_only = true;
            last.length += frame.len() as u64;
            return Err(Error::Io(name, e));
        }
        let begin = last.good as usize;
        last.good += frame.len() as u64;
        last.length = last.good;
        let segment = last.head.id;
        self.next += 1;
        for change in found {
            let change = match *change {
                Found::Put { key, facets, at, length } => Found::Put { key, facets, at: at + begin, length },
                delete @ Found::Delete(_) => delete,
            };
            apply(&mut self.index, segment, &change);
            self.changes.push(change);
        }
        Ok(())
    }

    /// Closes the last segment and begins another.
    pub(crate) fn roll(&mut self) -> Result<()> {
        let id = self.segments.back().map_or(1, |s| s.head.id + 1);
        let head = Head { facets: F as u32, id, first: self.next };
        let name = segment_name(id);
        if let Some(last) = self.segments.back_mut() {
            // The order in which power is lost must not show: what is older lasts before what is newer is there.
            if let Err(e) = self.disk.sync(&last.file) {
                self.read_only = true;
                return Err(Error::Io(segment_name(last.head.id), e));
            }
        }
        // One that an earlier try left has nothing but a part of its head.
        if at(&name, self.disk.list())?.contains(&name) {
            at(&name, self.disk.remove(&name))?;
        }
        let file = at(&name, self.disk.create(&name))?;
        // What it voids at the end of the one before it stays void.
        let begun = self.disk.append(&file, &head.write()).and_then(|()| self.disk.sync(&file));
        if let Err(e) = begun.and_then(|()| self.disk.sync_folder()) {
            let _ = self.disk.remove(&name);
            // Its name may last all the same, and then voids whatever the one before it still took.
            self.spoilt_end = true;
            return Err(Error::Io(name, e));
        }
        let changes = std::mem::take(&mut self.changes);
        if let Some(last) = self.segments.back_mut() {
            let hint = Hint { head: last.head, next: self.next, length: last.good, changes }.write();
            last.hint = write_hint(&self.disk, last.head.id, &hint);
        }
        self.segments.push_back(Segment { head, file: Rc::new(file), good: HEAD, length: HEAD, hint: 0 });
        self.spoilt_end = false;
        Ok(())
    }

    /// Waits until all that was committed would outlast a loss of power.
    ///
    /// # Errors
    /// It may not; the store takes no writes any more.
    pub fn sync(&mut self) -> Result<()> {
        let Some(last) = self.segments.back() else { return Ok(()) };
        if let Err(e) = self.disk.sync(&last.file) {
            self.read_only = true;
            return Err(Error::Io(segment_name(last.head.id), e));
        }
        Ok(())
    }

    // ---- Compaction ---------------------------------------------------------------------------------------

    /// Whether compaction would be worth its while.
    pub fn wants_work(&self) -> bool {
        let worth = (2 * self.live_bytes()).max(2 * self.options.segment) + self.options.segment;
        self.segments.len() > 1
            && !self.read_only
            && self.used_bytes() - self.aside > worth.min(self.options.limit / 4 * 3)
    }

    /// Does a slice of compaction: appends some of what is live in the oldest segment anew, and removes that once
    /// nothing is. False: there is nothing to be done, or a snapshot is held.
    ///
    /// # Errors
    /// What was appended stays; nothing is lost.
    pub fn work(&mut self) -> Result<bool> {
        if self.segments.len() < 2 || self.read_only {
            return Ok(false);
        }
        let (id, good) = (self.segments[0].head.id, self.segments[0].good);
        let cursor = self.cursor.filter(|c| c.segment == id).unwrap_or(Cursor { segment: id, at: HEAD });
        if cursor.at >= good {
            return self.remove_oldest();
        }
        let name = segment_name(id);
        let mut bytes = vec![0; ((good - cursor.at) as usize).min(FRAME_MAX + FRAME).min(4 * SLICE)];
        let have = at(&name, self.disk.read(&self.segments[0].file, cursor.at, &mut bytes))?;
        bytes.truncate(have);
        if frame::read::<F>(&bytes, 0).is_none() && bytes.len() < (good - cursor.at) as usize {
            bytes.resize(((good - cursor.at) as usize).min(FRAME_MAX + FRAME), 0);
            let have = at(&name, self.disk.read(&self.segments[0].file, cursor.at, &mut bytes))?;
            bytes.truncate(have);
        }
        let mut copy = Vec::new();
        let mut found = Vec::new();
        let mut place = 0;
        frame::begin(&mut copy, self.next);
        while let Some((_, changes, end)) = frame::read::<F>(&bytes, place) {
            for change in changes {
                let Found::Put { key, at: value, length, .. } = change else { continue };
                let here = Place {
                    segment: id as u32,
                    at: (cursor.at as usize + value) as u32,
                    length: length as u32,
                };
                if self.index.place(key) == Some(here) {
                    let facets = self.index.facets(key).copied();
                    let (at, length) =
                        frame::put(&mut copy, key, facets.as_ref(), &bytes[value..value + length]);
                    found.push(Found::Put { key, facets, at, length });
                }
            }
            place = end;
            if copy.len() >= SLICE {
                break;
            }
        }
        if place == 0 {
            return Err(Error::Damaged(id, cursor.at));
        }
        if !found.is_empty() {
            frame::end(&mut copy, 0);
            if self.used_bytes() + copy.len() as u64 + SLACK > self.options.limit {
                return Err(Error::Full);
            }
            self.copied += copy.len() as u64;
            self.append(&copy, &found, Sync::Written)?;
        }
        self.cursor = Some(Cursor { segment: id, at: cursor.at + place as u64 });
        Ok(true)
    }

    fn remove_oldest(&mut self) -> Result<bool> {
        if Rc::strong_count(&self.pins) > 1 {
            return Ok(false);
        }
        // Its copies have to last before it goes, and so has the removal of the one before it: whenever power is
        // lost, what is there of the log has no gap.
        self.sync()?;
        let id = self.segments[0].head.id;
        let (name, hint) = (segment_name(id), hint_name(id));
        at(&name, self.disk.sync_folder())?;
        if self.segments[0].hint > 0 {
            at(&hint, gone(self.disk.remove(&hint)))?;
            self.segments[0].hint = 0;
        }
        at(&name, gone(self.disk.remove(&name)))?;
        self.segments.pop_front();
        self.cursor = None;
        Ok(true)
    }
}

/// A removal of what is gone already was done by an earlier try that was told that it failed.
fn gone(result: io::Result<()>) -> io::Result<()> {
    result.or_else(|e| if e.kind() == io::ErrorKind::NotFound { Ok(()) } else { Err(e) })
}

/// Writes the index of a closed segment; how long it is. It is a help: without it the segment is read.
pub(crate) fn write_hint<D: Disk>(disk: &D, id: u64, bytes: &[u8]) -> u64 {
    let name = hint_name(id);
    let _ = disk.remove(&name);
    let Ok(file) = disk.create(&name) else { return 0 };
    if disk.append(&file, bytes).is_err() && disk.remove(&name).is_ok() {
        return 0;
    }
    bytes.len() as u64
}

pub(crate) fn apply<const F: usize>(index: &mut Index<F>, segment: u64, change: &Found<F>) {
    match *change {
        Found::Put { key, facets, at, length } => {
            index.put(key, Place { segment: segment as u32, at: at as u32, length: length as u32 }, facets);
        }
        Found::Delete(key) => index.delete(key),
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
