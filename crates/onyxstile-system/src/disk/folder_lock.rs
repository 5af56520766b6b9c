//! Exclusive use of a data folder by one process.
//!
//! Guarantee: two processes never act on the same votes or records, as a process and its successor would during a restart.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// Name of the locked file. The lock ends with the process, however that ends; the file stays.
const LOCK_FILE: &str = "lock";

/// A lock on a data folder, held until this is dropped.
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks a folder, and creates it if it does not exist. Fails if another process holds the lock.
    pub fn acquire(folder: &Path) -> io::Result<FolderLock> {
        std::fs::create_dir_all(folder)?;
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        file.try_lock()?;
        Ok(FolderLock { _file: file })
    }
}
