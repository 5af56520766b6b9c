//! What reaches the owner, and what it answers to an offer. Everything that speaks to the owner depends on this
//! and not on the owner itself.

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

/// What reaches the owner.
#[derive(Debug)]
pub enum OwnerMessage {
    /// A client hands in a flow.
    Submission(Submission),
    /// A call ended.
    CallEnded(CallEnd, Option<String>),
    /// A probe ended.
    Probed(ServerNo, Outcome, Option<LimitReport>),
    /// What the operator's file says anew: all of its real servers, and its routing table.
    Operator(Vec<FixedServer>, Option<Box<Staged>>),
    /// An operator's order, and where its answer goes.
    Control(Order, oneshot::Sender<Answer>),
    /// A call at the operators' address, and where its answer goes: done, or why not.
    Admin(AdminOrder, oneshot::Sender<Result<(), String>>),
    /// Another process asks for all that this one has.
    HandOver(Peer),
    /// Other rules for what fails.
    Rules(onyxstile_undelivered::Rules),
    /// Relays that are gone for good, by the operator's file.
    Gone(BTreeSet<NodeNo>),
    /// News of discovery's list.
    List(RawList),
    /// A sync of the journal was made, or was not.
    Synced(std::io::Result<crate::net::journal::Pending>),
    /// Notices were heard.
    NoticesAcknowledged(Vec<FlowNo>),
}

/// Flows that a client hands in together.
#[derive(Debug)]
pub struct Submission {
    /// Their class, by name.
    pub class: String,
    /// Their tenant, by name.
    pub tenant: Option<String>,
    /// When they are given up.
    pub deadline: Duration,
    /// Where each goes, and what to deliver.
    pub items: Vec<(DestinationId, Rc<Parcel>)>,
    /// The client says that it has handed them in before, at a relay that did not answer.
    pub repeat: bool,
    /// Whoever handed them in hears one verdict for all: taking one on takes all on.
    pub together: bool,
    /// Where the verdicts go, one for each.
    pub reply: oneshot::Sender<Vec<Verdict>>,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Taken on, and lasting.
    Accepted,
    /// Not taken; may come again after this time.
    Rejected(Duration),
    /// Not taken, for the relay ends; the next process is there after this time.
    Ending(Duration),
    /// No room.
    Full,
    /// Given up at once.
    Failed,
    /// It names something that the settings do not know.
    Unknown(&'static str),
}
