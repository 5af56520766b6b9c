//! What the others told is passed to the module, in words that its events have.

use super::*;
use crate::api::LimitReport;
use onyxstile_peers::book::name_digest;
use onyxstile_peers::facts::Sight;

impl Owner {
    /// Tells the module what is known of the real servers, as facts that its events have words for: one that may be cold
    /// has been put back after a drain; a told wait, a limit and silence are what a probe would have found.
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
            // This relay's own record goes first; what it cannot know to be complete, others may add to.
            let own = waits.get(&uid).map_or(Duration::ZERO, |until| until.saturating_sub(now));
            let wait = if loss.shakes() { own.max(reported.wait) } else { own };
            if !wait.is_zero() {
                tracing::info!(uid, rest = ?wait, "a told wait goes on");
                self.core.probe_ended(no, Outcome::Overloaded { wait: Some(wait) }, None);
            }
        }
    }

    /// Real servers that come with a list after a loss: nobody has seen them yet, and they may be as cold as the others.
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

    /// Word of a flow that an earlier process, or this one long ago, had: its client hears the same again.
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

    /// One that has been put back after a drain is cold; that is what the module is told of it.
    pub(in crate::net::owner) fn mark_server_cold(&mut self, no: ServerNo) {
        if let Some(entry) = self.directory.service_entry(no).filter(|e| e.state == ListState::Live) {
            self.core.mark_cold(entry);
        }
    }

    /// Holds a real server back on the word of others.
    fn hold_on_peer_report(&mut self, uid: &str, rev: Option<u64>) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.peer_holds.insert(uid.to_string(), rev).is_none() {
            tracing::info!(uid, ?rev, "held back on the word of others");
            if let Some((_, entry)) = self.directory.ban(uid, true) {
                self.core.update_entries(vec![entry], false);
            }
        }
    }

    /// A list in this version says itself what drains.
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
