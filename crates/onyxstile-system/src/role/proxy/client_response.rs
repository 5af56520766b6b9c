//! Answers to clients: those of endpoints, whole or as a stream, and the proxy's own.

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

/// A stream that ends before its last piece: the connection is closed, so that it doesn't look complete.
#[derive(Debug)]
pub(super) struct StreamInterrupted;

impl std::fmt::Display for StreamInterrupted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stream was broken off")
    }
}

impl std::error::Error for StreamInterrupted {}

/// What is passed on of a stream.
#[derive(Debug)]
pub(super) enum Chunk {
    /// Bytes.
    Data(Bytes),
    /// The stream is whole.
    End,
}

/// The body of an answer.
pub(super) enum ResponseBody {
    /// All of it.
    Complete(Option<Bytes>),
    /// Pieces as they come, until one says that it is whole. A sender that is gone before, whatever ended it, says nothing.
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

/// An answer to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// The proxy's own answer.
pub(super) fn reply(status: StatusCode, reason: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::Complete(Some(Bytes::copy_from_slice(reason.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// The request did not run and never will; the client may come back after `wait`.
pub(super) fn not_executed(wait: Duration, reason: &str) -> ClientResponse {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}

/// The connection ends after this answer.
pub(super) fn close_after(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Status and headers of an endpoint's answer, as the client is to get them.
pub(super) fn copy_head(head: &response::Parts, response: &mut ClientResponse) {
    *response.status_mut() = head.status;
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        response.headers_mut().append(name.clone(), value.clone());
    }
}

#[cfg(test)]
mod tests;
