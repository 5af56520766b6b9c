//! The registry on disk, so that endpoints are known right after all controllers have lost power.
//!
//! Written by a thread of its own, shortly after a change and never before an acknowledgement: what a loss of power takes of
//! the last moment comes again with the next heartbeats, and a call to an endpoint that has gone meanwhile is refused by
//! whoever has its address (`Expect-Instance`).

use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use crate::clock::Instant;
use crate::disk::{self, RealFolder, Versions};
use crate::registry::{Instance, Registry};

/// The name of the record.
const RECORD: &str = "endpoints";
/// Changes within this time are written together.
const GATHERED_FOR: Duration = Duration::from_millis(250);

/// The writing end.
pub(super) struct KeptRegistry {
    jobs: mpsc::SyncSender<Vec<u8>>,
    has_failed: Arc<AtomicBool>,
    kept: Cell<u64>,
    tried: Cell<Instant>,
}

impl KeptRegistry {
    /// Opens the record in a folder; returns what it holds as well. One that can't be read counts as empty.
    pub(super) fn open(folder: PathBuf) -> io::Result<(KeptRegistry, Vec<Instance>)> {
        let (versions, held) = Versions::open(RealFolder::open(folder)?, RECORD)?;
        let endpoints = held.map_or_else(Vec::new, |bytes| {
            disk::decode(&bytes).unwrap_or_else(|error| {
                log::warn!("the record of endpoints can't be read: {error}");
                Vec::new()
            })
        });
        let (jobs, queue) = mpsc::sync_channel(1);
        let has_failed = Arc::new(AtomicBool::new(false));
        let failed = has_failed.clone();
        std::thread::spawn(move || write(versions, &queue, &failed));
        Ok((KeptRegistry { jobs, has_failed, kept: Cell::new(0), tried: Cell::default() }, endpoints))
    }

    /// Has the registry written if it has changed, or if the disk refused it before; while the disk is busy that waits.
    pub(super) fn keep(&self, now: Instant, registry: &Registry) {
        let is_due = now.since(self.tried.get()) >= GATHERED_FOR;
        let is_kept = registry.counter() == self.kept.get() && !self.has_failed.load(Ordering::Relaxed);
        if is_kept || !is_due {
            return;
        }
        self.tried.set(now);
        if self.jobs.try_send(disk::encode(&registry.records())).is_ok() {
            self.kept.set(registry.counter());
        }
    }
}

fn write(mut versions: Versions<RealFolder>, queue: &mpsc::Receiver<Vec<u8>>, has_failed: &AtomicBool) {
    while let Ok(record) = queue.recv() {
        let result = versions.write(&record);
        let had_failed = has_failed.swap(result.is_err(), Ordering::Relaxed);
        match result {
            Err(error) if !had_failed => log::warn!("the record of endpoints is not written: {error}"),
            Ok(()) if had_failed => log::info!("the record of endpoints is written again"),
            _ => {}
        }
    }
}
