//! The proxy role: forwards client requests to endpoints and returns their responses.
//!
//! Guarantees: 429 and 503 are returned only for requests that were not executed and never will be; a non-idempotent request
//! that may have been executed is not sent again; the response of a retained turn ends only after a storage quorum has stored
//! the turn; a request that is abandoned gets an error response immediately.

mod admit;
mod answer_reader;
mod attempt;
mod call;
mod call_sender;
mod chain;
mod chunk_queue;
mod client_response;
mod conversation;
mod counts;
mod cut_offs;
mod destination_call;
mod feed;
mod forward;
mod in_flight;
mod label_counts;
mod lifecycle;
mod listeners;
mod metric_values;
mod phase;
mod quorum;
mod read_answer;
mod relay_stream;
mod send_outcome;
mod stream_forwarding;
mod target;
mod turn_error;
mod upstream;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use super::error::RoleError;
use super::host::{Host, Service, start_until_termination};
use super::http;
use super::identity::random_id;
use super::rpc::{self, Client, ServerLoad};
use super::signals::{Signals, Termination};
use crate::balance::{EndpointKey, Endpoints};
use crate::clock::SteadyClock;
use crate::configuration::{ClientLimits, Configuration};
use crate::metrics::Metrics;
use crate::program::TurnCache;
use crate::retry::{Destination, RetryPolicy};
use crate::settings::Settings;
use crate::slots::Slots;
use crate::storage_plan::StoragePlan;
use crate::tolerance::Tolerance;
use answer_reader::AnswerLimits;
use chain::SlowMembers;
use counts::Counts;
use cut_offs::CutOffs;
use listeners::Listeners;
use phase::Phase;
use upstream::ConnectionPools;

/// File descriptors reserved for uses other than sockets, as the platform counts them.
const DESCRIPTORS_RESERVED: u64 = 200;
/// File descriptors that one call may use: the client connection, the endpoint connection and idle connections.
const DESCRIPTORS_PER_CALL: u64 = 4;
/// Memory that one call may use, in KB.
const MEMORY_PER_CALL_KB: u64 = 128;
/// The turn cache uses at most the memory limit divided by this number.
const TURN_CACHE_MEMORY_DIVISOR: usize = 6;

/// Unit of retry accounting: a model endpoint, or the service of a tool route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DestinationKey {
    /// A model endpoint.
    Endpoint(EndpointKey),
    /// The service of a tool route.
    Service(Rc<str>),
}

/// State of a proxy process.
pub struct Proxy {
    settings: Rc<RefCell<Settings>>,
    clock: SteadyClock,
    client: Client,
    load: Rc<ServerLoad>,
    incarnation: u64,
    configuration: RefCell<Option<Rc<Configuration>>>,
    sequence: Cell<u64>,
    plan: RefCell<Rc<StoragePlan>>,
    plan_changed: Notify,
    endpoints: RefCell<Endpoints>,
    destinations: RefCell<HashMap<DestinationKey, Destination>>,
    slots: RefCell<Slots<DestinationKey>>,
    slot_freed: Notify,
    pools: ConnectionPools,
    turns: RefCell<TurnCache>,
    slow_members: RefCell<SlowMembers>,
    phase: Phase,
    counts: Counts,
    cut_offs: CutOffs,
    answers: Rc<AnswerLimits>,
    rng: RefCell<Pcg64Mcg>,
    retry_policy: RetryPolicy,
}

/// Runs the role until SIGTERM, then until the accepted requests have been answered. Waits at its start while an address is
/// taken.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let Signals { mut termination, hangups } = signals;
    let host = Host::new(settings);
    let service = serve(host.clone(), &mut termination);
    host.clone().run(hangups, service).await
}

async fn serve(host: Rc<Host<Proxy>>, termination: &mut Termination) -> Result<(), RoleError> {
    let Some(listeners) = start_until_termination(termination, Listeners::open(&host)).await else {
        return Ok(());
    };
    let Listeners { clients, readiness, feed } = listeners;
    log::info!("proxy {} is listening", host.settings.borrow().node_name);
    let proxy = host.started(Proxy::new(host.settings.clone(), host.clock));
    let (feed_proxy, probe_proxy, load) = (proxy.clone(), proxy.clone(), proxy.load.clone());
    let answer = Rc::new(move |request| feed_proxy.clone().handle_agent_request(request));
    tokio::select! {
        never = rpc::serve(feed, load, answer) => match never {},
        never = http::serve(readiness, host.clock, Rc::default(), move |request| {
            lifecycle::readiness(probe_proxy.clone(), request)
        }) => match never {},
        never = lifecycle::accept(proxy.clone(), clients) => match never {},
        () = lifecycle::drain(proxy.clone(), termination) => log::info!("proxy drained"),
    }
    Ok(())
}

impl Service for Proxy {
    fn metrics(&self) -> Metrics {
        self.metric_values()
    }

    fn apply_settings(&self, settings: &Settings) {
        self.phase.end().set_grace(settings.grace());
    }
}

impl Proxy {
    fn new(shared_settings: Rc<RefCell<Settings>>, clock: SteadyClock) -> Proxy {
        let settings = shared_settings.borrow();
        let limits = &settings.limits;
        let by_descriptors = limits.max_fds.saturating_sub(DESCRIPTORS_RESERVED) / DESCRIPTORS_PER_CALL;
        let by_memory = limits.memory_mb * 1024 / MEMORY_PER_CALL_KB / 2;
        let slots = by_descriptors.min(by_memory).clamp(16, 4096) as u32;
        let turn_bytes = limits.memory_bytes() / TURN_CACHE_MEMORY_DIVISOR;
        let incarnation = random_id();
        Proxy {
            clock,
            client: Client::default(),
            load: ServerLoad::new(clock, rpc::request_memory(limits)),
            incarnation,
            configuration: RefCell::default(),
            sequence: Cell::new(0),
            plan: RefCell::default(),
            plan_changed: Notify::new(),
            endpoints: RefCell::new(Endpoints::new(&settings.zone, &settings.node_name)),
            destinations: RefCell::default(),
            slots: RefCell::new(Slots::new(slots)),
            slot_freed: Notify::new(),
            pools: ConnectionPools::default(),
            turns: RefCell::new(TurnCache::new(turn_bytes)),
            slow_members: RefCell::default(),
            phase: Phase::new(clock, settings.grace()),
            counts: Counts::default(),
            cut_offs: CutOffs::default(),
            answers: AnswerLimits::new(clock, limits.memory_bytes()),
            rng: RefCell::new(Pcg64Mcg::new(u128::from(incarnation) << 1 | 1)),
            retry_policy: RetryPolicy::default(),
            settings: shared_settings.clone(),
        }
    }

    fn tolerance(&self) -> Tolerance {
        self.settings.borrow().fault_tolerance
    }

    fn client_limits(&self) -> ClientLimits {
        self.configuration.borrow().as_ref().map_or_else(ClientLimits::default, |held| held.limits.clone())
    }

    /// Random number in 0..1.
    fn random_fraction(&self) -> f64 {
        f64::from(self.rng.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
