//! Tolerated simultaneous losses, and the selection of machine groups that survive them. Performs no I/O.
//!
//! Guarantee: where the locations of the machines allow it, a group of [`Tolerance::group_size`] selected by
//! [`Tolerance::select_group`] keeps a majority whichever machines, zones or regions are lost within the tolerance.

use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::Deserialize;

use crate::settings::lenient;

/// Losses that may occur simultaneously without violating a guarantee: a number of machines, zones or regions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Tolerance {
    /// Machines whose `counts_for_quorum` is true.
    #[serde(deserialize_with = "lenient::count_or_empty")]
    pub machines: usize,
    /// Entire zones; 0 if only machines are tolerated.
    #[serde(deserialize_with = "lenient::count_or_empty")]
    pub zones: usize,
    /// Entire regions; 0 if only machines or zones are tolerated.
    #[serde(deserialize_with = "lenient::count_or_empty")]
    pub regions: usize,
}

/// Location of a machine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Location {
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
}

impl Tolerance {
    /// Tolerates the loss of any `machines` machines.
    pub fn of_machines(machines: usize) -> Tolerance {
        Tolerance { machines, ..Tolerance::default() }
    }

    /// Maximum number of group members that are lost simultaneously.
    pub fn losses(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }

    /// Size of a group that keeps a majority after that loss.
    pub fn group_size(&self) -> usize {
        2 * self.losses() + 1
    }

    /// Selects a group from candidates in order of preference; returns their indices, best first. Fewer are selected
    /// only if there are fewer candidates; the limits per zone and region are exceeded only if no group can meet them.
    pub fn select_group(&self, candidates: &[&Location]) -> Vec<usize> {
        let size = self.group_size().min(candidates.len());
        let mut chosen = self.select_within_caps(candidates);
        if chosen.len() < size {
            let rest: Vec<usize> = (0..candidates.len()).filter(|index| !chosen.contains(index)).collect();
            chosen.extend(rest.into_iter().take(size - chosen.len()));
            chosen.sort_unstable();
        }
        chosen
    }

    /// Whether machines at these locations can form a group that keeps its majority after every tolerated loss.
    pub fn can_be_met_by(&self, locations: &[&Location]) -> bool {
        self.select_within_caps(locations).len() >= self.group_size()
    }

    /// Whether a group of all these machines keeps its majority after every tolerated loss of zones and regions.
    pub fn keeps_majority(&self, locations: &[&Location]) -> bool {
        let spared = locations.len().saturating_sub(1) / 2;
        let zones = counts_by(locations, |location| (&location.region, &location.zone));
        let regions = counts_by(locations, |location| &location.region);
        sum_of_largest(zones, self.zones) <= spared && sum_of_largest(regions, self.regions) <= spared
    }

    /// Whether losing the machines at these locations is within the tolerance.
    pub fn covers(&self, lost: &[&Location]) -> bool {
        let zones = counts_by(lost, |location| (&location.region, &location.zone)).len();
        let regions = counts_by(lost, |location| &location.region).len();
        lost.len() <= self.machines || zones <= self.zones || regions <= self.regions
    }

    /// Indices of the first candidates that form a group without exceeding the limits per zone and region.
    fn select_within_caps(&self, candidates: &[&Location]) -> Vec<usize> {
        let zone_cap = self.losses().checked_div(self.zones).unwrap_or(usize::MAX);
        let region_cap = self.losses().checked_div(self.regions).unwrap_or(usize::MAX);
        let mut in_zone: BTreeMap<&Location, usize> = BTreeMap::new();
        let mut in_region: BTreeMap<&str, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for (index, location) in candidates.iter().enumerate() {
            if chosen.len() == self.group_size() {
                break;
            }
            let zone = in_zone.entry(location).or_default();
            let region = in_region.entry(&location.region).or_default();
            if *zone < zone_cap && *region < region_cap {
                *zone += 1;
                *region += 1;
                chosen.push(index);
            }
        }
        chosen
    }
}

/// Number of machines for each value of the key.
fn counts_by<'a, K: Ord>(locations: &[&'a Location], key: impl Fn(&'a Location) -> K) -> Vec<usize> {
    let mut counts: BTreeMap<K, usize> = BTreeMap::new();
    for location in locations {
        *counts.entry(key(location)).or_default() += 1;
    }
    counts.into_values().collect()
}

/// Sum of the `most` largest counts.
fn sum_of_largest(mut counts: Vec<usize>, most: usize) -> usize {
    counts.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    counts.into_iter().take(most).sum()
}
