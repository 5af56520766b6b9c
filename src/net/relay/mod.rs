//! Puts the parts of a relay together and runs them.

mod end;
mod start;

use crate::net::admin::{Admin, ORDERS};
use crate::net::clock::Clock;
use crate::net::config::Config;
use crate::net::edge::{Edge, EdgeLimits, EdgeParts};
use crate::net::figures::Figures;
use crate::net::journal::Journal;
use crate::net::mail::Dialect;
use crate::net::mail::client::MailUpstream;
use crate::net::mail::server::MailEdge;
use crate::net::owner::{Ended, Owner, OwnerParts, StepRecorder};
use crate::net::peers::{self, Link};
use crate::net::phase::{Evacuation, Phase, State};
use crate::net::reread::{Addresses, reread};
use crate::net::routing::{Routing, Staged};
use crate::net::trace::recorder::{Recorder, Whose};
use crate::net::trace::scribe::{ClassTerms, Scribe};
use crate::net::trace::settings::TraceSettings;
use crate::net::undelivered::keeper::Keeper;
use crate::net::upgrade::ask::{self, AskError, Begun};
use crate::net::upgrade::machine::{Give, Giver, ToGiver};
use crate::net::upgrade::parking::{Parked, Parking};
use crate::net::upgrade::wire::{Kind, Peer};
use crate::net::upgrade::{self, give, state};
use crate::net::upstream::Upstream;
use crate::net::{control, discovery, notices};
use onyxstile_trace::events::Class;
pub use start::StartError;
use start::{listen, own, stand_by, start_again, witness};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How often a process that could not take over starts again.
const TRIES: u32 = 3;
/// Time for the last answers to leave.
const LAST_WORDS: Duration = Duration::from_millis(50);

/// Runs a relay until it is told to end.
///
/// # Errors
/// What kept it from starting.
pub fn serve(config: &Config, operator: Option<PathBuf>) -> Result<(), StartError> {
    let failed = |what: &'static str| move |e: std::io::Error| StartError(format!("{what}: {e}"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed("runtime"))?;
    LocalSet::new().block_on(&runtime, run(config, operator))
}

