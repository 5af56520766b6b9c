//! Directory of backend servers, keyed by their stable names (uids).

use super::figures::Servers;
use super::listed::{RawEntry, Wire};
use crate::api::{DestinationId, KindId, ListState, ZoneId};
use crate::core::{ServerNo, ServiceEntry};
use crate::settings::Names;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Server {
    /// Stable name.
    pub uid: String,
    /// Listening address; `None` until a list entry has named it.
    pub address: Option<SocketAddr>,
    /// Protocol used to reach it.
    pub wire: Wire,
    /// Server kind.
    pub kind: KindId,
    /// Destination; valid once an entry has named it.
    pub destination: DestinationId,
    zone: ZoneId,
    rate: f64,
    /// State in the latest list.
    listed: ListState,
    /// Effective state passed to the decision module: the listed state combined with operator bans.
    state: ListState,
    /// The address has changed, so idle connections to the old one must be closed.
    moved: bool,
}

impl Server {
    /// Whether new calls may be sent to it, according to the list and to operator bans.
    pub fn accepts_calls(&self) -> bool {
        self.state == ListState::Live
    }
}

/// Maximum number of names kept after they left the list, so that they can still be banned or unbanned.
const MAX_REMEMBERED: usize = 4096;

/// Backend servers by stable name. A removed server is kept until its last call has ended; if its name is listed again
/// after that, it counts as a new server.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Directory {
    numbers: BTreeMap<String, ServerNo>,
    servers: BTreeMap<ServerNo, Server>,
    next: u32,
    /// Every destination that has ever been listed.
    destinations: BTreeSet<DestinationId>,
    /// Names banned by operators, independent of the list.
    bans: BTreeSet<String>,
    /// Previously listed names whose servers were removed, oldest first.
    once: VecDeque<String>,
}

impl Directory {
    /// Returns the number of a server and assigns a new one to an unknown name.
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

    /// Applies a list entry and returns the resulting updates for the core. A server whose destination has changed
    /// counts as a new server: state and calls of the old destination stay with the old number, which is marked as
    /// gone.
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
        // A kind or zone that is missing in the settings has no settings of its own.
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
                Err(_) => tracing::error!("discovery: `{:.60}` is not an address", raw.endpoint),
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

    /// Effective state of a server listed as `listed`: a ban turns `Live` into `Draining`.
    fn effective_state(&self, uid: &str, listed: ListState) -> ListState {
        let banned = listed == ListState::Live && self.bans.contains(uid);
        if banned { ListState::Draining } else { listed }
    }

    /// Whether the name has been listed, within the limit of remembered names.
    pub fn was_listed(&self, uid: &str) -> bool {
        let now = self.find(uid).and_then(|no| self.get(no)).is_some_and(|s| s.address.is_some());
        now || self.bans.contains(uid) || self.once.iter().any(|o| o == uid)
    }

    /// Sets or lifts the ban of a name. Returns the server and its update for the core if the ban changed and the
    /// server is listed.
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

    /// Number of listed servers, and how many of them receive no calls because they are banned or in `avoided`.
    pub fn server_counts(&self, avoided: &BTreeSet<ServerNo>) -> Servers {
        let listed = self.servers.iter().filter(|(_, s)| s.address.is_some() && s.listed != ListState::Gone);
        let excluded = |(no, s): &(&ServerNo, &Server)| self.bans.contains(&s.uid) || avoided.contains(no);
        Servers { known: listed.clone().count(), excluded: listed.filter(excluded).count() }
    }

    /// Listed servers that have an address.
    pub fn listed(&self) -> Vec<ServerNo> {
        let is_listed = |s: &Server| s.address.is_some() && s.listed != ListState::Gone;
        self.servers.iter().filter(|(_, s)| is_listed(s)).map(|(no, _)| *no).collect()
    }

    /// Names of the servers that are listed as draining.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        self.servers.values().filter(|s| s.listed == ListState::Draining).map(|s| s.uid.as_str())
    }

    /// Current entry of a server in the core's terms.
    pub fn service_entry(&self, no: ServerNo) -> Option<ServiceEntry> {
        let s = self.get(no).filter(|s| s.address.is_some())?;
        let (destination, kind, zone, state, rate) = (s.destination, s.kind, s.zone, s.state, s.rate);
        Some(ServiceEntry { id: no, destination, kind, zone, state, rate })
    }

    /// Stable name of a server.
    pub fn uid(&self, no: ServerNo) -> String {
        self.servers.get(&no).map(|s| s.uid.clone()).unwrap_or_default()
    }

    /// Destination of a server.
    pub fn destination(&self, no: ServerNo) -> DestinationId {
        self.servers.get(&no).map(|s| s.destination).unwrap_or_default()
    }

    /// Number assigned to a name, if any.
    pub fn find(&self, uid: &str) -> Option<ServerNo> {
        self.numbers.get(uid).copied()
    }

    /// Looks up a server by number.
    pub fn get(&self, no: ServerNo) -> Option<&Server> {
        self.servers.get(&no)
    }

    /// Whether the destination has ever been listed.
    pub fn was_named(&self, destination: DestinationId) -> bool {
        self.destinations.contains(&destination)
    }

    /// Starts a full list: servers that it does not contain are gone.
    pub fn begin_full_list(&mut self) {
        let servers = self.servers.values_mut();
        servers.for_each(|s| (s.listed, s.state) = (ListState::Gone, ListState::Gone));
    }

    /// Bounds memory and file descriptors when servers change often. Returns the servers whose idle connections must be
    /// closed, because they accept no new calls or have a new address, and removes servers that are gone and have no
    /// open call.
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
