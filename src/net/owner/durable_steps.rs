//! Steps whose promises wait until what was written for them is synced. Only where writes have to outlast the machine.
//!
//! A step that takes a flow on, or that sends one that must not run twice, is held back until a sync that was begun after
//! its write has returned; so are all steps after it, in their order. One sync serves all steps that wait when it begins.

use super::*;
use crate::net::journal::Pending;
use std::io;

/// A step that was written.
#[derive(Debug)]
pub(super) struct Step {
    effects: Vec<Effect<Rc<Parcel>>>,
    at: Duration,
    lasting: bool,
    resent: BTreeSet<FlowNo>,
    /// The write that has to be synced before it may be carried out.
    write: u64,
}

/// What is held back.
#[derive(Debug, Default)]
pub(super) struct HeldBack {
    steps: VecDeque<Step>,
    /// A sync is under way.
    syncing: bool,
    /// Where its end is told; none where writes need not be synced.
    to: Option<mpsc::Sender<OwnerMessage>>,
    /// Syncs, and steps that they served.
    counts: (u64, u64),
}

impl HeldBack {
    pub(super) fn new(to: mpsc::Sender<OwnerMessage>) -> HeldBack {
        HeldBack { to: Some(to), ..HeldBack::default() }
    }
}

impl Owner {
    /// Carries a step out, or holds it back.
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

    /// A 202, and a call that must not be made twice, are promises that a loss of power must not break.
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
            // A rewrite has synced all of it.
            Ok(None) => self.release_steps(),
            Err(e) => self.sync_failed(&e),
        }
    }

    /// A sync ended.
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

    /// Guards the 202: what was to be taken is not, though it is in the file; its end is written after it. What a disk
    /// has once failed to sync may be gone without a word, so all that is known goes to a new file.
    fn sync_failed(&mut self, e: &io::Error) {
        tracing::error!("journal: not synced: {e}; new flows are turned down");
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

    /// Whether every step that was written has been carried out.
    pub(super) fn all_steps_done(&self) -> bool {
        self.held_back.steps.is_empty()
    }

    /// Writes that the process ends in order; nothing is written after it.
    pub(super) fn close_journal(&mut self) {
        if self.times_written {
            let closed = self.journal.write(&[Record::Closed(self.clock.now())]);
            if let Err(e) = closed.and_then(|()| self.journal.sync_all()) {
                tracing::warn!("journal: not closed: {e}");
            }
        }
        self.fleet.iter().for_each(fleet::Fleet::log_counts);
        let (syncs, steps) = self.held_back.counts;
        if syncs > 0 {
            tracing::info!(syncs, steps, "journal closed");
        }
    }
}
