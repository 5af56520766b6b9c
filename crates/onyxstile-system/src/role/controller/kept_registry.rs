//! The registry on disk, so that endpoints are known right after all controllers have lost power.
//!
//! Written by a thread of its own, shortly after a change and never before an acknowledgement: what a loss of power takes of
//! the last moment comes again with the next heartbeats, and a call to an endpoint that has gone meanwhile is refused by
//! whoever has its address (`Expect-Instance`).

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use crate::clock::Instant;
use crate::disk::{RealFolder, Versions};
use crate::registry::{Instance, Registry};
use crate::wire;

/// The name of the record.
const RECORD: &str = "endpoints";
/// Changes within this time are written together.
const GATHERED_FOR: Duration = Duration::from_millis(250);

/// The writing end.
pub(super) struct KeptRegistry {
    jobs: mpsc::SyncSender<Vec<u8>>,
    kept: Cell<u64>,
    tried: Cell<Instant>,
}

impl KeptRegistry {
    /// Opens the record in a folder; returns what it holds as well. One that can't be read counts as empty.
    pub(super) fn open(folder: PathBuf) -> io::Result<(KeptRegistry, Vec<Instance>)> {
        let (versions, held) = Versions::open(RealFolder::open(folder)?, RECORD)?;
        let endpoints = held.map_or_else(Vec::new, |bytes| {
            wire::decode(&bytes).unwrap_or_else(|error| {
                log::warn!("the record of endpoints can't be read: {error}");
                Vec::new()
            })
        });
        let (jobs, queue) = mpsc::sync_channel(1);
        std::thread::spawn(move || write(versions, &queue));
        Ok((KeptRegistry { jobs, kept: Cell::new(0), tried: Cell::default() }, endpoints))
    }

    /// Has the registry written if it has changed; while the disk is busy that waits.
    pub(super) fn keep(&self, now: Instant, registry: &Registry) {
        let is_due = now.since(self.tried.get()) >= GATHERED_FOR;
        if registry.counter() == self.kept.get() || !is_due {
            return;
        }
        self.tried.set(now);
        if self.jobs.try_send(wire::encode(&registry.records())).is_ok() {
            self.kept.set(registry.counter());
        }
    }
}

fn write(mut versions: Versions<RealFolder>, queue: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(record) = queue.recv() {
        if let Err(error) = versions.write(&record) {
            log::warn!("the record of endpoints was not written: {error}");
        }
    }
}
