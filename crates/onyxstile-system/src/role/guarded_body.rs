//! Response body that keeps a guard alive until its last byte has been handed over.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// Body with a guard of the same lifetime.
pub struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Keeps `guard` alive until the body is dropped.
    pub fn new(body: B, guard: G) -> GuardedBody<B, G> {
        GuardedBody { body, _guard: guard }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
