//! Admin requests, and the metrics that the owner maintains.

use super::*;
use crate::net::admin::codec::Order;

/// Maximum number of simultaneous bans. Without a limit their records would fill the journal's folder.
const BANS_MAX: usize = 1024;
/// Minimum interval between two counts of the servers: each count walks all of them.
const SERVER_COUNT_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Executes an admin request; returns the reason if it is impossible.
    pub(super) fn admin(&mut self, order: Order) -> Result<(), String> {
        match order {
            Order::Exclude(uid) => self.ban(&uid, true),
            Order::Include(uid) => self.ban(&uid, false),
            Order::Evacuate => {
                self.evacuation.set(true);
                Ok(())
            }
            Order::Activate => {
                self.evacuation.set(false);
                Ok(())
            }
        }
    }

    /// Sets or lifts the ban of a server. The record is written first, so that a confirmed request survives a kill.
    fn ban(&mut self, uid: &str, on: bool) -> Result<(), String> {
        if !self.directory.was_listed(uid) {
            return Err(format!("no list has named `{uid}`"));
        }
        let bans = &self.journal.ledger().bans;
        if bans.contains(uid) == on {
            return Ok(());
        }
        if on && bans.len() >= BANS_MAX {
            return Err(format!("{BANS_MAX} endpoints are excluded, which is all that is kept"));
        }
        let record = Record::Banned(uid.to_string(), on);
        self.journal.write(&[record]).map_err(|e| format!("it could not be written down: {e}"))?;
        tracing::info!(uid, "{}", if on { "excluded by an operator" } else { "put back by an operator" });
        if let Some((no, entry)) = self.directory.ban(uid, on) {
            // Calls that are not yet being sent are held back.
            self.hold_unsent(|to| on && to == no);
            self.core.update_entries(vec![entry], false);
            self.sweep_servers();
        }
        self.servers_counted_at = Duration::ZERO;
        Ok(())
    }

    /// Counts flows that received a verdict before a number was assigned. A submission with unknown names does not
    /// count as a message.
    pub(super) fn count_verdict(&self, class: &str, verdict: Verdict, flows: usize) {
        let fate = match verdict {
            Verdict::Accepted | Verdict::Unknown(_) => return,
            Verdict::Rejected(_) | Verdict::Ending(_) | Verdict::Full => Fate::Refused,
            Verdict::Failed => Fate::Failed,
        };
        (0..flows).for_each(|_| self.metrics.ended(class, fate));
    }

    /// Counts the end of a flow; must run before its `FlowInfo` is removed.
    pub(super) fn count_end(&self, no: FlowNo, end: End) {
        match end {
            End::Delivered => self.count(no, Fate::Served),
            End::Failed => self.count(no, Fate::Failed),
            End::Returned(_) => self.count(no, Fate::Refused),
            // Ended elsewhere and counted there.
            End::Over => {}
        }
    }

    pub(super) fn count(&self, no: FlowNo, fate: Fate) {
        let place = self.flow_infos.get(&no).filter(|p| !p.resend);
        if let Some(class) = place.and_then(|p| self.names.classes.get(p.class)) {
            self.metrics.ended(class, fate);
        }
    }

    /// Updates the metrics that are sampled instead of event driven.
    pub(super) fn update_metrics(&mut self, now: Duration) {
        self.metrics.in_flight(self.core.open_flows());
        if now >= self.servers_counted_at + SERVER_COUNT_INTERVAL {
            self.servers_counted_at = now;
            self.metrics.servers(self.directory.server_counts(&self.core.avoided()));
            self.write_endpoint_records();
        }
    }
}
