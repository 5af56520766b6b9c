//! What the core is told, and what it asks for.

use super::{FlowNo, Outcome, ServerNo};
use crate::api::{ClassId, DestinationId, LimitReport, Note, TenantId};
use std::time::Duration;

/// What the core has to know of a flow that is handed to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowTerms {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Time until it is given up.
    pub remaining: Duration,
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Given up, with no promise about its effect.
    Failed,
    /// Handed back: coming again is harmless, after this time.
    Returned(Duration),
    /// Over without us: withdrawn, or its time up elsewhere. Nothing is owed.
    Over,
}

/// The end of a call, as a front saw it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEnd {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// The real server.
    pub server: ServerNo,
    /// How it ended.
    pub outcome: Outcome,
    /// The front knows that the flow is over by this, whatever the outcome says.
    pub finished: Option<End>,
    /// Time since the call was ordered.
    pub elapsed: Duration,
    /// What the answer told of a limit.
    pub limit: Option<LimitReport>,
}

/// What a caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect<P> {
    /// The flow is held from now on: make it lasting, then tell whoever handed it in.
    Accepted(FlowNo, P),
    /// The flow was not taken: it ended in the step that brought it.
    Rejected(FlowNo, P, End),
    /// Call the real server; report its end once by [`super::Core::call_ended`].
    Call {
        /// The flow.
        flow: FlowNo,
        /// Number of the attempt.
        attempt: u32,
        /// The real server.
        server: ServerNo,
        /// Clock time at which to stop waiting.
        give_up_at: Duration,
        /// What to send.
        payload: P,
    },
    /// Stop waiting for a call; its end still has to be reported.
    StopCall(FlowNo, u32),
    /// A call to this destination that has not begun to go out must not go out any more.
    HoldUnsent(DestinationId),
    /// The flow is over.
    Ended(FlowNo, P, End),
    /// Close idle connections to the real server.
    Release(ServerNo),
    /// Call [`super::Core::wake`] and step once this time has passed.
    Wake(Duration),
    /// Check whether the real server answers, if that can be done.
    Probe(ServerNo),
    /// A line for the log.
    Log(String),
    /// Something that happened inside the module.
    Note(Note),
}
