//! The controller role: the state machine's disk, clock and peers, the registry, and the operator's API.

mod api;
mod effects;
mod exchange;
mod kept_registry;
mod opening;
mod peers;
mod planner;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use tokio::sync::{Notify, oneshot};

use super::identity::random_id;
use super::membership::{self, Shared};
use super::rpc::{self, Client};
use super::{http, signals, socket};
use crate::clock::{Instant, SteadyClock};
use crate::control::{Durable, ElectorId, Message, Operation, Outcome};
use crate::controller::{Controller, Input};
use crate::disk::{ControlRecord, RealFolder};
use crate::evidence::Pooled;
use crate::registry::{Copies, Registry};
use crate::relays::Relays;
use crate::settings::Settings;
use crate::swim::{Class, Standing};
use crate::tolerance::{Place, Tolerance};
use crate::wire::Request;
use kept_registry::KeptRegistry;
use opening::open_record;

/// How often the state machine's clock is looked at.
const TICK: Duration = Duration::from_millis(25);
/// The operator's callers go on to another machine after a second of silence, so an answer comes before that.
const OPERATION_PATIENCE: Duration = Duration::from_millis(850);

quick_error! {
    /// Why a role can't run.
    #[derive(Debug)]
    pub enum RoleError {
        /// A socket or a file.
        Io(what: &'static str, error: io::Error) {
            display("{}: {}", what, error)
        }
        /// The settings lack something that the role needs.
        Settings(field: &'static str) {
            display("the settings lack {}", field)
        }
    }
}

type Failure = (&'static str, io::Error);

impl From<Failure> for RoleError {
    fn from((what, error): Failure) -> Self {
        RoleError::Io(what, error)
    }
}

/// One controller process.
pub struct Node {
    settings: Rc<RefCell<Settings>>,
    clock: SteadyClock,
    controller: RefCell<Controller>,
    registry: RefCell<Registry>,
    kept_registry: KeptRegistry,
    copies: RefCell<Copies>,
    swim: Shared,
    client: Client,
    record: RefCell<ControlRecord<RealFolder>>,
    unwritten: RefCell<Option<(Rc<Durable>, Instant)>>,
    replies: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    last_number: Cell<u64>,
    changed: Notify,
    synced: RefCell<HashMap<[u8; 4], (u64, Instant)>>,
    relays: RefCell<Relays>,
    evidence: RefCell<Pooled>,
    is_planning: Cell<bool>,
    /// Whether it was sure of what it holds at any time since its start.
    was_sure: Cell<bool>,
}

/// Runs the role until SIGTERM.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = SteadyClock::start();
    let data = settings.data_dir.clone().ok_or(RoleError::Settings("data_dir"))?;
    let control = settings.listen.control.ok_or(RoleError::Settings("listen.control"))?;
    let (record, durable) = open_record(&settings, &data).map_err(|error| ("data_dir", error))?;
    let (kept_registry, kept) = KeptRegistry::open(data).map_err(|error| ("data_dir", error))?;
    let peers = socket::listen(SocketAddrV4::new(settings.ip, settings.peer_port()))
        .map_err(|error| ("peer port", error))?;
    let api = socket::listen(control).map_err(|error| ("control port", error))?;
    let swim = membership::start(&settings, Class::Core, durable.disk, clock)
        .await
        .map_err(|error| ("membership port", error))?;
    let node = Rc::new(Node::new(settings, clock, durable, swim, record, kept_registry));
    log::info!("{} endpoints were registered before, whole {}", kept.instances.len(), kept.is_whole);
    node.registry.borrow_mut().restore(clock.now(), kept.instances);
    // At the first start of the whole system there is nothing to be copied.
    let is_first_start = node.settings.borrow().bootstrap;
    *node.copies.borrow_mut() = Copies::new(kept.is_whole || is_first_start);
    if is_first_start && !kept.is_whole {
        // So that a kill of all controllers before the first endpoint leaves none that knows it.
        drop(node.kept_registry.write(&node.registry.borrow(), true));
    }
    log::info!("controller {} listens at {control}", node.settings.borrow().node_name);
    let (answering, asked) = (node.clone(), node.clone());
    tokio::select! {
        () = rpc::serve(peers, Rc::new(move |request| answering.clone().answer(request))) => {}
        () = http::serve(api, clock, move |request| api::answer(asked.clone(), request)) => {}
        () = node.clone().tick() => {}
        () = node.clone().follow_registries() => {}
        () = signals::reread(node.settings.clone(), |fresh| {
            node.swim.borrow_mut().set_seeds(fresh.seed_addresses());
        }) => {}
        () = signals::terminated() => log::info!("SIGTERM: the controller ends"),
    }
    Ok(())
}

