//! Endpoint health and limits, kept in the journal for the next process.

use super::*;

impl Owner {
    /// Records which endpoints are down or cold, and their reported limits, where these have changed. Cold endpoints
    /// share one send budget across processes: a process that starts without the record of an outage would send all
    /// journaled flows at once, and a cold endpoint without a known limit is treated as the smallest one and gets
    /// almost no traffic. A failed write is retried at the next update.
    pub(super) fn write_endpoint_records(&mut self) {
        let unhealthy = self.core.unhealthy_endpoints().map(|no| self.directory.uid(no)).collect();
        let reported =
            self.core.reported_limits().map(|(no, limit)| (self.directory.uid(no), limit)).collect();
        let records = self.journal.ledger().sights(&unhealthy, &reported);
        if let Err(e) = self.journal.write(&records) {
            tracing::debug!("journal: endpoint records were not written: {e}");
        }
    }

    /// Marks endpoints as cold that were unhealthy when the previous process ended: whatever happened since, it was
    /// recent. Limits keep their last reported value until the first answer updates them.
    pub(super) fn restore_endpoint_records(&mut self) {
        let ledger = self.journal.ledger();
        let unhealthy: Vec<_> = ledger.ill.iter().filter_map(|uid| self.directory.find(uid)).collect();
        let limits = ledger.limits.iter().filter_map(|(uid, rate)| Some((self.directory.find(uid)?, *rate)));
        let limits: Vec<_> = limits.collect();
        if !unhealthy.is_empty() || !limits.is_empty() {
            let (unhealthy, limits) = (unhealthy.len(), limits.len());
            tracing::info!(ill = unhealthy, limits, "restored the endpoint records of the previous process");
        }
        unhealthy.into_iter().for_each(|no| self.mark_server_cold(no));
        limits.into_iter().for_each(|(no, rate)| self.core.restore_limit(no, rate));
    }
}
