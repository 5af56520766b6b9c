//! The lock that says which process decides and writes.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a lock is looked at that should be free soon.
const LOOK: Duration = Duration::from_millis(5);

/// Held from [`Lock::take`] until it is dropped or given up, at the latest until the process ends.
#[derive(Debug)]
pub struct Lock(File);

impl Lock {
    /// Takes the lock of a folder; none if another process has it.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn take(folder: &Path) -> io::Result<Option<Lock>> {
        std::fs::create_dir_all(folder)?;
        let file = OpenOptions::new().append(true).create(true).open(folder.join("lock"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Takes it as soon as it is free, if that is soon enough. A process that was killed lets go of its lock and of its
    /// sockets in no order.
    ///
    /// # Errors
    /// As [`Lock::take`].
    pub async fn take_within(folder: &Path, time: Duration) -> io::Result<Option<Lock>> {
        let until = Instant::now() + time;
        loop {
            match Lock::take(folder)? {
                None if Instant::now() < until => sleep(LOOK).await,
                taken => return Ok(taken),
            }
        }
    }

    /// Lets go of it.
    pub fn give_up(self) {
        if let Err(e) = self.0.unlock() {
            tracing::warn!("lock: {e}");
        }
    }
}