impl Node {
    fn new(
        settings: Settings, clock: SteadyClock, durable: Durable, swim: Shared,
        record: ControlRecord<RealFolder>, kept_registry: KeptRegistry,
    ) -> Node {
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let controller =
            Controller::new(settings.ip, durable, settings.fault_tolerance, random_id(), clock.now())
                .placed(settings.place(&settings.zone))
                .with_last_write(record.last_write_found());
        Node {
            settings: Rc::new(RefCell::new(settings)),
            clock,
            controller: RefCell::new(controller),
            registry: RefCell::new(Registry::new(random_id(), heartbeat)),
            kept_registry,
            copies: RefCell::default(),
            swim,
            client: Client::default(),
            record: RefCell::new(record),
            unwritten: RefCell::new(None),
            replies: RefCell::default(),
            last_number: Cell::new(0),
            changed: Notify::new(),
            synced: RefCell::default(),
            relays: RefCell::new(Relays::new(clock.now())),
            evidence: RefCell::default(),
            is_planning: Cell::new(false),
            was_sure: Cell::new(false),
        }
    }

    fn tolerance(&self) -> Tolerance {
        self.settings.borrow().fault_tolerance
    }

    fn own(&self) -> [u8; 4] {
        self.settings.borrow().ip.octets()
    }

    fn peer(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.borrow().peer_port())
    }

    async fn tick(self: Rc<Node>) {
        loop {
            self.step(Input::Live(self.live_controllers()));
            self.step(Input::DeadStorage(self.dead_storage()));
            self.step(Input::Tick);
            if self.registry.borrow_mut().tick(self.clock.now()) {
                self.changed.notify_waiters();
            }
            self.relays.borrow_mut().tick(self.clock.now());
            self.evidence.borrow_mut().tick(self.clock.now());
            let is_whole = self.copies.borrow().is_whole();
            self.kept_registry.keep(self.clock.now(), &self.registry.borrow(), is_whole);
            self.clone().plan();
            tokio::time::sleep(TICK).await;
        }
    }

    fn live_controllers(&self) -> Vec<(ElectorId, Place)> {
        let swim = self.swim.borrow();
        let settings = self.settings.borrow();
        let is_live =
            |member: &&crate::swim::Member| member.class == Class::Core && member.standing != Standing::Dead;
        swim.members()
            .filter(is_live)
            .map(|member| (ElectorId { ip: member.ip, disk: member.disk }, settings.place(&member.zone)))
            .collect()
    }

    /// Takes one input into the state machine and carries its effects out. While the disk refuses to write, inputs are
    /// dropped, as if the machine were cut off.
    fn step(&self, input: Input) {
        let now = self.clock.now();
        if !self.retry_disk(now) {
            return;
        }
        let before = self.position();
        let effects = self.controller.borrow_mut().step(now, input);
        for effect in effects {
            if !self.carry_out(now, effect) {
                return;
            }
        }
        self.fold_writes(now);
        if self.position() != before {
            self.changed.notify_waiters();
        }
    }

    fn position(&self) -> (u64, u64) {
        let controller = self.controller.borrow();
        let view = controller.view().map_or(0, |view| view.number);
        (view, controller.committed_state().map_or(0, |state| state.sequence))
    }

    fn send(&self, to: Ipv4Addr, message: Message) {
        let from = self.settings.borrow().ip.octets();
        self.client.cast(self.peer(to), &Request::Control { from, message });
    }

    /// Hands an operation in and waits for its outcome.
    async fn operate(&self, operation: Operation) -> Outcome {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().insert(number, sender);
        self.step(Input::Operation { number, operation });
        let outcome = tokio::time::timeout(OPERATION_PATIENCE, receiver).await;
        self.replies.borrow_mut().remove(&number);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unknown,
        }
    }
}
