//! Membership by SWIM: direct probes, indirect probes, suspicion and refutation, spread on the probes themselves.
//!
//! Pure: datagrams, the clock and a seed in; datagrams and changes out. Work a machine a second is constant, whatever
//! the number of members. Guarantees: a member that answers is never held dead for longer than one refutation takes;
//! one that is silent is held dead after [`Timing::probe`] plus [`Timing::suspicion`], counted from its first probe.

mod datagram;
mod gossip;
mod probing;
mod table;

pub use datagram::{Datagram, Kind, Outgoing};
pub use table::{Class, Member, MemberState};

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use crate::clock::Instant;
use gossip::GossipQueue;
use probing::Probe;
use table::Table;

/// Most member records in one datagram, so that it stays under a common path MTU.
const RECORDS_PER_DATAGRAM: usize = 8;
/// A dead member is forgotten after this time.
const DEAD_RETENTION: Duration = Duration::from_secs(120);

/// Periods of the protocol.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between two probes, and how long one may take with its indirect part.
    pub probe: Duration,
    /// Time for a direct answer before others are asked.
    pub direct: Duration,
    /// Time that a suspected member has to refute.
    pub suspicion: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe: Duration::from_millis(300),
            direct: Duration::from_millis(120),
            suspicion: Duration::from_millis(700),
        }
    }
}

/// One machine's part in the membership.
pub struct Swim {
    own: Member,
    table: Table,
    gossip: GossipQueue,
    timing: Timing,
    seeds: Vec<Ipv4Addr>,
    rng: Pcg64Mcg,
    probe_order: Vec<Ipv4Addr>,
    probe: Option<Probe>,
    next_probe: Instant,
    next_join: Instant,
    number: u64,
    rounds: u64,
    indirect_pings: HashMap<u64, (Ipv4Addr, u64, Instant)>,
}

impl Swim {
    /// A machine that knows nobody but the seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>, timing: Timing, seed: u64, now: Instant) -> Swim {
        Swim {
            own,
            table: Table::default(),
            gossip: GossipQueue::default(),
            timing,
            seeds,
            rng: Pcg64Mcg::new(u128::from(seed) | 1),
            probe_order: Vec::new(),
            probe: None,
            next_probe: now,
            next_join: now,
            number: 0,
            rounds: 0,
            indirect_pings: HashMap::new(),
        }
    }

    /// Members as they are known, this machine left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// This machine's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Replaces the seeds, after the settings have changed.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// How long a member has been held dead; `None` if it isn't.
    pub fn dead_for(&self, address: Ipv4Addr, now: Instant) -> Option<Duration> {
        self.table.dead_since(address).map(|since| now.since(since))
    }

    /// Does what is due at `now`; to be called at least every few tens of ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.expire(now);
        self.advance_probe(now, &mut out);
        if now >= self.next_probe {
            self.next_probe = now + self.timing.probe;
            self.begin_probe(now, &mut out);
            self.ping_suspects(&mut out);
        }
        if now >= self.next_join {
            self.join(now, &mut out);
        }
        out
    }

    /// Takes in one datagram.
    pub fn receive(&mut self, now: Instant, datagram: Datagram) -> Vec<Outgoing> {
        let sender = datagram.from.address();
        if sender == self.own.address() {
            return Vec::new();
        }
        let outdated =
            self.table.get(sender).filter(|current| current.incarnation > datagram.from.incarnation).cloned();
        self.merge_record(now, datagram.from.clone());
        for record in datagram.records {
            self.merge_record(now, record);
        }
        let mut out = Vec::new();
        match datagram.kind {
            Kind::Ping(number) => {
                let ack = Kind::Ack { number, on_behalf_of: self.own.ip };
                self.send(sender, ack, &mut out);
            }
            Kind::Ack { number, on_behalf_of } => self.acknowledged(number, on_behalf_of.into(), &mut out),
            Kind::PingRequest { number, target } => {
                self.number += 1;
                self.indirect_pings.insert(self.number, (sender, number, now));
                self.send(target.into(), Kind::Ping(self.number), &mut out);
            }
            Kind::Join => self.send_table(sender, &mut out),
            Kind::Records => {}
        }
        // One that started again behind an earlier incarnation of its own has to pass it before it is believed.
        if let Some(current) = outdated {
            out.iter_mut().filter(|outgoing| outgoing.to == sender).for_each(|outgoing| {
                outgoing.datagram.records.push(current.clone());
            });
        }
        out
    }

    fn merge_record(&mut self, now: Instant, record: Member) {
        if record.ip == self.own.ip {
            if record.incarnation >= self.own.incarnation && record != self.own {
                self.own.incarnation = record.incarnation + 1;
                self.gossip.add(self.own.clone());
            }
            return;
        }
        if self.table.merge(now, record.clone()) {
            log::debug!("member {} {:?} incarnation {}", record.name, record.state, record.incarnation);
            self.gossip.add(record);
        }
    }

    fn expire(&mut self, now: Instant) {
        for record in self.table.expired_suspects(now, self.timing.suspicion) {
            log::info!("member {} at {} held dead", record.name, record.address());
            self.merge_record(now, Member { state: MemberState::Dead, ..record });
        }
        self.table.remove_dead(now, DEAD_RETENTION);
        let keep = self.timing.probe * 4;
        self.indirect_pings.retain(|_, (_, _, since)| now.since(*since) < keep);
    }

    fn join(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let unknown: Vec<Ipv4Addr> =
            self.seeds.iter().copied().filter(|seed| self.is_unknown(*seed)).collect();
        let is_isolated = self.table.alive().next().is_none();
        self.next_join = now + if is_isolated { self.timing.probe / 2 } else { self.timing.probe * 4 };
        for seed in unknown {
            self.send(seed, Kind::Join, out);
        }
    }

    fn is_unknown(&self, seed: Ipv4Addr) -> bool {
        seed != self.own.address()
            && self.table.get(seed).is_none_or(|member| member.state != MemberState::Alive)
    }

    fn acknowledged(&mut self, number: u64, on_behalf_of: Ipv4Addr, out: &mut Vec<Outgoing>) {
        if self.probe.as_ref().is_some_and(|probe| probe.number == number && probe.target == on_behalf_of) {
            self.probe = None;
        }
        if let Some((requester, requested, _)) = self.indirect_pings.remove(&number) {
            let ack = Kind::Ack { number: requested, on_behalf_of: on_behalf_of.octets() };
            self.send(requester, ack, out);
        }
    }

    fn send_table(&mut self, to: Ipv4Addr, out: &mut Vec<Outgoing>) {
        let all: Vec<Member> = self.table.not_dead().cloned().collect();
        for records in all.chunks(RECORDS_PER_DATAGRAM) {
            let datagram =
                Datagram { from: self.own.clone(), kind: Kind::Records, records: records.to_vec() };
            out.push(Outgoing { to, datagram });
        }
        if all.is_empty() {
            self.send(to, Kind::Records, out);
        }
    }

    fn send(&mut self, to: Ipv4Addr, kind: Kind, out: &mut Vec<Outgoing>) {
        let mut records = self.gossip.take(RECORDS_PER_DATAGRAM - 1, self.table.len());
        // Whoever is doubted hears of it, so that it can refute.
        if let Some(record) = self.table.get(to).filter(|record| record.state != MemberState::Alive) {
            records.push(record.clone());
        }
        out.push(Outgoing { to, datagram: Datagram { from: self.own.clone(), kind, records } });
    }
}
