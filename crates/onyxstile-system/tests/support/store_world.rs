//! Storage machines of the tier simulation: the contents of their disks and the state of their processes.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::clock::Instant;
use onyxstile_system::program::{
    Assessment, ClaimEntry, ClaimSummary, CopiedChanges, Key, Progress, Record, RecordIndex, RecordNumber,
    Source, groups,
};
use onyxstile_system::storage_plan::{StorageNode, StoragePlan};
use onyxstile_system::tolerance::Tolerance;

/// Faults of the storage machines; each has to be detected by the checkers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault: nothing may be detected.
    None,
    /// A machine that lost its disk becomes complete after 8 s with the records that it could copy.
    Timeout,
    /// New members are required as sources like all others.
    WaitsForNewcomers,
    /// A machine that lost its disk answers immediately.
    AnswersWhileEmpty,
    /// The applied epoch is forgotten on restart.
    ForgetsEpoch,
    /// Controllers do not consider members that they have not seen since their restart.
    ForgetsUnseen,
    /// The plan change ends and a leaving member is removed before the copies are made.
    EndsAtOnce,
}

/// Contents of a disk.
#[derive(Default, Clone)]
struct Disk {
    log: BTreeMap<RecordNumber, Record>,
    is_complete: bool,
    synced_epoch: u64,
    /// Newest applied epoch.
    epoch: u64,
}

/// One storage machine.
pub struct Store {
    pub node: StorageNode,
    disk: Disk,
    index: RecordIndex,
    pub progress: Progress,
    pub plan: Rc<StoragePlan>,
    incarnation: u64,
    began: u64,
    next: RecordNumber,
    pub down_until: Option<u64>,
    pub frozen_until: u64,
    /// Until this time it is cut off from all machines that count; relays can reach it.
    pub cut_until: u64,
    /// Until this time it is cut off from all other machines.
    pub isolated_until: u64,
    pub is_gone: bool,
    pub is_disk_lost: bool,
}

/// Reply to a request for changes.
pub struct Changes {
    pub incarnation: u64,
    counter: u64,
    epoch: u64,
    is_complete: bool,
    synced_epoch: u64,
    keys: Vec<(Key, u8)>,
}

impl Store {
    pub fn new(node: StorageNode, incarnation: u64, now: u64, is_first_start: bool) -> Store {
        Store {
            node,
            disk: Disk { is_complete: is_first_start, ..Disk::default() },
            index: RecordIndex::default(),
            progress: Progress::default(),
            plan: Rc::default(),
            incarnation,
            began: now,
            next: 0,
            down_until: None,
            frozen_until: 0,
            cut_until: 0,
            isolated_until: 0,
            is_gone: false,
            is_disk_lost: false,
        }
    }

    pub fn address(&self) -> Ipv4Addr {
        self.node.address()
    }

    pub fn is_up(&self, now: u64) -> bool {
        !self.is_gone && self.down_until.is_none() && self.frozen_until <= now
    }

    pub fn is_reachable(&self, now: u64) -> bool {
        self.is_gone || (self.is_up(now) && self.cut_until.max(self.isolated_until) <= now)
    }

