//! The storage role: turns and budgets of programs on a synced log, and their repair from other machines.
//!
//! Guarantees to the proxies: acknowledged data is on the disk, and a machine that has lost its disk does not answer
//! quorum requests until it has copied all the data that it should hold.

mod journal;
mod metric_values;
mod records;
mod recovery;
mod repair;
mod requests;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::controller::RoleError;
use super::identity::random_id;
use super::membership::{self, Shared};
use super::rpc::{self, Client};
use super::signals::{self, Signals};
use super::subscription::{self, SubscriptionOptions};
use super::{metrics, socket};
use crate::clock::SteadyClock;
use crate::feed_state::FeedUpdate;
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
}

/// Runs the role until SIGTERM.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let clock = SteadyClock::start();
    let Signals { termination, hangups } = signals;
    let mut loaded = LoadedLog::open(&settings, clock.now())?;
    loaded.identify(settings.bootstrap).await;
    let peers = socket::listen(SocketAddrV4::new(settings.ip, settings.peer_port()))
        .map_err(|error| ("peer port", error))?;
    let swim = membership::start(&settings, Class::Storage, loaded.disk, clock)
        .await
        .map_err(|error| ("membership port", error))?;
    log::info!(
        "storage {} holds {:?} turns and programs, complete: {}",
        settings.node_name,
        loaded.index.sizes(),
        loaded.is_complete
    );
    let cache_bytes = settings.limits.memory_mb as usize * 1024 * 1024 / TURN_CACHE_MEMORY_DIVISOR;
    let server = Rc::new(StorageServer {
        settings: Rc::new(RefCell::new(settings)),
        clock,
        client: Client::default(),
        index: RefCell::new(loaded.index),
        turns: RefCell::new(TurnCache::new(cache_bytes)),
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
    });
    let (rpc_server, metrics_server) = (server.clone(), server.clone());
    tokio::select! {
        () = metrics::serve(server.settings.borrow().clone(), clock, move || metrics_server.metrics()) => {}
        () = rpc::serve(peers, Rc::new(move |request| rpc_server.clone().answer(request))) => {}
        () = server.clone().follow() => {}
        () = server.clone().expire_records() => {}
        () = signals::reload_settings(hangups, server.settings.clone(), |fresh| {
            server.swim.borrow_mut().set_seeds(fresh.seed_addresses());
        }) => {}
        () = termination.received() => log::info!("SIGTERM: storage is shutting down"),
    }
    Ok(())
}

impl StorageServer {
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

    async fn follow(self: Rc<StorageServer>) {
        let options = SubscriptionOptions {
            relay_evidence: None,
            wait: POLL_WAIT,
            synced_epoch: self.synced_epoch.clone(),
        };
        let mut updates = subscription::follow(self.settings.clone(), self.client.clone(), options);
        while let Some(item) = updates.recv().await {
            if let FeedUpdate::State(published) = item {
                self.clone().apply_plan(published.storage).await;
            }
        }
    }

    async fn expire_records(self: Rc<StorageServer>) {
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
