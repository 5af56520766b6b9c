//! Commits: what is appended to the log, and the segments that it goes to.

use std::rc::Rc;

use crate::disk::Disk;
use crate::frame::{self, Found, HEAD, Head};
use crate::hint::Hint;
use crate::store::{SLACK, SLICE, Segment, Store, apply, at, segment_name, write_hint};
use crate::{Change, Error, Result, Sync};

/// Slices that one commit may wait for when there is no room else.
const SLICES: usize = 64;

impl<D: Disk, const F: usize> Store<D, F> {
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

    pub(crate) fn append(&mut self, frame: &[u8], found: &[Found<F>], sync: Sync) -> Result<()> {
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
}
