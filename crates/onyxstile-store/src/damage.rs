//! What becomes of a log with a gap: the rest is set aside, and that is said until whoever uses the store has heard it.

use crate::disk::Disk;
use crate::store::{MARK, Store, at, segment_name};
use crate::{Report, Result};

/// What the names of files that were set aside end with.
pub(crate) const ASIDE: &str = ".lost";

impl<D: Disk, const F: usize> Store<D, F> {
    /// Whoever uses the store has drawn the consequences from [`Report::damaged`].
    ///
    /// # Errors
    /// It will be said again at the next opening.
    pub fn accept_damage(&mut self) -> Result<()> {
        // What stands behind the last good frame is void from now on, by the number of the frame that follows.
        if self.spoilt_end {
            self.roll()?;
        }
        if at(MARK, self.disk.list())?.iter().any(|n| n == MARK) {
            at(MARK, self.disk.remove(MARK))?;
            at(MARK, self.disk.sync_folder())?;
        }
        Ok(())
    }

    /// Removes the files that were set aside, for whoever has what they held from elsewhere.
    ///
    /// # Errors
    /// Some are still there; they are found again at the next opening.
    pub fn remove_aside(&mut self) -> Result<()> {
        for name in at("the folder", self.disk.list())?.iter().filter(|name| name.ends_with(ASIDE)) {
            at(name, self.disk.remove(name))?;
        }
        self.aside = 0;
        at("the folder", self.disk.sync_folder())
    }

    /// Lets the damage be known until it is accepted, whatever becomes of this process.
    pub(crate) fn mark(&self) -> Result<()> {
        if !at(MARK, self.disk.list())?.iter().any(|n| n == MARK) {
            at(MARK, self.disk.create(MARK))?;
        }
        at(MARK, self.disk.sync_folder())
    }

    /// Puts segments aside that follow on a gap, the newest first: cut short, what is left is the same gap.
    pub(crate) fn set_aside(&mut self, ids: &[u64], writes: bool, report: &mut Report) -> Result<()> {
        report.damaged = true;
        if writes {
            self.mark()?;
            for id in ids.iter().rev() {
                let (name, lost) = (segment_name(*id), format!("{id:012}{ASIDE}"));
                self.aside += self.length_of(&name);
                at(&name, self.disk.rename(&name, &lost))?;
                report.aside.push(lost);
            }
            at("the folder", self.disk.sync_folder())?;
        }
        Ok(())
    }

    /// Cuts off what stands after the last good frame.
    pub(crate) fn trim_end(&mut self, writes: bool, report: &mut Report) -> Result<()> {
        let Some(last) = self.segments.back() else { return Ok(()) };
        let (good, length) = (last.good, last.length);
        report.cut = length - good;
        if length > good && writes {
            if report.damaged {
                // What is there may be wanted by whoever looks into the damage.
                self.spoilt_end = true;
            } else if self.disk.cut(&last.file, good).and_then(|()| self.disk.sync(&last.file)).is_ok() {
                if let Some(last) = self.segments.back_mut() {
                    last.length = good;
                }
            } else {
                self.spoilt_end = true;
            }
        }
        Ok(())
    }
}
