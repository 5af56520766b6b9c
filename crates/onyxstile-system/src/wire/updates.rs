//! Updates from controllers to agents and storage machines, and from agents to their proxies.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::control::StoredConfiguration;
use crate::evidence::Evidence;
use crate::registry::Instance;
use crate::storage_plan::StoragePlan;

/// A request for updates from an agent or a storage machine to a controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PullRequest {
    /// Address of the requesting machine.
    pub ip: [u8; 4],
    /// Name of the requesting machine.
    pub name: String,
    /// Sequence of the control state that the requester holds.
    pub sequence: u64,
    /// Revision of the configuration that the requester holds.
    pub revision: u64,
    /// Whether to return the state itself, or only to report that there is a newer one.
    pub wants_state: bool,
    /// Whether to return endpoints.
    pub wants_endpoints: bool,
    /// Origin that the registry counter belongs to.
    pub origin: u64,
    /// Registry counter for that origin, up to which the requester is in sync.
    pub counter: u64,
    /// Whether the requester already counts this controller as one that it has received a settled response from. If it
    /// does not, a settled response is an update and ends the wait.
    pub is_counted: bool,
    /// How long the response may wait for updates, in ms.
    pub wait_ms: u64,
    /// The storage epoch for which the requester is in sync; 0 for roles other than storage.
    pub synced_epoch: u64,
    /// Evidence from the requester's calls on endpoints, if this controller is to aggregate it for all relays.
    pub evidence: Option<Vec<Evidence>>,
}

/// The part of the control state that every relay needs.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct PublishedState {
    /// Sequence of the control state.
    pub sequence: u64,
    /// The newest configuration, omitted if the requester holds that revision.
    pub configuration: Option<Rc<StoredConfiguration>>,
    /// The storage plan.
    pub storage: Rc<StoragePlan>,
}

/// A controller's response to a [`PullRequest`].
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct PullResponse {
    /// Number of the view that the controller has installed; 0 for none.
    pub view: u64,
    /// Addresses of the machines that vote on views.
    pub electors: Vec<[u8; 4]>,
    /// Whether everything that the controller holds is known to be committed.
    pub is_settled: bool,
    /// Sequence of the newest committed state.
    pub sequence: u64,
    /// The state, if it was requested and is newer.
    pub state: Option<PublishedState>,
    /// Incarnation of the controller that the counter belongs to.
    pub origin: u64,
    /// The newest change of the registry.
    pub counter: u64,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// Number of relays that poll the controller; `None` while it is unknown.
    pub relays: Option<u32>,
    /// Aggregated evidence of all relays on suspected endpoints, if the requester sent its own.
    pub evidence: Vec<Evidence>,
}

/// Updates from an agent to the proxy on the same machine.
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct Feed {
    /// The control state, if it is newer than the last one sent.
    pub state: Option<PublishedState>,
    /// Endpoints that changed.
    pub endpoints: Vec<Instance>,
    /// Whether the agent has received responses from a majority of the controllers since it started.
    pub is_fresh: bool,
    /// Number of relays, if it is known.
    pub relays: Option<u32>,
    /// Aggregated evidence of all relays on suspected endpoints.
    pub evidence: Vec<Evidence>,
}
