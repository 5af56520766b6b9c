//! Choice of the view to propose, from the promises of a majority of the electors.

use std::rc::Rc;

use super::membership::{Locations, next_membership};
use crate::control::{Ballot, ControlState, ElectorId, View};
use crate::tolerance::Tolerance;

/// The promise of one elector: the value that it has accepted, and its newest written state if that is newer than the
/// proposer's.
#[derive(Debug, Clone)]
pub(super) struct Promised {
    pub from: ElectorId,
    pub accepted: Option<(Ballot, Rc<View>)>,
    pub state: Option<ControlState>,
}

/// Selects the view to propose: the value accepted under the highest ballot, or else the next membership with the
/// newest state of the promising electors and of the proposer, which sent its own sequence with `Prepare`.
pub(super) fn choose_view(
    current: &View, promises: &[Promised], own: &ControlState, alive: &[ElectorId], tolerance: Tolerance,
    locations: &Locations,
) -> View {
    let accepted = promises.iter().filter_map(|promised| promised.accepted.as_ref());
    if let Some((_, value)) = accepted.max_by_key(|(ballot, _)| *ballot) {
        return (**value).clone();
    }
    let promised = promises.iter().filter_map(|promised| promised.state.as_ref());
    let newest = promised.chain([own]).max_by_key(|state| state.sequence);
    let state = newest.cloned().unwrap_or_else(|| current.state.clone());
    let (electors, chain) = next_membership(current, alive, tolerance, locations)
        .unwrap_or_else(|| (current.electors.clone(), current.chain.clone()));
    View { number: current.number + 1, electors, chain, state }
}
