//! The shelf and the planner together, as the owner uses them.

use super::MachineClock;
use super::settings::{SyncPolicy, UndeliveredSettings};
use super::shelf::{self, FACETS, Shelf};
use crate::core::FlowNo;
use onyxstile_store::disk::OsDisk;
use onyxstile_store::{Change, Error, Store};
use onyxstile_undelivered::planner::Admission;
use onyxstile_undelivered::{Body, Kept, Planner, State};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

mod write;

/// How soon a look is taken again that found nothing to do, at least.
const LOOK: Duration = Duration::from_millis(50);
/// Bytes of a message's records beside its body, about.
const RECORDS: u32 = 512;
/// Changes that may wait for a disk that fails; beyond that nothing more is kept.
const LATE: usize = 512;
/// Changes of one write when the start makes many.
const AT_ONCE: usize = 64;

/// What was done since the start.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Messages that were kept.
    pub kept: u64,
    /// Messages that failed and no rule, room or disk kept.
    pub not_kept: u64,
    /// Of those kept, gone to make room.
    pub made_room: u64,
    /// Gone because their time was over.
    pub expired: u64,
    /// Resends that began.
    pub resends: u64,
    /// Resends that were delivered.
    pub delivered: u64,
    /// Resends that failed and never ran.
    pub failed: u64,
    /// Resends that may have run.
    pub may_have_run: u64,
    /// Writes of the store that failed.
    pub errors: u64,
}

/// Keeps messages for the owner.
#[derive(Debug)]
pub struct Keeper {
    /// Where they are.
    pub shelf: Shelf,
    /// What goes next.
    pub planner: Planner,
    /// The machine's own clock.
    pub machine: MachineClock,
    /// What was done.
    pub counts: Counts,
    sync: SyncPolicy,
    /// Changes of this step.
    staged: Vec<Change<FACETS>>,
    /// Changes that could not be written, and the resends whose ends wait for that.
    late: (Vec<Change<FACETS>>, Vec<FlowNo>),
    /// Flows that are kept and, as the journal has it, open: they were killed between the two records of their end.
    still_open: BTreeSet<u64>,
    look_at: Duration,
}

impl Keeper {
    /// Opens the store and learns what there is. `open`: flows that are open in the journal, with what they resend.
    /// `journal_is_new`: there was none.
    ///
    /// # Errors
    /// The store cannot be read or written.
    pub fn open(
        settings: &UndeliveredSettings, now: Duration, open: &[(FlowNo, Option<FlowNo>)],
        journal_is_new: bool,
    ) -> onyxstile_store::Result<Keeper> {
        let folder = settings.folder.display().to_string();
        let disk = OsDisk::new(&settings.folder).map_err(|e| Error::Io(folder, e))?;
        let (store, report) = Store::open(disk, settings.store)?;
        let machine = MachineClock::read();
        let mut keeper = Keeper {
            shelf: Shelf { store },
            planner: Planner::new(settings.rules.clone(), now),
            machine,
            counts: Counts::default(),
            sync: settings.sync,
            staged: Vec::new(),
            late: (Vec::new(), Vec::new()),
            still_open: BTreeSet::new(),
            look_at: now,
        };
        let stamp = machine.stamp(now);
        let flows: BTreeSet<u64> = open.iter().map(|(no, _)| no.0).collect();
        let mut unreadable = 0;
        for key in keeper.shelf.keys().collect::<Vec<_>>() {
            let Ok(Some(mut kept)) = keeper.shelf.get(key) else {
                unreadable += 1;
                continue;
            };
            let before = kept.clone();
            if report.damaged {
                kept.doubt(stamp);
            }
            let goes_on = open.contains(&(FlowNo(kept.resend), Some(FlowNo(key))));
            if kept.is() == State::Resending && !goes_on {
                kept.found_resending(journal_is_new, stamp);
            }
            if kept != before {
                keeper.staged.push(shelf::put(&kept));
            }
            if flows.contains(&key) {
                keeper.still_open.insert(key);
            } else {
                keeper.plan(&kept);
            }
            if keeper.staged.len() >= AT_ONCE {
                keeper.write(Vec::new(), true)?;
            }
        }
        keeper.write(Vec::new(), true)?;
        keeper.shelf.store.sync()?;
        if report.damaged {
            tracing::error!(
                "undelivered: the store was damaged ({report:?}); nothing in it is resent without a word"
            );
            keeper.shelf.store.accept_damage()?;
        }
        if unreadable > 0 {
            tracing::error!("undelivered: {unreadable} messages cannot be read");
        }
        tracing::info!("undelivered: {} messages kept", keeper.planner.totals().0);
        Ok(keeper)
    }

