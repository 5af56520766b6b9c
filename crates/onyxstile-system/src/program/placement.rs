//! Placement: the storage machines of a key, selected by rendezvous hashing over the agreed plan, with at most as many
//! machines in a zone or region as its loss may take.

use std::net::Ipv4Addr;

use crate::storage_plan::{StorageNode, StoragePlan};
use crate::tolerance::{Location, Tolerance};

/// Machines that store a key, and their quorum size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Machines in descending order of their hash.
    pub members: Vec<Ipv4Addr>,
    /// Number of machines that have to answer. Any two quorums intersect, and a quorum remains after any tolerated
    /// loss.
    pub quorum: usize,
}

/// Groups of a key: one for the plan's current members and, while the plan changes, one for the previous members.
pub fn groups(plan: &StoragePlan, key: &str, tolerance: Tolerance) -> Vec<Group> {
    let mut groups = vec![group(&plan.current, key, tolerance)];
    if plan.is_changing() {
        groups.push(group(&plan.previous, key, tolerance));
    }
    groups
}

/// Member of a key's group to query first: one in `zone` if possible, otherwise the first by hash; members for which
/// `is_suspected` returns true are skipped. While the plan changes, the previous members are used, because new members
/// may not have the records yet.
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
