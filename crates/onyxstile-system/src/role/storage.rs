//! The storage role: turns and budgets of programs on a synced log, and their repair from other machines.
//!
//! Guarantees to the proxies: acknowledged data is on the disk, and a machine that has lost its disk does not answer
//! quorum requests until it has copied all the data that it should hold.

mod journal;
mod log_entry;
mod metric_values;
mod records;
mod recovery;
mod repair;
mod requests;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, oneshot, watch};

use super::data_folder::{self, ClaimedFolder};
use super::error::RoleError;
use super::essential_tasks::EssentialTasks;
use super::host::{Host, Service, start_until_termination};
use super::identity::random_id;
use super::membership::{self, Shared};
use super::rpc::{self, Client, ServerLoad};
use super::signals::{Signals, Termination};
use super::subscription::{self, SubscriptionOptions};
use crate::clock::SteadyClock;
use crate::disk::FolderLock;
use crate::feed_state::FeedUpdate;
use crate::metrics::Metrics;
use crate::process::Resource;
use crate::program::{Key, Progress, RecordIndex, RecordNumber, TurnCache, groups};
use crate::settings::Settings;
use crate::storage_plan::StoragePlan;
use crate::swim::Class;
use crate::tolerance::Tolerance;
use journal::Journal;
use recovery::LoadedLog;

/// Longest time for which a controller may hold a poll without updates; sync reports are sent at the same interval.
const POLL_WAIT: Duration = Duration::from_millis(400);
/// Interval at which expired records are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// The turn cache takes at most 1 part in this many of the memory. It holds some seconds of writes, after which the next
/// turn of a program has usually arrived; other turns are read from the log.
const TURN_CACHE_MEMORY_DIVISOR: usize = 32;

/// Storage process.
pub struct StorageServer {
    settings: Rc<RefCell<Settings>>,
    clock: SteadyClock,
    client: Client,
    load: Rc<ServerLoad>,
    index: RefCell<RecordIndex>,
    turns: RefCell<TurnCache>,
    journal: Journal,
    next_number: Cell<RecordNumber>,
    plan: RefCell<Rc<StoragePlan>>,
    origin: u64,
    is_complete: Cell<bool>,
    synced_epoch: Rc<Cell<u64>>,
    /// Newest epoch that this machine has applied, in this incarnation or an earlier one.
    epoch: Cell<u64>,
    changed: Notify,
    repair: RefCell<Progress>,
    swim: Shared,
    disk: u64,
    /// Held until the process ends.
    _lock: FolderLock,
}

/// Runs the role until SIGTERM. Waits at its start while an address is taken or the disk refuses.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let Signals { mut termination, hangups } = signals;
    let host = Host::new(settings);
    let service = serve(host.clone(), &mut termination);
    host.clone().run(hangups, service).await
}

async fn serve(host: Rc<Host<StorageServer>>, termination: &mut Termination) -> Result<(), RoleError> {
    let Some(started) = start_until_termination(termination, start(&host)).await else { return Ok(()) };
    let Started { server, peers, mut tasks, journal_end } = started;
    let updates = server.subscribe(&mut tasks);
    let (rpc_server, load) = (server.clone(), server.load.clone());
    let answer = Rc::new(move |request| rpc_server.clone().answer(request));
    tokio::select! {
        never = rpc::serve(peers, load, answer) => match never {},
        () = server.clone().follow(updates) => return Err(RoleError::PartEnded("updates of the controllers")),
        never = server.clone().expire_records() => match never {},
        error = tasks.ended() => return Err(error),
        _ = journal_end => return Err(RoleError::PartEnded("log writer")),
        () = termination.received() => log::info!("SIGTERM: storage is shutting down"),
    }
    Ok(())
}

/// A storage server that has started.
struct Started {
    server: Rc<StorageServer>,
    peers: TcpListener,
    tasks: EssentialTasks,
    journal_end: oneshot::Receiver<()>,
}

