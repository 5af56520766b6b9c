//! A disk in memory that fails on demand: any call can go wrong, end the process in its middle, or both; and a loss of
//! power keeps of what was not synced any part in any order.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// What goes wrong in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It does nothing and says that it failed.
    Refused,
    /// It says that it failed; a write has appended so many thousandths of its bytes, anything else was done.
    Torn(u32),
    /// The process ends in it, after as much.
    Killed(u32),
}

#[derive(Debug, Clone)]
enum Pending {
    Append(Vec<u8>),
    Cut(u64),
}

#[derive(Debug, Default)]
struct Inode {
    data: Vec<u8>,
    /// What would outlast a loss of power for certain, and what was done since.
    lasting: Vec<u8>,
    pending: Vec<Pending>,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    lasting_names: BTreeMap<String, usize>,
    calls: u64,
    fault: Option<(u64, Fault)>,
    dead: bool,
}

/// The disk; clones are the same disk.
#[derive(Debug, Default, Clone)]
pub struct SimDisk(Rc<RefCell<State>>);

/// An open file.
#[derive(Debug, Clone, Copy)]
pub struct SimFile(usize);

impl SimDisk {
    /// Calls that change something so far.
    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }

    /// Lets the call that is so many from now go wrong; 0 is the next.
    pub fn fail(&self, after: u64, fault: Fault) {
        let mut state = self.0.borrow_mut();
        state.fault = Some((state.calls + after, fault));
    }

    /// Whether the process has ended in a call.
    pub fn is_dead(&self) -> bool {
        self.0.borrow().dead
    }

    /// The next process: all that was written is there, synced or not.
    pub fn restart(&self) {
        let mut state = self.0.borrow_mut();
        (state.dead, state.fault) = (false, None);
    }

    /// Power is lost. `choose(n)` gives a number below `n`: what becomes of each write and name that was not synced.
    pub fn lose_power(&self, mut choose: impl FnMut(u64) -> u64) {
        let mut state = self.0.borrow_mut();
        (state.dead, state.fault) = (false, None);
        let (old, new) = (state.lasting_names.clone(), state.names.clone());
        let mut names = BTreeMap::new();
        for name in old.keys().chain(new.keys()) {
            let kept = if choose(2) == 0 { old.get(name) } else { new.get(name) };
            let kept = if old.get(name) == new.get(name) { new.get(name) } else { kept };
            kept.map(|inode| names.insert(name.clone(), *inode));
        }
        for inode in &mut state.inodes {
            let mut data = std::mem::take(&mut inode.lasting);
            let pending = std::mem::take(&mut inode.pending);
            // Where each write stood; one that is lost leaves a hole if a later one is kept.
            let mut at = data.len();
            for change in pending {
                match change {
                    Pending::Cut(length) if choose(2) == 0 => {
                        data.truncate(length as usize);
                        at = length as usize;
                    }
                    Pending::Cut(length) => at = length as usize,
                    Pending::Append(bytes) => {
                        let part = match choose(4) {
                            0 => 0,
                            1 => choose(bytes.len() as u64 + 1) as usize,
                            _ => bytes.len(),
                        };
                        if part > 0 {
                            let length = data.len().max(at + part);
                            data.resize(length, 0);
                            data[at..at + part].copy_from_slice(&bytes[..part]);
                        }
                        at += bytes.len();
                    }
                }
            }
            (inode.lasting, inode.data) = (data.clone(), data);
        }
        (state.names, state.lasting_names) = (names.clone(), names);
    }

    /// A file's bytes.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.borrow();
        Some(state.inodes[*state.names.get(name)?].data.clone())
    }

    /// Puts a file there, synced, in place of one of its name.
    pub fn set(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.0.borrow_mut();
        let inode = state.inodes.len();
        state.inodes.push(Inode { lasting: bytes.clone(), data: bytes, pending: Vec::new() });
        state.names.insert(name.to_string(), inode);
        state.lasting_names.insert(name.to_string(), inode);
    }

    /// Another disk with the same files, all of them synced.
    pub fn copy(&self) -> SimDisk {
        let copy = SimDisk::default();
        let names: Vec<String> = self.0.borrow().names.keys().cloned().collect();
        names.iter().filter_map(|n| Some((n, self.bytes(n)?))).for_each(|(n, b)| copy.set(n, b));
        copy
    }

    /// Counts a call that changes something; the thousandths of it that are done, and whether it says that it failed.
    fn call(&self) -> io::Result<(u32, bool)> {
        let mut state = self.0.borrow_mut();
        if state.dead {
            return Err(io::Error::other("the process has ended"));
        }
        let call = state.calls;
        state.calls += 1;
        match state.fault.filter(|(at, _)| *at == call).map(|(_, f)| f) {
            None => Ok((1000, false)),
            Some(Fault::Refused) => Err(io::Error::other("refused")),
            Some(Fault::Torn(part)) => Ok((part, true)),
            Some(Fault::Killed(part)) => {
                state.dead = true;
                Ok((part, true))
            }
        }
    }

    /// A call that is done wholly or not at all.
    fn whole(&self, change: impl FnOnce(&mut State) -> io::Result<()>) -> io::Result<()> {
        let (part, failed) = self.call()?;
        if part >= 500 {
            change(&mut self.0.borrow_mut())?;
        }
        if failed { Err(io::Error::other("failed")) } else { Ok(()) }
    }
}

