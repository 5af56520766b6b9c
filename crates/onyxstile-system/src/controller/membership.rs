//! Selection of the next electors and chain from the live machines and their locations. Pure functions.

use std::collections::BTreeMap;

use crate::control::{ElectorId, View};
use crate::tolerance::{Location, Tolerance};

/// Zone and region of every core machine seen so far; a machine without an entry counts as belonging to an unnamed zone
/// and region.
pub type Locations = BTreeMap<[u8; 4], Location>;

/// Returns the electors and the chain of the next view, or `None` if the view needs no change or too few machines are
/// alive.
///
/// A machine with a new disk replaces its former identity; a new machine replaces a dead one. More electors than the
/// group size are kept only while all of them are alive and no zone or region whose loss must be tolerated holds too
/// many of them.
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

/// Selects the dead elector that a new machine replaces: preferably one in the same zone, because a replacement usually
/// starts there, otherwise any. Which of several dead electors is lost permanently cannot be determined.
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

/// Index of the last elector in the zone with the most electors; where the loss of regions must be tolerated, the
/// region with the most electors comes first.
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

/// Minimum length of a chain: enough copies for the tolerated losses, and enough to intersect any majority of the
/// electors.
fn min_chain_length(electors: usize, tolerance: Tolerance) -> usize {
    let majority = electors / 2 + 1;
    (tolerance.losses() + 1).max(electors + 1 - majority)
}
