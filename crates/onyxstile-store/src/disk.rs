//! The file work that a store needs, and the operating system's files doing it.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// A folder of files that only grow at their end. A test can fail, tear or lose any of these calls.
pub trait Disk {
    /// An open file.
    type File: std::fmt::Debug;

    /// The names there are.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Makes an empty file; there must be none of that name.
    ///
    /// # Errors
    /// It is there already, or cannot be made.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file that is there.
    ///
    /// # Errors
    /// It is not there, or cannot be opened.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Its length in bytes.
    ///
    /// # Errors
    /// It cannot be told.
    fn length(&self, file: &Self::File) -> io::Result<u64>;

    /// Appends. After an error any part may have been appended.
    ///
    /// # Errors
    /// Not all of it was written.
    fn append(&self, file: &Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Reads from a place; fewer bytes than asked for only at the file's end.
    ///
    /// # Errors
    /// It cannot be read.
    fn read(&self, file: &Self::File, at: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Cuts the file to a length.
    ///
    /// # Errors
    /// It has the length that it had.
    fn cut(&self, file: &Self::File, length: u64) -> io::Result<()>;

    /// Waits until what the file holds would outlast a loss of power.
    ///
    /// # Errors
    /// Nothing is known of what would.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// The same for the names in the folder.
    ///
    /// # Errors
    /// Nothing is known of which would.
    fn sync_folder(&self) -> io::Result<()>;

    /// Removes a file. One that is open can still be read.
    ///
    /// # Errors
    /// It is still there.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name.
    ///
    /// # Errors
    /// It has its old one.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
}

/// A folder of the operating system's.
#[derive(Debug, Clone)]
pub struct OsDisk {
    folder: PathBuf,
    writes: bool,
}

impl OsDisk {
    /// A folder, made if it is not there.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn new(folder: impl Into<PathBuf>) -> io::Result<OsDisk> {
        let folder = folder.into();
        std::fs::create_dir_all(&folder)?;
        Ok(OsDisk { folder, writes: true })
    }

    /// A folder that is only read.
    pub fn read_only(folder: impl Into<PathBuf>) -> OsDisk {
        OsDisk { folder: folder.into(), writes: false }
    }
}

impl Disk for OsDisk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.folder)?;
        entries.map(|e| Ok(e?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).create_new(true).open(self.folder.join(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(self.writes).open(self.folder.join(name))
    }

    fn length(&self, file: &File) -> io::Result<u64> {
        Ok(file.metadata()?.len())
    }

    fn append(&self, mut file: &File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn read(&self, file: &File, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut have = 0;
        while have < into.len() {
            match file.read_at(&mut into[have..], at + have as u64) {
                Ok(0) => break,
                Ok(n) => have += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(have)
    }

    fn cut(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.folder.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.folder.join(from), self.folder.join(to))
    }
}
