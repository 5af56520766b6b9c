//! Operations: which chain member answers each, how it changes the control state, and when its outcome may be sent.

use std::net::Ipv4Addr;
use std::rc::Rc;

use super::{Controller, OPERATION_TIMEOUT, PendingConfirmation, PendingWrite};
use crate::clock::Instant;
use crate::configuration::{self, ConfigurationError, Revision};
use crate::control::{
    AcceptedChange, Change, ControlState, ElectorId, Incarnation, Message, Operation, Outcome,
    StoredConfiguration, Token,
};
use crate::storage_plan::RetireRefusal;
use crate::tolerance::Tolerance;

/// Result of evaluating an operation against a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evaluation {
    /// The operation makes this change.
    Write(Change),
    /// The operation was already applied, which no later event can change.
    AlreadyApplied,
    /// The operation ends with this outcome, provided that the state is still the newest.
    Answer(Outcome),
}

impl Controller {
    /// Routes an operation: the tail answers reads, the head performs writes.
    pub(super) fn route(&mut self, now: Instant, token: Token, operation: Operation) {
        let Some(view) = self.durable.view.clone() else {
            self.finish(token, Outcome::Unknown);
            return;
        };
        let member = if operation.is_read() { view.chain.last() } else { view.chain.first() };
        let Some(member) = member.copied() else { return };
        if member != self.id {
            // A forwarded operation that cannot be handled here is answered by the timeout at its origin. An operation
            // cannot be forwarded to the former identity of this machine either, from before it lost its disk.
            if token.origin == self.id.ip && member.ip != self.id.ip {
                self.send(member.address(), Message::Forward { token, operation });
            } else {
                self.finish(token, Outcome::Unknown);
            }
        } else if operation.is_read() {
            self.read(now, token, &operation);
        } else {
            self.queue.push_back((token, operation, now + OPERATION_TIMEOUT));
            self.begin_writes(now);
        }
    }

    fn read(&mut self, now: Instant, token: Token, operation: &Operation) {
        if self.has_promised_next_view() || !self.is_tail() {
            self.finish(token, Outcome::Unknown);
            return;
        }
        if let Evaluation::Answer(outcome) = self.evaluate(operation) {
            self.reply_when_confirmed(now, token, outcome);
        }
    }

    fn evaluate(&self, operation: &Operation) -> Evaluation {
        evaluate(&self.durable.state, operation, self.tolerance, &self.dead_storage)
    }

    /// Starts queued writes until one is in progress.
    pub(super) fn begin_writes(&mut self, now: Instant) {
        while self.write.is_none() && self.is_head() {
            if self.durable.state.sequence > self.committed {
                self.adopt_uncommitted(now);
                return;
            }
            let Some((token, operation, _)) = self.queue.pop_front() else { return };
            let evaluation = self.evaluate(&operation);
            match evaluation {
                Evaluation::AlreadyApplied => self.finish(token, Outcome::Done),
                Evaluation::Answer(outcome) => self.reply_when_confirmed(now, token, outcome),
                Evaluation::Write(change) => self.begin_write(now, vec![token], operation, change),
            }
        }
    }

    fn begin_write(&mut self, now: Instant, tokens: Vec<Token>, operation: Operation, change: Change) {
        let write = self.durable.state.write(change);
        let sequence = write.sequence;
        self.append(Rc::new(write));
        self.write = Some(PendingWrite { tokens, operation, sequence, sent: now });
        self.send_to_successor();
    }

    /// Commits a write that the head has on its disk from before a restart, ahead of any other write.
    fn adopt_uncommitted(&mut self, now: Instant) {
        let sequence = self.durable.state.sequence;
        let operation = Operation::GetConfiguration;
        self.write = Some(PendingWrite { tokens: Vec::new(), operation, sequence, sent: now });
        self.send_to_successor();
    }

    /// Completes the write in progress if the tail has acknowledged it, and starts the next.
    pub(super) fn complete_write(&mut self, now: Instant) {
        let is_committed = self.write.as_ref().is_some_and(|write| write.sequence <= self.committed);
        if is_committed && let Some(write) = self.write.take() {
            for token in write.tokens {
                self.finish(token, Outcome::Done);
            }
            self.begin_writes(now);
        }
    }

    /// Re-evaluates pending operations against the initial state of a new view.
    pub(super) fn restart_operations(&mut self, now: Instant) {
        self.pending_confirmations.clear();
        let mut waiting: Vec<(Token, Operation)> = Vec::new();
        if let Some(write) = self.write.take() {
            waiting.extend(write.tokens.into_iter().map(|token| (token, write.operation.clone())));
        }
        waiting.extend(self.queue.drain(..).map(|(token, operation, _)| (token, operation)));
        for (token, operation) in waiting {
            if self.is_head() {
                self.queue.push_back((token, operation, now + OPERATION_TIMEOUT));
            } else {
                self.finish(token, Outcome::Unknown);
            }
        }
        self.begin_writes(now);
    }

