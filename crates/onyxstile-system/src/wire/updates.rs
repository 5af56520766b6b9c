//! What controllers tell agents and storage machines, and agents their proxies.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::control::StoredConfiguration;
use crate::evidence::Evidence;
use crate::registry::Instance;
use crate::storage_plan::StoragePlan;

/// What an agent or a storage machine asks a controller for.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PullRequest {
    /// The machine that asks.
    pub ip: [u8; 4],
    /// Its name.
    pub name: String,
    /// The control state's sequence that it holds.
    pub sequence: u64,
    /// The revision that it holds.
    pub revision: u64,
    /// Whether it wants the state itself, or only to hear that there is a newer one.
    pub wants_state: bool,
    /// Whether it wants endpoints.
    pub wants_endpoints: bool,
    /// The origin that its registry counter belongs to.
    pub origin: u64,
    /// The registry counter that it holds of that origin.
    pub counter: u64,
    /// Whether the controller is one of those that the asker counts as heard; if it isn't, that it holds all is news.
    pub is_counted: bool,
    /// How long the answer may wait for news, in ms.
    pub wait_ms: u64,
    /// The storage epoch for which the sender holds all that is its own; 0 elsewhere.
    pub synced_epoch: u64,
    /// What the sender's calls show of endpoints, if this controller is to sum that up for all relays.
    pub evidence: Option<Vec<Evidence>>,
}

/// What every relay has to know of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct PublishedState {
    /// The control state's sequence.
    pub sequence: u64,
    /// The newest configuration; left out where the asker holds that revision.
    pub configuration: Option<Rc<StoredConfiguration>>,
    /// The storage plan.
    pub storage: Rc<StoragePlan>,
}

/// A controller's answer to a [`Pull`].
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct PullResponse {
    /// The number of the view that the controller has installed; 0 for none.
    pub view: u64,
    /// Machines that vote on views.
    pub electors: Vec<[u8; 4]>,
    /// Whether all that the controller holds is known to be committed.
    pub is_settled: bool,
    /// The sequence of the newest committed state.
    pub sequence: u64,
    /// The state, if it was asked for and is newer.
    pub state: Option<PublishedState>,
    /// Which life of the controller the counter belongs to.
    pub origin: u64,
    /// The newest change of the registry.
    pub counter: u64,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// How many relays the controller hears of; none while it does not know.
    pub relays: Option<u32>,
    /// What all relays' calls show of endpoints under suspicion, if the asker told its own.
    pub evidence: Vec<Evidence>,
}

/// What a proxy has to know, from the agent beside it.
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct Feed {
    /// The control state, if it is newer than what was fed before.
    pub state: Option<PublishedState>,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// Whether the agent has heard a majority of the controllers since its start.
    pub is_fresh: bool,
    /// How many relays there are, if that is known.
    pub relays: Option<u32>,
    /// What all relays' calls show of endpoints under suspicion.
    pub evidence: Vec<Evidence>,
}
