//! Endpoints as they register: one record an incarnation, merged by sequence, handed out by counters.
//!
//! An endpoint's heartbeats come to one controller at a time, but every controller holds every endpoint: so any majority of
//! them knows all, and after a loss of power each has all on its disk. Only the controller that hears an endpoint calls it
//! silent; one that nobody is known to hear (after a restart, or once whoever heard it has restarted) is called silent by
//! all in the same time. Such a record keeps the sequence of what was heard before, so a later heartbeat, wherever it comes,
//! supersedes it.
//!
//! Entries are soft, for endpoints repeat themselves. What isn't soft is a drain: an incarnation that has said that it
//! leaves never comes back, whatever arrives later. Pure.

mod drain_sync;
mod entry;
mod instance;

pub use drain_sync::{DrainSync, replicas_needed};
pub use instance::{Instance, RecordUpdate, Stage};

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use entry::{Entry, Source};

/// Agents and proxies forget an incarnation that is away after this time: later than controllers do, so that none of these
/// tells of it as of a new one.
pub const RELAY_TOMBSTONE_LIFETIME: Duration = Duration::from_secs(900);
/// Heartbeats that may be missed until an endpoint counts as silent.
const MISSED_HEARTBEATS: u32 = 4;

/// Lives of other controllers that are remembered as over; each is looked up where another controller still names it.
const ENDED_ORIGINS_MAX: usize = 64;

/// The endpoints that one controller knows.
pub struct Registry {
    origin: u64,
    counter: u64,
    changes: u64,
    entries: HashMap<String, Entry>,
    /// Lives of other controllers that are over, the newest last.
    ended_origins: VecDeque<u64>,
    silence_timeout: Duration,
}

impl Registry {
    /// An empty registry; `origin` tells this life of the controller apart from others.
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

    /// Which life of which controller the counters belong to.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// The newest change that is told on.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// How many changes there were: those of [`Registry::counter`], and what other controllers tell on by themselves.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes a heartbeat in that came here; true if others wait to learn of it.
    pub fn merge(&mut self, now: Instant, instance: Instance) -> bool {
        self.merge_from(now, instance, Source::Local)
    }

    /// Takes in what another controller tells; true if others wait to learn of it here.
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
        let source = source.merged(entry.source, is_newer);
        let stage = instance.stage.max(current.stage);
        let sequence = instance.sequence.max(current.sequence);
        let content = if is_repeated { current.clone() } else { instance };
        let merged = Instance { stage, sequence, ..content };
        let is_significant = is_significant_change(&merged, current);
        if is_significant || source != entry.source {
            let counter = entry.counter;
            // Who hears it is told on with the next news, or the next time that somebody asks: nobody waits for that.
            return self.store(Entry { instance: merged, counter, updated_at: now, source })
                && is_significant;
        }
        if !is_repeated {
            entry.updated_at = now;
            entry.instance = merged;
        }
        false
    }

    /// Holds a changed record; true if it is told on from here.
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

    /// A life of another controller is over: nobody is known to hear what it heard.
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

    /// An incarnation has left; one that was never heard of gets a record all the same.
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

    /// Marks endpoints that have missed heartbeats and forgets what left long ago; true if anything changed.
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

    /// Records that changed after `counter`, but for those that whoever hears the endpoint tells itself; all records if the
    /// counter is another origin's.
    pub fn since(&self, origin: u64, counter: u64) -> Vec<Instance> {
        self.changed(origin, counter).into_iter().map(|entry| entry.instance.clone()).collect()
    }

    /// The same for another controller.
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

    /// All records, to be kept on disk.
    pub fn records(&self) -> Vec<Instance> {
        self.entries.values().map(|entry| entry.instance.clone()).collect()
    }

    /// Takes in what was kept before a restart, as if it had just been heard: endpoints are there again before their next
    /// heartbeats, and one that ended meanwhile becomes silent in its time.
    pub fn restore(&mut self, now: Instant, records: Vec<Instance>) {
        for record in records {
            self.merge_from(now, record, Source::Unowned);
        }
    }

    /// How many incarnations are how far.
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

    /// How many incarnations are ready and heard of.
    pub fn ready(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.instance.stage == Stage::Ready && !entry.instance.is_silent)
            .count()
    }
}

/// Whether a relay has to know of the difference; a mere heartbeat is none.
fn is_significant_change(new: &Instance, old: &Instance) -> bool {
    let strip = |instance: &Instance| Instance { sequence: 0, warmup_left_ms: 0, ..instance.clone() };
    strip(new) != strip(old)
}
