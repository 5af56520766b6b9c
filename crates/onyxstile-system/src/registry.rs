//! Endpoints as they register: one record an incarnation, merged by sequence, handed out by counters.
//!
//! Entries are soft, for endpoints repeat themselves. What isn't soft is a drain: an incarnation that has said that it
//! leaves never comes back, whatever arrives later. Pure.

mod copies;

pub use copies::{Copies, holders_needed};

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use tinyjson::JsonValue;

use crate::clock::Instant;
use crate::json::{JsonError, Object, parse};

/// A record of an incarnation that is gone is kept this long, so that a late heartbeat doesn't bring it back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// Agents and proxies forget an incarnation that is away after this time: later than controllers do, so that none of these
/// tells of it as of a new one.
pub const RELAYS_FORGET_AFTER: Duration = Duration::from_secs(900);
/// Heartbeats that may be missed until an endpoint counts as silent.
const MISSED_HEARTBEATS: u32 = 4;

/// How far an endpoint's incarnation is; it only moves on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub enum Stage {
    /// Takes requests.
    Ready,
    /// Is about to leave and takes nothing new.
    Draining,
    /// Has left.
    Gone,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its id, new with each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens: address and port.
    pub address: ([u8; 4], u16),
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// How far it is.
    pub stage: Stage,
    /// How much longer it is slow from its start, in ms.
    pub warmup_left_ms: u64,
    /// Rises with each call.
    pub sequence: u64,
    /// Whether it has missed heartbeats.
    pub is_silent: bool,
}

impl Instance {
    /// Whether it has left, is about to, or has fallen silent.
    pub fn is_away(&self) -> bool {
        self.stage != Stage::Ready || self.is_silent
    }

    /// Where it listens.
    pub fn socket(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address.0.into(), self.address.1)
    }

    /// Reads the body of a registration.
    pub fn from_json(id: &str, body: &[u8]) -> Result<Instance, JsonError> {
        let not_text = |_| JsonError::Syntax(0, 0, "the body is not UTF-8".into());
        let value: JsonValue = parse(std::str::from_utf8(body).map_err(not_text)?)?;
        let object = Object::new(&value, "")?;
        let socket: SocketAddrV4 = object
            .text("address")?
            .parse()
            .map_err(|_| JsonError::Type("address".into(), "an IPv4 address with a port"))?;
        Ok(Instance {
            id: id.to_owned(),
            service: object.text("service")?.to_owned(),
            address: (socket.ip().octets(), socket.port()),
            zone: object.text("zone").unwrap_or_default().to_owned(),
            capacity: object.whole_or("capacity", 1)?.clamp(1, 1 << 20) as u32,
            stage: if object.text("state")? == "draining" { Stage::Draining } else { Stage::Ready },
            warmup_left_ms: object.number_or("warmup_left_ms", 0.0)?.max(0.0) as u64,
            sequence: object.whole_or("sequence", 0)?,
            is_silent: false,
        })
    }
}

struct Entry {
    instance: Instance,
    counter: u64,
    heard: Instant,
}

/// The endpoints that one controller knows.
pub struct Registry {
    origin: u64,
    counter: u64,
    entries: HashMap<String, Entry>,
    silence: Duration,
}

impl Registry {
    /// An empty registry; `origin` tells this life of the controller apart from others.
    pub fn new(origin: u64, heartbeat: Duration) -> Registry {
        Registry { origin, counter: 0, entries: HashMap::new(), silence: heartbeat * MISSED_HEARTBEATS }
    }

    /// Which life of which controller the counters belong to.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// The newest change.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Takes a record in; true if relays have something to learn from it.
    pub fn merge(&mut self, now: Instant, instance: Instance) -> bool {
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            self.insert(now, instance);
            return true;
        };
        if instance.sequence < entry.instance.sequence && instance.stage <= entry.instance.stage {
            return false;
        }
        entry.heard = now;
        let mut merged = instance;
        merged.stage = merged.stage.max(entry.instance.stage);
        merged.sequence = merged.sequence.max(entry.instance.sequence);
        let is_news = news(&merged, &entry.instance);
        entry.instance = merged;
        if is_news {
            self.counter += 1;
            entry.counter = self.counter;
        }
        is_news
    }

    fn insert(&mut self, now: Instant, instance: Instance) {
        self.counter += 1;
        let entry = Entry { counter: self.counter, heard: now, instance };
        self.entries.insert(entry.instance.id.clone(), entry);
    }

    /// An incarnation has left; one that was never heard of gets a record all the same.
    pub fn remove(&mut self, now: Instant, id: &str) -> Instance {
        let known = self.entries.get(id).map(|entry| entry.instance.clone());
        let gone = known.unwrap_or_else(|| Instance {
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
        let (mut counter, silence) = (self.counter, self.silence);
        for entry in self.entries.values_mut() {
            let is_silent = entry.instance.stage != Stage::Gone && now.since(entry.heard) > silence;
            if is_silent && !entry.instance.is_silent {
                entry.instance.is_silent = true;
                counter += 1;
                entry.counter = counter;
            }
        }
        self.counter = counter;
        self.entries.retain(|_, entry| now.since(entry.heard) < TOMBSTONE_LIFETIME);
        self.counter != before
    }

    /// Records that changed after `counter`, if it is this origin's; else all.
    pub fn since(&self, origin: u64, counter: u64) -> Vec<Instance> {
        let after = if origin == self.origin { counter } else { 0 };
        let mut changed: Vec<&Entry> = self.entries.values().filter(|entry| entry.counter > after).collect();
        changed.sort_by_key(|entry| entry.counter);
        changed.into_iter().map(|entry| entry.instance.clone()).collect()
    }

    /// Records of endpoints that have left or are about to, likewise. Other records are soft: a controller that does not
    /// hear an endpoint itself would only come to call it silent.
    pub fn leaving_since(&self, origin: u64, counter: u64) -> Vec<Instance> {
        let mut changed = self.since(origin, counter);
        changed.retain(|instance| instance.stage != Stage::Ready);
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
            self.merge(now, record);
        }
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
fn news(new: &Instance, old: &Instance) -> bool {
    let strip = |instance: &Instance| Instance { sequence: 0, warmup_left_ms: 0, ..instance.clone() };
    strip(new) != strip(old)
}
