//! Event stream of a client from its first event to its end. An interrupted stream is resumed at another endpoint if the route
//! allows it, and the stream ends only after its turn has been stored.

use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call_sender::CallSender;
use super::chain::Chain;
use super::chunk_queue::{ChunkSender, ClientGone, chunk_queue};
use super::client_response::{ClientResponse, ResponseBody, copy_head};
use super::conversation::Claim;
use super::cut_offs::CutReason;
use super::phase::OpenRequest;
use super::read_answer::Stream;
use crate::clock::Instant;

/// A stream that is being forwarded.
pub(super) struct StreamRelay {
    pub proxy: Rc<Proxy>,
    pub call_sender: CallSender,
    pub stream: Stream,
    pub claim: Option<Claim>,
    chain: Chain,
    began: Instant,
    _open_request: OpenRequest,
}

/// How the stream from an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The stream ended early, or was cut off; it may be resumed at another endpoint.
    Interrupted(CutReason),
    /// The client disconnected.
    ClientGone,
    /// The client's deadline has passed.
    TimedOut,
}

impl From<CutReason> for StreamEnd {
    fn from(reason: CutReason) -> StreamEnd {
        StreamEnd::Interrupted(reason)
    }
}

impl From<ClientGone> for StreamEnd {
    fn from(_: ClientGone) -> StreamEnd {
        StreamEnd::ClientGone
    }
}

/// What has been forwarded so far.
#[derive(Default)]
pub(super) struct Forwarded {
    /// Number of events with data.
    pub events: u32,
    /// Id of the last event that has one.
    pub last_event: Option<String>,
    /// Data of the events of a retained turn, with a line feed after each.
    pub output: Vec<u8>,
}

impl StreamRelay {
    /// Prepares a stream whose head and first bytes have been received.
    pub(super) fn new(
        proxy: Rc<Proxy>, call_sender: CallSender, stream: Stream, claim: Option<Claim>, chain: Chain,
        open_request: OpenRequest,
    ) -> StreamRelay {
        let began = proxy.clock.now();
        StreamRelay { proxy, call_sender, stream, claim, chain, began, _open_request: open_request }
    }

    async fn run(mut self, chunks: ChunkSender) {
        let mut forwarded =
            Forwarded { last_event: self.call_sender.call.last_event.clone(), ..Forwarded::default() };
        loop {
            let Err(end) = self.forward(&chunks, &mut forwarded).await else { break };
            self.record_end(end);
            // Without the end marker, the client's connection is closed and the stream is recognisably truncated.
            let may_resume =
                matches!(end, StreamEnd::Interrupted(_)) && self.call_sender.call.route.resumable;
            if !may_resume || !self.resume(&chunks, &forwarded).await {
                return;
            }
        }
        self.finish(&chunks, forwarded).await;
    }

    /// Records a stream that did not come to its end.
    fn record_end(&mut self, end: StreamEnd) {
        // Taken from the stream, the connection is closed, so that the endpoint stops.
        let Some(key) = self.stream.checkout.take().map(|checkout| checkout.key) else { return };
        let reason = match end {
            StreamEnd::Interrupted(reason) => reason,
            StreamEnd::TimedOut => CutReason::NotInTime,
            StreamEnd::ClientGone => return,
        };
        let is_failure = matches!(end, StreamEnd::Interrupted(_)) && reason != CutReason::NoMemory;
        if is_failure {
            self.call_sender.record_interrupted_stream(key);
        }
        self.proxy.record_cut_off(&self.call_sender.call, key, reason);
    }

    /// Resumes an interrupted stream at another endpoint; false if there is none, or no client.
    async fn resume(&mut self, chunks: &ChunkSender, forwarded: &Forwarded) -> bool {
        let resumed = tokio::select! {
            resumed = self.call_sender.resume(forwarded.last_event.as_deref()) => resumed,
            () = chunks.closed() => return false,
        };
        let is_resumed = resumed.is_some();
        if let Some(stream) = resumed {
            self.stream = stream;
        }
        is_resumed
    }

    /// Ends a complete stream: stores its turn, and sends the end marker.
    async fn finish(mut self, chunks: &ChunkSender, forwarded: Forwarded) {
        self.call_sender.finish(self.began, false);
        if let Some(key) = self.call_sender.attempted.last() {
            self.proxy.endpoints.borrow_mut().stream_ended(*key, forwarded.events);
        }
        if let Some(checkout) = self.stream.checkout.take() {
            self.proxy.return_connection(checkout);
        }
        if let Some(claim) = &self.claim {
            claim.settle();
        }
        if self.call_sender.call.route.retained {
            let is_stored =
                self.proxy.store_turn(&self.call_sender.call, &self.chain, forwarded.output).await;
            if !is_stored {
                return;
            }
        }
        // Fails only if the client has disconnected, or has not read the stream before its deadline.
        tokio::time::timeout(self.left(), chunks.end()).await.ok();
    }

    /// Time until the client's deadline.
    pub(super) fn left(&self) -> Duration {
        self.call_sender.call.deadline.since(self.proxy.clock.now())
    }
}

/// Builds the response to the client and spawns the task that forwards its body.
pub(super) fn begin(relay: StreamRelay) -> ClientResponse {
    let (chunks, receiver) = chunk_queue();
    let mut response = hyper::Response::new(ResponseBody::Stream(receiver));
    copy_head(&relay.stream.head, &mut response);
    tokio::task::spawn_local(async move {
        let proxy = relay.proxy.clone();
        // A stream that is dropped at the end of the process is cut without its end marker, and its claim is settled.
        proxy.phase.until_end(|| true, relay.run(chunks)).await;
    });
    response
}
