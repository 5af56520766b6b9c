//! Groups of servers, and the seven ways to choose among them.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use super::nodes::Node;

#[derive(Debug)]
pub(super) struct Server {
    pub(super) address: SocketAddr,
    pub(super) text: String,
    pub(super) weight: i64,
    pub(super) backup: bool,
    pub(super) down: bool,
    pub(super) current: i64,
    pub(super) out: usize,
    /// Failures that make it unavailable, and for how long; how many there were, and the last.
    pub(super) max_fails: u32,
    pub(super) fail_timeout: Duration,
    pub(super) fails: u32,
    pub(super) failed: Option<Instant>,
}

impl Server {
    /// Neither marked down nor, for a time, out of use after its failures.
    pub(super) fn able(&self) -> bool {
        let lately = self.failed.is_some_and(|at| at.elapsed() < self.fail_timeout);
        !(self.down || lately && self.max_fails > 0 && self.fails >= self.max_fails)
    }

    pub(super) fn failed(&mut self) {
        if self.failed.is_none_or(|at| at.elapsed() >= self.fail_timeout) {
            self.fails = 0;
        }
        (self.fails, self.failed) = (self.fails + 1, Some(Instant::now()));
    }
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) method: Vec<String>,
    pub(super) servers: Vec<Server>,
    pub(super) dice: u64,
}

impl Upstream {
    pub(super) fn read(node: &Node) -> Upstream {
        let server = |n: &Node| {
            let text = n.arg(1).to_string();
            let plain = text.replace("localhost", "127.0.0.1");
            let address = plain.parse().or_else(|_| format!("{plain}:80").parse()).ok()?;
            let weight = n.words.iter().find_map(|w| w.strip_prefix("weight=")?.parse().ok()).unwrap_or(1);
            let has = |word: &str| n.words.iter().any(|w| w == word);
            let number = |name: &str| {
                n.words.iter().find_map(|w| w.strip_prefix(name)?.trim_end_matches('s').parse().ok())
            };
            Some(Server {
                address,
                text,
                weight,
                backup: has("backup"),
                down: has("down"),
                current: 0,
                out: 0,
                max_fails: number("max_fails=").unwrap_or(1),
                fail_timeout: Duration::from_secs(number("fail_timeout=").unwrap_or(10).into()),
                fails: 0,
                failed: None,
            })
        };
        let servers = node.inside.iter().filter(|n| n.is("server")).filter_map(server).collect();
        let names = ["least_conn", "ip_hash", "hash", "random"];
        let method = node.inside.iter().find(|n| names.contains(&n.arg(0)));
        Upstream { method: method.map_or(vec![], |n| n.words.clone()), servers, dice: 88_172_645_463_325_252 }
    }

    pub(super) fn usable(&self) -> Vec<usize> {
        let of = |backup: bool| {
            (0..self.servers.len())
                .filter(move |n| self.servers[*n].backup == backup && self.servers[*n].able())
        };
        let first: Vec<_> = of(false).collect();
        if first.is_empty() { of(true).collect() } else { first }
    }

    /// With nobody left all are taken for well again.
    pub(super) fn forgive(&mut self) {
        self.servers.iter_mut().for_each(|s| s.fails = 0);
    }

    /// Each gains its weight; the one that has most, the first of equals, is chosen and pays the sum.
    pub(super) fn round_robin(&mut self, among: &[usize]) -> Option<usize> {
        let total: i64 = among.iter().map(|n| self.servers[*n].weight).sum();
        let mut best: Option<usize> = None;
        for n in among {
            self.servers[*n].current += self.servers[*n].weight;
            if best.is_none_or(|b| self.servers[*n].current > self.servers[b].current) {
                best = Some(*n);
            }
        }
        self.servers[best?].current -= total;
        best
    }

    pub(super) fn least(&mut self, among: &[usize]) -> Option<usize> {
        let load = |s: &Server, o: &Server| (s.out as i64 * o.weight).cmp(&(o.out as i64 * s.weight));
        let best = among.iter().copied().min_by(|a, b| load(&self.servers[*a], &self.servers[*b]))?;
        let equal = |n: &&usize| load(&self.servers[**n], &self.servers[best]).is_eq();
        let equals: Vec<_> = among.iter().filter(equal).copied().collect();
        self.round_robin(&equals)
    }

    pub(super) fn roll(&mut self) -> u64 {
        // Xorshift: any will do for shares.
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        self.dice >> 11
    }

    pub(super) fn by_weight(&self, point: i64) -> usize {
        let mut left = point;
        let primaries: Vec<_> = (0..self.servers.len()).filter(|n| !self.servers[*n].backup).collect();
        for n in &primaries {
            left -= self.servers[*n].weight;
            if left < 0 {
                return *n;
            }
        }
        primaries[0]
    }

    pub(super) fn choose(&mut self, client: IpAddr, key: &[u8]) -> Option<usize> {
        let among = self.usable();
        let total: i64 = self.servers.iter().filter(|s| !s.backup).map(|s| s.weight).sum();
        let method = self.method.clone();
        let words: Vec<&str> = method.iter().map(String::as_str).collect();
        match words[..] {
            ["least_conn"] => self.least(&among),
            ["ip_hash"] => {
                let IpAddr::V4(address) = client else { return None };
                let mut hash: i64 = 89;
                for _ in 0..20 {
                    for octet in &address.octets()[..3] {
                        hash = (hash * 113 + i64::from(*octet)) % 6271;
                    }
                    let n = self.by_weight(hash % total);
                    if self.servers[n].able() {
                        return Some(n);
                    }
                }
                self.round_robin(&among)
            }
            ["hash", _] => {
                let mut hash: u32 = 0;
                for again in 0..20 {
                    let mut text = if again > 0 { again.to_string().into_bytes() } else { vec![] };
                    text.extend_from_slice(key);
                    hash += (crc32(&text) >> 16) & 0x7fff;
                    let n = self.by_weight(i64::from(hash) % total);
                    if self.servers[n].able() {
                        return Some(n);
                    }
                }
                self.round_robin(&among)
            }
            ["hash", _, "consistent"] => {
                let mut points = Vec::new();
                for (n, s) in self.servers.iter().enumerate() {
                    let (host, port) = s.text.split_once(':').unwrap_or((&s.text, ""));
                    let base = [host.as_bytes(), &[0], port.as_bytes()].concat();
                    let mut before = [0u8; 4];
                    for _ in 0..s.weight * 160 {
                        let hash = crc32(&[&base[..], &before].concat());
                        points.push((hash, n));
                        before = hash.to_le_bytes();
                    }
                }
                points.sort();
                let hash = crc32(key);
                let from = points.iter().position(|p| p.0 >= hash).unwrap_or(0);
                let around = points[from..].iter().chain(&points[..from]);
                around.map(|p| p.1).find(|n| self.servers[*n].able())
            }
            ["random", ..] => {
                let one = self.roll() as i64 % total;
                let one = self.by_weight(one);
                if words.len() == 1 {
                    return Some(one);
                }
                loop {
                    let other = self.roll() as i64 % total;
                    let other = self.by_weight(other);
                    if other != one {
                        let (a, b) = (&self.servers[one], &self.servers[other]);
                        let first = a.out as i64 * b.weight <= b.out as i64 * a.weight;
                        return Some(if first { one } else { other });
                    }
                }
            }
            _ => self.round_robin(&among),
        }
    }
}

/// CRC-32 as the polynomial says it, bit by bit.
pub(super) fn crc32(bytes: &[u8]) -> u32 {
    let mut crc = u32::MAX;
    for byte in bytes {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
        }
    }
    !crc
}
