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

use super::call::is_passed;

/// A stream that ends before its last piece: the connection is closed, so that it doesn't look complete.
#[derive(Debug)]
pub(super) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stream was broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// What is passed on of a stream.
#[derive(Debug)]
pub(super) enum Piece {
    /// Bytes.
    Bytes(Bytes),
    /// The stream is whole.
    End,
}

/// The body of an answer.
pub(super) enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come, until one says that it is whole. A sender that is gone before, whatever ended it, says nothing.
    Stream(mpsc::Receiver<Piece>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Stream(receiver) => receiver.poll_recv(context).map(|piece| match piece {
                Some(Piece::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(BrokenOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer to a client.
pub(super) type ClientAnswer = Response<AnswerBody>;

/// The proxy's own answer.
pub(super) fn own(status: StatusCode, reason: &str) -> ClientAnswer {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::copy_from_slice(reason.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// The request did not run and never will; the client may come back after `wait`.
pub(super) fn not_run(wait: Duration, reason: &str) -> ClientAnswer {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}

/// The connection ends after this answer.
pub(super) fn close_after(response: &mut ClientAnswer) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Status and headers of an endpoint's answer, as the client is to get them.
pub(super) fn copy_head(head: &response::Parts, answer: &mut ClientAnswer) {
    *answer.status_mut() = head.status;
    for (name, value) in head.headers.iter().filter(|(name, _)| is_passed(name)) {
        answer.headers_mut().append(name.clone(), value.clone());
    }
}

#[cfg(test)]
mod tests;