    /// Sends an outcome once a majority has confirmed that no newer view can have been decided when the operation was
    /// submitted.
    fn reply_when_confirmed(&mut self, now: Instant, token: Token, outcome: Outcome) {
        let Some(view) = self.durable.view.clone() else { return };
        self.nonce += 1;
        let nonce = self.nonce;
        let expires = now + OPERATION_TIMEOUT;
        let confirmed = Vec::new();
        self.pending_confirmations.push(PendingConfirmation {
            nonce,
            view: view.number,
            confirmed,
            token,
            outcome,
            expires,
        });
        for elector in &view.electors {
            self.send(
                elector.address(),
                Message::Confirm { view: view.number, incarnation: self.incarnation, nonce },
            );
        }
    }

    pub(super) fn confirm(
        &mut self, now: Instant, from: Ipv4Addr, view: u64, incarnation: Incarnation, nonce: u64,
    ) {
        if view == self.installed() && !self.has_promised_next_view() {
            let id = self.id;
            self.send(from, Message::Confirmed { from: id, view, incarnation, nonce });
        } else if view < self.installed() {
            self.send_view(now, from);
        }
    }

    pub(super) fn confirmed(&mut self, from: ElectorId, view: u64, nonce: u64) {
        let Some(current) = self.durable.view.clone() else { return };
        if view != current.number || !current.electors.contains(&from) {
            return;
        }
        let Some(index) = self
            .pending_confirmations
            .iter()
            .position(|pending| pending.nonce == nonce && pending.view == view)
        else {
            return;
        };
        let pending = &mut self.pending_confirmations[index];
        if !pending.confirmed.contains(&from) {
            pending.confirmed.push(from);
        }
        if pending.confirmed.len() >= current.majority() {
            let pending = self.pending_confirmations.swap_remove(index);
            self.finish(pending.token, pending.outcome);
        }
    }
}

/// Evaluates an operation against `state`, in which all earlier writes are committed; `dead_storage` names the dead
/// storage machines.
pub fn evaluate(
    state: &ControlState, operation: &Operation, tolerance: Tolerance, dead_storage: &[String],
) -> Evaluation {
    match operation {
        Operation::PutConfiguration { base, body } => put_configuration(state, *base, body),
        Operation::GetConfiguration => {
            Evaluation::Answer(Outcome::Configuration(state.configuration.clone()))
        }
        Operation::Retire(name) => retire(state, name, tolerance, dead_storage),
        Operation::GetRetire(name) => Evaluation::Answer(
            state.storage.is_retirement_complete(name).map_or(Outcome::NotFound, Outcome::Retirement),
        ),
        Operation::Plan(plan) if plan.epoch == state.storage.epoch + 1 => {
            Evaluation::Write(Change::Storage(plan.clone()))
        }
        Operation::Plan(_) => Evaluation::Answer(Outcome::Conflict(state.storage.epoch)),
    }
}

fn retire(state: &ControlState, name: &str, tolerance: Tolerance, dead: &[String]) -> Evaluation {
    match state.storage.retire(name, tolerance, dead) {
        Ok(Some(plan)) => Evaluation::Write(Change::Storage(Rc::new(plan))),
        Ok(None) => Evaluation::AlreadyApplied,
        Err(RetireRefusal::Unknown) => Evaluation::Answer(Outcome::NotFound),
        Err(RetireRefusal::TooFew) => Evaluation::Answer(Outcome::TooFew),
        // Temporary: dead machines may return or be replaced, and a change in progress ends.
        Err(RetireRefusal::TooFewAlive | RetireRefusal::Changing) => Evaluation::Answer(Outcome::Unknown),
    }
}

fn put_configuration(state: &ControlState, base: Option<Revision>, body: &[u8]) -> Evaluation {
    let Some(base) = base else {
        return Evaluation::Answer(Outcome::Invalid("If-Match is missing or no number".into()));
    };
    let accepted = AcceptedChange { base, digest: xxhash_rust::xxh3::xxh3_128(body) };
    if state.accepted.contains(&accepted) {
        return Evaluation::AlreadyApplied;
    }
    let current = state.revision();
    if base > current || state.predates_history(base) {
        // The base version may still be in transit, or may have been accepted and dropped from the history, so a
        // refusal could be wrong.
        return Evaluation::Answer(Outcome::Unknown);
    }
    if base != current {
        return Evaluation::Answer(Outcome::Conflict(current));
    }
    match validate_configuration(body, current) {
        Ok(revision) => {
            let configuration = Rc::new(StoredConfiguration { revision, body: body.to_vec() });
            Evaluation::Write(Change::Configuration { configuration, accepted })
        }
        Err(error) => Evaluation::Answer(Outcome::Invalid(error.to_string())),
    }
}

fn validate_configuration(body: &[u8], current: Revision) -> Result<Revision, ConfigurationError> {
    let revision = configuration::parse(body)?.revision;
    if revision <= current {
        return Err(ConfigurationError::StaleRevision(revision, current));
    }
    Ok(revision)
}