    /// Whether a resend's flow, which the journal has as open, is what the store says is under way.
    pub fn goes_on(&self, flow: FlowNo, of: FlowNo) -> bool {
        matches!(self.shelf.get(of.0), Ok(Some(kept)) if kept.is() == State::Resending && kept.resend == flow.0)
    }

    // ---- What fails ---------------------------------------------------------------------------------------

    /// A flow failed: it is kept if a rule says so and there is room.
    pub fn keep(&mut self, kept: Kept, body: &Body) {
        let bytes = u64::from(kept.bytes + RECORDS);
        self.still_open.remove(&kept.key);
        let key = kept.key;
        if self.late.0.len() > LATE || !self.shelf.store.writes() {
            self.counts.not_kept += 1;
            tracing::error!(flow = key, id = kept.id, "undelivered: not kept, for the disk fails");
            return;
        }
        match self.planner.admit(&kept.class, &kept.customer, kept.destination, bytes) {
            Admission::Refuse => {
                self.counts.not_kept += 1;
                tracing::warn!(
                    flow = key,
                    id = kept.id,
                    "undelivered: not kept, by rule or for want of room"
                );
            }
            Admission::Keep(gone) => {
                if !gone.is_empty() {
                    tracing::warn!("undelivered: {} messages made room", gone.len());
                    self.counts.made_room += gone.len() as u64;
                }
                gone.into_iter().for_each(|gone| self.remove(gone));
                self.staged.push(shelf::put_body(key, body));
                self.put(&kept);
                self.counts.kept += 1;
            }
        }
    }

    /// A flow ended otherwise: what an earlier process may have kept of it goes.
    pub fn not_failed(&mut self, flow: FlowNo) {
        if self.still_open.remove(&flow.0) && self.shelf.has(flow.0) {
            self.staged.extend(shelf::delete(flow.0));
        }
    }

    // ---- What changes -------------------------------------------------------------------------------------

    /// A message has changed.
    pub fn put(&mut self, kept: &Kept) {
        self.staged.push(shelf::put(kept));
        self.plan(kept);
        self.look_soon();
    }

    /// Lets the planner know of a message, with all that its records take.
    pub fn plan(&mut self, kept: &Kept) {
        self.planner.put(&Kept { bytes: kept.bytes + RECORDS, ..kept.clone() });
    }

    /// A message goes.
    pub fn remove(&mut self, key: u64) {
        self.staged.extend(shelf::delete(key));
        self.planner.remove(key);
        self.look_soon();
    }

    // ---- When ---------------------------------------------------------------------------------------------

    /// When the owner has to look again.
    pub fn due(&self) -> Duration {
        self.look_at
    }

    /// Something may go.
    pub fn look_soon(&mut self) {
        self.look_at = Duration::ZERO;
    }

    /// A look was taken.
    pub fn looked(&mut self, now: Duration) {
        let due = self.planner.due(now).unwrap_or(now + Duration::from_secs(60));
        self.look_at = due.clamp(now + LOOK, now + Duration::from_secs(60));
    }

    /// A slice of the store's own work, and what is over.
    pub fn tidy(&mut self, now: Duration) {
        for key in self.planner.expired(now) {
            self.remove(key);
            self.counts.expired += 1;
        }
        self.planner.sweep(now);
        if self.shelf.store.wants_work()
            && let Err(e) = self.shelf.store.work()
        {
            tracing::warn!("undelivered: compaction: {e}");
        }
    }
}

#[cfg(test)]
mod tests;
