//! A record with one file per version.

use std::io;

use super::{Folder, read_frame, write_frame};

/// The versions of one record in a folder that may also hold other records. The newest well-formed version is the current
/// one.
pub struct Versions<F> {
    folder: F,
    name: &'static str,
    newest: u64,
}

impl<F: Folder> Versions<F> {
    /// Opens the versions of the record called `name` and returns the newest one, if there is any. If the newest file is
    /// truncated, corrupt or foreign, the result is an error that names it: a file is synced before it gets its name, and
    /// an older version lacks data that was already acknowledged.
    pub fn open(folder: F, name: &'static str) -> io::Result<(Versions<F>, Option<Vec<u8>>)> {
        let Some(newest) = folder.list()?.iter().filter_map(|file| number(name, file)).max() else {
            return Ok((Versions { folder, name, newest: 0 }, None));
        };
        let file = file(name, newest);
        let bytes = folder.read(&file)?;
        let Some((body, _)) = read_frame(&bytes) else {
            let reason = format!("{file} is truncated, corrupt or foreign");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        };
        let body = body.to_vec();
        Ok((Versions { folder, name, newest }, Some(body)))
    }

    /// Removes all versions of the record called `name`, for a record that cannot be read. The newest one is removed last: if
    /// an older one were left alone, it would count as the current one, and it lacks what was acknowledged after it.
    pub fn discard(folder: &mut F, name: &str) -> io::Result<()> {
        let mut files: Vec<(u64, String)> =
            folder.list()?.into_iter().filter_map(|file| Some((number(name, &file)?, file))).collect();
        files.sort_unstable();
        let Some((_, newest)) = files.pop() else { return Ok(()) };
        if !files.is_empty() {
            for (_, file) in files {
                folder.remove(&file)?;
            }
            folder.sync_folder()?;
        }
        folder.remove(&newest)?;
        folder.sync_folder()
    }

    /// File name of the newest version.
    pub fn newest_file(&self) -> String {
        file(self.name, self.newest)
    }

    /// Writes a new version, which is durable once this returns.
    pub fn write(&mut self, body: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(body.len() + 8);
        write_frame(body, &mut bytes);
        let temporary = format!("{}-aside", self.name);
        if self.folder.list()?.contains(&temporary) {
            self.folder.remove(&temporary)?;
        }
        self.folder.append(&temporary, &bytes)?;
        self.folder.sync(&temporary)?;
        let number = self.newest + 1;
        self.folder.rename(&temporary, &file(self.name, number))?;
        self.folder.sync_folder()?;
        self.newest = number;
        self.remove_old()
    }

    fn remove_old(&mut self) -> io::Result<()> {
        for file in self.folder.list()? {
            if number(self.name, &file).is_some_and(|number| number < self.newest) {
                self.folder.remove(&file)?;
            }
        }
        Ok(())
    }
}

fn file(name: &str, number: u64) -> String {
    format!("{name}-{number}")
}

fn number(name: &str, file: &str) -> Option<u64> {
    file.strip_prefix(name)?.strip_prefix('-')?.parse().ok()
}
