//! Input and output types of the core.

use super::{FlowNo, Outcome, ServerNo};
use crate::api::{ClassId, DestinationId, LimitReport, Note, TenantId};
use std::time::Duration;

/// Parameters of a submitted flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowTerms {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Destination to deliver to.
    pub destination: DestinationId,
    /// Time until its deadline.
    pub remaining: Duration,
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Failed; it may or may not have taken effect.
    Failed,
    /// Refused: resubmitting it is harmless, after this time.
    Returned(Duration),
    /// Ended elsewhere: withdrawn, or past its deadline. No answer is needed.
    Over,
}

/// The end of a call as reported by a front end.
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
    /// Set if the front end has determined the end of the flow, whatever the outcome.
    pub finished: Option<End>,
    /// Time since the call was requested.
    pub elapsed: Duration,
    /// Limit reported in the answer.
    pub limit: Option<LimitReport>,
}

/// An effect for the caller to carry out, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect<P> {
    /// The flow is held from now on: make it durable, then confirm it to the submitter.
    Accepted(FlowNo, P),
    /// The flow was not accepted: it ended in the step that submitted it.
    Rejected(FlowNo, P, End),
    /// Call the real server; report the end of the call once by [`super::Core::call_ended`].
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
    /// Stop waiting for a call; its end must still be reported.
    StopCall(FlowNo, u32),
    /// Calls to this destination that have not started to be sent must be held back.
    HoldUnsent(DestinationId),
    /// The flow has ended.
    Ended(FlowNo, P, End),
    /// Close idle connections to the real server.
    Release(ServerNo),
    /// Call [`super::Core::wake`] and step once this time has passed.
    Wake(Duration),
    /// Check whether the real server answers, if possible.
    Probe(ServerNo),
    /// A line for the log.
    Log(String),
    /// An internal event of the module.
    Note(Note),
}
