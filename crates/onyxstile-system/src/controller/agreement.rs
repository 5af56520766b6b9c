//! Single-decree agreement on the next view (ballots, promises, acceptance), one view number at a time.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use super::Controller;
use super::membership::next_membership;
use super::view_choice::{Promised, choose_view};
use crate::clock::Instant;
use crate::control::{Ballot, ControlState, ElectorId, Message, View};

/// Timeout of an undecided proposal, after which a new one is made.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional delay per rank: each live elector waits this much longer than the one before it until it proposes.
const STAGGER: Duration = Duration::from_millis(250);
/// How long a view change must be needed before it is proposed.
const PROPOSAL_DELAY: Duration = Duration::from_millis(40);
/// Grace period after a controller's start in which it does not propose a view without electors that it has not seen
/// yet. Equals the time after which membership declares a silent machine dead.
const RESTART_GRACE: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone)]
pub(super) struct Proposal {
    view: u64,
    ballot: Ballot,
    begun: Instant,
    promises: Vec<Promised>,
    value: Option<Rc<View>>,
    accepted: Vec<ElectorId>,
}

impl Controller {
    /// Proposes a view if one is needed. The first live elector proposes at once, each later one after an additional
    /// delay.
    pub(super) fn maintain_view(&mut self, now: Instant) {
        let Some(view) = self.durable.view.clone() else { return };
        let is_needed = self.has_promised_next_view()
            || next_membership(&view, &self.alive(), self.tolerance, &self.locations).is_some();
        let Some(rank) =
            self.rank(&view).filter(|_| is_needed && !self.awaits_restarted_electors(now, &view))
        else {
            self.view_change_since = None;
            self.proposal = None;
            return;
        };
        let since = *self.view_change_since.get_or_insert(now);
        let is_due = now.since(since) >= PROPOSAL_DELAY + STAGGER * rank;
        let is_open = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| now.since(proposal.begun) < PROPOSAL_TIMEOUT + STAGGER * rank);
        if is_due && !is_open {
            self.propose(now, &view);
        }
    }

    /// Whether this machine has just started and has not seen all electors in this incarnation. After a power loss all
    /// machines return at nearly the same time; a view without the late ones would be followed at once by another that
    /// adds them. Meanwhile relays continue in the previous view (see `stability`).
    fn awaits_restarted_electors(&self, now: Instant, view: &View) -> bool {
        let is_met = |id: &ElectorId| self.locations.contains_key(&id.ip) || id.ip == self.id.ip;
        now.since(self.started) < RESTART_GRACE && !view.electors.iter().all(is_met)
    }

    /// This machine and all machines that membership considers alive.
    fn alive(&self) -> Vec<ElectorId> {
        let mut alive = self.live.clone();
        alive.push(self.id);
        alive
    }

    fn rank(&self, view: &View) -> Option<u32> {
        let alive = self.alive();
        let rank = view.electors.iter().filter(|id| alive.contains(id)).position(|id| *id == self.id)?;
        u32::try_from(rank).ok()
    }

    fn propose(&mut self, now: Instant, view: &View) {
        self.round = self.round.max(self.durable.promised.round) + 1;
        let ballot = Ballot { round: self.round, proposer: self.id.ip };
        let number = view.number + 1;
        log::info!("proposing view {number} in round {}", self.round);
        self.proposal = Some(Proposal {
            view: number,
            ballot,
            begun: now,
            promises: Vec::new(),
            value: None,
            accepted: Vec::new(),
        });
        for elector in &view.electors {
            let sequence = self.durable.state.sequence;
            self.send(elector.address(), Message::Prepare { view: number, ballot, sequence });
        }
    }

    pub(super) fn prepare(&mut self, now: Instant, from: Ipv4Addr, view: u64, ballot: Ballot, sequence: u64) {
        if !self.is_next(now, from, view) {
            return;
        }
        if ballot <= self.durable.promised {
            let promised = self.durable.promised;
            self.send(from, Message::Refused { view, promised });
            return;
        }
        self.durable.promised = ballot;
        self.persist();
        let message = Message::Promise {
            from: self.id,
            view,
            ballot,
            accepted: self.durable.accepted.clone(),
            state: (self.durable.state.sequence > sequence).then(|| self.durable.state.clone()),
        };
        self.send(from, message);
    }

    pub(super) fn refused(&mut self, view: u64, promised: Ballot) {
        if view == self.installed() + 1 {
            self.round = self.round.max(promised.round);
        }
    }

    pub(super) fn promised(
        &mut self, from: ElectorId, view: u64, ballot: Ballot, accepted: Option<(Ballot, Rc<View>)>,
        state: Option<ControlState>,
    ) {
        let Some(current) = self.durable.view.clone() else { return };
        let alive = self.alive();
        let Some(proposal) = &mut self.proposal else { return };
        let is_ours = proposal.view == view && proposal.ballot == ballot && view == current.number + 1;
        let is_duplicate = proposal.promises.iter().any(|promised| promised.from == from);
        if !is_ours || is_duplicate || proposal.value.is_some() || !current.electors.contains(&from) {
            return;
        }
        proposal.promises.push(Promised { from, accepted, state });
        if proposal.promises.len() < current.majority() {
            return;
        }
        let own = &self.durable.state;
        let value =
            Rc::new(choose_view(&current, &proposal.promises, own, &alive, self.tolerance, &self.locations));
        proposal.value = Some(value.clone());
        for elector in &current.electors {
            self.send(elector.address(), Message::Accept { ballot, value: value.clone() });
        }
    }

    pub(super) fn accept(&mut self, now: Instant, from: Ipv4Addr, ballot: Ballot, value: Rc<View>) {
        let view = value.number;
        if !self.is_next(now, from, view) {
            return;
        }
        if ballot < self.durable.promised {
            let promised = self.durable.promised;
            self.send(from, Message::Refused { view, promised });
            return;
        }
        self.durable.promised = ballot;
        self.durable.accepted = Some((ballot, value));
        self.persist();
        self.send(from, Message::Accepted { from: self.id, view, ballot });
    }

    pub(super) fn accepted(&mut self, now: Instant, from: ElectorId, view: u64, ballot: Ballot) {
        let Some(current) = self.durable.view.clone() else { return };
        let Some(proposal) = &mut self.proposal else { return };
        let is_ours = proposal.view == view && proposal.ballot == ballot && view == current.number + 1;
        if !is_ours || !current.electors.contains(&from) || proposal.accepted.contains(&from) {
            return;
        }
        proposal.accepted.push(from);
        if proposal.accepted.len() < current.majority() {
            return;
        }
        let Some(value) = proposal.value.clone() else { return };
        let mut to: Vec<Ipv4Addr> =
            value.electors.iter().chain(&current.electors).map(ElectorId::address).collect();
        to.sort_unstable();
        to.dedup();
        to.retain(|address| *address != self.id.address());
        self.install(now, value.clone());
        for address in to {
            self.send(address, Message::Installed(value.clone()));
        }
    }

    /// Installs a decided view that is newer than the installed one.
    pub(super) fn install(&mut self, now: Instant, view: Rc<View>) {
        if view.number <= self.installed() {
            return;
        }
        log::info!(
            "installed view {} with {} electors, {} chain members, sequence {}",
            view.number,
            view.electors.len(),
            view.chain.len(),
            view.state.sequence
        );
        self.durable.state = view.state.clone();
        self.durable.promised = Ballot::default();
        self.durable.accepted = None;
        self.committed = view.state.sequence;
        self.stable = view.state.clone();
        self.durable.view = Some(view);
        self.last_write = None;
        self.written.clear();
        self.view_sent_at.clear();
        self.proposal = None;
        self.view_change_since = None;
        self.round = 0;
        self.persist();
        self.restart_operations(now);
    }

    pub(super) fn receive_status(&mut self, now: Instant, from: ElectorId, view: u64, committed: u64) {
        let installed = self.installed();
        if view < installed {
            self.send_view(now, from.address());
        }
        let is_chain_member = self.durable.view.as_ref().is_some_and(|view| view.chain.contains(&from));
        if view == installed && is_chain_member && committed <= self.durable.state.sequence {
            self.commit(committed);
        }
    }
}
