//! The directory of real servers by their lasting names.

use super::figures::Servers;
use super::listed::{RawEntry, Wire};
use crate::api::{DestinationId, KindId, ListState, ZoneId};
use crate::core::{ServerNo, ServiceEntry};
use crate::settings::Names;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A real server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Server {
    /// Its lasting name.
    pub uid: String,
    /// Where it listens, once an entry has said so.
    pub address: Option<SocketAddr>,
    /// How it is spoken to.
    pub wire: Wire,
    /// Its kind.
    pub kind: KindId,
    /// Its destination, once an entry has said so.
    pub destination: DestinationId,
    zone: ZoneId,
    rate: f64,
    /// What the list says of it.
    listed: ListState,
    /// That, and the operators' bans: what the module is told.
    state: ListState,
    /// Its idle connections lead nowhere any more.
    moved: bool,
}

impl Server {
    /// Whether anything new may go there, as far as the list and operators say.
    pub fn accepts_calls(&self) -> bool {
        self.state == ListState::Live
    }
}

/// Names that were listed and are not any more, kept so that they can be banned or put back.
const MAX_REMEMBERED: usize = 4096;

/// Real servers by their lasting names. One that has gone is kept until its last call is over; should its name
/// come again, it is another real server.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Directory {
    numbers: BTreeMap<String, ServerNo>,
    servers: BTreeMap<ServerNo, Server>,
    next: u32,
    /// Every destination that a list has named.
    destinations: BTreeSet<DestinationId>,
    /// Names that operators have banned, whatever the list says of them.
    bans: BTreeSet<String>,
    /// Names once listed whose servers were forgotten, the oldest first.
    once: VecDeque<String>,
}

impl Directory {
    /// The number of a real server, a new one if its name is new.
    pub fn number(&mut self, uid: &str) -> ServerNo {
        if let Some(no) = self.numbers.get(uid) {
            return *no;
        }
        let no = ServerNo(self.next);
        self.next += 1;
        let (address, wire, kind) = (None, Wire::Http, KindId(usize::MAX));
        let (uid_own, destination) = (uid.to_string(), DestinationId::default());
        let server = Server {
            uid: uid_own,
            address,
            wire,
            kind,
            destination,
            zone: ZoneId(usize::MAX),
            rate: 0.0,
            listed: ListState::Gone,
            state: ListState::Live,
            moved: false,
        };
        self.servers.insert(no, server);
        self.numbers.insert(uid.to_string(), no);
        no
    }

    /// Takes in what an entry says of a real server, in the core's terms. One that has another destination now is
    /// another real server: what was told, seen and sent there goes on being the old one's, which is gone.
    pub fn entry(&mut self, raw: &RawEntry, wire: Wire, names: &Names) -> Vec<ServiceEntry> {
        let old = self.find(&raw.uid).and_then(|no| Some((no, self.servers.get_mut(&no)?)));
        let old = old.filter(|(_, s)| s.address.is_some() && s.destination != DestinationId(raw.pod_group));
        let gone = old.map(|(id, s)| {
            (s.listed, s.state) = (ListState::Gone, ListState::Gone);
            let (destination, kind, zone) = (s.destination, s.kind, ZoneId(usize::MAX));
            ServiceEntry { id, destination, kind, zone, state: ListState::Gone, rate: 0.0 }
        });
        if gone.is_some() {
            self.numbers.remove(&raw.uid);
        }
        let id = self.number(&raw.uid);
        let listed = match raw.state.as_str() {
            "up" => ListState::Live,
            "draining" => ListState::Draining,
            _ => ListState::Gone,
        };
        let state = self.effective_state(&raw.uid, listed);
        let destination = DestinationId(raw.pod_group);
        self.destinations.insert(destination);
        // A kind or zone that the settings do not name has no settings of its own.
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let (kind, zone) = (KindId(index(&names.kinds, &raw.model)), ZoneId(index(&names.zones, &raw.az)));
        if let Some(server) = self.servers.get_mut(&id) {
            (server.wire, server.kind, server.listed, server.state) = (wire, kind, listed, state);
            (server.zone, server.rate) = (zone, raw.capacity_hint);
            server.destination = destination;
            match raw.endpoint.parse() {
                Ok(address) => {
                    server.moved |= server.address.is_some_and(|old| old != address);
                    server.address = Some(address);
                }
                Err(_) => tracing::error!("discovery: `{:.60}` is no address", raw.endpoint),
            }
        }
        tracing::debug!(
            server = id.0,
            uid = raw.uid,
            destination = raw.pod_group,
            kind = raw.model,
            state = raw.state,
            "listed"
        );
        let entry = ServiceEntry { id, destination, kind, zone, state, rate: raw.capacity_hint };
        gone.into_iter().chain([entry]).collect()
    }

