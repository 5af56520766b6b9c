//! What a controller has on its disk: a snapshot of all of it, a file a version, and after it a file for each write to the
//! control state, so that a write costs what it changes and not what the state holds.
//!
//! A write's file is never written twice under one name: a name that was removed may come back with a loss of power. It says
//! itself which view and which state it belongs to; whatever does not follow the newest snapshot is of the past.

use std::io;
use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::{Folder, Versions, decode, encode, seal, unseal};
use crate::control::{Ballot, ControlState, Durable, View, Write};

/// The name of the snapshots.
const SNAPSHOT: &str = "version";
/// What the names of writes begin with.
const WRITE: &str = "write-";
/// Writes are folded into a snapshot once they take half of what it takes, and at least this many bytes.
const FOLDED_FROM: usize = 64 * 1024;
/// So many writes are folded in any case: each is a file.
const WRITES_MAX: usize = 256;

/// A snapshot. The state is left out where it is the one that the view begins with.
#[derive(BorshSerialize, BorshDeserialize)]
struct Snapshot {
    disk: u64,
    view: Option<Rc<View>>,
    state: Option<ControlState>,
    promised: Ballot,
    accepted: Option<(Ballot, Rc<View>)>,
}

impl Snapshot {
    fn of(durable: &Durable) -> Snapshot {
        let is_first = durable.view.as_ref().is_some_and(|view| view.state == durable.state);
        Snapshot {
            disk: durable.disk,
            view: durable.view.clone(),
            state: (!is_first).then(|| durable.state.clone()),
            promised: durable.promised,
            accepted: durable.accepted.clone(),
        }
    }

    fn durable(self) -> Durable {
        let first = || self.view.as_ref().map(|view| view.state.clone()).unwrap_or_default();
        Durable {
            disk: self.disk,
            state: self.state.unwrap_or_else(first),
            view: self.view,
            promised: self.promised,
            accepted: self.accepted,
        }
    }
}

/// One write in its file.
#[derive(BorshSerialize, BorshDeserialize)]
struct Logged {
    view: u64,
    write: Write,
}

/// The files of one controller.
pub struct ControlRecord<F> {
    versions: Versions<F>,
    folder: F,
    next: u64,
    snapshot_bytes: usize,
    logged_bytes: usize,
    logged: usize,
    last_write: Option<Rc<Write>>,
}

impl<F: Folder> ControlRecord<F> {
    /// Opens the files of a folder, which `snapshots` and `folder` both name; what they hold, if anything. A snapshot that can't
    /// be read is an error that names its file: an older one would lack votes that were cast.
    pub fn open(snapshots: F, folder: F) -> io::Result<(ControlRecord<F>, Option<Durable>)> {
        let (versions, held) = Versions::open(snapshots, SNAPSHOT)?;
        let snapshot_bytes = held.as_ref().map_or(0, Vec::len);
        let mut record = ControlRecord {
            versions,
            folder,
            next: 0,
            snapshot_bytes,
            logged_bytes: 0,
            logged: 0,
            last_write: None,
        };
        let Some(bytes) = held else {
            // Writes without a snapshot are what a crash left of one that was being discarded: they follow nothing.
            if !record.writes()?.is_empty() {
                ControlRecord::discard(&mut record.folder)?;
            }
            return Ok((record, None));
        };
        let unreadable = |error| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", record.versions.newest_file()))
        };
        let snapshot: Snapshot = decode(&bytes).map_err(unreadable)?;
        let mut durable = snapshot.durable();
        record.replay(&mut durable)?;
        Ok((record, Some(durable)))
    }

    /// Removes what can't be read; the disk is then as if it had been empty.
    pub fn discard(folder: &mut F) -> io::Result<()> {
        for file in folder.list()?.iter().filter(|file| file.starts_with(WRITE)) {
            folder.remove(file)?;
        }
        Versions::discard(folder, SNAPSHOT)
    }

    /// Makes the writes that follow the snapshot, in their order.
    fn replay(&mut self, durable: &mut Durable) -> io::Result<()> {
        let view = durable.view.as_ref().map_or(0, |view| view.number);
        let mut logged = Vec::new();
        for (number, file) in self.writes()? {
            self.next = self.next.max(number + 1);
            let bytes = self.folder.read(&file)?;
            self.logged += 1;
            self.logged_bytes += bytes.len();
            // A torn one was never acknowledged.
            let found = unseal(&bytes).and_then(|(body, _)| decode::<Logged>(body).ok());
            logged.extend(found.filter(|logged| logged.view == view));
        }
        logged.sort_by_key(|logged| logged.write.sequence);
        for Logged { write, .. } in logged {
            if durable.state.apply(&write) {
                self.last_write = Some(Rc::new(write));
            }
        }
        Ok(())
    }

    /// The newest of the writes that were found beside the snapshot when the files were opened.
    pub fn last_write_found(&self) -> Option<Rc<Write>> {
        self.last_write.clone()
    }

    fn writes(&self) -> io::Result<Vec<(u64, String)>> {
        let number = |file: &String| file.strip_prefix(WRITE)?.parse().ok();
        Ok(self.folder.list()?.into_iter().filter_map(|file| Some((number(&file)?, file))).collect())
    }

    /// Writes a snapshot; once this returns it outlasts a loss of power.
    pub fn save(&mut self, durable: &Durable) -> io::Result<()> {
        let bytes = encode(&Snapshot::of(durable));
        self.versions.write(&bytes)?;
        self.snapshot_bytes = bytes.len();
        if self.logged > 0 {
            for (_, file) in self.writes()? {
                self.folder.remove(&file)?;
            }
        }
        (self.logged, self.logged_bytes) = (0, 0);
        Ok(())
    }

    /// Writes one write to the newest state in `view`; once this returns it outlasts a loss of power.
    pub fn append(&mut self, view: u64, write: &Write) -> io::Result<()> {
        let mut bytes = Vec::new();
        seal(&encode(&Logged { view, write: write.clone() }), &mut bytes);
        let file = format!("{WRITE}{}", self.next);
        self.next += 1;
        self.logged += 1;
        self.logged_bytes += bytes.len();
        self.folder.append(&file, &bytes)?;
        self.folder.sync(&file)
    }

    /// Whether the writes since the snapshot are worth a new one.
    pub fn is_due(&self) -> bool {
        self.logged >= WRITES_MAX || self.logged_bytes >= FOLDED_FROM.max(self.snapshot_bytes / 2)
    }
}