async fn run(config: &Config, operator: Option<PathBuf>) -> Result<(), StartError> {
    let failed = |what: &'static str| move |e: std::io::Error| StartError(format!("{what}: {e}"));
    let (phase, evacuation) = (Phase::new(), Evacuation::default());
    let figures = Figures::new(&config.names.classes);
    let terminated = signal(SignalKind::terminate()).map_err(failed("signals"))?;
    let interrupted = signal(SignalKind::interrupt()).map_err(failed("signals"))?;
    // Guards against the end that SIGHUP means to a program that does not listen for it.
    let hangup = signal(SignalKind::hangup()).map_err(failed("signals"))?;
    phase.advance(State::Recovering);
    let shares = config.shares;
    let (to_owner_first, orders) = mpsc::channel(ORDERS);
    if let Some(address) = config.admin {
        let owner = to_owner_first.clone();
        let admin = Admin { owner, figures: figures.clone(), phase: phase.clone() };
        spawn_local(admin.serve(listen("admin", address).await?));
    }
    let terms = state::write(&(&config.settings, &config.names));
    let terms = terms.map_err(|e| StartError(format!("settings: {e}")))?;
    let named = |e: AskError| StartError(format!("{}: {e}", config.state.display()));
    let (lock, mut handed) = match ask::begin(config, &terms).await.map_err(named)? {
        Begun::Alone(lock) => (Some(lock), None),
        Begun::Handed(handed) => (None, Some(handed)),
    };
    let clock = handed.as_ref().map_or_else(Clock::start, |h| Clock::continuing(h.state.now));
    let clock = clock.shifted(config.durability.as_ref().map_or(0, |d| d.shift_ms));
    let durability = config.durability.as_ref().map(|d| d.durability).unwrap_or_default();
    let journal = match &handed {
        None => Journal::open(&config.state, config.disk, durability),
        Some(handed) => Journal::beside(&config.state, config.disk, handed.state.journal),
    };
    let journal = own(journal.map_err(failed("journal"))?, config)?;
    let (to_owner, queue) = mpsc::channel(shares.queue);
    let (datagrams_in, datagrams) = mpsc::channel(peers::WAITING);
    let peers = match &config.peers {
        Some(settings) => {
            let link = Link::bind(settings).await.map_err(failed("peers"))?;
            spawn_local(link.clone().listen(datagrams_in));
            Some((link, settings.number))
        }
        None => None,
    };
    let held_connections = Parking::default();
    let upstream = Upstream::new(
        config.settings.connect_timeout,
        config.settings.keepalive,
        shares.idle,
        to_owner.clone(),
        figures.clone(),
        held_connections.clone(),
    );
    spawn_local(upstream.clone().sweep());
    let mail_upstream = config.mail.as_ref().map(|m| {
        MailUpstream::new(
            m.hostname.clone(),
            config.settings.connect_timeout,
            m.times,
            shares.idle,
            to_owner.clone(),
        )
    });
    if let Some(mail) = &mail_upstream {
        spawn_local(mail.clone().sweep());
    }
    let (due, told) = mpsc::channel(1);
    let staged = Staged::build(config.routing.clone().unwrap_or_default());
    let staged = staged.map_err(|e| StartError(format!("routing: {e}")))?;
    let routing = Routing::new(staged, config.seed, clock.now());
    let recorder = config.trace.as_ref().map(|t| witness(config, t, clock.now())).transpose()?;
    let undelivered = config.undelivered.as_ref().map(|settings| {
        let ledger = journal.ledger();
        let open: Vec<_> = ledger.open.iter().map(|(no, (flow, _))| (*no, flow.resend_of)).collect();
        Keeper::open(settings, clock.now(), &open, ledger.next == 0)
    });
    let undelivered = undelivered.transpose().map_err(|e| StartError(format!("undelivered: {e}")))?;
    let edge = config.http.as_ref().map(|http| {
        let parts = EdgeParts {
            owner: to_owner.clone(),
            phase: phase.clone(),
            evacuation: evacuation.clone(),
            figures: figures.clone(),
            clock,
            limits: EdgeLimits { connections: shares.edges, closing: shares.closing, bodies: shares.bodies },
            routing: routing.clone(),
            parking: held_connections.clone(),
        };
        Edge::new(parts, http)
    });
    let rev = handed.as_ref().map_or(config.known.rev, |h| h.state.list_rev);
    let (state, mut parked, mut handover) = match handed.take().map(|h| h.split()) {
        Some((state, parked, handover)) => (Some(state), parked, Some(handover)),
        None => (None, Parked::default(), None),
    };
    let parts = OwnerParts {
        journal,
        recorder,
        undelivered,
        clock,
        phase: phase.clone(),
        upstream,
        mail_upstream,
        routing,
        notices: due,
        lock,
        held_connections,
        edge: edge.clone(),
        handed: state,
        metrics: figures.clone(),
        evacuation,
        peers,
        datagrams,
        synced: to_owner.clone(),
        queue,
        orders,
    };
    let mut owner = Owner::new(config, parts).map_err(|e| StartError(e.to_string()))?;
    if let Some(handover) = &mut handover {
        match handover.confirm(&config.state).await.map_err(failed("the lock"))? {
            Some(lock) => owner.take_lock(lock),
            // The old process took longer than it may, or we did, and it goes on: all over again.
            None if upgrade::tries() < TRIES => return Err(start_again()),
            None => return Err(StartError("the relay that runs did not hand over".into())),
        }
    }
    let front = edge.clone();
    if let (Some(edge), Some(http)) = (edge, &config.http) {
        // One that was handed over has clients in its queue; but the address may be another now.
        let stays = |l: &std::net::TcpListener| {
            l.local_addr().is_ok_and(|at| {
                at.ip() == http.listen.ip() && (at.port() == http.listen.port() || http.listen.port() == 0)
            })
        };
        parked.listener = parked.listener.filter(stays);
        match &parked.listener {
            Some(listener) => tracing::info!("HTTP on {}", listener.local_addr().map_err(failed("HTTP"))?),
            None => drop(spawn_local(edge.serve(listen("HTTP", http.listen).await?))),
        }
    }
    owner.adopt_held_sockets(parked);
    let mut ours = Vec::new();
    let outcomes = config.http.as_ref().and_then(|http| http.outcomes).map(watch::Sender::new);
    if let Some(outcomes) = &outcomes {
        ours.push(spawn_local(notices::tell(outcomes.subscribe(), told, to_owner.clone())));
    } else if config.http.is_some() {
        ours.push(spawn_local(notices::tell_log(told, to_owner.clone())));
    }
    let discovery = config.discovery.map(watch::Sender::new);
    if let Some(discovery) = &discovery {
        let pace = discovery::Pace::new(&config.settings, config.seed);
        ours.push(spawn_local(discovery::follow(discovery.subscribe(), rev, to_owner.clone(), pace)));
    }
    let addresses = Addresses { discovery, outcomes };
    if let Some(mail) = &config.mail {
        let edge = MailEdge::new(mail.clone(), to_owner.clone(), phase.clone(), clock);
        if let Some(address) = mail.smtp {
            spawn_local(edge.clone().serve(listen("SMTP", address).await?, Dialect::Smtp));
        }
        if let Some(address) = mail.lmtp {
            spawn_local(edge.serve(listen("LMTP", address).await?, Dialect::Lmtp));
        }
    }
    if config.undelivered.is_some() {
        let listener = control::listen(&config.state).map_err(failed("the control socket"))?;
        spawn_local(control::serve(listener, to_owner.clone()));
    }
    match give::listen(config) {
        Ok(asked) => ours.push(spawn_local(give::serve(asked, terms, give::never(config), to_owner_first))),
        // What a deployment does not offer is done without: a restart goes by the journal.
        Err(e) => tracing::warn!("no upgrades under load: the socket for them cannot be had: {e}"),
    }
    ours.push(spawn_local(reread(hangup, operator, addresses, to_owner)));
    let owner = spawn_local(owner.run());
    phase.advance(State::Serving);
    let told_to_end = end::when_told([terminated, interrupted], phase.clone());
    let ended = owner.await;
    let recorder = match ended.map_err(|e| StartError(format!("the owner failed: {e}")))? {
        Ended::Drained(recorder) => recorder,
        Ended::Handed(peer) => {
            phase.advance(State::Handed);
            figures.in_flight(0);
            ours.iter().for_each(|task| task.abort());
            return stand_by(peer, told_to_end).await;
        }
    };
    end::last_words(&phase, front).await;
    recorder.into_iter().for_each(Recorder::close);
    if let Some(handover) = handover {
        // The old process may still be there: it must not take this for a death.
        let _ = timeout(LAST_WORDS, handover.into_peer().say(Kind::Bye, &[])).await;
    }
    Ok(())
}
