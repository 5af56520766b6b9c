//! What one machine holds of the others: a record each, merged by incarnation and standing.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::clock::Instant;

/// What a machine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum Class {
    /// Carries traffic.
    Edge,
    /// Keeps the control state.
    Core,
    /// Keeps turns and budgets.
    Storage,
}

/// How a member stands; the order is the order of precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer a probe and has not refuted yet.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// One member's record.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Member {
    /// The machine's address, which tells members apart.
    pub ip: [u8; 4],
    /// The machine's name.
    pub name: String,
    /// What it is for.
    pub class: Class,
    /// Its zone.
    pub zone: String,
    /// The id of its disk; 0 where it has none.
    pub disk: u64,
    /// Rises with each start and each refutation.
    pub incarnation: u64,
    /// How it stands.
    pub state: MemberState,
}

impl Member {
    /// The machine's address.
    pub fn address(&self) -> Ipv4Addr {
        self.ip.into()
    }
}

struct Entry {
    member: Member,
    since: Instant,
}

/// All records but the machine's own.
#[derive(Default)]
pub(super) struct Table {
    entries: BTreeMap<Ipv4Addr, Entry>,
}

impl Table {
    /// Takes a record in; true if it said something new.
    pub(super) fn merge(&mut self, now: Instant, record: Member) -> bool {
        let address = record.address();
        let Some(entry) = self.entries.get_mut(&address) else {
            if record.state == MemberState::Dead {
                return false;
            }
            self.entries.insert(address, Entry { member: record, since: now });
            return true;
        };
        let current = &entry.member;
        let newer = (record.incarnation, record.state) > (current.incarnation, current.state);
        if newer {
            if current.state != record.state || current.disk != record.disk {
                entry.since = now;
            }
            entry.member = record;
        }
        newer
    }

    pub(super) fn get(&self, address: Ipv4Addr) -> Option<&Member> {
        self.entries.get(&address).map(|entry| &entry.member)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    pub(super) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state == MemberState::Alive)
    }

    pub(super) fn not_dead(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state != MemberState::Dead)
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state == MemberState::Suspect)
    }

    pub(super) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state == MemberState::Dead)
    }

    pub(super) fn dead_since(&self, address: Ipv4Addr) -> Option<Instant> {
        let entry = self.entries.get(&address)?;
        (entry.member.state == MemberState::Dead).then_some(entry.since)
    }

    pub(super) fn expired_suspects(&self, now: Instant, suspicion: Duration) -> Vec<Member> {
        let expired = |entry: &&Entry| {
            entry.member.state == MemberState::Suspect && now.since(entry.since) >= suspicion
        };
        self.entries.values().filter(expired).map(|entry| entry.member.clone()).collect()
    }

    pub(super) fn remove_dead(&mut self, now: Instant, after: Duration) {
        self.entries
            .retain(|_, entry| entry.member.state != MemberState::Dead || now.since(entry.since) < after);
    }
}
