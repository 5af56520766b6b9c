//! Puts the parts of a relay together and runs them.

use super::clock::Clock;
use super::config::Config;
use super::edge::Edge;
use super::journal::Journal;
use super::owner::{Owner, Parts, QUEUE};
use super::phase::{Phase, State};
use super::upstream::Upstream;
use super::{discovery, notices};
use std::fmt;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Descriptors kept for calls, the journal, discovery and the rest.
const OTHER_DESCRIPTORS: usize = 384;
/// Time for the last answers to leave.
const LAST_WORDS: Duration = Duration::from_millis(50);

/// Why a relay cannot start.
#[derive(Debug)]
pub struct StartError(String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// Runs a relay until it is told to end.
///
/// # Errors
/// What kept it from starting.
pub fn serve(config: &Config) -> Result<(), StartError> {
    let failed = |what: &'static str| move |e: std::io::Error| StartError(format!("{what}: {e}"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed("runtime"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: &Config) -> Result<(), StartError> {
    let failed = |what: &'static str| move |e: std::io::Error| StartError(format!("{what}: {e}"));
    let phase = Phase::new();
    let clock = Clock::start();
    let mut terminated = signal(SignalKind::terminate()).map_err(failed("signals"))?;
    let mut interrupted = signal(SignalKind::interrupt()).map_err(failed("signals"))?;
    let listener = TcpListener::bind(config.listen).await.map_err(failed("listen"))?;
    phase.advance(State::Recovering);
    let journal = Journal::open(&config.state, config.disk).map_err(failed("journal"))?;
    let (to_owner, queue) = mpsc::channel(QUEUE);
    let upstream =
        Upstream::new(config.settings.connect_timeout, config.settings.keepalive, to_owner.clone());
    let (due, told) = mpsc::channel(1);
    spawn_local(upstream.clone().sweep());
    spawn_local(notices::tell(config.discovery, told, to_owner.clone()));
    spawn_local(discovery::follow(config.discovery, config.known.rev, to_owner.clone()));
    let parts = Parts { journal, clock, phase: phase.clone(), upstream, notices: due, queue };
    let owner = Owner::new(config, parts).map_err(|e| StartError(e.to_string()))?;
    let most = config.sockets.saturating_sub(OTHER_DESCRIPTORS).max(16);
    let edge = Edge::new(to_owner, phase.clone(), clock, most);
    spawn_local(edge.serve(listener));
    let owner = spawn_local(owner.run());
    phase.advance(State::Serving);
    let order = phase.clone();
    spawn_local(async move {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = interrupted.recv() => {}
        }
        order.advance(State::Draining);
    });
    let ended = owner.await;
    // Whatever was answered in the last step is on its way to the edge connections.
    sleep(LAST_WORDS).await;
    phase.advance(State::Stopped);
    ended.map_err(|e| StartError(format!("the owner failed: {e}")))
}
