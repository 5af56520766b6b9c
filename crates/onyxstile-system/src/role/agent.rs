//! The agent role: the link to the controllers, and the feed of the proxy beside it.
//!
//! An agent that dies leaves its proxy serving; one that returns feeds it from the start, and the proxy ignores what is
//! older than what it has.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::controller::RoleError;
use super::metrics;
use super::rpc::Client;
use super::shortest_grace::ShortestGrace;
use super::signals::{self, Signals, Termination};
use super::subscription::{self, Wishes};
use crate::clock::SteadyClock;
use crate::evidence::Evidence;
use crate::feed_state::{FeedState, FeedUpdate};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::wire::{Feed, Request, Response};

/// How long a controller may hold a poll without news.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The proxy is fed at least this often, so that one that started again is noticed.
const FEED_EVERY: Duration = Duration::from_millis(500);
/// How long the proxy has to take a feed.
const FEED_PATIENCE: Duration = Duration::from_millis(1500);
/// The part of the grace for which a proxy may drain.
const DRAINS_FOR: f64 = 0.9;
/// Pause after a feed that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Runs the role until SIGTERM, and then until the proxy beside it is gone.
pub async fn run(settings: Settings, signals: Signals) -> Result<(), RoleError> {
    let proxy = settings.feed_address();
    let clock = SteadyClock::start();
    let Signals { termination, hangups } = signals;
    let settings = Rc::new(RefCell::new(settings));
    let known: Rc<RefCell<FeedState>> = Rc::default();
    let told = known.clone();
    let client = Client::default();
    let evidence: Rc<RefCell<Vec<Evidence>>> = Rc::default();
    let wishes = Wishes { relay: Some(evidence.clone()), wait: POLL_WAIT, synced_epoch: Rc::default() };
    let news = subscription::follow(settings.clone(), client.clone(), wishes);
    log::info!("agent of {} feeds {proxy}", settings.borrow().node_name);
    let is_ending = Rc::new(Cell::new(false));
    let link = Link { client, proxy, clock };
    tokio::select! {
        () = metrics::serve(settings.borrow().clone(), clock, move || figures(&told.borrow())) => {}
        () = feed(link, news, &known, is_ending.clone(), evidence) => log::info!("the proxy is gone"),
        () = signals::reread(hangups, settings.clone(), |_| {}) => {}
        () = end(termination, &settings, clock, is_ending) => log::info!("the agent ends"),
    }
    Ok(())
}

/// After SIGTERM the agent goes on for as long as its proxy drains.
async fn end(
    termination: Termination, settings: &RefCell<Settings>, clock: SteadyClock, is_ending: Rc<Cell<bool>>,
) {
    termination.come().await;
    is_ending.set(true);
    let grace = ShortestGrace::new(clock.now(), settings.borrow().grace());
    grace.reached(settings, clock, |grace| grace.told() + grace.grace().mul_f64(DRAINS_FOR)).await;
}

/// The way to the proxy.
struct Link {
    client: Client,
    proxy: SocketAddrV4,
    clock: SteadyClock,
}

async fn feed(
    link: Link, mut news: UnboundedReceiver<FeedUpdate>, known: &RefCell<FeedState>,
    is_ending: Rc<Cell<bool>>, evidence: Rc<RefCell<Vec<Evidence>>>,
) {
    let Link { client, proxy, clock } = link;
    let mut fed: Option<u64> = None;
    loop {
        let changes = gather(clock, &mut news, known).await;
        let feed = if fed.is_some() { changes } else { known.borrow().snapshot() };
        match client.call(proxy, &Request::Feed(feed), FEED_PATIENCE).await {
            Ok(Response::FeedAccepted { incarnation, evidence: shown })
                if fed.is_none_or(|known| known == incarnation) =>
            {
                fed = Some(incarnation);
                *evidence.borrow_mut() = shown;
            }
            result => {
                // Another life of the proxy, or none: the next feed is whole.
                fed = None;
                if is_ending.get() && result.is_err() {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits for news or the next regular feed; what changed, as one feed.
async fn gather(
    clock: SteadyClock, news: &mut UnboundedReceiver<FeedUpdate>, known: &RefCell<FeedState>,
) -> Feed {
    let mut feed = known.borrow().unchanged();
    let mut next = tokio::time::timeout(FEED_EVERY, news.recv()).await.ok().flatten();
    while let Some(item) = next {
        known.borrow_mut().apply(clock.now(), item, &mut feed);
        next = news.try_recv().ok();
    }
    feed
}

/// What an agent tells of itself in figures.
fn figures(known: &FeedState) -> Metrics {
    let mut figures = Metrics::default();
    let whole = known.snapshot();
    figures.flag("fresh", "Whether a majority of the controllers was heard since the start.", whole.is_fresh);
    let help = "Time from the start until it was heard; -1 before.";
    figures.time_taken("fresh_after_seconds", help, known.fresh_after());
    let sequence = whole.state.as_ref().map_or(0, |state| state.sequence);
    figures.gauge("sequence", "Number of the newest control state.", sequence as f64);
    let configuration = whole.state.and_then(|state| state.configuration);
    let revision = configuration.map_or(0, |configuration| configuration.revision);
    figures.gauge("revision", "Revision of the newest configuration.", revision as f64);
    figures.gauge("endpoints_known", "Endpoints that it has heard of.", whole.endpoints.len() as f64);
    figures.gauge(
        "relays",
        "Relays that controllers count; 0 if unknown.",
        f64::from(whole.relays.unwrap_or(0)),
    );
    figures
}