    /// Incarnation of its process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn is_complete(&self) -> bool {
        self.disk.is_complete
    }

    pub fn synced_epoch(&self) -> u64 {
        self.disk.synced_epoch
    }

    pub fn lose_disk(&mut self) {
        self.disk = Disk::default();
        self.node.disk += 1;
        self.is_disk_lost = true;
    }

    /// Starts a new process, which reads the disk.
    pub fn start(&mut self, incarnation: u64, now: u64) {
        self.down_until = None;
        self.incarnation = incarnation;
        self.began = now;
        self.plan = Rc::default();
        self.progress = Progress::default();
        self.index = RecordIndex::default();
        let log = self.disk.log.clone();
        for (number, record) in &log {
            self.index.merge(Instant::from_millis(now), Duration::ZERO, record, *number);
        }
        self.next = log.keys().last().map_or(0, |last| last + 1);
    }

    /// Newest known epoch.
    pub fn epoch(&self) -> u64 {
        self.plan.epoch.max(self.disk.epoch)
    }

    pub fn apply_plan(&mut self, plan: &Rc<StoragePlan>, fault: StoreFault) {
        if plan.epoch > self.plan.epoch {
            if fault != StoreFault::ForgetsEpoch {
                self.disk.epoch = self.disk.epoch.max(plan.epoch);
            }
            let before = std::mem::replace(&mut self.plan, plan.clone());
            self.progress.apply_plan(self.node.address(), &before, plan);
        }
    }

    pub fn write(&mut self, now: u64, record: &Record) {
        if self.index.holds(&record.key(), record.version()) {
            return;
        }
        let number = self.next;
        self.next += 1;
        self.disk.log.insert(number, record.clone());
        let merge = self.index.merge(Instant::from_millis(now), Duration::ZERO, record, number);
        merge.obsolete.iter().for_each(|number| drop(self.disk.log.remove(number)));
    }

    pub fn holds_turn(&self, id: &str) -> bool {
        self.index.turn(id).is_some()
    }

    pub fn claims(&self, program: &str) -> (ClaimSummary, Vec<ClaimEntry>) {
        (self.index.claim_summary(program), self.index.claims(program))
    }

    /// Changes after those that `source` has processed.
    pub fn changes(&self, source: Source) -> Changes {
        let after = if source.origin == self.incarnation { source.counter } else { 0 };
        let (keys, _) = self.index.changed_since(after, usize::MAX);
        Changes {
            incarnation: self.incarnation,
            counter: self.index.counter(),
            epoch: self.plan.epoch,
            is_complete: self.disk.is_complete,
            synced_epoch: self.disk.synced_epoch,
            keys,
        }
    }

    pub fn record(&self, now: u64, key: &Key) -> Option<Record> {
        match key {
            Key::Turn(id) => self.disk.log.get(&self.index.turn(id)?).cloned(),
            Key::ClaimEntry(program, request) => {
                let entry = self.index.claim(program, request)?.clone();
                Some(Record::ClaimEntry { program: program.clone(), entry })
            }
            Key::TurnLease { turn, .. } => {
                self.index.lease(Instant::from_millis(now), turn).map(Record::TurnLease)
            }
        }
    }

    /// Keys in a reply that this machine should store and does not.
    pub fn wanted(&self, changes: &Changes, tolerance: Tolerance) -> Vec<Key> {
        let own = self.node.address();
        let is_mine = |key: &Key| {
            groups(&self.plan, key.placed_by(), tolerance).iter().any(|group| group.members.contains(&own))
        };
        let is_wanted = |(key, version): &&(Key, u8)| is_mine(key) && !self.index.holds(key, *version);
        changes.keys.iter().filter(is_wanted).map(|(key, _)| key.clone()).collect()
    }

    /// Records that a complete reply has been copied.
    pub fn copied(
        &mut self, now: u64, from: Ipv4Addr, before: Source, changes: &Changes, evaluated_epoch: u64,
    ) {
        let copied = CopiedChanges {
            origin: changes.incarnation,
            counter: changes.counter,
            is_last: true,
            epoch: changes.epoch,
            is_complete: changes.is_complete,
            synced_epoch: changes.synced_epoch,
            evaluated_epoch,
        };
        self.progress.note(Instant::from_millis(now), from, before, copied, self.plan.epoch);
    }

    /// Updates the assessment of this machine.
    pub fn review(&mut self, now: u64, tolerance: Tolerance, fault: StoreFault) {
        let own = self.node.address();
        let at = Instant::from_millis(now);
        let mut assessment =
            self.progress.assess(at, (own, self.node.disk), &self.plan, self.disk.is_complete, tolerance);
        let is_missing = |node: &&StorageNode| {
            node.address() != own && !self.progress.is_copied(node.address(), self.plan.epoch)
        };
        let missing = self.plan.all().iter().filter(|node| is_missing(node)).count();
        match fault {
            StoreFault::Timeout => {
                assessment.is_complete |= self.plan.epoch > 0 && now > self.began + 8000 && missing <= 1;
            }
            StoreFault::WaitsForNewcomers => {
                assessment.is_complete &= self.disk.is_complete || missing <= 1;
                assessment.is_synced &= missing <= 1;
            }
            StoreFault::AnswersWhileEmpty => assessment.is_complete = true,
            StoreFault::EndsAtOnce => {
                assessment = Assessment { is_synced: self.plan.epoch > 0, ..assessment };
            }
            StoreFault::None | StoreFault::ForgetsEpoch | StoreFault::ForgetsUnseen => {}
        }
        self.disk.is_complete = assessment.is_complete;
        if assessment.is_synced {
            self.disk.synced_epoch = self.plan.epoch;
        }
    }
}
