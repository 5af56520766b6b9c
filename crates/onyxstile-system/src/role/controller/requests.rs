//! Requests of other machines to a controller.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use super::ControllerServer;
use crate::clock::Instant;
use crate::controller::Input;
use crate::process;
use crate::relays::Relay;
use crate::role::rpc::ResponseFuture;
use crate::swim::MemberState;
use crate::wire::{PublishedState, PullRequest, PullResponse, Request, Response};

/// Time after the start in which a controller that is not settled sends minimal responses.
const STARTING_FOR: Duration = Duration::from_millis(500);
/// A controller that is still not settled this long after its start sends its state nevertheless: the control plane is
/// down for all.
const UNSETTLED_MAX: Duration = Duration::from_secs(4);
/// Longest time for which a response waits for an update.
const WAIT_MAX: Duration = Duration::from_secs(5);

impl ControllerServer {
    /// Answers one request of another machine.
    pub(super) fn answer(self: Rc<ControllerServer>, request: Request) -> ResponseFuture {
        match request {
            Request::Control { from, message } => {
                self.step(Input::Message { from: from.into(), message });
                Box::pin(std::future::ready(Response::Done))
            }
            Request::Register(instance) => Box::pin(async move { self.register(instance).await }),
            Request::Registry { origin, counter, wait_ms } => {
                Box::pin(async move { self.registry_since(origin, counter, wait_ms).await })
            }
            Request::Pull(pull) => Box::pin(async move { Response::Pull(self.pull_response(pull).await) }),
            Request::Status => Box::pin(std::future::ready(Response::Status(self.status()))),
            _ => Box::pin(std::future::ready(Response::Refused)),
        }
    }

    /// Address to which a standby redirects endpoints: an elector that the membership considers alive. `None` on an
    /// elector, or if none is known.
    pub(super) fn elector_to_ask(&self) -> Option<SocketAddrV4> {
        let controller = self.controller.borrow();
        if controller.view().is_none() || controller.is_elector() {
            return None;
        }
        let port = self.settings.borrow().listen.control?.port();
        let swim = self.swim.borrow();
        let alive =
            |ip: [u8; 4]| swim.members().any(|member| member.ip == ip && member.state == MemberState::Alive);
        let ip = controller.view()?.electors.iter().map(|id| id.ip).find(|ip| alive(*ip))?;
        Some(SocketAddrV4::new(ip.into(), port))
    }

    pub(super) fn electors(&self) -> Vec<[u8; 4]> {
        let controller = self.controller.borrow();
        controller.view().map_or_else(Vec::new, |view| view.electors.iter().map(|id| id.ip).collect())
    }

    async fn pull_response(&self, pull: PullRequest) -> PullResponse {
        if !pull.wants_endpoints {
            // Recorded also if it is 0: a storage machine that has lost its disk revokes its earlier report.
            self.sync_reports.borrow_mut().insert(pull.ip, (pull.synced_epoch, self.clock.now()));
        }
        if pull.wants_endpoints {
            let relay = Relay { name: pull.name.clone(), revision: pull.revision };
            self.relays.borrow_mut().note_poll(self.clock.now(), pull.ip, relay);
        }
        if let Some(evidence) = &pull.evidence {
            self.evidence.borrow_mut().note_report(self.clock.now(), pull.ip, evidence);
        }
        // No machine relies on a controller that has just started and is not settled, and all are about to poll again.
        let is_update =
            |pull_response: &PullResponse| !self.is_starting() && has_update(pull_response, &pull);
        self.wait_for_change(pull.wait_ms, || self.snapshot(&pull), is_update).await
    }

    fn was_settled(&self) -> bool {
        self.settled_after.get().is_some()
    }

    /// Whether this controller sends a state to pollers: not an older one while it may be about to learn the newest.
    fn may_send_state(&self) -> bool {
        self.was_settled() || self.clock.now().since(Instant::default()) >= UNSETTLED_MAX
    }

