//! Operators' calls, and the figures as far as the owner feeds them.

use super::*;
use crate::net::admin::codec::Order;

/// Bans at once, at most. Without a bound their records would fill the journal's folder.
const BANS_MAX: usize = 1024;
/// How often, at most, the real servers are counted: a step walks all of them for it.
const SERVER_COUNT_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Does what an operator calls for; why not, if it cannot.
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

    /// Bans a real server or ends that. The record comes first: what is answered by a yes outlasts a kill.
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
            // Of a call that has not begun to go out, nothing goes out any more.
            self.hold_unsent(|to| on && to == no);
            self.core.update_entries(vec![entry], false);
            self.sweep_servers();
        }
        self.servers_counted_at = Duration::ZERO;
        Ok(())
    }

    /// Counts flows that got their verdict before they had numbers. One that names nothing known is no message.
    pub(super) fn count_verdict(&self, class: &str, verdict: Verdict, flows: usize) {
        let fate = match verdict {
            Verdict::Accepted | Verdict::Unknown(_) => return,
            Verdict::Rejected(_) | Verdict::Ending(_) | Verdict::Full => Fate::Refused,
            Verdict::Failed => Fate::Failed,
        };
        (0..flows).for_each(|_| self.figures.ended(class, fate));
    }

    /// Counts a flow's end, while its place is still known.
    pub(super) fn count_end(&self, no: FlowNo, end: End) {
        match end {
            End::Delivered => self.count(no, Fate::Served),
            End::Failed => self.count(no, Fate::Failed),
            End::Returned(_) => self.count(no, Fate::Refused),
            // Over without us: whoever ended it has counted it.
            End::Over => {}
        }
    }

    pub(super) fn count(&self, no: FlowNo, fate: Fate) {
        let place = self.flow_infos.get(&no).filter(|p| !p.resend);
        if let Some(class) = place.and_then(|p| self.names.classes.get(p.class)) {
            self.figures.ended(class, fate);
        }
    }

    /// What is counted anew, and not fed by what happens.
    pub(super) fn update_metrics(&mut self, now: Duration) {
        self.figures.in_flight(self.core.open_flows());
        if now >= self.servers_counted_at + SERVER_COUNT_INTERVAL {
            self.servers_counted_at = now;
            self.figures.servers(self.directory.server_counts(&self.core.avoided()));
            self.write_endpoint_records();
        }
    }
}
