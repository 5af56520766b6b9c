//! Which electors and which chain should follow, given who is alive and where each stands. Pure functions.

use std::collections::BTreeMap;

use crate::control::{ElectorId, View};
use crate::tolerance::{Location, Tolerance};

/// Where each core machine stands that was ever heard of; one that wasn't counts as a zone and region of no name.
pub type Locations = BTreeMap<[u8; 4], Location>;

/// The electors and the chain that a next view should have; `None` if this view is to stay or too few are alive.
///
/// A machine with another disk takes the place of what it was; a newcomer takes that of a dead machine; more electors
/// than a group holds are kept only while all of them live and no zone or region that may be lost holds too many.
pub fn next_membership(
    view: &View, alive: &[ElectorId], tolerance: Tolerance, locations: &Locations,
) -> Option<(Vec<ElectorId>, Vec<ElectorId>)> {
    let electors = electors(view, alive, tolerance, locations);
    let chain = chain(view, &electors, alive);
    if chain.len() < min_chain_length(electors.len(), tolerance) {
        return None;
    }
    (electors != view.electors || chain != view.chain).then_some((electors, chain))
}

fn electors(view: &View, alive: &[ElectorId], tolerance: Tolerance, locations: &Locations) -> Vec<ElectorId> {
    let mut electors = view.electors.clone();
    for newcomer in alive.iter().filter(|id| !view.electors.contains(id)) {
        let same_machine = electors.iter().position(|id| id.ip == newcomer.ip);
        let replaced = same_machine.or_else(|| replaceable_elector(&electors, alive, newcomer, locations));
        match replaced {
            Some(index) => electors[index] = *newcomer,
            None => electors.push(*newcomer),
        }
    }
    let group_size = tolerance.group_size();
    while electors.len() > group_size {
        let Some(index) = electors.iter().position(|id| !alive.contains(id)) else { break };
        electors.remove(index);
    }
    while electors.len() > group_size && !keeps_majority(&electors, tolerance, locations) {
        let index = index_in_largest_domain(&electors, tolerance, locations);
        electors.remove(index);
    }
    electors
}

/// The dead elector whose place a newcomer takes: one that stands where it does, for a successor mostly comes there, else
/// any. Which of several dead ones is gone for good nobody can tell.
fn replaceable_elector(
    electors: &[ElectorId], alive: &[ElectorId], newcomer: &ElectorId, locations: &Locations,
) -> Option<usize> {
    let is_dead = |id: &ElectorId| !alive.contains(id);
    let location = locations.get(&newcomer.ip);
    let is_same_location = |id: &ElectorId| location.is_some() && locations.get(&id.ip) == location;
    let nearby = electors.iter().position(|id| is_dead(id) && is_same_location(id));
    nearby.or_else(|| electors.iter().position(is_dead))
}

fn keeps_majority(electors: &[ElectorId], tolerance: Tolerance, locations: &Locations) -> bool {
    let unknown = Location::default();
    let elector_locations: Vec<&Location> =
        electors.iter().map(|id| locations.get(&id.ip).unwrap_or(&unknown)).collect();
    tolerance.keeps_majority(&elector_locations)
}

/// The last elector of the zone with the most of them; where regions may be lost, of the region with the most first.
fn index_in_largest_domain(electors: &[ElectorId], tolerance: Tolerance, locations: &Locations) -> usize {
    let unknown = Location::default();
    let location = |id: &ElectorId| locations.get(&id.ip).unwrap_or(&unknown);
    let domain_sizes = |id: &ElectorId| {
        let here = location(id);
        let region = electors.iter().filter(|other| location(other).region == here.region).count();
        let zone = electors.iter().filter(|other| location(other) == here).count();
        (if tolerance.regions > 0 { region } else { 0 }, zone)
    };
    let last = |index: &usize| (domain_sizes(&electors[*index]), *index);
    (0..electors.len()).max_by_key(last).unwrap_or(0)
}

fn chain(view: &View, electors: &[ElectorId], alive: &[ElectorId]) -> Vec<ElectorId> {
    let stays = |id: &&ElectorId| electors.contains(id) && alive.contains(id);
    let mut chain: Vec<ElectorId> = view.chain.iter().filter(stays).copied().collect();
    let joined: Vec<ElectorId> =
        electors.iter().filter(|id| alive.contains(id) && !chain.contains(id)).copied().collect();
    chain.extend(joined);
    chain
}

/// The fewest members that a chain may have: enough copies for the losses that are tolerated, and enough to meet any
/// majority of the electors.
fn min_chain_length(electors: usize, tolerance: Tolerance) -> usize {
    let majority = electors / 2 + 1;
    (tolerance.losses() + 1).max(electors + 1 - majority)
}
