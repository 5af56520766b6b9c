//! What a process has seen of endpoints, left in the journal for the next one.

use super::*;

impl Owner {
    /// Writes down which endpoints are down or cold, and what limits are told, where that has changed. Guards the budget of a
    /// cold endpoint, which all processes share, against those that begin anew: they know nothing of an outage, and what the
    /// journal held for it all went out at once; and where the limit is not known, a cold endpoint is taken for the smallest
    /// one and gets next to nothing. Should it not be written, the next look tries again.
    pub(super) fn write_endpoint_records(&mut self) {
        let unhealthy = self.core.unhealthy_endpoints().map(|no| self.directory.uid(no)).collect();
        let reported =
            self.core.reported_limits().map(|(no, limit)| (self.directory.uid(no), limit)).collect();
        let records = self.journal.ledger().sights(&unhealthy, &reported);
        if let Err(e) = self.journal.write(&records) {
            tracing::debug!("journal: what was seen of endpoints is not written: {e}");
        }
    }

    /// Takes those for cold that were ill when the process before ended: whatever became of them since, it was not long ago.
    /// Limits are as they were told last; the first answer tells them anew.
    pub(super) fn restore_endpoint_records(&mut self) {
        let ledger = self.journal.ledger();
        let unhealthy: Vec<_> = ledger.ill.iter().filter_map(|uid| self.directory.find(uid)).collect();
        let limits = ledger.limits.iter().filter_map(|(uid, rate)| Some((self.directory.find(uid)?, *rate)));
        let limits: Vec<_> = limits.collect();
        if !unhealthy.is_empty() || !limits.is_empty() {
            let (unhealthy, limits) = (unhealthy.len(), limits.len());
            tracing::info!(ill = unhealthy, limits, "endpoints as the process before knew them");
        }
        unhealthy.into_iter().for_each(|no| self.mark_server_cold(no));
        limits.into_iter().for_each(|(no, rate)| self.core.restore_limit(no, rate));
    }
}
