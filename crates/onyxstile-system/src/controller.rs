//! State machine of one controller: an agreed view, and chain replication of the control state inside it.
//!
//! The state machine performs no I/O. [`Controller::step`] takes the current time and one input and returns effects,
//! which must be executed in order: persisted data is synced before any later effect is sent.
//!
//! Guarantees to the operator: a write with the outcome `Done` survives the loss of as many disks as the tolerance
//! allows, and a read or a refusal reflects every write that was acknowledged before the request. Every member of the
//! chain stores a write before it is acknowledged; a chain has at least as many members as are needed to intersect any
//! majority of the electors, and a new view begins with the newest state among a majority's promises. The set of
//! electors does not shrink with the chain, so one machine that missed writes and one that holds them are enough to
//! continue.

mod accessors;
mod agreement;
mod bootstrap;
mod chain;
mod events;
mod membership;
mod operations;
mod stability;
mod timers;
mod view_choice;
mod view_transfer;

pub use events::{Effect, Input};
pub use membership::{Locations, next_membership};
pub use operations::{Evaluation, evaluate};

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::control::{
    ControlState, Durable, ElectorId, Incarnation, Message, Operation, Outcome, Token, Write,
};
use crate::tolerance::{Location, Tolerance};

/// Interval after which an unacknowledged write is sent to the successor again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of an operation that has no outcome yet.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
struct PendingWrite {
    tokens: Vec<Token>,
    operation: Operation,
    sequence: u64,
    sent: Instant,
}

#[derive(Debug, Clone)]
struct PendingConfirmation {
    nonce: u64,
    view: u64,
    confirmed: Vec<ElectorId>,
    token: Token,
    outcome: Outcome,
    expires: Instant,
}

/// The state machine of one controller. Clones evolve independently, which model checking relies on.
#[derive(Debug, Clone)]
pub struct Controller {
    id: ElectorId,
    incarnation: Incarnation,
    tolerance: Tolerance,
    durable: Durable,
    live: Vec<ElectorId>,
    dead_storage: Vec<String>,
    locations: Locations,
    started: Instant,
    committed: u64,
    stable: ControlState,
    /// Newest sequence on the disk of each other elector in the installed view, as reported to this incarnation.
    written: BTreeMap<ElectorId, u64>,
    proposal: Option<agreement::Proposal>,
    round: u64,
    view_change_since: Option<Instant>,
    write: Option<PendingWrite>,
    /// The write that produced the newest state, if this incarnation received it.
    last_write: Option<Rc<Write>>,
    queue: VecDeque<(Token, Operation, Instant)>,
    forwarded: HashMap<u64, Instant>,
    pending_confirmations: Vec<PendingConfirmation>,
    nonce: u64,
    /// When the view was last sent to each machine that lacks it.
    view_sent_at: HashMap<Ipv4Addr, Instant>,
    next_status: Instant,
    loopback: VecDeque<Message>,
    effects: Vec<Effect>,
}

