//! Steps that are held back until their journal records are synced. Used only where writes have to survive a machine
//! failure.
//!
//! A step that accepts a flow, or that sends one that must not run twice, is held back until a sync that began after
//! its write has returned; all later steps wait behind it, in order. One sync serves all steps that are waiting when it
//! begins.

use super::*;
use crate::net::journal::Pending;
use std::io;

/// A step whose records are written.
#[derive(Debug)]
pub(super) struct Step {
    effects: Vec<Effect<Rc<Parcel>>>,
    at: Duration,
    lasting: bool,
    resent: BTreeSet<FlowNo>,
    /// Number of the write that must be synced before the step is carried out.
    write: u64,
}

/// Steps held back for a sync.
#[derive(Debug, Default)]
pub(super) struct HeldBack {
    steps: VecDeque<Step>,
    /// A sync is running.
    syncing: bool,
    /// Receives the result of a sync; `None` where writes need no sync.
    to: Option<mpsc::Sender<OwnerMessage>>,
    /// Number of syncs, and of steps released by them.
    counts: (u64, u64),
}

impl HeldBack {
    pub(super) fn new(to: mpsc::Sender<OwnerMessage>) -> HeldBack {
        HeldBack { to: Some(to), ..HeldBack::default() }
    }
}

impl Owner {
    /// Carries a step out or holds it back for a sync.
    pub(super) fn carry_out_durably(
        &mut self, effects: Vec<Effect<Rc<Parcel>>>, at: Duration, lasting: bool, resent: BTreeSet<FlowNo>,
    ) {
        let write = self.journal.written();
        let step = Step { effects, at, lasting, resent, write };
        let waits = self.journal.syncs() && step.effects.iter().any(|e| self.must_be_durable(e));
        if !waits && self.held_back.steps.is_empty() {
            return self.finish_step(step);
        }
        if !step.effects.is_empty() {
            self.held_back.steps.push_back(step);
        }
        self.begin_sync();
    }

    /// A 202, and a call that must not be made twice, have to survive a power failure.
    fn must_be_durable(&self, effect: &Effect<Rc<Parcel>>) -> bool {
        match effect {
            Effect::Accepted(..) => true,
            Effect::Call { flow, .. } => {
                let class = self.flow_infos.get(flow).and_then(|p| self.classes.get(p.class));
                class.is_none_or(|c| c.0 == crate::api::Effect::Once)
            }
            _ => false,
        }
    }

    fn finish_step(&mut self, step: Step) {
        let Step { effects, at, lasting, resent, .. } = step;
        for effect in effects {
            self.do_effect(effect, at, lasting, &resent);
        }
        self.make_calls();
        self.make_mail_calls();
    }

    pub(super) fn begin_sync(&mut self) {
        let Some(to) = self.held_back.to.clone().filter(|_| !self.held_back.syncing) else { return };
        match self.journal.pending() {
            Ok(Some(pending)) => {
                self.held_back.syncing = true;
                tokio::task::spawn_local(async move {
                    let made = tokio::task::spawn_blocking(move || (pending.sync(), pending)).await;
                    let result = match made {
                        Ok((Ok(()), pending)) => Ok(pending),
                        Ok((Err(e), _)) => Err(e),
                        Err(e) => Err(io::Error::other(e.to_string())),
                    };
                    let _ = to.send(OwnerMessage::Synced(result)).await;
                });
            }
            // A rewrite of the journal has synced all of it.
            Ok(None) => self.release_steps(),
            Err(e) => self.sync_failed(&e),
        }
    }

    /// Handles the result of a sync.
    pub(super) fn synced(&mut self, made: io::Result<Pending>) {
        self.held_back.syncing = false;
        match made {
            Ok(made) => self.journal.was_synced(&made),
            Err(e) => return self.sync_failed(&e),
        }
        self.release_steps();
        if !self.held_back.steps.is_empty() {
            self.begin_sync();
        }
    }

    fn release_steps(&mut self) {
        let lasting = self.journal.lasting();
        self.held_back.counts.0 += 1;
        while self.held_back.steps.front().is_some_and(|s| s.write <= lasting) {
            if let Some(step) = self.held_back.steps.pop_front() {
                self.held_back.counts.1 += 1;
                self.finish_step(step);
            }
        }
    }

    /// After a failed sync the flows of the held-back steps are not accepted although their records are in the file;
    /// records of their end follow. Data that a disk failed to sync once may be lost without a further error, so the
    /// complete state is written to a new file.
    fn sync_failed(&mut self, e: &io::Error) {
        tracing::error!("journal: sync failed: {e}; new flows are rejected");
        for step in std::mem::take(&mut self.held_back.steps) {
            let taken =
                |e: &Effect<Rc<Parcel>>| if let Effect::Accepted(no, _) = e { Some(*no) } else { None };
            let ends: Vec<_> =
                step.effects.iter().filter_map(taken).map(|no| Record::Ended(no, None)).collect();
            self.unwritten.extend(ends);
            self.finish_step(Step { lasting: false, ..step });
        }
        self.journal.spoilt();
    }

    /// Whether every written step has been carried out.
    pub(super) fn all_steps_done(&self) -> bool {
        self.held_back.steps.is_empty()
    }

    /// Records the orderly end of the process; nothing is written after it.
    pub(super) fn close_journal(&mut self) {
        if self.times_written {
            let closed = self.journal.write(&[Record::Closed(self.clock.now())]);
            if let Err(e) = closed.and_then(|()| self.journal.sync_all()) {
                tracing::warn!("journal: the closing record was not written: {e}");
            }
        }
        self.fleet.iter().for_each(fleet::Fleet::log_counts);
        let (syncs, steps) = self.held_back.counts;
        if syncs > 0 {
            tracing::info!(syncs, steps, "journal closed");
        }
    }
}
