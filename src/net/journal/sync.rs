//! What of the journal outlasts the machine, and the file that takes its place.
//!
//! Where writes have to outlast a loss of power, a group of steps shares one `fdatasync(2)`, made by another thread: what
//! the steps promise is held back until it has returned. The log says what is synced, for whoever checks that.

use super::*;

/// What has been synced.
#[derive(Debug, Default)]
pub(super) struct Synced {
    pub(super) durability: Durability,
    /// Writes so far, and how many of them have been synced.
    pub(super) written: u64,
    pub(super) upto: u64,
    /// How often the file was replaced: a sync of an older one says nothing of the new.
    pub(super) files: u64,
}

/// A sync that has to be made: of this file, after which so many writes are lasting.
#[derive(Debug)]
pub struct Pending {
    file: File,
    upto: u64,
    length: u64,
    files: u64,
}

impl Pending {
    /// Makes it. It may take long: not on the owner's thread.
    ///
    /// # Errors
    /// The disk's. What was written since the last good one may be gone, and cannot be synced by trying again.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync_data()
    }
}

impl Journal {
    /// What writes outlast.
    pub fn durability(&self) -> Durability {
        self.synced.durability
    }

    /// Whether a write counts only once it is synced.
    pub fn syncs(&self) -> bool {
        self.durability() == Durability::Power
    }

    /// The number of the latest write.
    pub fn written(&self) -> u64 {
        self.synced.written
    }

    /// The number of the latest write that outlasts what it has to.
    pub fn lasting(&self) -> u64 {
        if self.syncs() { self.synced.upto } else { self.synced.written }
    }

    /// The sync that has to be made, if one has.
    ///
    /// # Errors
    /// No descriptor is left for it.
    pub fn pending(&self) -> io::Result<Option<Pending>> {
        if self.lasting() == self.written() {
            return Ok(None);
        }
        let (upto, length, files) = (self.synced.written, self.length, self.synced.files);
        Ok(Some(Pending { file: self.file.try_clone()?, upto, length, files }))
    }

    /// A sync was made.
    pub fn was_synced(&mut self, made: &Pending) {
        if made.files == self.synced.files {
            tracing::debug!(files = made.files, bytes = made.length, "journal synced");
        }
        self.synced.upto = self.synced.upto.max(made.upto);
    }

    /// Syncs all that was written, and the folder that names the file, here and now.
    ///
    /// # Errors
    /// The disk's.
    pub fn sync_all(&mut self) -> io::Result<()> {
        self.file.sync_data()?;
        self.sync_folder()?;
        self.synced.upto = self.synced.written;
        tracing::debug!(files = self.synced.files, bytes = self.length, "journal synced");
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(self.path.parent().unwrap_or(Path::new("/")))?.sync_all()
    }

    /// Puts a file with the present state in the old one's place.
    pub(super) fn rewrite(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        self.ledger.records().for_each(|record| encode(&record, &mut buffer));
        if self.length + buffer.len() as u64 + SLACK / 2 > self.limit {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let (new, old) = (self.path.with_extension("new"), self.path.with_extension("old"));
        let done = (|| {
            let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
            file.write_all(&buffer)?;
            if self.syncs() {
                // Guards the file against a loss of power in between: the new one is whole before it has the name, and
                // nothing is written to it before the folder says so for good. Until then the old one has a name too.
                file.sync_data()?;
                tracing::debug!(files = self.synced.files + 1, bytes = buffer.len(), "journal synced");
                let _ = fs::remove_file(&old);
                fs::hard_link(&self.path, &old)?;
                fs::rename(&new, &self.path)?;
                self.sync_folder()?;
                fs::remove_file(&old)?;
            } else {
                fs::rename(&new, &self.path)?;
            }
            Ok(file)
        })();
        match done {
            Ok(file) => {
                (self.file, self.length) = (file, buffer.len() as u64);
                (self.synced.files, self.synced.upto) = (self.synced.files + 1, self.synced.written);
                Ok(())
            }
            Err(e) => {
                let _ = fs::remove_file(&new);
                Err(e)
            }
        }
    }
}
