//! Restart recovery: carries out what [`onyxstile_recovery`] decides.

mod peer_facts;
mod stale_folder;
mod states;

use super::*;
use crate::net::config::Config;
use crate::net::journal::Started;
use onyxstile_peers::book::Book;
use onyxstile_peers::{Fate as FlowFate, Life, NodeNo, Question};
use onyxstile_recovery::{
    Boot, Effect as RecoveryEffect, Event, Folder, Loss, Ramp, Return, Stage as RecoveryStage, Times,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Maximum number of relays asked after a loss: one that has seen a later incarnation of this relay is enough, and each
/// has observed the servers through its own calls.
const MAX_PEERS_ASKED: usize = 16;
/// Delay before a failed write of the start record is retried.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Range of the retry-after time during restart recovery.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// State of the restart recovery, running or finished.
#[derive(Debug)]
pub(super) struct RestartRecovery {
    ret: Return,
    /// Flows that were open in the folder and are not recovered yet, and, of all open flows, those that must not run
    /// twice and the others.
    left: BTreeSet<FlowNo>,
    once: BTreeSet<FlowNo>,
    others: BTreeSet<FlowNo>,
    owed: BTreeSet<FlowNo>,
    pub(super) notifying: bool,
    pub(super) kept: bool,
    ramp: Option<Ramp>,
    asked_until: Duration,
    /// Until this time, a newly listed server is treated as cold unless a relay with complete records reported it.
    pub(super) cold_until: Duration,
    rng: Pcg32,
    life: Life,
    boot: String,
    node: Option<u16>,
    /// The loss that the folder itself shows.
    loss: Loss,
    /// The start record is not written yet; next attempt at this time.
    start_retry_at: Option<Duration>,
}

/// Incarnation of a new process: the next one of its folder, or the first one of a new folder.
pub(crate) fn next_incarnation(last: Option<&Started>, seed: u64, now: Duration) -> Life {
    let mut rng = Pcg32::seed_from_u64(seed ^ now.as_nanos() as u64);
    let process = rng.next_u32() as u16;
    match last.map(|s| s.life) {
        Some(life) => Life { start: life.start.saturating_add(1), process, turn: 0, ..life },
        None => Life { born: now.as_secs() as u32, folder: rng.next_u32(), start: 1, process, turn: 0 },
    }
}

impl Owner {
    /// Classifies the folder and begins the recovery. The start record is written and synced before anything is sent or
    /// carried out.
    pub(super) fn begin_restart(&mut self, config: &Config, life: Life) {
        let now = self.clock.now();
        let boot = config.durability.as_ref().map(|s| s.boot.clone()).unwrap_or_default();
        let ledger = self.journal.ledger();
        let last = ledger.started.as_ref();
        let same = last.is_some_and(|s| !boot.is_empty() && s.boot == boot);
        let folder = Folder {
            empty: last.is_none(),
            tail: self.journal.tail(),
            boot: if same { Boot::Same } else { Boot::Other },
            closed: ledger.closed,
            written: last.map(|s| s.durability).unwrap_or_default(),
        };
        let loss = folder.loss();
        tracing::info!(?folder, ?loss, ?life, "folder judged");
        let sound = if loss.shakes() { now } else { last.map_or(now, |s| s.at) };
        let (open, owed): (Vec<_>, BTreeSet<_>) =
            (ledger.open.keys().copied().collect(), ledger.owed.keys().copied().collect());
        let is_once = |no: &FlowNo| {
            let class = ledger.open.get(no).and_then(|(f, _)| position(&self.names.classes, &f.class));
            class.and_then(|c| self.classes.get(c)).is_none_or(|c| c.0 == crate::api::Effect::Once)
        };
        let (once, others): (BTreeSet<_>, BTreeSet<_>) = open.iter().partition(|no| is_once(no));
        let mut book =
            Book::new(crate::net::peers::settings::IDS_MOST, crate::net::peers::settings::ID_MEMORY, now);
        if matches!(loss, Loss::Nothing | Loss::Unsynced) {
            ledger.over.iter().for_each(|(digest, fate, at)| book.write(*digest, *fate, *at));
            book.whole_from(ledger.over_from);
        }
        let fates = ledger.open.values().map(|(f, _)| onyxstile_peers::book::id_digest(&f.parcel.id));
        fates.for_each(|digest| book.write(digest, FlowFate::Taken, now));
        let cold_until = if loss.shakes() { now + self.cold_time } else { now };
        let restart = RestartRecovery {
            ret: Return::new(Times::of(self.cold_time), now),
            left: open.into_iter().collect(),
            once,
            others,
            owed,
            notifying: false,
            kept: false,
            ramp: None,
            asked_until: now,
            cold_until,
            rng: Pcg32::seed_from_u64(config.seed ^ 0xc01d),
            life,
            boot,
            node: config.peers.as_ref().map(|p| p.number.0),
            loss,
            start_retry_at: Some(now),
        };
        self.restart = Some(restart);
        if let Some(fleet) = &mut self.fleet {
            (fleet.book, fleet.complete_since) = (book, sound);
        }
        self.write_start();
    }

    /// Writes and syncs the start record before anything is sent or carried out: otherwise the other relays would take
    /// the next process for this one. Nothing is done until the write succeeds.
    fn write_start(&mut self) {
        let now = self.clock.now();
        let Some(c) = self.restart.as_mut().filter(|c| c.start_retry_at.is_some_and(|at| at <= now)) else {
            return;
        };
        let durability = self.journal.durability();
        let started = Started { life: c.life, node: c.node, boot: c.boot.clone(), durability, at: now };
        let (loss, mut records) = (c.loss, vec![Record::Started(started)]);
        // Records the loss for a second start, which finds a consistent folder on the same machine and would otherwise
        // treat missing records as events that never happened.
        if !matches!(loss, Loss::Nothing | Loss::Unsynced) {
            records.push(Record::OverFrom(now));
        }
        if loss.shakes() {
            let open = self.journal.ledger().open.iter();
            records.extend(open.filter_map(|(no, (flow, progress))| {
                let assumed_progress = self.assumed_progress(*no, flow, progress.clone(), loss);
                (assumed_progress != *progress).then_some(Record::Progress(*no, assumed_progress))
            }));
        }
        let written = self.journal.write(&records).and_then(|()| self.journal.sync_all());
        if let Err(e) = written {
            tracing::error!(
                "journal: the start record cannot be written: {e}; retrying before any other work"
            );
            self.with_restart(|c| c.start_retry_at = Some(now + START_RETRY_DELAY));
            return;
        }
        self.with_restart(|c| c.start_retry_at = None);
        let peers = self.fleet.as_ref().is_some_and(|f| f.peers.others().next().is_some());
        self.on_restart_event(Event::Judged { loss, peers }, now);
    }

    /// Whether the start record is written; nothing is sent to other relays before that.
    pub(super) fn has_started(&self) -> bool {
        self.restart.as_ref().is_none_or(|c| c.start_retry_at.is_none())
    }
}
