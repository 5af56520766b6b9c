//! The controller role: the state machine's disk, clock and peers, the registry, and the operator's API.

mod api;
mod effects;
mod exchange;
mod figures;
mod kept_registry;
mod opening;
mod peers;
mod planner;
mod stepping;

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
use super::shortest_grace::ShortestGrace;
use super::shutdown::Shutdown;
use super::signals::{self, Signals, Termination};
use super::{http, metrics, socket};
use crate::clock::{Instant, SteadyClock};
use crate::control::{Durable, Outcome};
use crate::controller::{Controller, Input};
use crate::disk::{ControlRecord, RealFolder};
use crate::evidence::EvidencePool;
use crate::registry::{DrainSync, Registry};
use crate::relays::Relays;
use crate::settings::Settings;
use crate::swim::Class;
use crate::tolerance::Tolerance;
use kept_registry::KeptRegistry;
use opening::open_record;

/// What it takes to send a first message to the other controllers; nothing depends on it.
const GREETING: Duration = Duration::from_millis(4);

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
    copies: RefCell<DrainSync>,
    swim: Shared,
    client: Client,
    record: RefCell<ControlRecord<RealFolder>>,
    unwritten: RefCell<Option<(Rc<Durable>, Instant)>>,
    replies: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    last_number: Cell<u64>,
    changed: Notify,
    synced: RefCell<HashMap<[u8; 4], (u64, Instant)>>,
    relays: RefCell<Relays>,
    evidence: RefCell<EvidencePool>,
    is_planning: Cell<bool>,
    /// How long after its start it was sure of what it holds for the first time.
    sure_after: Cell<Option<Duration>>,
}

/// Runs the role until SIGTERM.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let clock = SteadyClock::start();
    let Signals { termination, hangups } = signals;
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
    *node.copies.borrow_mut() = DrainSync::new(kept.is_whole || is_first_start);
    if is_first_start && !kept.is_whole {
        // So that a kill of all controllers before the first endpoint leaves none that knows it.
        drop(node.kept_registry.write(&node.registry.borrow(), true));
    }
    log::info!("controller {} listens at {control}", node.settings.borrow().node_name);
    node.greet().await;
    let (answering, asked, told) = (node.clone(), node.clone(), node.clone());
    let shutdown: Rc<Shutdown> = Rc::default();
    tokio::select! {
        () = rpc::serve(peers, Rc::new(move |request| answering.clone().answer(request))) => {}
        () = http::serve(api, clock, shutdown.clone(), move |request| api::answer(asked.clone(), request)) => {}
        () = metrics::serve(node.settings.borrow().clone(), clock, move || told.figures()) => {}
        () = node.clone().tick() => {}
        () = node.clone().follow_registries() => {}
        () = signals::reread(hangups, node.settings.clone(), |fresh| {
            node.swim.borrow_mut().set_seeds(fresh.seed_addresses());
        }) => {}
        () = end(&node, termination, &shutdown) => log::info!("the controller ends"),
    }
    Ok(())
}

/// Waits for SIGTERM; then takes no more calls of operators and endpoints, and goes on until those that came are answered: whoever
/// asked for a change would not know whether it was made.
async fn end(node: &Node, termination: Termination, shutdown: &Shutdown) {
    termination.come().await;
    log::info!("SIGTERM: {} pieces of work at the API are open", shutdown.open());
    shutdown.begin();
    let grace = ShortestGrace::new(node.clock.now(), node.settings.borrow().grace());
    if !grace.suffices(shutdown, &node.settings, node.clock).await {
        log::warn!("the kill is near: {} pieces of work at the API are open", shutdown.open());
    }
}

impl Node {
    fn new(
        settings: Settings, clock: SteadyClock, durable: Durable, swim: Shared,
        record: ControlRecord<RealFolder>, kept_registry: KeptRegistry,
    ) -> Node {
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let controller =
            Controller::new(settings.ip, durable, settings.fault_tolerance, random_id(), clock.now())
                .with_location(settings.location(&settings.zone))
                .with_last_write(record.last_recovered_write());
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
            sure_after: Cell::new(None),
        }
    }

    /// Tells the other controllers how far this one is before it takes anything up: after a loss of power some hundred
    /// connections wait at each, and relays wait for what controllers tell each other.
    async fn greet(&self) {
        self.step(Input::Tick);
        tokio::time::sleep(GREETING).await;
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
}
