//! What outlives the process: a file of records, each with its length and checksum.
//!
//! A record is in the file once `write(2)` has taken it, which is all that a killed process needs. The journal
//! keeps the state that its records add up to, so that it can write that state to a new file and take it in
//! the old one's place; both together never outgrow the folder's limit.

mod decode;
mod encode;
mod ledger;
mod record;
mod sync;

use crate::core::FlowNo;
use decode::{decode, resume};
use encode::encode;
pub use ledger::Ledger;
use onyxstile_recovery::{Durability, Tail};
pub use record::{Owed, Progress, Record, SentTo, Started, TakenFlow};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
pub use sync::Pending;
use sync::Synced;

/// Room kept for what an open flow will still need: its attempts, its end and its notice.
const FLOW_RESERVE: u64 = 2048;
/// The folder itself and the last, partly filled blocks of both files.
const SLACK: u64 = 8 * 1024;
/// A file under this size is not worth rewriting.
const COMPACT_FROM: u64 = 128 * 1024;

/// The journal of one relay.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    /// Length of the file as far as it is good.
    length: u64,
    /// Most bytes that the folder may hold.
    limit: u64,
    /// Bytes that the open flows would take in a new file, by flow, and their sum with what is owed.
    sizes: BTreeMap<FlowNo, u64>,
    live: u64,
    ledger: Ledger,
    buffer: Vec<u8>,
    broken: bool,
    /// How the file ended when it was read.
    tail: Tail,
    /// What has been synced, where that is wanted.
    synced: Synced,
}

impl Journal {
    /// Reads the journal that another process has open and does not write meanwhile, and touches nothing.
    ///
    /// # Errors
    /// The folder cannot be read, or holds another length than `length`, or what is no whole record.
    pub fn beside(folder: &Path, limit: u64, length: u64) -> io::Result<Journal> {
        let torn = |_: &Journal| Err(io::Error::other("the journal's tail is torn"));
        let journal = Journal::read(folder, limit, Durability::default(), torn)?;
        if journal.length == length {
            Ok(journal)
        } else {
            Err(io::Error::other(format!("the journal has {} bytes, not {length}", journal.length)))
        }
    }