impl Disk for SimDisk {
    type File = SimFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut made = 0;
        self.whole(|state| {
            if state.names.contains_key(name) {
                return Err(io::ErrorKind::AlreadyExists.into());
            }
            made = state.inodes.len();
            state.inodes.push(Inode::default());
            state.names.insert(name.to_string(), made);
            Ok(())
        })?;
        Ok(SimFile(made))
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let state = self.0.borrow();
        state.names.get(name).map(|n| SimFile(*n)).ok_or(io::ErrorKind::NotFound.into())
    }

    fn length(&self, file: &SimFile) -> io::Result<u64> {
        Ok(self.0.borrow().inodes[file.0].data.len() as u64)
    }

    fn append(&self, file: &SimFile, bytes: &[u8]) -> io::Result<()> {
        let (part, failed) = self.call()?;
        let part = (bytes.len() * part as usize / 1000).min(bytes.len());
        let mut state = self.0.borrow_mut();
        let inode = &mut state.inodes[file.0];
        inode.data.extend(&bytes[..part]);
        inode.pending.push(Pending::Append(bytes[..part].to_vec()));
        if failed { Err(io::Error::other("torn")) } else { Ok(()) }
    }

    fn read(&self, file: &SimFile, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.0.borrow();
        let data = &state.inodes[file.0].data;
        let from = data.get((at as usize).min(data.len())..).unwrap_or_default();
        let n = from.len().min(into.len());
        into[..n].copy_from_slice(&from[..n]);
        Ok(n)
    }

    fn cut(&self, file: &SimFile, length: u64) -> io::Result<()> {
        self.whole(|state| {
            let inode = &mut state.inodes[file.0];
            inode.data.truncate(length as usize);
            inode.pending.push(Pending::Cut(length));
            Ok(())
        })
    }

    fn sync(&self, file: &SimFile) -> io::Result<()> {
        self.whole(|state| {
            let inode = &mut state.inodes[file.0];
            inode.lasting.clone_from(&inode.data);
            inode.pending.clear();
            Ok(())
        })
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.whole(|state| {
            state.lasting_names = state.names.clone();
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.whole(|state| state.names.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound.into()))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.whole(|state| {
            let inode = state.names.remove(from).ok_or(io::Error::from(io::ErrorKind::NotFound))?;
            state.names.insert(to.to_string(), inode);
            Ok(())
        })
    }
}
