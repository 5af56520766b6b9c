//! The agent role: follows the controllers and feeds the proxy on the same machine.
//!
//! The proxy keeps serving if the agent dies. A restarted agent sends a complete feed; the proxy ignores everything older
//! than its own data.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::error::RoleError;
use super::essential_tasks::EssentialTasks;
use super::host::{Host, Service};
use super::process_end::ProcessEnd;
use super::rpc::Client;
use super::signals::{Signals, Termination};
use super::subscription::{self, SubscriptionOptions};
use crate::clock::SteadyClock;
use crate::evidence::Evidence;
use crate::feed_state::{FeedState, FeedUpdate};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::wire::{Feed, Request, Response};

/// Longest time for which a controller may hold a poll that has no updates.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Longest interval between feeds, so that a restart of the proxy is noticed.
const FEED_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one feed request.
const FEED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the grace period for which the proxy may drain.
const DRAIN_SHARE: f64 = 0.9;
/// Delay after a failed feed.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of an agent process.
struct Agent {
    feed_state: RefCell<FeedState>,
    evidence: Rc<RefCell<Vec<Evidence>>>,
    process_end: ProcessEnd,
    is_ending: Cell<bool>,
}

impl Service for Agent {
    fn metrics(&self) -> Metrics {
        collect_metrics(&self.feed_state.borrow())
    }

    fn apply_settings(&self, settings: &Settings) {
        self.process_end.set_grace(settings.grace());
    }
}

/// Runs the role until SIGTERM, and then until the proxy on the same machine has ended.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let Signals { mut termination, hangups } = signals;
    let host = Host::new(settings);
    let service = serve(host.clone(), &mut termination);
    host.clone().run(hangups, service).await
}

async fn serve(host: Rc<Host<Agent>>, termination: &mut Termination) -> Result<(), RoleError> {
    let process_end = ProcessEnd::new(host.clock, host.settings.borrow().grace());
    let agent = host.started(Agent {
        feed_state: RefCell::default(),
        evidence: Rc::default(),
        process_end,
        is_ending: Cell::new(false),
    });
    let client = Client::default();
    let options = SubscriptionOptions {
        relay_evidence: Some(agent.evidence.clone()),
        wait: POLL_WAIT,
        synced_epoch: Rc::default(),
    };
    let mut tasks = EssentialTasks::default();
    let updates = subscription::follow(host.settings.clone(), client.clone(), options, &mut tasks);
    let proxy = host.settings.borrow().feed_address();
    log::info!("agent of {} is feeding {proxy}", host.settings.borrow().node_name);
    let link = ProxyLink { client, proxy, clock: host.clock };
    tokio::select! {
        error = tasks.ended() => return Err(error),
        () = feed(link, updates, &agent) => log::info!("the proxy has ended"),
        () = end(termination, &agent) => log::info!("the agent is shutting down"),
    }
    Ok(())
}

/// Waits for SIGTERM, and then for the time in which the proxy may drain.
async fn end(termination: &mut Termination, agent: &Agent) {
    termination.received().await;
    agent.is_ending.set(true);
    agent.process_end.begin();
    agent.process_end.reached(|grace| grace.sigterm_at() + grace.grace().mul_f64(DRAIN_SHARE)).await;
}

/// Connection to the proxy.
struct ProxyLink {
    client: Client,
    proxy: SocketAddrV4,
    clock: SteadyClock,
}

async fn feed(link: ProxyLink, mut updates: UnboundedReceiver<FeedUpdate>, agent: &Agent) {
    let feed_state = &agent.feed_state;
    let ProxyLink { client, proxy, clock } = link;
    let mut fed_incarnation: Option<u64> = None;
    loop {
        let changes = collect_changes(clock, &mut updates, feed_state).await;
        let feed = if fed_incarnation.is_some() { changes } else { feed_state.borrow().snapshot() };
        match client.call(proxy, &Request::Feed(feed), FEED_TIMEOUT).await {
            Ok(Response::FeedAccepted { incarnation, evidence: reported })
                if fed_incarnation.is_none_or(|previous| previous == incarnation) =>
            {
                fed_incarnation = Some(incarnation);
                *agent.evidence.borrow_mut() = reported;
            }
            result => {
                // The proxy was restarted or is down: the next feed is complete.
                fed_incarnation = None;
                if agent.is_ending.get() && result.is_err() {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for an update or for the next regular feed, and returns the changes as one feed.
async fn collect_changes(
    clock: SteadyClock, updates: &mut UnboundedReceiver<FeedUpdate>, feed_state: &RefCell<FeedState>,
) -> Feed {
    let mut feed = feed_state.borrow().unchanged();
    let mut next = tokio::time::timeout(FEED_INTERVAL, updates.recv()).await.ok().flatten();
    while let Some(item) = next {
        feed_state.borrow_mut().apply(clock.now(), item, &mut feed);
        next = updates.try_recv().ok();
    }
    feed
}

/// Metrics of an agent.
fn collect_metrics(feed_state: &FeedState) -> Metrics {
    let mut metrics = Metrics::default();
    let snapshot = feed_state.snapshot();
    metrics.flag(
        "fresh",
        "Whether a majority of the controllers has responded since the start.",
        snapshot.is_fresh,
    );
    let help = "Time from the start until a majority had responded; -1 before.";
    metrics.time_taken("fresh_after_seconds", help, feed_state.fresh_after());
    let sequence = snapshot.state.as_ref().map_or(0, |state| state.sequence);
    metrics.gauge("sequence", "Number of the newest control state.", sequence as f64);
    let configuration = snapshot.state.and_then(|state| state.configuration);
    let revision = configuration.map_or(0, |configuration| configuration.revision);
    metrics.gauge("revision", "Revision of the newest configuration.", revision as f64);
    metrics.gauge("endpoints_known", "Endpoints that the agent knows.", snapshot.endpoints.len() as f64);
    metrics.gauge(
        "relays",
        "Relays that the controllers count; 0 if unknown.",
        f64::from(snapshot.relays.unwrap_or(0)),
    );
    metrics
}
