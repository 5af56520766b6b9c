//! What a store is made of: its options, its segments, and where it is in its work.

use crate::disk::Disk;
use crate::frame::{Found, Head};
use crate::index::{Index, Place};
use crate::{Error, Result};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

/// Bytes that one slice of compaction appends, about.
pub(crate) const SLICE: usize = 64 * 1024;
/// The folder itself, and the last, partly filled blocks of its files.
pub(crate) const SLACK: u64 = 8 * 1024;

/// How a store is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bytes that the folder may hold, compaction's second copies included.
    pub limit: u64,
    /// Bytes of a segment, about. No more than an eighth of the limit is used.
    pub segment: u64,
    /// Bytes of one commit, at most; more than a segment or half the largest frame is not used.
    pub commit: usize,
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
pub(crate) struct Cursor {
    pub segment: u64,
    pub at: u64,
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
    pub(crate) cursor: Option<Cursor>,
    /// Snapshots hold on to this; while any does, no segment is removed.
    pub(crate) pins: Rc<()>,
    pub(crate) copied: u64,
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
