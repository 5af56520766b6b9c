//! The controller role: disk, clock and peers of the state machine, the registry, and the operator API.

mod api;
mod effects;
mod metric_values;
mod planner;
mod recovery;
mod registry_store;
mod registry_sync;
mod requests;
mod start;
mod step_guard;
mod stepping;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

pub use super::error::RoleError;
use super::host::{Host, Service, start_until_termination};
use super::identity::random_id;
use super::membership::Shared;
use super::process_end::ProcessEnd;
use super::rpc::{self, Client, ServerLoad};
use super::shutdown::Shutdown;
use super::signals::{Signals, Termination};
use crate::clock::{Instant, SteadyClock};
use crate::control::{Durable, Outcome};
use crate::controller::{Controller, Input};
use crate::disk::{ControlRecord, FolderLock, RealFolder};
use crate::evidence::EvidencePool;
use crate::metrics::Metrics;
use crate::registry::{DrainSync, Registry};
use crate::relays::Relays;
use crate::settings::Settings;
use crate::tolerance::Tolerance;
use registry_store::{RegistryStore, StoredRegistry};
use start::{Started, serve_api, start};
use step_guard::StepGuard;

/// Time for sending a first message to the other controllers; nothing depends on it.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(4);

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
    load: Rc<ServerLoad>,
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
    step_guard: StepGuard,
    /// Held until the process ends.
    _lock: Option<FolderLock>,
}

/// Runs the role until SIGTERM. Waits at its start while an address is taken or the disk refuses; until it has all that an
/// elector needs, it takes no part in anything.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let Signals { mut termination, hangups } = signals;
    let host = Host::new(settings);
    let service = serve(host.clone(), &mut termination);
    host.clone().run(hangups, service).await
}

async fn serve(host: Rc<Host<ControllerServer>>, termination: &mut Termination) -> Result<(), RoleError> {
    let Some(started) = start_until_termination(termination, start(&host)).await else { return Ok(()) };
    let Started { server, peers, tasks, store_end } = started;
    log::info!("controller {} has started", server.settings.borrow().node_name);
    server.announce().await;
    let (rpc_server, api_server, load) = (server.clone(), server.clone(), server.load.clone());
    let answer = Rc::new(move |request| rpc_server.clone().answer(request));
    let shutdown: Rc<Shutdown> = Rc::default();
    tokio::select! {
        never = rpc::serve(peers, load, answer) => match never {},
        never = serve_api(&host, api_server, shutdown.clone()) => match never {},
        never = server.clone().tick() => match never {},
        never = server.clone().follow_registries() => match never {},
        error = tasks.ended() => return Err(error),
        _ = store_end => return Err(RoleError::PartEnded("writer of the registry record")),
        () = server.step_guard.broken() => return Err(RoleError::PartEnded("the state machine")),
        () = end(&server, termination, &shutdown) => log::info!("the controller is shutting down"),
    }
    Ok(())
}

impl Service for ControllerServer {
    fn metrics(&self) -> Metrics {
        self.collect_metrics()
    }

    fn apply_settings(&self, settings: &Settings) {
        self.swim.borrow_mut().set_seeds(settings.seed_addresses());
        self.process_end.set_grace(settings.grace());
    }
}

/// Waits for SIGTERM, then accepts no more calls of operators and endpoints and keeps running until the open ones are
/// answered: a caller that requested a change would otherwise not know whether it was made. Calls that are still open at the
/// end of the grace period are answered then.
async fn end(server: &ControllerServer, termination: &mut Termination, shutdown: &Shutdown) {
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
        shared_settings: Rc<RefCell<Settings>>, clock: SteadyClock, durable: Durable, swim: Shared,
        record: ControlRecord<RealFolder>, registry_store: RegistryStore,
    ) -> ControllerServer {
        let settings = shared_settings.borrow();
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let controller =
            Controller::new(settings.ip, durable, settings.fault_tolerance, random_id(), clock.now())
                .with_location(settings.location(&settings.zone))
                .with_last_write(record.last_recovered_write());
        ControllerServer {
            process_end: ProcessEnd::new(clock, settings.grace()),
            settings: shared_settings.clone(),
            clock,
            controller: RefCell::new(controller),
            registry: RefCell::new(Registry::new(random_id(), heartbeat)),
            registry_store,
            drain_sync: RefCell::default(),
            swim,
            client: Client::default(),
            load: ServerLoad::new(clock, rpc::request_memory(&settings.limits)),
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
            step_guard: StepGuard::default(),
            _lock: None,
        }
    }

    /// Restores the endpoints that were registered before the start.
    fn restore_registry(&self, stored: StoredRegistry) {
        log::info!(
            "loaded {} registered endpoints, complete: {}",
            stored.instances.len(),
            stored.is_complete
        );
        self.registry.borrow_mut().restore(self.clock.now(), stored.instances);
        // At the first start of the whole system there is nothing to copy.
        let is_first_start = self.settings.borrow().bootstrap;
        *self.drain_sync.borrow_mut() = DrainSync::new(stored.is_complete || is_first_start);
        if is_first_start && !stored.is_complete {
            // Otherwise, if all controllers were killed before the first endpoint registers, none would know that its
            // registry is complete.
            drop(self.registry_store.write(&self.registry.borrow(), true));
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
