//! One controller: an agreed view, and chain replication of the control state inside it.
//!
//! Pure. [`Controller::step`] takes the moment and one input and returns effects, which are to be carried out in their
//! order: what is persisted is synced before anything after it is sent.
//!
//! Guarantees to the operator: an outcome of `Done` for a write outlasts the loss of as many disks as are tolerated, and
//! a read or a refusal reflects every write that was acknowledged before it was asked for. A write is held by every
//! member of the chain before it is acknowledged; a chain has at least as many members as it takes to meet any majority
//! of the electors, and a new view begins with the newest state among a majority's promises. The electorate does not
//! shrink with the chain, so a machine that missed writes and one that holds them are enough to go on.

mod accessors;
mod agreement;
mod bootstrap;
mod chain;
mod events;
mod membership;
mod operations;
mod stability;
mod timers;
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

/// A write that its successor has not acknowledged goes again after this time.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// An operation without an outcome is forgotten after this time.
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

/// The state machine of one controller. Clones go their own ways from there, which model checking needs.
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
    /// How far the disks of others have come in the installed view, as they said in this life.
    written: BTreeMap<ElectorId, u64>,
    proposal: Option<agreement::Proposal>,
    round: u64,
    view_change_since: Option<Instant>,
    write: Option<PendingWrite>,
    /// The write that made the newest state, if it was made in this life.
    last_write: Option<Rc<Write>>,
    queue: VecDeque<(Token, Operation, Instant)>,
    forwarded: HashMap<u64, Instant>,
    pending_confirmations: Vec<PendingConfirmation>,
    nonce: u64,
    /// When a machine that lacks the view was sent it last.
    view_sent_at: HashMap<Ipv4Addr, Instant>,
    next_status: Instant,
    loopback: VecDeque<Message>,
    effects: Vec<Effect>,
}

impl Controller {
    /// A controller with what its disk holds; `life` is drawn anew for each start.
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

    /// The same controller on a machine that stands at `place`.
    pub fn with_location(mut self, location: Location) -> Controller {
        self.locations.insert(self.id.ip, location);
        self
    }

    /// The same controller with the write that made the newest state on its disk, so that it need not pass the whole of it on.
    pub fn with_last_write(mut self, write: Option<Rc<Write>>) -> Controller {
        self.last_write = write.filter(|write| write.sequence == self.durable.state.sequence);
        self
    }

    /// Takes one input in.
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
            // It answers a question of an earlier life.
            Message::Confirmed { .. } => {}
            Message::Forward { token, operation } => self.route(now, token, operation),
            Message::Outcome { token, outcome } => self.finish(token, outcome),
        }
    }

    fn token(&self, number: u64) -> Token {
        Token { origin: self.id.ip, incarnation: self.incarnation, number }
    }

    /// Tells how an operation ended. What an earlier life waited for nobody waits for any more.
    fn finish(&mut self, token: Token, outcome: Outcome) {
        if token.origin != self.id.ip {
            self.send(token.origin.into(), Message::Outcome { token, outcome });
        } else if token.incarnation == self.incarnation && self.forwarded.remove(&token.number).is_some() {
            self.effects.push(Effect::Reply { number: token.number, outcome });
        }
    }

    /// Notes that everything up to `sequence` is on the disks of the whole chain.
    fn commit(&mut self, sequence: u64) {
        self.committed = self.committed.max(sequence);
        if self.committed >= self.durable.state.sequence {
            self.stable = self.durable.state.clone();
        }
    }

    /// Whether a promise for the next view keeps this controller from writing in its view.
    fn is_wedged(&self) -> bool {
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
