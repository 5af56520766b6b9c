//! Compaction: what is live in the oldest segment is appended anew, a slice at a time, and the segment removed.

use std::io;
use std::rc::Rc;

use crate::disk::Disk;
use crate::frame::{self, FRAME, FRAME_MAX, Found, HEAD};
use crate::store::{Cursor, SLACK, SLICE, Store, at, hint_name, segment_name};
use crate::{Error, Result, Sync};

impl<D: Disk, const F: usize> Store<D, F> {
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
            for (key, value) in changes.iter().filter_map(|change| self.live(id, cursor.at, change)) {
                let facets = self.index.facets(key).copied();
                let (at, length) = frame::put(&mut copy, key, facets.as_ref(), &bytes[value]);
                found.push(Found::Put { key, facets, at, length });
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
