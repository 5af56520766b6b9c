//! Opening a store: what is read of the log, and what becomes of the rest.

use crate::damage::ASIDE;
use crate::disk::Disk;
use crate::frame::{self, FRAME_MAX, Found, HEAD, Head, HeadRead};
use crate::hint::Hint;
use crate::store::{MARK, Options, Segment, Store, apply, at, hint_name, segment_name};
use crate::{Error, Result};
use std::rc::Rc;

/// What opening a store found.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Report {
    /// Frames read, by themselves or in closed segments' indexes.
    pub frames: u64,
    /// Bytes cut off the log's end: what was being written when the process died.
    pub cut: u64,
    /// Segments taken up by their index alone.
    pub by_index: usize,
    /// What was confirmed may be missing: the log has a gap or a spoilt place, and what came after it is not used, or
    /// its end is torn in a way that a killed process does not leave. What is there is what was written up to some
    /// moment; what was deleted after that moment is there too. It is said at each opening until
    /// [`Store::accept_damage`].
    pub damaged: bool,
    /// Files set aside for that reason; the store does not use them again.
    pub aside: Vec<String>,
}

/// What was read of one segment.
struct Read<const F: usize> {
    changes: Vec<Vec<Found<F>>>,
    good: u64,
    length: u64,
    /// After the place where reading ended there are whole frames.
    more: bool,
}

impl<D: Disk, const F: usize> Store<D, F> {
    /// Opens a store, or makes one.
    ///
    /// # Errors
    /// The folder cannot be read or written, or was written in another form.
    pub fn open(disk: D, options: Options) -> Result<(Self, Report)> {
        let mut store = Store::new(disk, options);
        let report = store.recover(true)?;
        Ok((store, report))
    }

