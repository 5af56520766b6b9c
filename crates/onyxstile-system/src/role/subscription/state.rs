//! State of a subscription.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rank of a controller for a machine; the order differs between machines.
fn rank(own: Ipv4Addr, controller: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&controller.octets(), u64::from(u32::from(own)))
}

/// Data received from the controllers so far.
#[derive(Default)]
pub(super) struct State {
    /// Sequence of the control state that was applied.
    pub sequence: u64,
    /// Revision of its configuration.
    pub revision: u64,
    /// Number of the newest view received.
    pub view: u64,
    /// Electors of that view.
    pub electors: Vec<Ipv4Addr>,
    /// Controllers that were settled in their last response.
    pub settled: HashSet<Ipv4Addr>,
    /// Controllers that responded to the last poll: they may hold the next one until there is an update.
    pub answering: HashSet<Ipv4Addr>,
    /// Newest sequence that any controller has reported.
    pub newest_sequence: u64,
    /// Controllers that are being polled.
    pub polled: HashSet<Ipv4Addr>,
    /// Origin (incarnation) and newest change counter of the registry of each controller.
    pub registries: HashMap<Ipv4Addr, (u64, u64)>,
    /// Number of relays that each controller counts.
    pub relays: HashMap<Ipv4Addr, u32>,
    /// Whether a majority has responded since the start.
    pub is_fresh: bool,
    /// Whether the newest state is being fetched from a controller other than its source.
    pub is_fetching: bool,
    /// Number of seed polls before any elector was known.
    pub seeds_polled: usize,
    /// Number of consecutive timeouts of a state transfer.
    pub late_states: u32,
}

impl State {
    /// Whether more than half of the electors are settled.
    pub fn has_settled_majority(&self) -> bool {
        let settled = self.electors.iter().filter(|elector| self.settled.contains(elector)).count();
        !self.electors.is_empty() && settled > self.electors.len() / 2
    }

    /// Records that a controller did not respond.
    pub fn missed(&mut self, controller: Ipv4Addr) {
        self.settled.remove(&controller);
        self.answering.remove(&controller);
    }

    /// Whether a state newer than the applied one was reported.
    pub fn is_behind(&self) -> bool {
        self.sequence < self.newest_sequence
    }

    /// Controller that sends the state to a machine: the first by rendezvous hashing over the electors.
    pub fn source(&self, own: Ipv4Addr) -> Option<Ipv4Addr> {
        self.electors.iter().copied().max_by_key(|elector| rank(own, *elector))
    }

    /// A majority of the electors and one more, in the order of this machine.
    pub fn first_to_poll(&self, own: Ipv4Addr) -> Vec<Ipv4Addr> {
        let mut electors = self.electors.clone();
        electors.sort_by_key(|elector| std::cmp::Reverse(rank(own, *elector)));
        electors.truncate(electors.len() / 2 + 2);
        electors
    }

    /// Seed to poll while no elector is known. Seeds are polled one at a time and in a different order on each machine,
    /// so that a seed which is about to start is not polled by all machines continuously.
    pub fn seed_to_poll(&self, own: Ipv4Addr, seeds: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let mut seeds = seeds.to_vec();
        seeds.sort_by_key(|seed| rank(own, *seed));
        seeds.get(self.seeds_polled % seeds.len().max(1)).copied()
    }

    /// Records a poll of a seed; the next poll goes to the next seed if no elector is known after it.
    pub fn note_seed_polled(&mut self) {
        if self.electors.is_empty() {
            self.seeds_polled += 1;
        }
    }

    /// Alternative source of the state: the first of the settled controllers, or of all responding ones if no majority
    /// was settled for long.
    pub fn other_source(&self, own: Ipv4Addr) -> Option<Ipv4Addr> {
        let candidates =
            if self.settled.is_empty() && self.is_fresh { &self.answering } else { &self.settled };
        let rank_key = Ipv4Addr::from(u32::from(own).wrapping_add(self.late_states));
        candidates.iter().copied().max_by_key(|controller| rank(rank_key, *controller))
    }

    /// Records that a controller is no longer polled.
    pub fn stopped(&mut self, controller: Ipv4Addr) {
        self.missed(controller);
        self.polled.remove(&controller);
        self.relays.remove(&controller);
    }

    /// Highest relay count of any controller: one that is cut off from some relays counts too few.
    pub fn most_relays(&self) -> Option<u32> {
        self.relays.values().copied().max()
    }
}
