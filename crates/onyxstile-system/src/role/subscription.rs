//! Subscription to the controllers: one long poll to each, and the state itself from one of them.
//!
//! A relay polls all controllers, because one that is cut off may not know the newest state. Only one of them sends it
//! the state: the first by rendezvous hashing over the electors, so that the transfer of a change is spread evenly over
//! all of them (`fetch`).

mod fetch;
mod polling;
mod state;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::essential_tasks::EssentialTasks;
use super::rpc::Client;
use crate::evidence::Evidence;
use crate::feed_state::FeedUpdate;
use crate::settings::Settings;
use crate::wire::{PullRequest, PullResponse, Request, Response};
use polling::Polling;
use state::State;

/// Response timeout of a poll, in addition to its wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed poll, or after a response of a controller that is not settled.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The same while no majority has responded: all controllers may be about to return.
const RETRY_DELAY_WITHOUT_MAJORITY: Duration = Duration::from_millis(40);
/// Interval between reviews of the set of controllers.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// A subscriber without responses of a majority continues after this time with the state that it has: the control plane
/// is down for all.
const FRESH_WITHOUT_MAJORITY_AFTER: Duration = Duration::from_secs(5);

/// Options of a subscription.
pub struct SubscriptionOptions {
    /// For a relay, which requests endpoints: evidence of its calls about suspected endpoints.
    pub relay_evidence: Option<Rc<RefCell<Vec<Evidence>>>>,
    /// Longest time for which a poll may wait for updates.
    pub wait: Duration,
    /// Storage epoch for which this machine holds all its records; 0 if it is not a storage machine.
    pub synced_epoch: Rc<Cell<u64>>,
}

struct Subscription {
    settings: Rc<RefCell<Settings>>,
    client: Client,
    options: SubscriptionOptions,
    updates: mpsc::UnboundedSender<FeedUpdate>,
    state: RefCell<State>,
}

/// Starts following the controllers as one of `tasks`; returns the receiver of updates.
pub fn follow(
    settings: Rc<RefCell<Settings>>, client: Client, options: SubscriptionOptions, tasks: &mut EssentialTasks,
) -> mpsc::UnboundedReceiver<FeedUpdate> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let state = RefCell::default();
    let subscription = Rc::new(Subscription { settings, client, options, updates, state });
    tasks.spawn("subscription to the controllers", subscription.review());
    receiver
}

impl Subscription {
    async fn review(self: Rc<Subscription>) {
        let started = tokio::time::Instant::now();
        loop {
            self.poll_all();
            if started.elapsed() >= FRESH_WITHOUT_MAJORITY_AFTER {
                self.declare_fresh();
            }
            tokio::time::sleep(REVIEW_INTERVAL).await;
        }
    }

    /// Starts polling controllers that are not polled yet.
    fn poll_all(self: &Rc<Subscription>) {
        self.start_polling(self.controllers());
    }

    /// The same for a majority of the electors and one more. After a power loss all machines poll at once, and the first
    /// responses matter.
    fn poll_first(self: &Rc<Subscription>) {
        let own = self.settings.borrow().ip;
        let first = self.state.borrow().first_to_poll(own);
        self.start_polling(first);
    }

    fn start_polling(self: &Rc<Subscription>, controllers: Vec<Ipv4Addr>) {
        for controller in controllers {
            let is_new = self.state.borrow_mut().polled.insert(controller);
            if is_new {
                tokio::task::spawn_local(self.clone().poll(controller));
            }
        }
    }

    fn controllers(&self) -> Vec<Ipv4Addr> {
        let state = self.state.borrow();
        let settings = self.settings.borrow();
        let seeds = settings.seed_addresses();
        if state.electors.is_empty() {
            return state.seed_to_poll(settings.ip, &seeds).into_iter().collect();
        }
        let mut controllers = state.electors.clone();
        // Seeds may be outdated; they are polled while too few electors respond.
        if !state.has_settled_majority() {
            controllers.extend(seeds);
        }
        controllers.sort_unstable();
        controllers.dedup();
        controllers
    }

