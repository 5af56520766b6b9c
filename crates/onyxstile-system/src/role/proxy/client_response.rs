//! Responses to clients: complete or streamed responses of endpoints, and responses of the proxy itself.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::response;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::call::is_forwarded;

/// Error of a stream that ended before its end marker. The connection is closed, so that the client can detect the truncation.
#[derive(Debug)]
pub(super) struct StreamInterrupted;

impl std::fmt::Display for StreamInterrupted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("stream ended before its end marker")
    }
}

impl std::error::Error for StreamInterrupted {}

/// Message to the task that writes a streamed body.
#[derive(Debug)]
pub(super) enum Chunk {
    /// Body bytes.
    Data(Bytes),
    /// End marker: the stream is complete.
    End,
}

/// Response body.
pub(super) enum ResponseBody {
    /// The complete body.
    Complete(Option<Bytes>),
    /// Chunks until the end marker. If the sender is dropped before it, for any reason, the body fails with
    /// [`StreamInterrupted`].
    Stream(mpsc::Receiver<Chunk>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            ResponseBody::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Stream(receiver) => receiver.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(StreamInterrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Response that the proxy generates itself, with `reason` as the body.
pub(super) fn reply(status: StatusCode, reason: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::Complete(Some(Bytes::copy_from_slice(reason.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// 503 for a request that was not executed and never will be. `Retry-After` carries `wait` in seconds, with two decimals.
pub(super) fn not_executed(wait: Duration, reason: &str) -> ClientResponse {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}

/// Adds `Connection: close`.
pub(super) fn close_after(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Copies the status and the forwarded headers of an endpoint's response.
pub(super) fn copy_head(head: &response::Parts, response: &mut ClientResponse) {
    *response.status_mut() = head.status;
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        response.headers_mut().append(name.clone(), value.clone());
    }
}

#[cfg(test)]
mod tests;