impl Controller {
    /// Creates a controller from the contents of its disk; `incarnation` must be random and new at each start.
    pub fn new(
        ip: Ipv4Addr, durable: Durable, tolerance: Tolerance, incarnation: Incarnation, now: Instant,
    ) -> Controller {
        let stable = durable.view.as_ref().map_or_else(ControlState::default, |view| view.state.clone());
        Controller {
            id: ElectorId { ip: ip.octets(), disk: durable.disk },
            incarnation,
            tolerance,
            durable,
            live: Vec::new(),
            dead_storage: Vec::new(),
            locations: Locations::new(),
            started: now,
            committed: stable.sequence,
            stable,
            written: BTreeMap::new(),
            proposal: None,
            round: 0,
            view_change_since: None,
            write: None,
            last_write: None,
            view_sent_at: HashMap::new(),
            queue: VecDeque::new(),
            forwarded: HashMap::new(),
            pending_confirmations: Vec::new(),
            nonce: 0,
            next_status: now,
            loopback: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Sets the zone and region of this machine.
    pub fn with_location(mut self, location: Location) -> Controller {
        self.locations.insert(self.id.ip, location);
        self
    }

    /// Sets the write that produced the newest state on disk, so that only this write needs to be resent instead of the
    /// full state. Ignored if it is not the newest write.
    pub fn with_last_write(mut self, write: Option<Rc<Write>>) -> Controller {
        self.last_write = write.filter(|write| write.sequence == self.durable.state.sequence);
        self
    }

    /// Processes one input and returns the effects to execute, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        match input {
            Input::Message { from, message } => self.receive(now, from, message),
            Input::Operation { number, operation } => {
                let token = self.token(number);
                self.forwarded.insert(number, now + OPERATION_TIMEOUT);
                self.route(now, token, operation);
            }
            Input::Live(live) => {
                self.live = live.iter().map(|(id, _)| *id).collect();
                self.locations.extend(live.into_iter().map(|(id, location)| (id.ip, location)));
            }
            Input::DeadStorage(names) => self.dead_storage = names,
            Input::Tick => self.tick(now),
        }
        while let Some(message) = self.loopback.pop_front() {
            let own = self.id.address();
            self.receive(now, own, message);
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now: Instant, from: Ipv4Addr, message: Message) {
        match message {
            Message::Status { from: id, view, committed, written } => {
                self.receive_status(now, id, view, committed);
                self.receive_written(id, view, written);
            }
            Message::Installed(view) => self.install(now, view),
            Message::Prepare { view, ballot, sequence } => self.prepare(now, from, view, ballot, sequence),
            Message::Promise { from: id, view, ballot, accepted, state } => {
                self.promised(id, view, ballot, accepted, state);
            }
            Message::Refused { view, promised } => self.refused(view, promised),
            Message::Accept { ballot, value } => self.accept(now, from, ballot, value),
            Message::Accepted { from: id, view, ballot } => self.accepted(now, id, view, ballot),
            Message::Apply { view, written } => self.apply(from, view, written),
            Message::Applied { view, sequence } => self.applied(now, view, sequence),
            Message::Confirm { view, incarnation, nonce } => {
                self.confirm(now, from, view, incarnation, nonce)
            }
            Message::Confirmed { from: id, view, incarnation, nonce } if incarnation == self.incarnation => {
                self.confirmed(id, view, nonce);
            }
            // Answers a request of an earlier incarnation.
            Message::Confirmed { .. } => {}
            Message::Forward { token, operation } => self.route(now, token, operation),
            Message::Outcome { token, outcome } => self.finish(token, outcome),
        }
    }

    fn token(&self, number: u64) -> Token {
        Token { origin: self.id.ip, incarnation: self.incarnation, number }
    }

    /// Delivers the outcome of an operation. Outcomes for an earlier incarnation are dropped, as no caller waits for
    /// them.
    fn finish(&mut self, token: Token, outcome: Outcome) {
        if token.origin != self.id.ip {
            self.send(token.origin.into(), Message::Outcome { token, outcome });
        } else if token.incarnation == self.incarnation && self.forwarded.remove(&token.number).is_some() {
            self.effects.push(Effect::Reply { number: token.number, outcome });
        }
    }

    /// Records that all writes up to `sequence` are on the disks of the whole chain.
    fn commit(&mut self, sequence: u64) {
        self.committed = self.committed.max(sequence);
        if self.committed >= self.durable.state.sequence {
            self.stable = self.durable.state.clone();
        }
    }

    /// Whether a promise for the next view prevents this controller from writing in the installed view.
    fn has_promised_next_view(&self) -> bool {
        self.durable.promised != Default::default()
    }

    fn persist(&mut self) {
        self.effects.push(Effect::Persist(Rc::new(self.durable.clone())));
    }

    fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.id.address() {
            self.loopback.push_back(message);
        } else {
            self.effects.push(Effect::Send { to, message });
        }
    }
}
