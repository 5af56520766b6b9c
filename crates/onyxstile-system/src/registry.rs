//! Registry of endpoints: one record per incarnation, merged by sequence, published by change counters.
//!
//! An endpoint sends its heartbeats to one controller at a time, but every controller stores every endpoint: any
//! majority of them has all records, and after a power loss each has them on its disk. Only the controller that
//! receives an endpoint's heartbeats (its owner) marks it silent; an endpoint without a known owner (after a restart,
//! or once its owner has restarted) is marked silent by all controllers after the same timeout. Such a record keeps the
//! sequence of the last heartbeat, so a later heartbeat at any controller supersedes it.
//!
//! Records are soft state, because endpoints repeat their heartbeats. A drain is not: an incarnation that has announced
//! its departure never returns, whatever arrives later. No I/O is performed here.

mod drain_sync;
mod entry;
mod instance;

pub use drain_sync::{DrainSync, replicas_needed};
pub use instance::{Instance, RecordUpdate, Stage};

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use entry::{Entry, Source};

/// Agents and proxies drop the record of an unavailable incarnation after this time. It is longer than the controllers'
/// lifetime of such records, so that no controller can report the incarnation as new afterwards.
pub const RELAY_TOMBSTONE_LIFETIME: Duration = Duration::from_secs(900);
/// Missed heartbeats after which an endpoint counts as silent.
const MISSED_HEARTBEATS: u32 = 4;

/// Maximum number of ended incarnations of other controllers that are remembered; each is looked up when another
/// controller still reports it as an owner.
const ENDED_ORIGINS_MAX: usize = 64;

/// The endpoints known to one controller.
pub struct Registry {
    origin: u64,
    counter: u64,
    changes: u64,
    entries: HashMap<String, Entry>,
    /// Ended incarnations of other controllers, newest last.
    ended_origins: VecDeque<u64>,
    silence_timeout: Duration,
}

impl Registry {
    /// Creates an empty registry; `origin` identifies the incarnation of this controller.
    pub fn new(origin: u64, heartbeat: Duration) -> Registry {
        let silence_timeout = heartbeat * MISSED_HEARTBEATS;
        Registry {
            origin,
            counter: 0,
            changes: 0,
            entries: HashMap::new(),
            ended_origins: VecDeque::new(),
            silence_timeout,
        }
    }

    /// The controller incarnation that the counters belong to.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Counter of the newest published change.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Number of all changes: those counted by [`Registry::counter`], and those that other controllers publish
    /// themselves.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Merges a heartbeat received by this controller; returns true if waiting subscribers must be notified.
    pub fn merge(&mut self, now: Instant, instance: Instance) -> bool {
        self.merge_from(now, instance, Source::Local)
    }

    /// Merges an update from another controller; returns true if waiting subscribers of this one must be notified.
    pub fn merge_update(&mut self, now: Instant, update: RecordUpdate) -> bool {
        let source = match update.owner {
            Some(origin) if !self.ended_origins.contains(&origin) => Source::Remote(origin),
            _ => Source::Unowned,
        };
        self.merge_from(now, update.instance, source)
    }

