//! Forwards an event stream to the client event by event. An interrupted stream is resumed at another endpoint if the route
//! allows it, and the stream ends only after its turn has been stored.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::Proxy;
use super::attempt::Stream;
use super::call_sender::CallSender;
use super::chain::Chain;
use super::client_response::{Chunk, ClientResponse, ResponseBody, copy_head};
use super::conversation::Claim;
use super::cut_offs::CutReason;
use super::phase::OpenRequest;
use crate::balance::EVENTS_PER_SAMPLE;
use crate::clock::Instant;
use crate::sse::{Event, Splitter};

/// Maximum number of chunks queued for a client that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 32;
/// A resumable stream is resumed at another endpoint after a silence of this many times the target gap between events.
const SILENCE_FACTOR: u32 = 2;

/// A stream that is being forwarded.
pub(super) struct StreamRelay {
    proxy: Rc<Proxy>,
    call_sender: CallSender,
    stream: Stream,
    claim: Option<Claim>,
    chain: Chain,
    began: Instant,
    _open_request: OpenRequest,
}

/// How the stream from an endpoint ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream ended early; it may be resumed at another endpoint.
    Interrupted,
    /// The client disconnected.
    ClientGone,
    /// The client's deadline has passed.
    TimedOut,
}

/// Event count and time of the last progress report.
struct ProgressMark {
    events: u32,
    at: Instant,
}

/// What has been forwarded so far.
#[derive(Default)]
struct Forwarded {
    events: u32,
    last_event: Option<String>,
    output: Vec<u8>,
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

    async fn run(mut self, chunks: mpsc::Sender<Chunk>) {
        let mut forwarded =
            Forwarded { last_event: self.call_sender.call.last_event.clone(), ..Forwarded::default() };
        loop {
            let end = self.forward(&chunks, &mut forwarded).await;
            if matches!(end, StreamEnd::Interrupted) {
                self.call_sender.record_interrupted_stream();
            }
            self.record_cut_off(&end);
            match end {
                StreamEnd::Complete => break,
                StreamEnd::Interrupted if self.call_sender.call.route.resumable => {
                    let last_event = forwarded.last_event.clone();
                    let resumed = tokio::select! {
                        resumed = self.call_sender.resume(last_event.as_deref()) => resumed,
                        () = chunks.closed() => return,
                    };
                    match resumed {
                        Some(stream) => self.stream = stream,
                        None => return,
                    }
                }
                // Without the end marker, the client's connection is closed and the stream is recognisably truncated.
                StreamEnd::ClientGone | StreamEnd::Interrupted | StreamEnd::TimedOut => return,
            }
        }
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
        // Fails only if the client has disconnected.
        chunks.send(Chunk::End).await.ok();
    }

    /// Counts a stream that was cut off.
    fn record_cut_off(&self, end: &StreamEnd) {
        let reason = match end {
            StreamEnd::Complete | StreamEnd::ClientGone => return,
            StreamEnd::Interrupted => CutReason::ConnectionLost,
            StreamEnd::TimedOut => CutReason::NotInTime,
        };
        if let Some(key) = self.call_sender.attempted.last() {
            self.proxy.record_cut_off(&self.call_sender.call, *key, reason);
        }
    }

    /// Forwards events until the stream from the endpoint ends.
    async fn forward(&mut self, chunks: &mpsc::Sender<Chunk>, forwarded: &mut Forwarded) -> StreamEnd {
        let mut splitter = Splitter::default();
        let mut held = self.proxy.answer_memory.holder();
        let mut mark = ProgressMark { events: forwarded.events, at: self.proxy.clock.now() };
        let mut next = std::mem::take(&mut self.stream.first);
        loop {
            let events = splitter.push(&next);
            if splitter.is_over_limit() {
                return StreamEnd::Interrupted;
            }
            forwarded.events += events.iter().filter(|event| event.data.is_some()).count() as u32;
            self.note_progress(forwarded.events, &mut mark);
            if !self.forward_events(events, chunks, forwarded).await {
                return StreamEnd::ClientGone;
            }
            held.resize(splitter.held_bytes() + forwarded.output.capacity());
            let left = self.call_sender.call.deadline.since(self.proxy.clock.now());
            let timeout = self.silence_timeout().min(left);
            let frame = tokio::select! {
                frame = tokio::time::timeout(timeout, self.stream.body.frame()) => frame,
                () = chunks.closed() => return StreamEnd::ClientGone,
            };
            next = match frame {
                Err(_) if left <= timeout => return StreamEnd::TimedOut,
                Err(_) => return StreamEnd::Interrupted,
                Ok(None) if splitter.is_empty() => return StreamEnd::Complete,
                Ok(None) | Ok(Some(Err(_))) => return StreamEnd::Interrupted,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
        }
    }

    /// Reports the event rate to the endpoint's estimates, once per [`EVENTS_PER_SAMPLE`] events.
    fn note_progress(&self, events: u32, mark: &mut ProgressMark) {
        let count = events - mark.events;
        if count >= EVENTS_PER_SAMPLE
            && let Some(key) = self.call_sender.attempted.last()
        {
            let now = self.proxy.clock.now();
            self.proxy.endpoints.borrow_mut().stream_progressed(now, *key, count, now.since(mark.at));
            *mark = ProgressMark { events, at: now };
        }
    }

    fn silence_timeout(&self) -> Duration {
        let route = &self.call_sender.call.route;
        if route.resumable && route.target_gap_ms > 0 {
            Duration::from_millis(route.target_gap_ms) * SILENCE_FACTOR
        } else {
            Duration::MAX
        }
    }

    async fn forward_events(
        &self, events: Vec<Event>, chunks: &mpsc::Sender<Chunk>, forwarded: &mut Forwarded,
    ) -> bool {
        if events.is_empty() {
            return true;
        }
        let mut bytes = Vec::with_capacity(events.iter().map(|event| event.bytes.len()).sum());
        for event in events {
            bytes.extend_from_slice(&event.bytes);
            if let Some(data) = &event.data {
                if let Some(claim) = &self.claim {
                    claim.add_delivered(self.call_sender.call.tokens_per_event());
                }
                if self.call_sender.call.route.retained {
                    forwarded.output.extend_from_slice(data);
                    forwarded.output.push(b'\n');
                }
            }
            if event.id.is_some() {
                forwarded.last_event = event.id;
            }
        }
        chunks.send(Chunk::Data(bytes.into())).await.is_ok()
    }
}

/// Builds the response to the client and spawns the task that forwards its body.
pub(super) fn begin(relay: StreamRelay) -> ClientResponse {
    let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let mut response = hyper::Response::new(ResponseBody::Stream(receiver));
    copy_head(&relay.stream.head, &mut response);
    tokio::task::spawn_local(async move {
        let proxy = relay.proxy.clone();
        // A stream that is dropped at the end of the process is cut without its end marker, and its claim is settled.
        proxy.phase.until_end(|| true, relay.run(chunks)).await;
    });
    response
}
