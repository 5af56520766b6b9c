//! One record, a file a version.

use std::io;

use super::{Folder, seal, unseal};

const PREFIX: &str = "version-";
const ASIDE: &str = "aside";

/// The versions of one record in a folder; the newest whole one counts.
pub struct Versions<F> {
    folder: F,
    newest: u64,
}

impl<F: Folder> Versions<F> {
    /// Opens a folder; returns the newest version that it holds, if any.
    pub fn open(folder: F) -> io::Result<(Versions<F>, Option<Vec<u8>>)> {
        let mut numbers: Vec<u64> = folder.list()?.iter().filter_map(|name| number(name)).collect();
        numbers.sort_unstable();
        let newest = numbers.last().copied().unwrap_or(0);
        let mut found = None;
        for number in numbers.iter().rev() {
            let bytes = folder.read(&file(*number))?;
            if let Some((body, _)) = unseal(&bytes) {
                found = Some(body.to_vec());
                break;
            }
        }
        Ok((Versions { folder, newest }, found))
    }

    /// Writes a version; once this returns it outlasts a loss of power.
    pub fn write(&mut self, body: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(body.len() + 8);
        seal(body, &mut bytes);
        if self.folder.list()?.iter().any(|name| name == ASIDE) {
            self.folder.remove(ASIDE)?;
        }
        self.folder.append(ASIDE, &bytes)?;
        self.folder.sync(ASIDE)?;
        let number = self.newest + 1;
        self.folder.rename(ASIDE, &file(number))?;
        self.folder.sync_folder()?;
        self.newest = number;
        self.remove_old()
    }

    fn remove_old(&mut self) -> io::Result<()> {
        for name in self.folder.list()? {
            if number(&name).is_some_and(|number| number < self.newest) {
                self.folder.remove(&name)?;
            }
        }
        Ok(())
    }
}

fn file(number: u64) -> String {
    format!("{PREFIX}{number}")
}

fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}
