//! Membership by SWIM: direct probes, indirect probes, suspicion and refutation, spread on the probes themselves.
//!
//! Pure: datagrams, the clock and a seed in; datagrams and changes out. Work a machine a second is constant, whatever
//! the number of members. Guarantees: a member that answers is never held dead for longer than one refutation takes;
//! one that is silent is held dead after [`Timing::probe`] plus [`Timing::suspicion`], counted from its first probe.

mod datagram;
mod probing;
mod rumors;
mod table;

pub use datagram::{Datagram, Kind, Outgoing};
pub use table::{Class, Member, Standing};

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use crate::clock::Instant;
use probing::Probe;
use rumors::Rumors;
use table::Table;

/// Most member records in one datagram, so that it stays under a common path MTU.
const RECORDS_A_DATAGRAM: usize = 8;
/// A dead member is forgotten after this time.
const FORGET_AFTER: Duration = Duration::from_secs(120);

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
    rumors: Rumors,
    timing: Timing,
    seeds: Vec<Ipv4Addr>,
    random: Pcg64Mcg,
    order: Vec<Ipv4Addr>,
    probe: Option<Probe>,
    next_probe: Instant,
    next_join: Instant,
    number: u64,
    rounds: u64,
    relayed: HashMap<u64, (Ipv4Addr, u64, Instant)>,
}

impl Swim {
    /// A machine that knows nobody but the seeds.
    pub fn new(own: Member, seeds: Vec<Ipv4Addr>, timing: Timing, seed: u64, now: Instant) -> Swim {
        Swim {
            own,
            table: Table::default(),
            rumors: Rumors::default(),
            timing,
            seeds,
            random: Pcg64Mcg::new(u128::from(seed) | 1),
            order: Vec::new(),
            probe: None,
            next_probe: now,
            next_join: now,
            number: 0,
            rounds: 0,
            relayed: HashMap::new(),
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
            self.warn_suspects(&mut out);
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
            self.table.get(sender).filter(|held| held.incarnation > datagram.from.incarnation).cloned();
        self.hear(now, datagram.from.clone());
        for record in datagram.records {
            self.hear(now, record);
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
                self.relayed.insert(self.number, (sender, number, now));
                self.send(target.into(), Kind::Ping(self.number), &mut out);
            }
            Kind::Join => self.send_table(sender, &mut out),
            Kind::Records => {}
        }
        // One that started again behind an earlier incarnation of its own has to pass it before it is believed.
        if let Some(held) = outdated {
            out.iter_mut().filter(|outgoing| outgoing.to == sender).for_each(|outgoing| {
                outgoing.datagram.records.push(held.clone());
            });
        }
        out
    }

    fn hear(&mut self, now: Instant, record: Member) {
        if record.ip == self.own.ip {
            if record.incarnation >= self.own.incarnation && record != self.own {
                self.own.incarnation = record.incarnation + 1;
                self.rumors.add(self.own.clone());
            }
            return;
        }
        if self.table.merge(now, record.clone()) {
            log::debug!("member {} {:?} incarnation {}", record.name, record.standing, record.incarnation);
            self.rumors.add(record);
        }
    }

    fn expire(&mut self, now: Instant) {
        for record in self.table.expired_suspects(now, self.timing.suspicion) {
            log::info!("member {} at {} held dead", record.name, record.address());
            self.hear(now, Member { standing: Standing::Dead, ..record });
        }
        self.table.forget(now, FORGET_AFTER);
        let keep = self.timing.probe * 4;
        self.relayed.retain(|_, (_, _, since)| now.since(*since) < keep);
    }

    fn join(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let unknown: Vec<Ipv4Addr> =
            self.seeds.iter().copied().filter(|seed| self.is_unknown(*seed)).collect();
        let lonely = self.table.alive().next().is_none();
        self.next_join = now + if lonely { self.timing.probe / 2 } else { self.timing.probe * 4 };
        for seed in unknown {
            self.send(seed, Kind::Join, out);
        }
    }

    fn is_unknown(&self, seed: Ipv4Addr) -> bool {
        seed != self.own.address()
            && self.table.get(seed).is_none_or(|member| member.standing != Standing::Alive)
    }

    fn acknowledged(&mut self, number: u64, on_behalf_of: Ipv4Addr, out: &mut Vec<Outgoing>) {
        if self.probe.as_ref().is_some_and(|probe| probe.number == number && probe.target == on_behalf_of) {
            self.probe = None;
        }
        if let Some((asker, asked, _)) = self.relayed.remove(&number) {
            let ack = Kind::Ack { number: asked, on_behalf_of: on_behalf_of.octets() };
            self.send(asker, ack, out);
        }
    }

    fn send_table(&mut self, to: Ipv4Addr, out: &mut Vec<Outgoing>) {
        let all: Vec<Member> = self.table.not_dead().cloned().collect();
        for records in all.chunks(RECORDS_A_DATAGRAM) {
            let datagram =
                Datagram { from: self.own.clone(), kind: Kind::Records, records: records.to_vec() };
            out.push(Outgoing { to, datagram });
        }
        if all.is_empty() {
            self.send(to, Kind::Records, out);
        }
    }

    fn send(&mut self, to: Ipv4Addr, kind: Kind, out: &mut Vec<Outgoing>) {
        let mut records = self.rumors.take(RECORDS_A_DATAGRAM - 1, self.table.len());
        // Whoever is doubted hears of it, so that it can refute.
        if let Some(record) = self.table.get(to).filter(|record| record.standing != Standing::Alive) {
            records.push(record.clone());
        }
        out.push(Outgoing { to, datagram: Datagram { from: self.own.clone(), kind, records } });
    }
}
