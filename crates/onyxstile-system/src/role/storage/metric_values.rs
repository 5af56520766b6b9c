//! Metrics of a storage machine.

use super::StorageServer;
use super::journal::BacklogStatus;
use crate::metrics::Metrics;

impl StorageServer {
    /// Current metric values.
    pub(super) fn collect_metrics(&self) -> Metrics {
        let mut metrics = Metrics::default();
        let index = self.index.borrow();
        let (turns, programs) = index.sizes();
        metrics.gauge("turns", "Turns on this machine's disk.", turns as f64);
        metrics.gauge(
            "turn_leases",
            "Turns that are kept longer because a later turn continues them.",
            index.lease_count() as f64,
        );
        metrics.gauge("programs", "Programs with claims on this machine's disk.", programs as f64);
        metrics.gauge("index_bytes", "Memory used by the record index.", index.memory_bytes() as f64);
        metrics.gauge("log_bytes", "Disk space used by the log.", self.journal.used_bytes() as f64);
        metrics.flag("index_full", "Whether writes are refused for lack of memory.", self.is_index_full());
        metrics.flag(
            "whole",
            "Whether this machine's answers count towards quorums.",
            self.is_complete.get(),
        );
        let (epoch, synced) = (self.plan.borrow().epoch, self.synced_epoch.get());
        metrics.gauge("storage_epoch", "Number of the storage plan in use.", epoch as f64);
        metrics.gauge(
            "synced_epoch",
            "Newest plan for which this machine holds all its records.",
            synced as f64,
        );
        let is_repairing = !self.is_complete.get() || synced < epoch;
        metrics.flag(
            "repairing",
            "Whether this machine is copying records that it should hold.",
            is_repairing,
        );
        add_backlog_metrics(&mut metrics, &self.journal.backlog());
        self.load.add_metrics(&mut metrics);
        metrics
    }
}

fn add_backlog_metrics(metrics: &mut Metrics, backlog: &BacklogStatus) {
    metrics.gauge("disk_backlog_bytes", "Memory of requests that wait for the disk.", backlog.bytes as f64);
    metrics.gauge("disk_backlog_requests", "Requests that wait for the disk.", backlog.requests as f64);
    metrics.gauge(
        "disk_backlog_age_seconds",
        "How long the oldest of them has waited.",
        backlog.oldest_age.as_secs_f64(),
    );
    metrics.gauge(
        "disk_call_seconds",
        "How long the current call to the disk has lasted; 0 without one.",
        backlog.disk_call_time.as_secs_f64(),
    );
    let help = "Requests that were refused because the disk could not take them in time.";
    metrics.counters("disk_refusals", help, "reason", &backlog.refusals);
}
