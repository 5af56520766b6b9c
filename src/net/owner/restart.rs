//! The owner's part in a return to service: what [`onyxstile_recovery`] decides is carried out here.

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

/// Others that are asked after a loss, at most: one that knows a later life of this relay is enough, and each knows
/// partners by calls of its own.
const MAX_PEERS_ASKED: usize = 16;
/// How long a start that cannot be written waits before it is tried again.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long who is turned away during a return is asked to stay away.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// A return that is under way, or was.
#[derive(Debug)]
pub(super) struct RestartRecovery {
    ret: Return,
    /// What the folder showed as open and has not been handed over, and all of it that must not run twice, or may.
    left: BTreeSet<FlowNo>,
    once: BTreeSet<FlowNo>,
    others: BTreeSet<FlowNo>,
    owed: BTreeSet<FlowNo>,
    pub(super) notifying: bool,
    pub(super) kept: bool,
    ramp: Option<Ramp>,
    asked_until: Duration,
    /// Until when a real server of which no sound relay told is taken for cold when it is first listed.
    pub(super) cold_until: Duration,
    rng: Pcg32,
    life: Life,
    boot: String,
    node: Option<u16>,
    /// What the folder by itself says that was lost.
    loss: Loss,
    /// The start is not written yet, and is tried to be again at this time.
    start_retry_at: Option<Duration>,
}

/// The life with which a process begins: the next one of its folder, or the first of a new one.
pub(crate) fn next_incarnation(last: Option<&Started>, seed: u64, now: Duration) -> Life {
    let mut rng = Pcg32::seed_from_u64(seed ^ now.as_nanos() as u64);
    let process = rng.next_u32() as u16;
    match last.map(|s| s.life) {
        Some(life) => Life { start: life.start.saturating_add(1), process, turn: 0, ..life },
        None => Life { born: now.as_secs() as u32, folder: rng.next_u32(), start: 1, process, turn: 0 },
    }
}

impl Owner {
    /// Judges the folder and begins the return. The start is written, and synced, before anything else is said or done.
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

    /// Writes the start down, and syncs it, before anything else is said or done: without, the others would take the next
    /// process for this one. While that cannot be done nothing is.
    fn write_start(&mut self) {
        let now = self.clock.now();
        let Some(c) = self.restart.as_mut().filter(|c| c.start_retry_at.is_some_and(|at| at <= now)) else {
            return;
        };
        let durability = self.journal.durability();
        let started = Started { life: c.life, node: c.node, boot: c.boot.clone(), durability, at: now };
        let (loss, mut records) = (c.loss, vec![Record::Started(started)]);
        // Guards what was lost against a second start: that one finds a folder in order, on a machine that is the same, and
        // would take what is not written for what never was.
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
            tracing::error!("journal: the start cannot be written: {e}; nothing is done before it is");
            self.with_restart(|c| c.start_retry_at = Some(now + START_RETRY_DELAY));
            return;
        }
        self.with_restart(|c| c.start_retry_at = None);
        let peers = self.fleet.as_ref().is_some_and(|f| f.peers.others().next().is_some());
        self.on_restart_event(Event::Judged { loss, peers }, now);
    }

    /// Whether the start is written: only then is anything said to the others.
    pub(super) fn has_started(&self) -> bool {
        self.restart.as_ref().is_none_or(|c| c.start_retry_at.is_none())
    }
}
