//! Groups of real servers and the balancing methods that propose them, one after the other, until one is
//! allowed.
//!
//! A proposal that nobody allows changes nothing, so that asking again and again costs no server its turn. One
//! that is passed over loses its turn for good: a server that was out for an hour comes back to its share, not
//! to an hour's worth of it. What a choice costs does not grow with the group, as long as some of it is allowed:
//!
//! * round robin keeps servers of one weight in a ring; only the heads of the rings are compared
//! * `least_conn` keeps them sorted by calls out for their weight
//! * the hashing methods and `random` search sorted weights or points

mod groups;
mod peer;
mod ring;
mod round_robin;
#[cfg(test)]
mod tests;
mod tier;

pub use groups::Groups;
use peer::Peer;
use tier::Tier;

use crate::config::{Method, UpstreamConfig};
use rand_core::RngCore;
use rand_pcg::Pcg32;

/// Places that a hashing or random method tries before round robin goes on (nginx: 20).
const TRIES: usize = 20;
/// What a caller says of a server that is proposed: whether it would be used.
pub type Allowed<'a> = dyn FnMut(u32) -> bool + 'a;

/// What a group was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposal {
    /// The destination is no group of this table: whoever asks chooses by itself.
    NoGroup,
    /// None of its servers is allowed now.
    Nobody,
    /// This one was allowed.
    Server(u32),
}

/// One group.
#[derive(Debug)]
pub struct Group {
    method: Method,
    peers: Vec<Peer>,
    primaries: Tier,
    backups: Tier,
    /// Sums of the primaries' weights, for what is proportional to them.
    sums: Vec<(u32, usize)>,
    /// Points of the ring and whose they are.
    ring: Vec<(u32, u32)>,
}

impl Group {
    /// A group as the table has it; its servers have no numbers yet.
    pub fn new(config: &UpstreamConfig) -> Group {
        let peer = |s: &crate::config::PeerConfig| Peer {
            server: None,
            name: if s.name.is_empty() { s.address.to_string() } else { s.name.clone() },
            weight: s.weight,
            max_conns: s.max_conns,
            down: s.down,
            out: 0,
            turns: 0.0,
        };
        let peers: Vec<Peer> = config.server.iter().map(peer).collect();
        let of = |backup: bool| {
            let tier = config.server.iter().enumerate().filter(move |(_, s)| s.backup == backup);
            tier.map(|(at, _)| at).collect::<Vec<_>>()
        };
        let sorted = config.method == Method::LeastConn;
        let primaries = Tier::new(&peers, of(false), sorted);
        let backups = Tier::new(&peers, of(true), sorted);
        let mut sum = 0;
        let sums = primaries.members.iter().map(|at| {
            sum += peers[*at].weight;
            (sum, *at)
        });
        let sums = sums.collect();
        let ring = if config.method == Method::Consistent { ring::points(&peers) } else { Vec::new() };
        Group { method: config.method, peers, primaries, backups, sums, ring }
    }

    /// Proposes servers until one is allowed.
    fn choose(&mut self, key: &[u8], random: &mut Pcg32, allowed: &mut Allowed<'_>) -> Option<u32> {
        let at = match self.method {
            Method::RoundRobin => None,
            Method::LeastConn => self.primaries.least(&mut self.peers, allowed),
            Method::IpHash => self.by_address(key, allowed),
            Method::Hash => self.by_key(key, allowed),
            Method::Consistent => self.by_ring(key, allowed),
            Method::Random => self.by_chance(random, false, allowed),
            Method::RandomTwo => self.by_chance(random, true, allowed),
        };
        // What finds nobody goes on with round robin, and that with the backups.
        let at = at
            .or_else(|| match self.method {
                Method::LeastConn => None,
                _ => self.primaries.robin.choose(&mut self.peers, allowed),
            })
            .or_else(|| match self.method {
                Method::LeastConn => self.backups.least(&mut self.peers, allowed),
                _ => self.backups.robin.choose(&mut self.peers, allowed),
            })?;
        self.peers[at].server
    }

    fn weighed(&self, point: u32) -> usize {
        self.sums[self.sums.partition_point(|(sum, _)| *sum <= point)].1
    }

    fn total(&self) -> u32 {
        self.sums.last().map_or(1, |(sum, _)| *sum)
    }

    /// nginx's `ip_hash`: each octet is worked into a number below 6271, which is taken over into the next try.
    fn by_address(&self, key: &[u8], allowed: &mut Allowed<'_>) -> Option<usize> {
        let mut hash: u32 = 89;
        for _ in 0..=TRIES {
            hash = key.iter().fold(hash, |h, octet| (h * 113 + u32::from(*octet)) % 6271);
            let at = self.weighed(hash % self.total());
            if self.peers[at].usable().is_some_and(&mut *allowed) {
                return Some(at);
            }
        }
        None
    }

    /// nginx's `hash`, which is Cache::Memcached's: ((crc32([REHASH] KEY) >> 16) & 0x7fff) + PREV_HASH.
    fn by_key(&self, key: &[u8], allowed: &mut Allowed<'_>) -> Option<usize> {
        let mut hash: u32 = 0;
        for rehash in 0..=TRIES {
            let mut sum = crc32fast::Hasher::new();
            if rehash > 0 {
                sum.update(rehash.to_string().as_bytes());
            }
            sum.update(key);
            hash = hash.wrapping_add((sum.finalize() >> 16) & 0x7fff);
            let at = self.weighed(hash % self.total());
            if self.peers[at].usable().is_some_and(&mut *allowed) {
                return Some(at);
            }
        }
        None
    }

    /// The first point at or after the key's; then the next ones.
    fn by_ring(&self, key: &[u8], allowed: &mut Allowed<'_>) -> Option<usize> {
        let hash = crc32fast::hash(key);
        let from = self.ring.partition_point(|(point, _)| *point < hash);
        let points =
            (0..=TRIES).map(|n| (from + n) % self.ring.len().max(1)).filter_map(|n| self.ring.get(n));
        let mut places = points.map(|(_, at)| *at as usize);
        places.find(|at| self.peers[*at].usable().is_some_and(&mut *allowed))
    }

    fn by_chance(&self, random: &mut Pcg32, two: bool, allowed: &mut Allowed<'_>) -> Option<usize> {
        let mut first: Option<usize> = None;
        for _ in 0..=TRIES {
            // 64 bits against at most 5,000 x 65,535: what the remainder favours cannot be seen.
            let at = self.weighed((random.next_u64() % u64::from(self.total())) as u32);
            if first == Some(at) || !self.peers[at].usable().is_some_and(&mut *allowed) {
                continue;
            }
            match first {
                None if two => first = Some(at),
                Some(other) if self.peers[other].load() <= self.peers[at].load() => return Some(other),
                _ => return Some(at),
            }
        }
        first
    }

    fn set_out(&mut self, at: usize, out: u32) {
        let old = self.peers[at].load();
        self.peers[at].out = out;
        let (new, turns) = (self.peers[at].load(), self.peers[at].turns.to_bits());
        for tier in [&mut self.primaries, &mut self.backups] {
            if tier.by_load.remove(&(old, turns, at)) {
                tier.by_load.insert((new, turns, at));
            }
        }
    }
}
