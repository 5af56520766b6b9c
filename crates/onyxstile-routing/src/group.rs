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

use crate::config::{Method, RoutingConfig, UpstreamConfig};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Places that a hashing or random method tries before round robin goes on (nginx: 20).
const TRIES: usize = 20;
/// Points on the ring for each weight (nginx, `hash … consistent`; libketama).
const POINTS: u32 = 160;
/// Turns of round robin that may be passed over before all servers are gone through.
const TURNS_MAX: usize = 64;

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

#[derive(Debug)]
struct Peer {
    /// The real server's number, once it has one.
    server: Option<u32>,
    name: String,
    weight: u32,
    max_conns: u32,
    down: bool,
    out: u32,
    /// Times that it was chosen or passed over, for its weight: what breaks ties of `least_conn`.
    turns: f64,
}

impl Peer {
    fn usable(&self) -> Option<u32> {
        let full = self.max_conns > 0 && self.out >= self.max_conns;
        self.server.filter(|_| !self.down && !full)
    }

    /// Calls out for its weight. Equal fractions are equal numbers: division is rounded correctly.
    fn load(&self) -> u64 {
        (f64::from(self.out) / f64::from(self.weight)).to_bits()
    }
}

/// Servers of one weight, in a ring.
#[derive(Debug)]
struct Ring {
    weight: u64,
    members: Vec<usize>,
}

/// Smooth weighted round robin: at each turn every server gains its weight, the one that has most is chosen
/// and pays the sum of all weights (nginx, commit 52327e0627f4). Of servers of one weight the one chosen least
/// often, and of those the first, has most; so the rings' heads are all that has to be compared, and after as
/// many turns as the weights add up to, all begins anew.
#[derive(Debug, Default)]
struct RoundRobin {
    rings: Vec<Ring>,
    total: u64,
    turn: u64,
    /// Turns that each ring has had.
    had: Vec<u64>,
}

impl RoundRobin {
    fn new(peers: &[Peer], members: &[usize]) -> RoundRobin {
        let mut by_weight: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for at in members.iter().filter(|at| !peers[**at].down) {
            by_weight.entry(peers[*at].weight).or_default().push(*at);
        }
        let rings = by_weight.into_iter().map(|(w, members)| Ring { weight: w.into(), members });
        let rings: Vec<Ring> = rings.collect();
        let total = rings.iter().map(|r| r.weight * r.members.len() as u64).sum();
        RoundRobin { had: vec![0; rings.len()], rings, total, turn: 0 }
    }

    /// Whose turn it is, and what is then the state.
    fn next(&self, turn: u64, had: &mut [u64]) -> (usize, u64) {
        let head = |(r, ring): (usize, &Ring)| {
            let (size, had) = (ring.members.len() as u64, had[r]);
            let gained = i128::from(ring.weight * (turn + 1)) - i128::from(self.total * (had / size));
            (gained, std::cmp::Reverse(ring.members[(had % size) as usize]), r)
        };
        let (_, std::cmp::Reverse(peer), ring) =
            self.rings.iter().enumerate().map(head).max().expect("a ring for each weight");
        had[ring] += 1;
        let turn = turn + 1;
        if turn == self.total {
            had.fill(0);
            return (peer, 0);
        }
        (peer, turn)
    }

    fn choose(&mut self, peers: &mut [Peer], allowed: &mut Allowed<'_>) -> Option<usize> {
        if self.rings.is_empty() {
            return None;
        }
        let (mut turn, mut had) = (self.turn, self.had.clone());
        let mut passed = Vec::new();
        for _ in 0..TURNS_MAX {
            let (peer, after) = self.next(turn, &mut had);
            turn = after;
            if peers[peer].usable().is_some_and(&mut *allowed) {
                (self.turn, self.had) = (turn, had);
                passed.push(peer);
                passed.iter().for_each(|at| peers[*at].turns += 1.0 / f64::from(peers[*at].weight));
                return Some(peer);
            }
            passed.push(peer);
        }
        // So many were not allowed: the rest is gone through from there on, whatever the weights say.
        let order = self.rings.iter().flat_map(|r| {
            let from = (had[0] % r.members.len() as u64) as usize;
            r.members[from..].iter().chain(&r.members[..from])
        });
        let found = order.copied().find(|at| peers[*at].usable().is_some_and(&mut *allowed))?;
        (self.turn, self.had) = (turn, had);
        Some(found)
    }
}

