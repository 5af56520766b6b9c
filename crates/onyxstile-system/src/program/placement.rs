//! Placement: the storage machines that hold a key, by rendezvous hashing over the agreed plan, with no more of them in
//! one zone or region than the loss of it may take.

use std::net::Ipv4Addr;

use crate::storage_plan::{StorageNode, StoragePlan};
use crate::tolerance::{Location, Tolerance};

/// Machines that hold a key, and how many of them a quorum takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The machines, the one with the highest hash first.
    pub members: Vec<Ipv4Addr>,
    /// How many have to answer; any two quorums meet, and one outlasts the losses that are tolerated.
    pub quorum: usize,
}

/// The groups of a key: one for the plan's members and, while the plan changes, one for those before.
pub fn groups(plan: &StoragePlan, key: &str, tolerance: Tolerance) -> Vec<Group> {
    let mut groups = vec![group(&plan.current, key, tolerance)];
    if plan.is_changing() {
        groups.push(group(&plan.previous, key, tolerance));
    }
    groups
}

/// The member of a key's group to ask first for what it holds: one in `zone` if there is one, else the first by hash; none
/// that `is_doubted`. While the plan changes those before are asked, for newcomers may hold nothing yet.
pub fn nearest(
    plan: &StoragePlan, key: &str, tolerance: Tolerance, zone: &str, is_suspected: impl Fn(Ipv4Addr) -> bool,
) -> Option<Ipv4Addr> {
    let nodes = if plan.is_changing() { &plan.previous } else { &plan.current };
    let members: Vec<Ipv4Addr> =
        group(nodes, key, tolerance).members.into_iter().filter(|member| !is_suspected(*member)).collect();
    let is_in_zone = |member: &&Ipv4Addr| {
        nodes.iter().any(|node| node.address() == **member && node.location.zone == zone)
    };
    members.iter().find(is_in_zone).or(members.first()).copied()
}

fn group(nodes: &[StorageNode], key: &str, tolerance: Tolerance) -> Group {
    let mut ranked: Vec<(u64, Ipv4Addr, &StorageNode)> =
        nodes.iter().map(|node| (weight(node, key), node.address(), node)).collect();
    ranked.sort_unstable_by_key(|(weight, address, _)| std::cmp::Reverse((*weight, *address)));
    let locations: Vec<&Location> = ranked.iter().map(|(_, _, node)| &node.location).collect();
    let chosen = tolerance.select_group(&locations);
    let members: Vec<Ipv4Addr> = chosen.into_iter().map(|index| ranked[index].1).collect();
    Group { quorum: members.len() / 2 + 1, members }
}

fn weight(node: &StorageNode, key: &str) -> u64 {
    let seed = u64::from(u32::from(node.address()));
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}