    async fn poll(self: Rc<Subscription>, controller: Ipv4Addr) {
        let polling = Polling::new(self.clone(), controller);
        while self.controllers().contains(&controller) {
            let to = SocketAddrV4::new(controller, self.settings.borrow().peer_port());
            let pull = self.next_request(controller);
            let response_timeout =
                Duration::from_millis(pull.wait_ms) + self.response_timeout(pull.wants_state);
            match self.client.call(to, &Request::Pull(pull), response_timeout).await {
                Ok(Response::Pull(pulled)) => {
                    self.state.borrow_mut().answering.insert(controller);
                    self.apply_response(controller, pulled);
                }
                Ok(_) | Err(_) => self.state.borrow_mut().missed(controller),
            }
            self.state.borrow_mut().note_seed_polled();
            // A controller that is not settled may respond at once.
            let has_settled = self.state.borrow().settled.contains(&controller);
            if !has_settled {
                self.delay_retry().await;
            }
        }
        drop(polling);
        // While no elector is known, poll the next seed.
        if self.state.borrow().electors.is_empty() {
            self.poll_all();
        }
    }

    async fn delay_retry(&self) {
        let has_settled_majority = self.state.borrow().has_settled_majority();
        tokio::time::sleep(if has_settled_majority { RETRY_DELAY } else { RETRY_DELAY_WITHOUT_MAJORITY })
            .await;
    }

    /// Next poll request to a controller. The first one is answered at once and returns the electors.
    fn next_request(&self, controller: Ipv4Addr) -> PullRequest {
        let settings = self.settings.borrow();
        let state = self.state.borrow();
        let may_wait = state.answering.contains(&controller);
        let wants_state = state.source(settings.ip) == Some(controller);
        let (origin, counter) = state.registries.get(&controller).copied().unwrap_or_default();
        PullRequest {
            ip: settings.ip.octets(),
            name: settings.node_name.clone(),
            sequence: if wants_state { state.sequence } else { state.sequence.max(state.newest_sequence) },
            revision: state.revision,
            wants_state,
            wants_endpoints: self.options.relay_evidence.is_some(),
            origin,
            counter,
            is_counted: state.settled.contains(&controller),
            wait_ms: if may_wait { self.options.wait.as_millis() as u64 } else { 0 },
            synced_epoch: self.options.synced_epoch.get(),
            evidence: self.evidence_for(&state, controller),
        }
    }

    /// The evidence of relays is aggregated by one controller: the one with the lowest address among the settled ones.
    fn evidence_for(&self, state: &State, controller: Ipv4Addr) -> Option<Vec<Evidence>> {
        let own = self.options.relay_evidence.as_ref()?;
        let is_first = state.settled.iter().min() == Some(&controller);
        is_first.then(|| own.borrow().clone())
    }

    fn apply_response(self: &Rc<Subscription>, controller: Ipv4Addr, pulled: PullResponse) {
        let mut state = self.state.borrow_mut();
        if pulled.view > state.view {
            state.view = pulled.view;
            state.electors = pulled.electors.iter().map(|ip| Ipv4Addr::from(*ip)).collect();
        }
        if pulled.is_settled && pulled.view > 0 {
            state.settled.insert(controller);
        }
        state.newest_sequence = state.newest_sequence.max(pulled.sequence);
        if let Some(count) = pulled.relays.filter(|_| self.options.relay_evidence.is_some()) {
            self.apply_relay_count(&mut state, controller, count);
        }
        if !pulled.endpoints.is_empty() {
            self.send_update(FeedUpdate::Endpoints(pulled.endpoints));
        }
        if !pulled.evidence.is_empty() {
            self.send_update(FeedUpdate::Evidence(pulled.evidence));
        }
        if self.options.relay_evidence.is_some() {
            state.registries.insert(controller, (pulled.origin, pulled.counter));
        }
        if let Some(published) = pulled.state.filter(|published| published.sequence > state.sequence) {
            state.sequence = published.sequence;
            state.late_states = 0;
            if let Some(configuration) = &published.configuration {
                state.revision = configuration.revision;
            }
            self.send_update(FeedUpdate::State(published));
        }
        let is_behind = state.is_behind();
        let is_complete = state.has_settled_majority() && !is_behind;
        drop(state);
        if is_complete {
            self.declare_fresh();
        }
        if is_behind {
            self.fetch();
        }
        self.poll_first();
    }

    fn apply_relay_count(&self, state: &mut State, controller: Ipv4Addr, count: u32) {
        let before = state.most_relays();
        state.relays.insert(controller, count);
        let after = state.most_relays();
        if let Some(most) = after.filter(|_| after != before) {
            self.send_update(FeedUpdate::Relays(most));
        }
    }

    fn declare_fresh(&self) {
        let mut state = self.state.borrow_mut();
        if !state.is_fresh {
            state.is_fresh = true;
            drop(state);
            self.send_update(FeedUpdate::Fresh);
        }
    }

    fn send_update(&self, update: FeedUpdate) {
        if self.updates.send(update).is_err() {
            log::error!("the receiver of updates was dropped");
        }
    }
}
