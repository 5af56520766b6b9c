//! The proxy role: clients' requests, from the socket to an endpoint and back.
//!
//! Guarantees: a 429 or 503 is given only for what never ran and never will; what may have run and may not run twice is
//! never sent again; a turn's answer ends only once the turn is kept; what is given up is answered at once.

mod admit;
mod answer;
mod attempt;
mod call;
mod chain;
mod conversation;
mod counted;
mod counts;
mod feed;
mod figures;
mod forward;
mod lifetime;
mod no_turn;
mod phase;
mod quorum;
mod relay_stream;
mod sending;
mod target;
mod upstream;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use super::controller::RoleError;
use super::identity::random_id;
use super::rpc::{self, Client};
use super::signals::{self, Signals};
use super::{http, metrics, socket};
use crate::balance::{EndpointKey, Endpoints};
use crate::clock::SteadyClock;
use crate::configuration::{ClientLimits, Configuration};
use crate::program::TurnCache;
use crate::retry::{Destination, RetryPolicy};
use crate::settings::Settings;
use crate::slots::Slots;
use crate::storage_plan::StoragePlan;
use crate::tolerance::Tolerance;
use chain::Doubts;
use counts::Counts;
use phase::Phase;
use upstream::Pools;

/// Descriptors that are not for sockets, as the platform counts them.
const DESCRIPTORS_RESERVED: u64 = 200;
/// Descriptors that one call may take: the client's connection, the endpoint's, and idle ones beside it.
const DESCRIPTORS_A_CALL: u64 = 4;
/// Memory that one call may take, in KB.
const MEMORY_A_CALL_KB: u64 = 128;
/// Turns remembered take at most one part in this many of the memory.
const MEMORY_PARTS_FOR_TURNS: usize = 6;

/// Where a call's retries are counted: a model endpoint, or the service of a tool route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DestinationKey {
    /// A model endpoint.
    Endpoint(EndpointKey),
    /// The service of a tool route.
    Service(Rc<str>),
}

/// One proxy process.
pub struct Node {
    settings: Rc<RefCell<Settings>>,
    clock: SteadyClock,
    client: Client,
    life: u64,
    configuration: RefCell<Option<Rc<Configuration>>>,
    sequence: Cell<u64>,
    plan: RefCell<Rc<StoragePlan>>,
    plan_changed: Notify,
    endpoints: RefCell<Endpoints>,
    destinations: RefCell<HashMap<DestinationKey, Destination>>,
    slots: RefCell<Slots<DestinationKey>>,
    slot_freed: Notify,
    pools: Pools,
    turns: RefCell<TurnCache>,
    doubts: RefCell<Doubts>,
    phase: Phase,
    counts: Counts,
    random: RefCell<Pcg64Mcg>,
    retry_policy: RetryPolicy,
}

/// Runs the role until SIGTERM, and then until what was taken up has been answered.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let clock = SteadyClock::start();
    let Signals { termination, hangups } = signals;
    let front = settings.listen.front.ok_or(RoleError::Settings("listen.front"))?;
    let readiness = settings.listen.readiness.ok_or(RoleError::Settings("listen.readiness"))?;
    let fed_at = settings.feed_address();
    let clients = socket::listen(front).map_err(|error| ("front", error))?;
    let readiness = socket::listen(readiness).map_err(|error| ("readiness", error))?;
    let feed = socket::listen(fed_at).map_err(|error| ("feed port", error))?;
    log::info!("proxy {} listens at {front}", settings.node_name);
    let node = Rc::new(Node::new(settings, clock));
    let (fed, asked, told) = (node.clone(), node.clone(), node.clone());
    tokio::select! {
        () = metrics::serve(node.settings.borrow().clone(), clock, move || told.figures()) => {}
        () = rpc::serve(feed, Rc::new(move |request| fed.clone().answer_agent(request))) => {}
        () = http::serve(readiness, clock, Rc::default(), move |request| lifetime::readiness(asked.clone(), request)) => {}
        () = lifetime::accept(node.clone(), clients) => {}
        () = signals::reread(hangups, node.settings.clone(), |_| {}) => {}
        () = lifetime::drain(node.clone(), termination) => log::info!("the proxy has drained"),
    }
    Ok(())
}

impl Node {
    fn new(settings: Settings, clock: SteadyClock) -> Node {
        let limits = &settings.limits;
        let by_descriptors = limits.max_fds.saturating_sub(DESCRIPTORS_RESERVED) / DESCRIPTORS_A_CALL;
        let by_memory = limits.memory_mb * 1024 / MEMORY_A_CALL_KB / 2;
        let slots = by_descriptors.min(by_memory).clamp(16, 4096) as u32;
        let turn_bytes = limits.memory_mb as usize * 1024 * 1024 / MEMORY_PARTS_FOR_TURNS;
        let life = random_id();
        Node {
            clock,
            client: Client::default(),
            life,
            configuration: RefCell::default(),
            sequence: Cell::new(0),
            plan: RefCell::default(),
            plan_changed: Notify::new(),
            endpoints: RefCell::new(Endpoints::new(&settings.zone, &settings.node_name)),
            destinations: RefCell::default(),
            slots: RefCell::new(Slots::new(slots)),
            slot_freed: Notify::new(),
            pools: Pools::default(),
            turns: RefCell::new(TurnCache::new(turn_bytes)),
            doubts: RefCell::default(),
            phase: Phase::default(),
            counts: Counts::default(),
            random: RefCell::new(Pcg64Mcg::new(u128::from(life) << 1 | 1)),
            retry_policy: RetryPolicy::default(),
            settings: Rc::new(RefCell::new(settings)),
        }
    }

    fn tolerance(&self) -> Tolerance {
        self.settings.borrow().fault_tolerance
    }

    fn client_limits(&self) -> ClientLimits {
        self.configuration.borrow().as_ref().map_or_else(ClientLimits::default, |held| held.limits.clone())
    }

    /// A number from 0 to 1.
    fn roll(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