    /// What the module is told of a server of which the list says `listed`: a ban is a drain.
    fn effective_state(&self, uid: &str, listed: ListState) -> ListState {
        let banned = listed == ListState::Live && self.bans.contains(uid);
        if banned { ListState::Draining } else { listed }
    }

    /// Whether a list has named it, as far as that is remembered.
    pub fn was_listed(&self, uid: &str) -> bool {
        let now = self.find(uid).and_then(|no| self.get(no)).is_some_and(|s| s.address.is_some());
        now || self.bans.contains(uid) || self.once.iter().any(|o| o == uid)
    }

    /// Bans a name or ends its ban: its server, and what the module is to be told, if it is listed.
    pub fn ban(&mut self, uid: &str, on: bool) -> Option<(ServerNo, ServiceEntry)> {
        let changed = if on { self.bans.insert(uid.to_string()) } else { self.bans.remove(uid) };
        let no = self.find(uid).filter(|_| changed)?;
        let listed = self.get(no).filter(|s| s.address.is_some())?.listed;
        let state = self.effective_state(uid, listed);
        let s = self.servers.get_mut(&no)?;
        s.state = state;
        let (destination, kind, zone, rate) = (s.destination, s.kind, s.zone, s.rate);
        Some((no, ServiceEntry { id: no, destination, kind, zone, state, rate }))
    }

    /// How many are listed, and how many of these get nothing: banned, or among `avoided`.
    pub fn server_counts(&self, avoided: &BTreeSet<ServerNo>) -> Servers {
        let listed = self.servers.iter().filter(|(_, s)| s.address.is_some() && s.listed != ListState::Gone);
        let excluded = |(no, s): &(&ServerNo, &Server)| self.bans.contains(&s.uid) || avoided.contains(no);
        Servers { known: listed.clone().count(), excluded: listed.filter(excluded).count() }
    }

    /// Those that are listed and have an address.
    pub fn listed(&self) -> Vec<ServerNo> {
        let is_listed = |s: &Server| s.address.is_some() && s.listed != ListState::Gone;
        self.servers.iter().filter(|(_, s)| is_listed(s)).map(|(no, _)| *no).collect()
    }

    /// The names of those of which the list says that they drain.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        self.servers.values().filter(|s| s.listed == ListState::Draining).map(|s| s.uid.as_str())
    }

    /// What the module is told of one now.
    pub fn service_entry(&self, no: ServerNo) -> Option<ServiceEntry> {
        let s = self.get(no).filter(|s| s.address.is_some())?;
        let (destination, kind, zone, state, rate) = (s.destination, s.kind, s.zone, s.state, s.rate);
        Some(ServiceEntry { id: no, destination, kind, zone, state, rate })
    }

    /// The lasting name of a real server.
    pub fn uid(&self, no: ServerNo) -> String {
        self.servers.get(&no).map(|s| s.uid.clone()).unwrap_or_default()
    }

    /// The destination of a real server.
    pub fn destination(&self, no: ServerNo) -> DestinationId {
        self.servers.get(&no).map(|s| s.destination).unwrap_or_default()
    }

    /// The number that a name has, if it has one.
    pub fn find(&self, uid: &str) -> Option<ServerNo> {
        self.numbers.get(uid).copied()
    }

    /// A real server.
    pub fn get(&self, no: ServerNo) -> Option<&Server> {
        self.servers.get(&no)
    }

    /// Whether a list has ever named the destination.
    pub fn was_named(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// A whole list begins: what it does not name is gone.
    pub fn begin_full_list(&mut self) {
        let servers = self.servers.values_mut();
        servers.for_each(|s| (s.listed, s.state) = (ListState::Gone, ListState::Gone));
    }

    /// Guards memory and descriptors on days on which real servers come and go: returns those whose idle
    /// connections are to be closed, as they want nothing new or have another address, and forgets those that
    /// are gone and have no call out.
    pub fn sweep(&mut self, busy: impl Fn(ServerNo) -> bool) -> Vec<ServerNo> {
        let (mut close, mut gone) = (Vec::new(), Vec::new());
        for (no, server) in &mut self.servers {
            if std::mem::take(&mut server.moved) || server.state != ListState::Live {
                close.push(*no);
            }
            if server.state == ListState::Gone && !busy(*no) {
                gone.push((*no, server.uid.clone()));
            }
        }
        for (no, uid) in gone {
            self.servers.remove(&no);
            if self.find(&uid) == Some(no) {
                self.numbers.remove(&uid);
            }
            if !self.once.contains(&uid) {
                self.once.push_back(uid);
            }
            if self.once.len() > MAX_REMEMBERED {
                self.once.pop_front();
            }
        }
        close
    }
}

#[cfg(test)]
mod tests;