/// Gets what a storage machine needs.
async fn start(host: &Rc<Host<StorageServer>>) -> Started {
    let (settings, waits) = (&host.settings, &host.waits);
    let ClaimedFolder { path, socket, lock } = data_folder::claim(host).await;
    let open = || LoadedLog::open(path.clone(), &settings.borrow().limits, host.clock);
    let (mut loaded, journal_end) = waits.acquire(Resource::Records, open).await;
    let is_first_start = settings.borrow().bootstrap;
    loaded.identify(is_first_start).await;
    let peers = data_folder::listen_to_peers(host).await;
    let mut tasks = EssentialTasks::default();
    let member = (Class::Storage, loaded.disk);
    let swim = membership::start(&settings.borrow(), member, host.clock, socket, &mut tasks);
    log::info!(
        "storage {} holds {:?} turns and programs, complete: {}",
        settings.borrow().node_name,
        loaded.index.sizes(),
        loaded.is_complete
    );
    let server = host.started(StorageServer::new(settings.clone(), host.clock, loaded, swim, lock));
    Started { server, peers, tasks, journal_end }
}

impl Service for StorageServer {
    fn metrics(&self) -> Metrics {
        self.collect_metrics()
    }

    fn apply_settings(&self, settings: &Settings) {
        self.swim.borrow_mut().set_seeds(settings.seed_addresses());
    }
}

impl StorageServer {
    fn new(
        settings: Rc<RefCell<Settings>>, clock: SteadyClock, loaded: LoadedLog, swim: Shared,
        lock: FolderLock,
    ) -> StorageServer {
        let memory_bytes = settings.borrow().limits.memory_bytes();
        let load = ServerLoad::new(clock, rpc::request_memory(&settings.borrow().limits));
        StorageServer {
            settings,
            clock,
            client: Client::default(),
            load,
            index: RefCell::new(loaded.index),
            turns: RefCell::new(TurnCache::new(memory_bytes / TURN_CACHE_MEMORY_DIVISOR)),
            journal: loaded.journal,
            next_number: Cell::new(loaded.next),
            plan: RefCell::default(),
            origin: random_id(),
            is_complete: Cell::new(loaded.is_complete),
            synced_epoch: Rc::new(Cell::new(loaded.synced_epoch)),
            epoch: Cell::new(loaded.epoch),
            changed: Notify::new(),
            repair: RefCell::default(),
            swim,
            disk: loaded.disk,
            _lock: lock,
        }
    }

    /// Starts following the controllers.
    fn subscribe(&self, tasks: &mut EssentialTasks) -> UnboundedReceiver<FeedUpdate> {
        let options = SubscriptionOptions {
            relay_evidence: None,
            wait: POLL_WAIT,
            synced_epoch: self.synced_epoch.clone(),
        };
        subscription::follow(self.settings.clone(), self.client.clone(), options, tasks)
    }

    fn tolerance(&self) -> Tolerance {
        self.settings.borrow().fault_tolerance
    }

    fn own(&self) -> Ipv4Addr {
        self.settings.borrow().ip
    }

    fn peer(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.borrow().peer_port())
    }

    /// Whether this machine should hold a key, by the current members of the plan or the previous ones.
    fn is_assigned(&self, key: &Key) -> bool {
        let plan = self.plan.borrow();
        let own = self.own();
        groups(&plan, key.placed_by(), self.tolerance()).iter().any(|group| group.members.contains(&own))
    }

    /// Applies the plans of the controllers. While the disk does not take a plan, only the newest later one is kept.
    async fn follow(self: Rc<StorageServer>, updates: UnboundedReceiver<FeedUpdate>) {
        let (newest, plans) = watch::channel(Rc::default());
        tokio::select! {
            () = receive_plans(updates, newest) => {}
            () = self.apply_plans(plans) => {}
        }
    }

    async fn apply_plans(self: Rc<StorageServer>, mut plans: watch::Receiver<Rc<StoragePlan>>) {
        while plans.changed().await.is_ok() {
            let plan = plans.borrow_and_update().clone();
            self.clone().apply_plan(plan).await;
        }
    }

    async fn expire_records(self: Rc<StorageServer>) -> Infallible {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let obsolete = self.index.borrow_mut().expire(self.clock.now());
            self.journal.drop_records(obsolete);
            if self.is_index_full() {
                log::warn!("refusing writes: no memory left for the record index");
            }
        }
    }
}

/// Passes on the storage plan of each update, and drops the rest of it.
async fn receive_plans(mut updates: UnboundedReceiver<FeedUpdate>, newest: watch::Sender<Rc<StoragePlan>>) {
    while let Some(update) = updates.recv().await {
        if let FeedUpdate::State(published) = update {
            newest.send_replace(published.storage);
        }
    }
}
