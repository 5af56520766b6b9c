//! Inputs of the state machine: time, membership and operations.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::ControllerServer;
use crate::control::{ElectorId, Message, Operation, Outcome};
use crate::controller::Input;
use crate::swim::{Class, MemberState};
use crate::tolerance::Location;
use crate::wire::Request;

/// Interval between ticks of the state machine.
const TICK: Duration = Duration::from_millis(25);
/// Operator clients go on to another machine after 1 s without a response, so an operation is answered earlier.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(850);

impl ControllerServer {
    /// Drives the clock of the state machine.
    pub(super) async fn tick(self: Rc<ControllerServer>) -> Infallible {
        loop {
            self.note_settled();
            self.step(Input::Live(self.live_controllers()));
            self.step(Input::DeadStorage(self.dead_storage()));
            self.step(Input::Tick);
            if self.registry.borrow_mut().tick(self.clock.now()) {
                self.changed.notify_waiters();
            }
            self.relays.borrow_mut().tick(self.clock.now());
            self.evidence.borrow_mut().tick(self.clock.now());
            let is_complete = self.drain_sync.borrow().is_complete();
            self.registry_store.write_if_due(self.clock.now(), &self.registry.borrow(), is_complete);
            self.clone().plan();
            tokio::time::sleep(TICK).await;
        }
    }

    fn live_controllers(&self) -> Vec<(ElectorId, Location)> {
        let swim = self.swim.borrow();
        let settings = self.settings.borrow();
        let is_live =
            |member: &&crate::swim::Member| member.class == Class::Core && member.state != MemberState::Dead;
        swim.members()
            .filter(is_live)
            .map(|member| (ElectorId { ip: member.ip, disk: member.disk }, settings.location(&member.zone)))
            .collect()
    }

    /// Passes one input to the state machine and executes its effects. While the disk refuses writes, inputs are dropped,
    /// as if the machine were cut off.
    pub(super) fn step(&self, input: Input) {
        let Some(_running) = self.step_guard.enter() else { return };
        let now = self.clock.now();
        if !self.retry_disk(now) {
            return;
        }
        let before = self.position();
        let effects = self.controller.borrow_mut().step(now, input);
        for effect in effects {
            if !self.execute(now, effect) {
                return;
            }
        }
        self.snapshot_if_due(now);
        if self.position() != before {
            self.changed.notify_waiters();
        }
    }

    fn position(&self) -> (u64, u64) {
        let controller = self.controller.borrow();
        (controller.installed(), controller.committed_state().map_or(0, |state| state.sequence))
    }

    /// Sends a message to another controller.
    pub(super) fn send(&self, to: Ipv4Addr, message: Message) {
        let from = self.settings.borrow().ip.octets();
        self.client.cast(self.peer(to), &Request::Control { from, message });
    }

    /// Submits an operation and waits for its outcome.
    pub(super) async fn operate(&self, operation: Operation) -> Outcome {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().insert(number, sender);
        self.step(Input::Operation { number, operation });
        let outcome = tokio::time::timeout(OPERATION_TIMEOUT, receiver).await;
        self.replies.borrow_mut().remove(&number);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unknown,
        }
    }
}