    /// Returns the first answer that is an update for the caller, or the last one before `wait_ms` have passed.
    pub(super) async fn wait_for_change<T>(
        &self, wait_ms: u64, answer: impl Fn() -> T, is_update: impl Fn(&T) -> bool,
    ) -> T {
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms).min(WAIT_MAX);
        loop {
            let changed = self.changed.notified();
            let answer = answer();
            if is_update(&answer) || tokio::time::timeout_at(until, changed).await.is_err() {
                return answer;
            }
        }
    }

    fn snapshot(&self, pull: &PullRequest) -> PullResponse {
        let controller = self.controller.borrow();
        let registry = self.registry.borrow();
        self.note_settled();
        if self.is_starting() {
            return self.startup_response(pull);
        }
        let state = controller.committed_state();
        let sequence = state.map_or(0, |state| state.sequence);
        let wanted = state.filter(|_| pull.wants_state && sequence > pull.sequence && self.may_send_state());
        let origin = registry.origin();
        let is_behind = pull.wants_endpoints && (pull.origin != origin || pull.counter < registry.counter());
        PullResponse {
            view: controller.installed(),
            electors: self.electors(),
            is_settled: self.is_settled(),
            sequence,
            state: wanted.map(|state| PublishedState {
                sequence,
                configuration: state
                    .configuration
                    .clone()
                    .filter(|configuration| configuration.revision != pull.revision),
                storage: state.storage.clone(),
            }),
            origin,
            counter: registry.counter(),
            endpoints: if is_behind { registry.since(pull.origin, pull.counter) } else { Vec::new() },
            relays: self.relays.borrow().count(self.clock.now()),
            evidence: match &pull.evidence {
                Some(_) => self.evidence.borrow().suspects(self.clock.now()),
                None => Vec::new(),
            },
        }
    }

    /// Whether this controller is settled, so that relays may rely on its data.
    pub(super) fn is_settled(&self) -> bool {
        self.controller.borrow().is_stable() && self.drain_sync.borrow().is_complete()
    }

    /// Records the time at which it was first settled.
    pub(super) fn note_settled(&self) {
        if !self.was_settled() && self.is_settled() {
            let after = self.clock.now().since(Instant::default());
            log::info!("settled {} ms after its start", after.as_millis());
            self.settled_after.set(Some(after));
        }
    }

    /// Whether it has just started and may become settled in a moment.
    fn is_starting(&self) -> bool {
        !self.was_settled() && self.clock.now().since(Instant::default()) < STARTING_FOR
    }

    /// Response of a controller that has just started: only the electors and nothing expensive, because all machines poll
    /// at once after a power loss, and the controllers have to exchange messages first.
    fn startup_response(&self, pull: &PullRequest) -> PullResponse {
        PullResponse {
            view: self.controller.borrow().installed(),
            electors: self.electors(),
            origin: pull.origin,
            counter: pull.counter,
            ..PullResponse::default()
        }
    }

    /// Status lines for an operator.
    pub(super) fn status(&self) -> Vec<String> {
        let controller = self.controller.borrow();
        let mut lines = vec![format!("node {}", self.settings.borrow().node_name)];
        lines.push(format!("previous end: {}", process::previous_end()));
        let Some(view) = controller.view() else {
            lines.push("view none: not taken in yet".into());
            return lines;
        };
        lines.push(format!("view {} head {}", view.number, controller.is_head()));
        lines.extend(view.chain.iter().map(|id| format!("chain {} disk {:x}", id.address(), id.disk)));
        if let Some(state) = controller.committed_state() {
            let plan = &state.storage;
            lines.push(format!("sequence {} revision {}", state.sequence, state.revision()));
            lines.push(format!("storage epoch {} changing {}", plan.epoch, plan.is_changing()));
            lines.extend(plan.current.iter().map(|node| format!("storage {} {}", node.name, node.address())));
        }
        lines.push(format!(
            "endpoints ready {} drains whole {}",
            self.registry.borrow().ready(),
            self.drain_sync.borrow().is_complete()
        ));
        let revision = controller.committed_state().map_or(0, |state| state.revision());
        lines.extend(self.relays.borrow().lines(self.clock.now(), revision));
        lines.extend(self.evidence.borrow().lines(self.clock.now()));
        lines
    }
}

fn has_update(pull_response: &PullResponse, pull: &PullRequest) -> bool {
    let is_newer = pull_response.sequence > pull.sequence;
    let has_endpoints =
        pull.wants_endpoints && (pull_response.origin != pull.origin || pull_response.counter > pull.counter);
    is_newer || has_endpoints || pull_response.is_settled && !pull.is_counted
}