    /// Opens a store that another process may be writing: nothing is changed.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_to_read(disk: D, options: Options) -> Result<(Self, Report)> {
        let mut store = Store::new(disk, options);
        let report = store.recover(false)?;
        store.read_only = true;
        Ok((store, report))
    }

    fn recover(&mut self, writes: bool) -> Result<Report> {
        let names = at("the folder", self.disk.list())?;
        let mut report = Report { damaged: names.iter().any(|n| n == MARK), ..Report::default() };
        let mut ids: Vec<u64> = names.iter().filter_map(|n| n.strip_suffix(".seg")?.parse().ok()).collect();
        ids.sort_unstable();
        let mut heads = Vec::new();
        for (n, id) in ids.iter().enumerate() {
            match self.head(*id)? {
                HeadRead::Version(v) => {
                    return Err(Error::Format(format!("{}: version {v} is newer", segment_name(*id))));
                }
                HeadRead::Good(head) if head.facets as usize != F => {
                    return Err(Error::Format(format!("{}: {} facets", segment_name(*id), head.facets)));
                }
                HeadRead::Good(head) if head.id == *id => heads.push(Some(head)),
                // Its head was being written when the process died: nothing was in it.
                HeadRead::Short if n + 1 == ids.len() => {
                    if writes {
                        at(&segment_name(*id), self.disk.remove(&segment_name(*id)))?;
                    }
                }
                _ => heads.push(None),
            }
        }
        let mut used = 0;
        for n in 0..heads.len() {
            let Some(head) = heads[n] else { break };
            // The first there is begins the log: those before it were removed in their order.
            let fits =
                self.segments.back().is_none_or(|b| b.head.id + 1 == head.id && head.first == self.next);
            if !fits {
                break;
            }
            self.next = head.first;
            let until = heads.get(n + 1).map(|h| h.map_or(u64::MAX, |h| h.first));
            self.take_segment(head, until, &mut report)?;
            used = n + 1;
        }
        if used < heads.len() {
            self.set_aside(&ids[used..heads.len()], writes, &mut report)?;
        }
        if report.damaged && writes {
            self.mark()?;
        }
        self.trim_end(writes, &mut report)?;
        for name in names.iter().filter(|n| n.ends_with(ASIDE)) {
            let file = at(name, self.disk.open(name))?;
            self.aside += at(name, self.disk.length(&file))?;
        }
        if writes {
            // The name of a segment that the process before began, and what it wrote, may not last yet.
            self.sync()?;
            at("the folder", self.disk.sync_folder())?;
            // Indexes of segments that are not there: a removal that was cut short.
            let there = |n: &str| self.segments.iter().any(|s| n == hint_name(s.head.id));
            for name in names.iter().filter(|n| n.ends_with(".idx") && !there(n)) {
                let _ = self.disk.remove(name);
            }
        }
        Ok(report)
    }

    fn head(&self, id: u64) -> Result<HeadRead> {
        let name = segment_name(id);
        let file = at(&name, self.disk.open(&name))?;
        let mut bytes = vec![0; HEAD as usize];
        let have = at(&name, self.disk.read(&file, 0, &mut bytes))?;
        bytes.truncate(have);
        Ok(Head::read(&bytes))
    }

    /// Takes up a segment. `until`: the number of the next segment's first frame, if there is a next; its frames from
    /// that number on were never confirmed.
    fn take_segment(&mut self, head: Head, until: Option<u64>, report: &mut Report) -> Result<()> {
        let name = segment_name(head.id);
        let file = at(&name, self.disk.open(&name))?;
        let length = at(&name, self.disk.length(&file))?;
        self.changes.clear();
        let hint = if self.options.verify { None } else { self.hint(head, length, until) };
        if let Some((hint, size)) = hint {
            hint.changes.iter().for_each(|c| apply(&mut self.index, head.id, c));
            self.changes.clone_from(&hint.changes);
            report.by_index += 1;
            report.frames += hint.next - head.first;
            self.next = hint.next;
            self.segments.push_back(Segment {
                head,
                file: Rc::new(file),
                good: hint.length,
                length,
                hint: size,
            });
            return Ok(());
        }
        let read = self.read_segment(&name, &file, length, until)?;
        for changes in &read.changes {
            changes.iter().for_each(|c| apply(&mut self.index, head.id, c));
            self.changes.extend(changes);
        }
        report.frames += read.changes.len() as u64;
        self.next += read.changes.len() as u64;
        // In a closed segment what a killed process leaves shows by the next one's number; elsewhere whole frames
        // behind a spoilt one are something else than the end of a write.
        report.damaged |= read.more && until.is_none();
        let hint = self.length_of(&hint_name(head.id));
        let (good, length) = (read.good, read.length);
        self.segments.push_back(Segment { head, file: Rc::new(file), good, length, hint });
        Ok(())
    }

    pub(crate) fn length_of(&self, name: &str) -> u64 {
        self.disk.open(name).and_then(|f| self.disk.length(&f)).unwrap_or(0)
    }

    fn hint(&self, head: Head, length: u64, until: Option<u64>) -> Option<(Hint<F>, u64)> {
        let file = self.disk.open(&hint_name(head.id)).ok()?;
        let size = self.disk.length(&file).ok()?;
        let mut bytes = vec![0; usize::try_from(size).ok().filter(|s| *s <= 64 << 20)?];
        self.disk.read(&file, 0, &mut bytes).ok()?;
        let hint = Hint::read(&bytes)?;
        // An index that runs ahead of its log, or belongs to another one, is not believed.
        (hint.head == head && hint.length <= length && Some(hint.next) == until).then_some((hint, size))
    }

    fn read_segment(&self, name: &str, file: &D::File, length: u64, until: Option<u64>) -> Result<Read<F>> {
        // A segment is a few MiB, and this is done once.
        let mut bytes = vec![0; length as usize];
        let have = at(name, self.disk.read(file, 0, &mut bytes))?;
        bytes.truncate(have);
        let mut read = Read { changes: Vec::new(), good: HEAD, length, more: false };
        let mut number = self.next;
        while let Some((n, changes, end)) = frame::read::<F>(&bytes, read.good as usize) {
            if n != number || until.is_some_and(|u| n >= u) {
                break;
            }
            read.changes.push(changes);
            read.good = end as u64;
            number += 1;
        }
        if until.is_none() {
            read.more = more_frames::<F>(&bytes, read.good as usize, number);
        }
        Ok(read)
    }
}

/// Whether a whole frame stands anywhere behind a place, of a number that could follow.
fn more_frames<const F: usize>(bytes: &[u8], from: usize, number: u64) -> bool {
    (from + 1..bytes.len().saturating_sub(16)).any(|at| {
        let length = u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default()) as usize;
        let plausible = (8..=FRAME_MAX).contains(&length) && at + 8 + length <= bytes.len();
        let its = u64::from_le_bytes(bytes[at + 8..at + 16].try_into().unwrap_or_default());
        plausible && (number..number + (1 << 32)).contains(&its) && frame::read::<F>(bytes, at).is_some()
    })
}
