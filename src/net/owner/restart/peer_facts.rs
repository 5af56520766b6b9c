//! Passes the facts reported by other relays to the decision module as ordinary events.

use super::*;
use crate::api::LimitReport;
use onyxstile_peers::book::name_digest;
use onyxstile_peers::facts::Sight;

impl Owner {
    /// Passes the known facts about the servers to the decision module in terms of its events: a server that may be
    /// cold is treated as put back after a drain; a reported wait, a limit and an outage are treated as probe results.
    pub(super) fn pass_peer_facts(&mut self, now: Duration) {
        let loss = self.restart.as_ref().map_or(Loss::Nothing, |c| c.ret.loss());
        let waits = self.journal.ledger().waits.clone();
        let evidence = self.fleet.as_ref().map(|f| f.evidence.clone()).unwrap_or_default();
        for no in self.directory.listed() {
            let uid = self.directory.uid(no);
            let reported = evidence.of(name_digest(&uid));
            let well = reported.sight.is_some_and(|(s, _)| s == Sight::Well) && evidence.any_sound;
            if loss.shakes() && !well {
                self.mark_server_cold(no);
            }
            if reported.drained {
                let rev = self.fleet.as_ref().map_or(0, |f| f.peer_list_rev);
                self.hold_on_peer_report(&uid, Some(rev));
            }
            if reported.banned && loss.shakes() {
                self.hold_on_peer_report(&uid, None);
            }
            if let Some(rate) = reported.limit.filter(|_| loss.shakes()) {
                let report = LimitReport { left: 0.0, rate: f64::from(rate) / 1e3 };
                self.core.probe_ended(no, Outcome::Success, Some(report));
            }
            if reported.sight.is_some_and(|(s, _)| s == Sight::Down) && loss.shakes() {
                (0..2).for_each(|_| self.core.probe_ended(no, Outcome::Unreachable, None));
            }
            // The local record takes precedence; where it may be incomplete, other relays' reports can extend it.
            let own = waits.get(&uid).map_or(Duration::ZERO, |until| until.saturating_sub(now));
            let wait = if loss.shakes() { own.max(reported.wait) } else { own };
            if !wait.is_zero() {
                tracing::info!(uid, rest = ?wait, "a reported wait remains in effect");
                self.core.probe_ended(no, Outcome::Overloaded { wait: Some(wait) }, None);
            }
        }
    }

    /// Servers that are first listed after a loss have not been observed by any relay and may be as cold as the others.
    pub(in crate::net::owner) fn listed_after_loss(&mut self, before: &[ServerNo]) {
        let now = self.clock.now();
        if self
            .restart
            .as_ref()
            .is_some_and(|c| now < c.cold_until && c.ret.stage() > RecoveryStage::AwaitingList)
        {
            let new: Vec<_> = self.directory.listed().into_iter().filter(|no| !before.contains(no)).collect();
            new.into_iter().for_each(|no| self.mark_server_cold(no));
        }
    }

    /// Verdict on a flow that was decided by an earlier process, or by this one long ago: the client receives the same
    /// verdict.
    pub(in crate::net::owner) fn earlier_verdict(
        &self, items: &[(DestinationId, Rc<Parcel>)],
    ) -> Option<Verdict> {
        let fleet = self.fleet.as_ref()?;
        let fate = |id: &str| fleet.book.fate(onyxstile_peers::book::id_digest(id));
        match items.iter().filter_map(|(_, p)| fate(&p.id)).max()? {
            FlowFate::Taken | FlowFate::Delivered => Some(Verdict::Accepted),
            FlowFate::Ended => Some(Verdict::Failed),
            FlowFate::Returned => None,
        }
    }

    /// Marks a server as cold, like one that was put back after a drain.
    pub(in crate::net::owner) fn mark_server_cold(&mut self, no: ServerNo) {
        if let Some(entry) = self.directory.service_entry(no).filter(|e| e.state == ListState::Live) {
            self.core.mark_cold(entry);
        }
    }

    /// Holds a server back because other relays reported it as drained or banned.
    fn hold_on_peer_report(&mut self, uid: &str, rev: Option<u64>) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.peer_holds.insert(uid.to_string(), rev).is_none() {
            tracing::info!(uid, ?rev, "server held back on reports of other relays");
            if let Some((_, entry)) = self.directory.ban(uid, true) {
                self.core.update_entries(vec![entry], false);
            }
        }
    }

    /// Ends the holds that were set until this list version, since the list itself contains the drains.
    pub(super) fn end_peer_holds(&mut self, rev: u64) {
        let Some(fleet) = &mut self.fleet else { return };
        let over: Vec<_> = fleet
            .peer_holds
            .iter()
            .filter(|(_, r)| r.is_some_and(|r| rev >= r))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in over {
            if let Some(fleet) = &mut self.fleet {
                fleet.peer_holds.remove(&uid);
            }
            if !self.journal.ledger().bans.contains(&uid)
                && let Some((_, entry)) = self.directory.ban(&uid, false)
            {
                self.core.update_entries(vec![entry], false);
            }
        }
    }
}