/// Servers that are tried together: the primaries, or the backups.
#[derive(Debug, Default)]
struct Tier {
    members: Vec<usize>,
    robin: RoundRobin,
    /// For `least_conn`: by calls out for the weight, then turns had for it.
    by_load: BTreeSet<(u64, u64, usize)>,
    idle: usize,
}

impl Tier {
    fn new(peers: &[Peer], members: Vec<usize>, sorted: bool) -> Tier {
        let mut tier = Tier { robin: RoundRobin::new(peers, &members), members, ..Tier::default() };
        if sorted {
            for at in tier.members.iter().filter(|at| !peers[**at].down) {
                tier.by_load.insert((peers[*at].load(), peers[*at].turns.to_bits(), *at));
            }
            tier.idle = tier.by_load.len();
        }
        tier
    }

    /// Fewest calls out for the weight. Where all are alike, round robin says who of them (as nginx does); else
    /// the one that had the fewest turns for its weight.
    fn least(&mut self, peers: &mut [Peer], allowed: &mut Allowed<'_>) -> Option<usize> {
        let lowest = self.by_load.first()?.0;
        if self.by_load.last()?.0 == lowest {
            return self.robin.choose(peers, allowed).inspect(|at| self.sort(peers, *at));
        }
        let found = self.by_load.iter().find(|(.., at)| peers[*at].usable().is_some_and(&mut *allowed))?.2;
        // Those before it in line were passed over: they get no more than their turn when they are back.
        let turns = peers[found].turns;
        let skipped: Vec<usize> =
            self.by_load.iter().map(|e| e.2).take_while(|at| *at != found).take(TURNS_MAX).collect();
        for at in skipped {
            let behind = peers[at].turns.max(turns);
            self.set_turns(peers, at, behind);
        }
        self.set_turns(peers, found, turns + 1.0 / f64::from(peers[found].weight));
        Some(found)
    }

    fn set_turns(&mut self, peers: &mut [Peer], at: usize, turns: f64) {
        if self.by_load.remove(&(peers[at].load(), peers[at].turns.to_bits(), at)) {
            peers[at].turns = turns;
            self.by_load.insert((peers[at].load(), turns.to_bits(), at));
        }
    }

    /// After a peer's turns were changed by round robin.
    fn sort(&mut self, peers: &[Peer], at: usize) {
        let load = peers[at].load();
        let old = self.by_load.iter().find(|e| e.0 == load && e.2 == at).copied();
        if let Some(old) = old {
            self.by_load.remove(&old);
            self.by_load.insert((load, peers[at].turns.to_bits(), at));
        }
    }
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
        let ring = if config.method == Method::Consistent { ring(&peers) } else { Vec::new() };
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

/// The points of consistent hashing, sorted: crc32 of the host, a zero byte, the port, and the point before
/// (nginx, "compatible with Cache::Memcached::Fast" and libketama).
fn ring(peers: &[Peer]) -> Vec<(u32, u32)> {
    let mut points = Vec::new();
    for (at, peer) in peers.iter().enumerate() {
        let (host, port) = peer.name.rsplit_once(':').unwrap_or((&peer.name, ""));
        let mut base = crc32fast::Hasher::new();
        base.update(host.as_bytes());
        base.update(&[0]);
        base.update(port.as_bytes());
        let mut before: u32 = 0;
        for _ in 0..peer.weight * POINTS {
            let mut sum = base.clone();
            sum.update(&before.to_le_bytes());
            before = sum.finalize();
            points.push((before, at as u32));
        }
    }
    // Of two points in one place the first server's counts.
    points.sort();
    points.dedup_by_key(|p| p.0);
    points
}

/// All groups of a table, by destination.
#[derive(Debug)]
pub struct Groups {
    groups: HashMap<u64, Group>,
    /// Where a real server stands, by its number.
    places: HashMap<u32, (u64, usize)>,
    random: Pcg32,
}

impl Groups {
    /// The groups of a table, with no real servers yet.
    pub fn new(config: &RoutingConfig, seed: u64) -> Groups {
        let groups = config.upstream.iter().map(|u| (u.destination, Group::new(u))).collect();
        Groups { groups, places: HashMap::new(), random: Pcg32::seed_from_u64(seed) }
    }

