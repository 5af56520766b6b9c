//! All groups of a table, by destination.

use std::collections::HashMap;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use super::{Allowed, Group, Proposal};
use crate::config::RoutingConfig;

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
