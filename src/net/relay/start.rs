//! Parts of a start: what can fail, the trace, and listeners.

use super::*;

/// Connections that may wait to be accepted.
const WAITING_CONNECTIONS: u32 = 1024;

/// Why a relay cannot start.
#[derive(Debug)]
pub struct StartError(pub(super) String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// The journal, if its folder is this relay's own. Guards what must not run twice: the folder of another relay of the fleet,
/// copied or put in the wrong place, shows flows that the other one still has.
pub(super) fn own(journal: Journal, config: &Config) -> Result<Journal, StartError> {
    let whose = journal.ledger().started.as_ref().and_then(|s| s.node);
    match (whose, config.peers.as_ref().map(|p| p.number.0)) {
        (Some(whose), Some(this)) if whose != this => Err(StartError(format!(
            "{}: this folder is relay {whose}'s, and this is relay {this}: nothing of it is acted on",
            config.state.display()
        ))),
        _ => Ok(journal),
    }
}

/// What keeps the trace.
pub(super) fn witness(
    config: &Config, settings: &TraceSettings, now: Duration,
) -> Result<StepRecorder, StartError> {
    let classes = &config.settings.classes;
    let terms =
        classes.iter().map(|c| ClassTerms { effect: c.effect, aim: c.target_latency, life: c.deadline });
    let described = config.names.classes.iter().zip(classes).map(|(name, c)| Class {
        name: name.clone(),
        worth: (c.utility * 1e3) as u64,
        late: (c.late_utility * 1e3) as u32,
        aim_us: c.target_latency.as_micros() as u64,
        life_us: c.deadline.as_micros() as u64,
    });
    let whose = Whose { relay: config.name.clone(), since: now, classes: described.collect() };
    let recorder = Recorder::start(settings, whose).map_err(|e| StartError(format!("trace: {e}")))?;
    let scribe = Scribe::new(settings.events, settings.sample, config.names.clone(), terms.collect());
    tracing::info!("trace in {}", settings.folder.display());
    Ok(StepRecorder::new(scribe, recorder))
}

pub(super) async fn listen(what: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let failed = |e| StartError(format!("{what} on {address}: {e}"));
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.map_err(failed)?;
    // A relay that was killed a moment ago may have left connections at its address.
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    // Guards usual clients against a flood of others: what finds no place in the queue waits a second.
    let listener = socket.listen(WAITING_CONNECTIONS).map_err(failed)?;
    tracing::info!("{what} on {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Waits for the order to end, or for the end of the process that has everything. Should that die without a word, this
/// one starts again from the journal, as after any kill: nobody else would.
pub(super) async fn stand_by(mut peer: Peer, told_to_end: JoinHandle<()>) -> Result<(), StartError> {
    let word = tokio::select! {
        _ = told_to_end => return Ok(()),
        word = peer.hear() => word,
    };
    match word {
        Ok(Some(_)) => Ok(()),
        Ok(None) | Err(_) => {
            tracing::warn!("the process that took over is gone");
            let mut giver = Giver::Given;
            if giver.on(ToGiver::PeerGone) == Give::Restart { Err(start_again()) } else { Ok(()) }
        }
    }
}

pub(super) fn start_again() -> StartError {
    tracing::info!("starts again");
    StartError(format!("cannot start again: {}", upgrade::start_again(upgrade::tries() + 1)))
}
