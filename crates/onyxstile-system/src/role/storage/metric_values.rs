//! What a storage machine tells of itself in figures.

use super::StorageServer;
use crate::metrics::Metrics;

impl StorageServer {
    /// The figures of this moment.
    pub(super) fn metrics(&self) -> Metrics {
        let mut metrics = Metrics::default();
        let index = self.index.borrow();
        let (turns, programs) = index.sizes();
        metrics.gauge("turns", "Turns on this machine's disk.", turns as f64);
        metrics.gauge("programs", "Programs with claims on this machine's disk.", programs as f64);
        metrics.gauge("index_bytes", "Memory that the index of records takes.", index.memory_bytes() as f64);
        metrics.gauge("log_bytes", "Disk that the log takes.", self.journal.used_bytes() as f64);
        metrics.flag("index_full", "Whether writes are refused for want of memory.", self.is_index_full());
        metrics.flag(
            "whole",
            "Whether this machine's answers count towards quorums.",
            self.is_complete.get(),
        );
        let (epoch, synced) = (self.plan.borrow().epoch, self.synced_epoch.get());
        metrics.gauge("storage_epoch", "Number of the storage plan that it goes by.", epoch as f64);
        metrics.gauge("synced_epoch", "Newest plan for which it holds all that is its own.", synced as f64);
        let is_repairing = !self.is_complete.get() || synced < epoch;
        metrics.flag("repairing", "Whether it copies what it should hold.", is_repairing);
        metrics
    }
}
