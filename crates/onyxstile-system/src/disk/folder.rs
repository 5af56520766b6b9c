//! The folder interface that the durable records are built on.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files. Appended bytes, and the name of a new file, are durable once the file has been synced. Renames and
/// removals are durable once the folder has been synced.
pub trait Folder {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a complete file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file and creates it if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the bytes appended to a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file and replaces the target if it exists.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system. The file that was appended to last stays open.
pub struct RealFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl RealFolder {
    /// Opens the folder at `path` and creates it if it does not exist.
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
