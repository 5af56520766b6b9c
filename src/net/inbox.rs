//! Messages to the owner task, and its verdicts on submissions. Other tasks depend on this module instead of on the
//! owner.

use super::listed::{FixedServer, RawList};
use super::orders::{AdminOrder, Answer, Order};
use super::parcel::Parcel;
use super::routing::Staged;
use super::upgrade::wire::Peer;
use crate::api::{DestinationId, LimitReport};
use crate::core::{CallEnd, FlowNo, Outcome, ServerNo};
use onyxstile_peers::NodeNo;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Message to the owner task.
#[derive(Debug)]
pub enum OwnerMessage {
    /// A client submits flows.
    Submission(Submission),
    /// A call ended, with the server's reply text if there is one.
    CallEnded(CallEnd, Option<String>),
    /// A probe ended.
    Probed(ServerNo, Outcome, Option<LimitReport>),
    /// The operator's file was reloaded: all of its fixed servers, and its routing table if that changed.
    Operator(Vec<FixedServer>, Option<Box<Staged>>),
    /// An operator's order, with the channel for its answer.
    Control(Order, oneshot::Sender<Answer>),
    /// A request on the admin address, with the channel for its result.
    Admin(AdminOrder, oneshot::Sender<Result<(), String>>),
    /// Another process requests the handover of the complete state.
    HandOver(Peer),
    /// New retention rules for undelivered messages.
    Rules(onyxstile_undelivered::Rules),
    /// Relays that the operator's file lists as permanently gone.
    Gone(BTreeSet<NodeNo>),
    /// An update of the discovery list.
    List(RawList),
    /// A journal sync succeeded or failed.
    Synced(std::io::Result<crate::net::journal::Pending>),
    /// Notices were acknowledged by their receiver.
    NoticesAcknowledged(Vec<FlowNo>),
}

/// Flows that a client submits together.
#[derive(Debug)]
pub struct Submission {
    /// Class name.
    pub class: String,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Time at which delivery is given up.
    pub deadline: Duration,
    /// Destination and content of each flow.
    pub items: Vec<(DestinationId, Rc<Parcel>)>,
    /// The client states that it submitted the flows before, to a relay that did not answer.
    pub repeat: bool,
    /// The submission gets a single verdict: accepting one flow accepts all.
    pub together: bool,
    /// Channel for the verdicts, one per flow.
    pub reply: oneshot::Sender<Vec<Verdict>>,
}

/// Verdict on a submitted flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Accepted and durable.
    Accepted,
    /// Rejected; the client may retry after this time.
    Rejected(Duration),
    /// Rejected because the relay is shutting down; the next process is expected after this time.
    Ending(Duration),
    /// Rejected: no capacity.
    Full,
    /// Given up at once.
    Failed,
    /// The submission names something that is not in the settings.
    Unknown(&'static str),
}
