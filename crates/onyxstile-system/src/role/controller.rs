//! The controller role: disk, clock and peers of the state machine, the registry, and the operator API.

mod api;
mod effects;
mod metric_values;
mod planner;
mod recovery;
mod registry_store;
mod registry_sync;
mod requests;
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
use super::process_end::ProcessEnd;
use super::rpc::{self, Client};
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
use recovery::open_record;
use registry_store::RegistryStore;

/// Time for sending a first message to the other controllers; nothing depends on it.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(4);

quick_error! {
    /// Reason why a role cannot run.
    #[derive(Debug)]
    pub enum RoleError {
        /// Error of a socket or a file.
        Io(what: &'static str, error: io::Error) {
            display("{}: {}", what, error)
        }
        /// The settings lack a field that the role needs.
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

/// Controller process: the state machine with its disk, peers and registry.
pub struct ControllerServer {
    settings: Rc<RefCell<Settings>>,
    clock: SteadyClock,
    process_end: ProcessEnd,
    controller: RefCell<Controller>,
    registry: RefCell<Registry>,
    registry_store: RegistryStore,
    drain_sync: RefCell<DrainSync>,
    swim: Shared,
    client: Client,
    record: RefCell<ControlRecord<RealFolder>>,
    unwritten: RefCell<Option<(Rc<Durable>, Instant)>>,
    replies: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    last_number: Cell<u64>,
    changed: Notify,
    sync_reports: RefCell<HashMap<[u8; 4], (u64, Instant)>>,
    relays: RefCell<Relays>,
    evidence: RefCell<EvidencePool>,
    is_planning: Cell<bool>,
    /// Time from the start until the controller was settled for the first time.
    settled_after: Cell<Option<Duration>>,
}

/// Runs the role until SIGTERM.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let clock = SteadyClock::start();
    let Signals { termination, hangups } = signals;
    let data = settings.data_dir.clone().ok_or(RoleError::Settings("data_dir"))?;
    let control = settings.listen.control.ok_or(RoleError::Settings("listen.control"))?;
    let (record, durable) = open_record(&settings, &data).map_err(|error| ("data_dir", error))?;
    let (registry_store, stored) = RegistryStore::open(data).map_err(|error| ("data_dir", error))?;
    let peers = socket::listen(SocketAddrV4::new(settings.ip, settings.peer_port()))
        .map_err(|error| ("peer port", error))?;
    let api = socket::listen(control).map_err(|error| ("control port", error))?;
    let swim = membership::start(&settings, Class::Core, durable.disk, clock)
        .await
        .map_err(|error| ("membership port", error))?;
    let server = Rc::new(ControllerServer::new(settings, clock, durable, swim, record, registry_store));
    log::info!("loaded {} registered endpoints, complete: {}", stored.instances.len(), stored.is_complete);
    server.registry.borrow_mut().restore(clock.now(), stored.instances);
    // At the first start of the whole system there is nothing to copy.
    let is_first_start = server.settings.borrow().bootstrap;
    *server.drain_sync.borrow_mut() = DrainSync::new(stored.is_complete || is_first_start);
    if is_first_start && !stored.is_complete {
        // Otherwise, if all controllers were killed before the first endpoint registers, none would know that its
        // registry is complete.
        drop(server.registry_store.write(&server.registry.borrow(), true));
    }
    log::info!("controller {} is listening at {control}", server.settings.borrow().node_name);
    server.announce().await;
    let (rpc_server, api_server, metrics_server) = (server.clone(), server.clone(), server.clone());
    let shutdown: Rc<Shutdown> = Rc::default();
    tokio::select! {
        () = rpc::serve(peers, Rc::new(move |request| rpc_server.clone().answer(request))) => {}
        () = http::serve(api, clock, shutdown.clone(), move |request| api::answer(api_server.clone(), request)) => {}
        () = metrics::serve(server.settings.borrow().clone(), clock, move || metrics_server.metrics()) => {}
        () = server.clone().tick() => {}
        () = server.clone().follow_registries() => {}
        () = signals::reload_settings(hangups, server.settings.clone(), |fresh| {
            server.swim.borrow_mut().set_seeds(fresh.seed_addresses());
            server.process_end.set_grace(fresh.grace());
        }) => {}
        () = end(&server, termination, &shutdown) => log::info!("the controller is shutting down"),
    }
    Ok(())
}

/// Waits for SIGTERM, then accepts no more calls of operators and endpoints and keeps running until the open ones are
/// answered: a caller that requested a change would otherwise not know whether it was made. Calls that are still open at the
/// end of the grace period are answered then.
async fn end(server: &ControllerServer, termination: Termination, shutdown: &Shutdown) {
    termination.received().await;
    log::info!("SIGTERM: {} API requests are open", shutdown.open());
    shutdown.begin();
    server.process_end.begin();
    let warn =
        || log::warn!("the grace period is about to expire: {} API requests are open", shutdown.open());
    server.process_end.wait_for_shutdown(shutdown, warn).await;
}

impl ControllerServer {
    fn new(
        settings: Settings, clock: SteadyClock, durable: Durable, swim: Shared,
        record: ControlRecord<RealFolder>, registry_store: RegistryStore,
    ) -> ControllerServer {
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let controller =
            Controller::new(settings.ip, durable, settings.fault_tolerance, random_id(), clock.now())
                .with_location(settings.location(&settings.zone))
                .with_last_write(record.last_recovered_write());
        ControllerServer {
            process_end: ProcessEnd::new(clock, settings.grace()),
            settings: Rc::new(RefCell::new(settings)),
            clock,
            controller: RefCell::new(controller),
            registry: RefCell::new(Registry::new(random_id(), heartbeat)),
            registry_store,
            drain_sync: RefCell::default(),
            swim,
            client: Client::default(),
            record: RefCell::new(record),
            unwritten: RefCell::new(None),
            replies: RefCell::default(),
            last_number: Cell::new(0),
            changed: Notify::new(),
            sync_reports: RefCell::default(),
            relays: RefCell::new(Relays::new(clock.now())),
            evidence: RefCell::default(),
            is_planning: Cell::new(false),
            settled_after: Cell::new(None),
        }
    }

    /// Sends the progress of this controller to the others before it accepts connections: after a power loss some hundred
    /// connections are queued at each controller, and relays wait for the exchange between controllers.
    async fn announce(&self) {
        self.step(Input::Tick);
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
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