    /// The length of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Opens the journal in `folder`, cutting off what a killed process left unfinished. From the first one on, its writes
    /// outlast what `durability` says.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(folder: &Path, limit: u64, durability: Durability) -> io::Result<Journal> {
        let path = folder.join("journal");
        // Every error names what it is about: without, nobody knows which folder was meant.
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        fs::create_dir_all(folder).map_err(named)?;
        // A rewrite that was not finished; the old file still stands.
        for left in ["new", "old"] {
            match fs::remove_file(path.with_extension(left)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(named(e)),
                _ => {}
            }
        }
        Journal::read(folder, limit, durability, |journal| journal.file.set_len(journal.length))
    }

    /// How the file ended when it was read.
    pub fn tail(&self) -> Tail {
        self.tail
    }

    /// The file can no longer be relied on: nothing is taken on before it has been written anew.
    pub fn spoilt(&mut self) {
        self.broken = true;
    }

    fn read(
        folder: &Path, limit: u64, durability: Durability, torn: impl FnOnce(&Journal) -> io::Result<()>,
    ) -> io::Result<Journal> {
        let path = folder.join("journal");
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(named(e)),
        };
        let file = OpenOptions::new().append(true).create(true).open(&path).map_err(named)?;
        let ledger = Ledger::default();
        let sizes = BTreeMap::new();
        let (length, live, buffer, broken) = (0, 0, Vec::new(), false);
        let (tail, synced) = (Tail::Whole, Synced { durability, ..Synced::default() });
        let mut journal =
            Journal { path, file, length, limit, sizes, live, ledger, buffer, broken, tail, synced };
        let mut rest = &bytes[..];
        while let Some((record, taken)) = decode(rest) {
            journal.apply(&record, taken as u64);
            journal.length += taken as u64;
            rest = &rest[taken..];
        }
        if let Some(mut next) = resume(rest) {
            // Something in the middle is gone. What comes after it is as good as before; what it proves is for the
            // judge to say. The file is written anew, or it would end in its middle for all later processes.
            tracing::warn!("journal: {next} bytes in its middle are no records");
            journal.tail = Tail::Gap;
            loop {
                rest = &rest[next..];
                while let Some((record, taken)) = decode(rest) {
                    journal.apply(&record, taken as u64);
                    rest = &rest[taken..];
                }
                let Some(further) = resume(rest) else { break };
                next = further;
            }
            journal.length = bytes.len() as u64;
            journal.rewrite().map_err(|e| io::Error::new(e.kind(), format!("after a gap: {e}")))?;
            return Ok(journal);
        }
        if !rest.is_empty() {
            // Guards against a tail torn by a kill in the middle of a write: what was not written whole was
            // never promised to anyone.
            tracing::warn!("journal: cutting off {} bytes that are no whole record", rest.len());
            journal.tail = Tail::Torn;
            torn(&journal)?;
        }
        Ok(journal)
    }

    /// What the records add up to.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether so many flows with so many bytes of parcels can be taken and all their later records still fit,
    /// with the room that a rewrite needs beside the old file.
    pub fn has_room(&mut self, flows: usize, bytes: usize) -> bool {
        // After a write error, a rewrite that works shows that the folder can be written again.
        self.broken = self.broken && self.rewrite().is_err();
        let open = (self.ledger.open.len() + flows) as u64;
        let live = self.live + self.ledger.more_bytes() + bytes as u64;
        !self.broken && 2 * (live + open * FLOW_RESERVE) + SLACK <= self.limit
    }

    /// Writes the records, all of them or none.
    ///
    /// # Errors
    /// They could not be written; the file is as it was before.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let mut lengths = Vec::with_capacity(records.len());
        for record in records {
            let before = buffer.len();
            encode(record, &mut buffer);
            lengths.push((buffer.len() - before) as u64);
        }
        let mut written = if self.length + self.live + self.ledger.more_bytes() + buffer.len() as u64 + SLACK
            > self.limit
        {
            Err(io::Error::from(io::ErrorKind::StorageFull))
        } else {
            self.file.write_all(&buffer)
        };
        if written.is_err() {
            // Guards the file against half a record in its middle, and against growing past the folder's
            // limit: a rewrite gives it a clean end and drops what is over.
            written = self.rewrite().and_then(|()| self.file.write_all(&buffer));
        }
        self.buffer = buffer;
        self.broken = written.is_err();
        if let Err(e) = written {
            let _ = self.file.set_len(self.length);
            return Err(e);
        }
        for (record, length) in records.iter().zip(lengths) {
            self.length += length;
            self.apply(record, length);
        }
        self.synced.written += 1;
        if self.length > COMPACT_FROM.min(self.limit / 4)
            && self.length > 3 * (self.live + self.ledger.more_bytes())
        {
            // The old file stands if this fails, and the next write tries again.
            if let Err(e) = self.rewrite() {
                tracing::warn!("journal: not rewritten: {e}");
            }
        }
        Ok(())
    }

    fn apply(&mut self, record: &Record, length: u64) {
        match record {
            Record::Taken(no, _) | Record::Bounced(_, no, _) => {
                if let Record::Bounced(old, ..) = record {
                    self.live -= self.sizes.remove(old).unwrap_or(0);
                }
                let size = length + 256;
                self.live += size;
                self.sizes.insert(*no, size);
            }
            Record::Ended(no, owed) => {
                self.live -= self.sizes.remove(no).unwrap_or(0);
                if owed.is_some() {
                    self.live += length;
                    self.sizes.insert(*no, length);
                }
            }
            Record::Noticed(no) => self.live -= self.sizes.remove(no).unwrap_or(0),
            // As long in a new file as it was here.
            Record::Banned(uid, on) if *on != self.ledger.bans.contains(uid) => {
                self.live = if *on { self.live + length } else { self.live - length };
            }
            _ => {}
        }
        self.ledger.apply(record);
    }
}

#[cfg(test)]
mod tests;