    /// Whether the destination is a group's.
    pub fn has(&self, destination: u64) -> bool {
        self.groups.contains_key(&destination)
    }

    /// The `at`-th server of a group has this number from now on.
    pub fn name(&mut self, destination: u64, at: usize, server: u32) {
        if let Some(peer) = self.groups.get_mut(&destination).and_then(|g| g.peers.get_mut(at)) {
            peer.server = Some(server);
            self.places.insert(server, (destination, at));
        }
    }

    /// Takes over from the groups of an earlier table who is who and what is out there.
    pub fn take_over(&mut self, old: &Groups) {
        for (destination, group) in &old.groups {
            let Some(new) = self.groups.get(destination) else { continue };
            let same = |name: &str| new.peers.iter().position(|p| p.name == name);
            let known = group.peers.iter().filter_map(|p| Some((same(&p.name)?, p.server?, p.out)));
            for (at, server, out) in known.collect::<Vec<_>>() {
                self.name(*destination, at, server);
                self.busy(server, out);
            }
        }
    }

    /// So many calls to a real server are out.
    pub fn busy(&mut self, server: u32, out: u32) {
        if let Some((destination, at)) = self.places.get(&server).copied()
            && let Some(group) = self.groups.get_mut(&destination)
        {
            group.set_out(at, out);
        }
    }