    fn merge_from(&mut self, now: Instant, instance: Instance, source: Source) -> bool {
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            return self.store(Entry { instance, counter: 0, updated_at: now, source });
        };
        let current = &entry.instance;
        if instance.sequence < current.sequence && instance.stage <= current.stage {
            return false;
        }
        let is_newer = instance.sequence > current.sequence;
        let is_repeated = !is_newer && !source.overrides(entry.source);
        let source = source.after_merge(entry.source, is_newer);
        let stage = instance.stage.max(current.stage);
        let sequence = instance.sequence.max(current.sequence);
        let content = if is_repeated { current.clone() } else { instance };
        let merged = Instance { stage, sequence, ..content };
        let is_significant = is_significant_change(&merged, current);
        if is_significant || source != entry.source {
            let counter = entry.counter;
            // A change of owner alone wakes no subscriber; it is published with the next change or request.
            return self.store(Entry { instance: merged, counter, updated_at: now, source })
                && is_significant;
        }
        if !is_repeated {
            entry.updated_at = now;
            entry.instance = merged;
        }
        false
    }

    /// Stores a changed record; returns true if this controller publishes it.
    fn store(&mut self, mut entry: Entry) -> bool {
        self.changes += 1;
        let is_published = !entry.is_published_elsewhere();
        if is_published {
            self.counter += 1;
            entry.counter = self.counter;
        }
        self.entries.insert(entry.instance.id.clone(), entry);
        is_published
    }

    /// Records that an incarnation of another controller has ended: the endpoints that it owned have no known owner.
    pub fn forget_origin(&mut self, now: Instant, origin: u64) {
        if self.ended_origins.len() == ENDED_ORIGINS_MAX {
            self.ended_origins.pop_front();
        }
        self.ended_origins.push_back(origin);
        for entry in self.entries.values_mut().filter(|entry| entry.source == Source::Remote(origin)) {
            entry.source = Source::Unowned;
            entry.updated_at = now;
        }
    }

    /// Marks an incarnation as gone. An unknown incarnation gets a record as well.
    pub fn remove(&mut self, now: Instant, id: &str) -> Instance {
        let existing = self.entries.get(id).map(|entry| entry.instance.clone());
        let gone = existing.unwrap_or_else(|| Instance {
            id: id.to_owned(),
            service: String::new(),
            address: ([0; 4], 0),
            zone: String::new(),
            capacity: 1,
            stage: Stage::Gone,
            warmup_left_ms: 0,
            sequence: 0,
            is_silent: false,
        });
        let gone = Instance { stage: Stage::Gone, ..gone };
        self.merge(now, gone.clone());
        gone
    }

    /// Marks endpoints that have missed heartbeats and drops expired records; returns true if anything changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let before = self.counter;
        let (mut counter, silence_timeout) = (self.counter, self.silence_timeout);
        for entry in self.entries.values_mut() {
            let is_ours = !matches!(entry.source, Source::Remote(_)) && entry.instance.stage != Stage::Gone;
            let is_silent = is_ours && now.since(entry.updated_at) > silence_timeout;
            if is_silent && !entry.instance.is_silent {
                entry.instance.is_silent = true;
                counter += 1;
                entry.counter = counter;
            }
        }
        self.counter = counter;
        self.changes += counter - before;
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.counter != before
    }

    /// Records that changed after `counter`, except those that the owner of the endpoint publishes itself; all records
    /// if the counter belongs to another origin.
    pub fn since(&self, origin: u64, counter: u64) -> Vec<Instance> {
        self.changed(origin, counter).into_iter().map(|entry| entry.instance.clone()).collect()
    }

    /// The same records as updates for another controller.
    pub fn updates_since(&self, origin: u64, counter: u64) -> Vec<RecordUpdate> {
        let update = |entry: &Entry| RecordUpdate {
            instance: entry.instance.clone(),
            owner: match entry.source {
                Source::Local => Some(self.origin),
                Source::Remote(other) => Some(other),
                Source::Unowned => None,
            },
        };
        self.changed(origin, counter).into_iter().map(update).collect()
    }

    fn changed(&self, origin: u64, counter: u64) -> Vec<&Entry> {
        let is_same_origin = origin == self.origin;
        let is_wanted =
            |entry: &&Entry| !is_same_origin || entry.counter > counter && !entry.is_published_elsewhere();
        let mut changed: Vec<&Entry> = self.entries.values().filter(is_wanted).collect();
        changed.sort_by_key(|entry| entry.counter);
        changed
    }

    /// All records, for persistence.
    pub fn records(&self) -> Vec<Instance> {
        self.entries.values().map(|entry| entry.instance.clone()).collect()
    }

    /// Restores persisted records as if they had just been received: endpoints are available before their next
    /// heartbeats, and one that ended in the meantime becomes silent after the usual timeout.
    pub fn restore(&mut self, now: Instant, records: Vec<Instance>) {
        for record in records {
            self.merge_from(now, record, Source::Unowned);
        }
    }

    /// Number of incarnations by stage.
    pub fn counts(&self) -> [(&'static str, usize); 4] {
        let count = |is_wanted: fn(&Instance) -> bool| {
            self.entries.values().filter(|entry| is_wanted(&entry.instance)).count()
        };
        [
            ("ready", self.ready()),
            ("silent", count(|instance| instance.stage == Stage::Ready && instance.is_silent)),
            ("draining", count(|instance| instance.stage == Stage::Draining)),
            ("gone", count(|instance| instance.stage == Stage::Gone)),
        ]
    }

    /// Number of incarnations that are ready and not silent.
    pub fn ready(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.instance.stage == Stage::Ready && !entry.instance.is_silent)
            .count()
    }
}

/// Whether relays need to receive the difference; a plain heartbeat makes none.
fn is_significant_change(new: &Instance, old: &Instance) -> bool {
    let strip = |instance: &Instance| Instance { sequence: 0, warmup_left_ms: 0, ..instance.clone() };
    strip(new) != strip(old)
}
