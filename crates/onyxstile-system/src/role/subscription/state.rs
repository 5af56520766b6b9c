//! What a subscriber has heard, and from whom.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A machine's order among controllers, another for each machine.
fn rank(own: Ipv4Addr, controller: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&controller.octets(), u64::from(u32::from(own)))
}

/// What was heard so far.
#[derive(Default)]
pub(super) struct State {
    /// The sequence of the control state that was taken in.
    pub sequence: u64,
    /// The revision of its configuration.
    pub revision: u64,
    /// The newest view that was told of.
    pub view: u64,
    /// The electors of that view.
    pub electors: Vec<Ipv4Addr>,
    /// Controllers that were sure of what they hold when they answered last.
    pub settled: HashSet<Ipv4Addr>,
    /// Controllers whose last poll was answered: they may hold the next one until there is news.
    pub answering: HashSet<Ipv4Addr>,
    /// The newest sequence that was told of.
    pub newest_sequence: u64,
    /// Controllers that are being polled.
    pub polled: HashSet<Ipv4Addr>,
    /// The life and the newest change of each controller's registry.
    pub registries: HashMap<Ipv4Addr, (u64, u64)>,
    /// How many relays each controller counts.
    pub relays: HashMap<Ipv4Addr, u32>,
    /// Whether a majority has been heard since the start.
    pub is_fresh: bool,
    /// Whether the newest state is being fetched from another controller than its source.
    pub is_fetching: bool,
    /// How often a seed was asked before any elector was known.
    pub seeds_polled: usize,
    /// How often in a row a state did not come in its time.
    pub late_states: u32,
}

impl State {
    /// Whether more than half of the electors were sure of what they hold.
    pub fn has_settled_majority(&self) -> bool {
        let settled = self.electors.iter().filter(|elector| self.settled.contains(elector)).count();
        !self.electors.is_empty() && settled > self.electors.len() / 2
    }

    /// A controller did not answer.
    pub fn missed(&mut self, controller: Ipv4Addr) {
        self.settled.remove(&controller);
        self.answering.remove(&controller);
    }

    /// Whether a newer state was told of than was taken in.
    pub fn is_behind(&self) -> bool {
        self.sequence < self.newest_sequence
    }

    /// The controller that sends the state to a machine: the first by rendezvous over the electors.
    pub fn source(&self, own: Ipv4Addr) -> Option<Ipv4Addr> {
        self.electors.iter().copied().max_by_key(|elector| rank(own, *elector))
    }

    /// As many electors as are a majority, and one more, in the order of this machine.
    pub fn first_to_poll(&self, own: Ipv4Addr) -> Vec<Ipv4Addr> {
        let mut electors = self.electors.clone();
        electors.sort_by_key(|elector| std::cmp::Reverse(rank(own, *elector)));
        electors.truncate(electors.len() / 2 + 2);
        electors
    }

    /// The seed to ask while no elector is known: one at a time, each machine in another order, so that a seed that is about to
    /// start is not asked by all machines all the while.
    pub fn seed_to_poll(&self, own: Ipv4Addr, seeds: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let mut seeds = seeds.to_vec();
        seeds.sort_by_key(|seed| rank(own, *seed));
        seeds.get(self.seeds_polled % seeds.len().max(1)).copied()
    }

    /// A seed was asked; if nothing is known after that, the next one is.
    pub fn note_seed_polled(&mut self) {
        if self.electors.is_empty() {
            self.seeds_polled += 1;
        }
    }

    /// Who may send it instead: the first of those that are sure of what they hold; where no majority was heard for long,
    /// of those that answer at all.
    pub fn other_source(&self, own: Ipv4Addr) -> Option<Ipv4Addr> {
        let candidates =
            if self.settled.is_empty() && self.is_fresh { &self.answering } else { &self.settled };
        let rank_key = Ipv4Addr::from(u32::from(own).wrapping_add(self.late_states));
        candidates.iter().copied().max_by_key(|controller| rank(rank_key, *controller))
    }

    /// A controller is not polled any more.
    pub fn stopped(&mut self, controller: Ipv4Addr) {
        self.missed(controller);
        self.polled.remove(&controller);
        self.relays.remove(&controller);
    }

    /// The most relays that any controller counts: one that is cut off from some counts too few.
    pub fn most_relays(&self) -> Option<u32> {
        self.relays.values().copied().max()
    }
}
