//! Probes: which member is asked next, what follows when it is silent, and how the suspected hear of it.

use std::net::Ipv4Addr;

use rand_core::RngCore;

use super::table::{Member, MemberState};
use super::{Kind, Outgoing, Swim};
use crate::clock::Instant;

/// Machines asked to probe on one's behalf when a direct probe is not answered.
const INDIRECT_PROBES: usize = 2;
/// Suspected members that are warned in one period.
const SUSPECTS_PINGED: usize = 3;
/// One probe in this many goes to a member held dead, so that the two sides of a healed cut find each other.
const DEAD_PROBE_EVERY: u64 = 4;

pub(super) struct Probe {
    pub target: Ipv4Addr,
    pub number: u64,
    started: Instant,
    indirect: bool,
}

impl Swim {
    pub(super) fn advance_probe(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(probe) = &mut self.probe else { return };
        let waited = now.since(probe.started);
        if waited >= self.timing.probe {
            let target = probe.target;
            self.probe = None;
            self.suspect(now, target);
        } else if waited >= self.timing.direct && !probe.indirect {
            probe.indirect = true;
            let request = Kind::PingRequest { number: probe.number, target: probe.target.octets() };
            let target = probe.target;
            for prober in self.indirect_probers(target) {
                self.send(prober, request.clone(), out);
            }
        }
    }

    /// Lets the suspected know, so that they can refute although datagrams are lost; whoever heard of the suspicion does.
    pub(super) fn ping_suspects(&mut self, out: &mut Vec<Outgoing>) {
        let mut suspects: Vec<Ipv4Addr> = self.table.suspects().map(Member::address).collect();
        self.shuffle(&mut suspects);
        suspects.truncate(SUSPECTS_PINGED);
        for suspect in suspects {
            self.number += 1;
            self.send(suspect, Kind::Ping(self.number), out);
        }
    }

    fn suspect(&mut self, now: Instant, target: Ipv4Addr) {
        let Some(record) = self.table.get(target) else { return };
        if record.state == MemberState::Alive {
            let suspected = Member { state: MemberState::Suspect, ..record.clone() };
            self.merge_record(now, suspected);
        }
    }

    fn indirect_probers(&mut self, target: Ipv4Addr) -> Vec<Ipv4Addr> {
        let mut alive: Vec<Ipv4Addr> =
            self.table.alive().map(Member::address).filter(|address| *address != target).collect();
        self.shuffle(&mut alive);
        alive.truncate(INDIRECT_PROBES);
        alive
    }

    pub(super) fn begin_probe(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if self.probe.is_some() {
            return;
        }
        self.rounds += 1;
        let dead = self.rounds.is_multiple_of(DEAD_PROBE_EVERY);
        let Some(target) = self.next_target(dead) else { return };
        self.number += 1;
        let number = self.number;
        if self.table.get(target).is_some_and(|member| member.state != MemberState::Dead) {
            self.probe = Some(Probe { target, number, started: now, indirect: false });
        }
        self.send(target, Kind::Ping(number), out);
    }

    fn next_target(&mut self, dead: bool) -> Option<Ipv4Addr> {
        if dead && let Some(target) = self.random_dead() {
            return Some(target);
        }
        while let Some(target) = self.probe_order.pop() {
            if self.table.get(target).is_some_and(|member| member.state != MemberState::Dead) {
                return Some(target);
            }
        }
        let mut probe_order: Vec<Ipv4Addr> = self.table.not_dead().map(Member::address).collect();
        self.shuffle(&mut probe_order);
        self.probe_order = probe_order;
        self.probe_order.pop()
    }

    fn random_dead(&mut self) -> Option<Ipv4Addr> {
        let dead: Vec<Ipv4Addr> = self.table.dead().map(Member::address).collect();
        if dead.is_empty() {
            return None;
        }
        let index = self.rng.next_u64() as usize % dead.len();
        Some(dead[index])
    }

    fn shuffle(&mut self, list: &mut [Ipv4Addr]) {
        list.sort_unstable();
        for end in (1..list.len()).rev() {
            let other = self.rng.next_u64() as usize % (end + 1);
            list.swap(end, other);
        }
    }
}
