//! What is asked of a folder of files.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files. A write lasts once its file was synced, a new file's name likewise; a renamed or removed name
/// lasts once the folder was synced.
pub trait Folder {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is made if it isn't there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written to a file last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file over another.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes names that were renamed and removed last.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system. The file appended to last stays open.
pub struct RealFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl RealFolder {
    /// The folder at `path`, made if it isn't there.
    pub fn open(path: PathBuf) -> io::Result<RealFolder> {
        std::fs::create_dir_all(&path)?;
        Ok(RealFolder { path, open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Folder for RealFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
