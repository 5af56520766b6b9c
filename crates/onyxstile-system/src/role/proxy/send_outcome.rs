//! Outcomes of sending a call.

use bytes::Bytes;
use hyper::http::response;

use super::read_answer::Stream;

/// Outcome of sending a call.
pub(super) enum SendOutcome {
    /// Complete response.
    Complete(response::Parts, Bytes),
    /// The response stream has begun.
    Streaming(Stream),
    /// The call was not executed and will not be.
    NotExecuted,
    /// The same, because the process ends.
    ShuttingDown,
    /// The call may have been executed, but its response is lost.
    Failed,
    /// The call may have been executed, but it has expired or the process ends.
    TimedOut,
}

/// Why a call is not sent, or not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GiveUp {
    /// The call has expired.
    Expired,
    /// The next retry timer fires after the call expires.
    NoTimeToRetry,
    /// No endpoint may be called.
    NoEndpoint,
    /// The process ends.
    ShuttingDown,
}