    /// Proposes servers of a destination's group in its method's order until one is allowed.
    pub fn propose(&mut self, destination: u64, key: &[u8], allowed: &mut Allowed<'_>) -> Proposal {
        let Some(group) = self.groups.get_mut(&destination) else { return Proposal::NoGroup };
        group.choose(key, &mut self.random, allowed).map_or(Proposal::Nobody, Proposal::Server)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::PeerConfig;
    use proptest::prelude::*;

    fn config(method: Method, weights: &[u32]) -> UpstreamConfig {
        let peer = |(n, weight): (usize, &u32)| PeerConfig {
            address: format!("127.0.{}.{}:7000", n / 250, n % 250).parse().unwrap(),
            name: String::new(),
            weight: *weight,
            max_conns: 0,
            backup: false,
            down: false,
        };
        let server = weights.iter().enumerate().map(peer).collect();
        UpstreamConfig { name: "u".into(), destination: 1, method, key: String::new(), server }
    }

    fn groups(upstream: UpstreamConfig) -> Groups {
        let count = upstream.server.len();
        let mut groups =
            Groups::new(&RoutingConfig { upstream: vec![upstream], ..RoutingConfig::default() }, 7);
        (0..count).for_each(|at| groups.name(1, at, at as u32));
        groups
    }

    fn next(groups: &mut Groups, key: &[u8], allowed: impl Fn(u32) -> bool) -> Option<u32> {
        match groups.propose(1, key, &mut |s| allowed(s)) {
            Proposal::Server(s) => Some(s),
            other => {
                assert_eq!(other, Proposal::Nobody);
                None
            }
        }
    }

    fn sequence(groups: &mut Groups, count: usize) -> Vec<u32> {
        (0..count).map(|_| next(groups, b"", |_| true).unwrap()).collect()
    }

    /// Smooth weighted round robin as it was first described, with a look at every server.
    fn plain(weights: &[u32], count: usize) -> Vec<u32> {
        let total: i64 = weights.iter().map(|w| i64::from(*w)).sum();
        let mut has = vec![0i64; weights.len()];
        let one = |_| {
            has.iter_mut().zip(weights).for_each(|(h, w)| *h += i64::from(*w));
            let mut best = 0;
            (0..has.len()).for_each(|at| {
                if has[at] > has[best] {
                    best = at
                }
            });
            has[best] -= total;
            best as u32
        };
        (0..count).map(one).collect()
    }

    #[test]
    fn the_published_sequence_of_weights_5_1_1() {
        assert_eq!(sequence(&mut groups(config(Method::RoundRobin, &[5, 1, 1])), 7), [0, 0, 1, 0, 2, 0, 0]);
    }

    proptest! {
        #[test]
        fn round_robin_is_the_plain_one(weights in prop::collection::vec(1u32..9, 1..12)) {
            let expected = plain(&weights, 150);
            prop_assert_eq!(&sequence(&mut groups(config(Method::RoundRobin, &weights)), 150), &expected);
            // With nothing out, fewest calls is round robin.
            prop_assert_eq!(&sequence(&mut groups(config(Method::LeastConn, &weights)), 150), &expected);
        }

        #[test]
        fn nobody_is_chosen_who_is_not_allowed_and_somebody_is_if_one_is(
            weights in prop::collection::vec(1u32..5, 1..90), open in prop::collection::vec(any::<bool>(), 90),
            method in 0usize..7, key in any::<[u8; 4]>())
        {
            let methods = [Method::RoundRobin, Method::LeastConn, Method::IpHash, Method::Hash,
                Method::Consistent, Method::Random, Method::RandomTwo];
            let mut groups = groups(config(methods[method], &weights));
            let any = open[..weights.len()].iter().any(|o| *o);
            for out in 0..20 {
                let found = next(&mut groups, &key, |s| open[s as usize]);
                prop_assert_eq!(found.is_some(), any);
                if let Some(s) = found {
                    prop_assert!(open[s as usize]);
                    groups.busy(s, out % 4);
                }
            }
        }
    }

    #[test]
    fn a_server_that_was_out_comes_back_to_its_share() {
        for method in [Method::RoundRobin, Method::LeastConn] {
            let mut groups = groups(config(method, &[1, 1, 1]));
            groups.busy(1, 1);
            for _ in 0..1000 {
                assert_ne!(next(&mut groups, b"", |s| s != 0), Some(0));
            }
            groups.busy(1, 0);
            let first: Vec<_> = sequence(&mut groups, 12);
            let its = first.iter().filter(|s| **s == 0).count();
            assert!((3..=5).contains(&its), "{method:?}: {first:?}");
        }
    }

    #[test]
    fn asking_in_vain_costs_nobody_a_turn() {
        let mut groups = groups(config(Method::RoundRobin, &[2, 1, 1]));
        let mut seen = Vec::new();
        for _ in 0..8 {
            for _ in 0..7 {
                assert_eq!(next(&mut groups, b"", |_| false), None);
            }
            seen.push(next(&mut groups, b"", |_| true).unwrap());
        }
        assert_eq!(seen, plain(&[2, 1, 1], 8));
    }

    #[test]
    fn a_weight_of_100_beside_ten_of_1_is_kept_and_spread() {
        let mut weights = vec![100];
        weights.extend([1; 10]);
        let seen = sequence(&mut groups(config(Method::RoundRobin, &weights)), 1100);
        assert_eq!(seen.iter().filter(|s| **s == 0).count(), 1000);
        assert!((1..=10).all(|s| seen.iter().filter(|x| **x == s).count() == 10));
    }

    #[test]
    fn backups_are_for_when_no_primary_is_allowed() {
        for method in [Method::RoundRobin, Method::LeastConn] {
            let mut upstream = config(method, &[1, 1, 3, 1]);
            (upstream.server[2].backup, upstream.server[3].backup) = (true, true);
            let mut groups = groups(upstream);
            assert!(sequence(&mut groups, 10).iter().all(|s| *s < 2));
            let backups: Vec<_> = (0..8).map(|_| next(&mut groups, b"", |s| s > 1).unwrap()).collect();
            assert_eq!(backups.iter().filter(|s| **s == 2).count(), 6, "{backups:?}");
            assert!(sequence(&mut groups, 10).iter().all(|s| *s < 2));
        }
    }

    #[test]
    fn down_and_full_servers_are_passed_over() {
        for method in [
            Method::RoundRobin,
            Method::LeastConn,
            Method::IpHash,
            Method::Hash,
            Method::Consistent,
            Method::Random,
        ] {
            let mut upstream = config(method, &[1, 1, 1]);
            upstream.server[0].down = true;
            upstream.server[1].max_conns = 2;
            let mut groups = groups(upstream);
            groups.busy(1, 2);
            assert!(sequence(&mut groups, 30).iter().all(|s| *s == 2), "{method:?}");
            groups.busy(1, 1);
            groups.busy(2, 1);
            let keys = (0..200u32).map(|k| next(&mut groups, &k.to_le_bytes(), |_| true).unwrap());
            assert!(keys.into_iter().any(|s| s == 1), "{method:?}");
        }
    }

    #[test]
    fn least_conn_goes_by_calls_out_for_the_weight() {
        let mut groups = groups(config(Method::LeastConn, &[4, 2, 1]));
        for (out, chosen) in [([4, 1, 1], 1), ([3, 2, 1], 0), ([4, 2, 0], 2), ([5, 2, 2], 1)] {
            (0..3).for_each(|s| groups.busy(s, out[s as usize]));
            assert_eq!(next(&mut groups, b"", |_| true), Some(chosen), "{out:?}");
        }
    }

    fn moved(method: Method, key: impl Fn(u32) -> Vec<u8>) -> (f64, bool) {
        let mut groups = groups(config(method, &[1; 10]));
        let (mut moved, mut others) = (0, false);
        for k in 0..10_000 {
            let before = next(&mut groups, &key(k), |_| true).unwrap();
            let after = next(&mut groups, &key(k), |s| s != 3).unwrap();
            moved += u32::from(before != after);
            others |= before != after && before != 3;
        }
        (f64::from(moved) / 10_000.0, others)
    }

    #[test]
    fn when_a_server_goes_only_its_clients_move() {
        let octets = |k: u32| vec![10, (k / 251) as u8, (k % 251) as u8];
        let text = |k: u32| format!("key-{k}").into_bytes();
        for (method, (share, others)) in [
            (Method::IpHash, moved(Method::IpHash, octets)),
            (Method::Hash, moved(Method::Hash, text)),
            (Method::Consistent, moved(Method::Consistent, text)),
        ] {
            assert!(!others && (0.05..0.15).contains(&share), "{method:?}: {share}, {others}");
        }
    }

    #[test]
    fn consistent_hashing_moves_no_more_than_its_part_when_the_group_changes() {
        let mut before = groups(config(Method::Consistent, &[1; 10]));
        let mut after = groups(config(Method::Consistent, &[1; 11]));
        let key = |k: u32| format!("key-{k}").into_bytes();
        let changed = |k: &u32| next(&mut before, &key(*k), |_| true) != next(&mut after, &key(*k), |_| true);
        let share = (0..10_000).filter(changed).count() as f64 / 10_000.0;
        assert!((0.04..0.15).contains(&share), "{share}");
    }

    #[test]
    fn chance_keeps_to_the_weights_and_the_better_of_two_avoids_the_busy() {
        let mut one = groups(config(Method::Random, &[3, 1]));
        let first = sequence(&mut one, 4000).iter().filter(|s| **s == 0).count();
        assert!((2880..3120).contains(&first), "{first}");
        let mut two = groups(config(Method::RandomTwo, &[1, 1, 1]));
        two.busy(0, 5);
        let seen = sequence(&mut two, 3000);
        assert!(seen.iter().all(|s| *s != 0));
    }

    #[test]
    fn five_thousand_servers_take_their_turns() {
        let weights: Vec<u32> = (0..5000).map(|n| 1 + n % 7).collect();
        let total = weights.iter().sum::<u32>() as usize;
        let mut groups = groups(config(Method::RoundRobin, &weights));
        let mut seen = vec![0u32; weights.len()];
        sequence(&mut groups, total).iter().for_each(|s| seen[*s as usize] += 1);
        assert_eq!(seen, weights);
        // All but the last are not allowed: it is found all the same.
        assert_eq!(next(&mut groups, b"", |s| s == 4999), Some(4999));
    }
}
