//! A stream of events on its way to the client: passed on event by event, resumed elsewhere where the route allows it,
//! and ended only once its turn is kept.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::Node;
use super::answer::{AnswerBody, ClientAnswer, Piece, copy_head};
use super::attempt::Stream;
use super::chain::Chain;
use super::conversation::Claim;
use super::phase::Entered;
use super::sending::Sending;
use crate::balance::EVENTS_NOTED;
use crate::clock::Instant;
use crate::sse::{Event, Splitter};

/// Pieces that may wait for a client that does not read.
const PIECES_MAX: usize = 32;
/// A stream that may be taken up elsewhere is, after a silence of this many times the longest pause in time.
const SILENCE_FACTOR: u32 = 2;

/// A stream that is passed on.
pub(super) struct Relay {
    node: Rc<Node>,
    sending: Sending,
    stream: Stream,
    claim: Option<Claim>,
    chain: Chain,
    began: Instant,
    _entered: Entered,
}

/// How the endpoint's part of a stream ended.
enum End {
    /// Whole.
    Whole,
    /// Before its end; it may go on elsewhere.
    Broken,
    /// The client is gone.
    Abandoned,
    /// Its time is over.
    TimedOut,
}

/// How many events there were when their pace was noted last, and when that was.
struct Noted {
    events: u32,
    at: Instant,
}

/// What has been passed on.
#[derive(Default)]
struct Passed {
    events: u32,
    last_event: Option<String>,
    output: Vec<u8>,
}

impl Relay {
    /// A stream whose head and first bytes are there.
    pub(super) fn new(
        node: Rc<Node>, sending: Sending, stream: Stream, claim: Option<Claim>, chain: Chain,
        entered: Entered,
    ) -> Relay {
        let began = node.clock.now();
        Relay { node, sending, stream, claim, chain, began, _entered: entered }
    }

    async fn run(mut self, pieces: mpsc::Sender<Piece>) {
        let mut passed = Passed { last_event: self.sending.call.last_event.clone(), ..Passed::default() };
        loop {
            let end = self.pass_on(&pieces, &mut passed).await;
            if matches!(end, End::Broken) {
                self.sending.note_broken_stream();
            }
            match end {
                End::Whole => break,
                End::Broken if self.sending.call.route.resumable => {
                    let last_event = passed.last_event.clone();
                    let resumed = tokio::select! {
                        resumed = self.sending.resume(last_event.as_deref()) => resumed,
                        () = pieces.closed() => return,
                    };
                    match resumed {
                        Some(stream) => self.stream = stream,
                        None => return,
                    }
                }
                // The answer breaks off: nobody says that it is whole.
                End::Abandoned | End::Broken | End::TimedOut => return,
            }
        }
        self.sending.finish(self.began, false);
        if let Some(key) = self.sending.tried.last() {
            self.node.endpoints.borrow_mut().stream_ended(*key, passed.events);
        }
        if let Some(checkout) = self.stream.checkout.take() {
            self.node.give_back(checkout);
        }
        if let Some(claim) = &self.claim {
            claim.settle();
        }
        if self.sending.call.route.retained {
            let is_kept = self.node.keep(&self.sending.call, &self.chain, passed.output).await;
            if !is_kept {
                return;
            }
        }
        // The client may be gone.
        pieces.send(Piece::End).await.ok();
    }

    /// Passes events on until the endpoint's part ends.
    async fn pass_on(&mut self, pieces: &mpsc::Sender<Piece>, passed: &mut Passed) -> End {
        let mut splitter = Splitter::default();
        let mut noted = Noted { events: passed.events, at: self.node.clock.now() };
        let mut next = std::mem::take(&mut self.stream.first);
        loop {
            let events = splitter.push(&next);
            if splitter.is_overfull() {
                return End::Broken;
            }
            passed.events += events.iter().filter(|event| event.data.is_some()).count() as u32;
            self.note_progress(passed.events, &mut noted);
            if !self.pass_events(events, pieces, passed).await {
                return End::Abandoned;
            }
            let left = self.sending.call.deadline.since(self.node.clock.now());
            let patience = self.silence().min(left);
            let frame = tokio::select! {
                frame = tokio::time::timeout(patience, self.stream.body.frame()) => frame,
                () = pieces.closed() => return End::Abandoned,
            };
            next = match frame {
                Err(_) if left <= patience => return End::TimedOut,
                Err(_) => return End::Broken,
                Ok(None) if splitter.is_empty() => return End::Whole,
                Ok(None) | Ok(Some(Err(_))) => return End::Broken,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
        }
    }

    /// Notes how fast events come, some at a time.
    fn note_progress(&self, events: u32, noted: &mut Noted) {
        let count = events - noted.events;
        if count >= EVENTS_NOTED
            && let Some(key) = self.sending.tried.last()
        {
            let now = self.node.clock.now();
            self.node.endpoints.borrow_mut().stream_went_on(now, *key, count, now.since(noted.at));
            *noted = Noted { events, at: now };
        }
    }

    fn silence(&self) -> Duration {
        let route = &self.sending.call.route;
        if route.resumable && route.target_gap_ms > 0 {
            Duration::from_millis(route.target_gap_ms) * SILENCE_FACTOR
        } else {
            Duration::MAX
        }
    }

    async fn pass_events(
        &self, events: Vec<Event>, pieces: &mpsc::Sender<Piece>, passed: &mut Passed,
    ) -> bool {
        if events.is_empty() {
            return true;
        }
        let mut bytes = Vec::with_capacity(events.iter().map(|event| event.bytes.len()).sum());
        for event in events {
            bytes.extend_from_slice(&event.bytes);
            if let Some(data) = &event.data {
                if let Some(claim) = &self.claim {
                    claim.deliver(self.sending.call.tokens_an_event());
                }
                if self.sending.call.route.retained {
                    passed.output.extend_from_slice(data);
                    passed.output.push(b'\n');
                }
            }
            if event.id.is_some() {
                passed.last_event = event.id;
            }
        }
        pieces.send(Piece::Bytes(bytes.into())).await.is_ok()
    }
}

/// The answer to the client, whose body is fed by a task of its own.
pub(super) fn begin(relay: Relay) -> ClientAnswer {
    let (pieces, receiver) = mpsc::channel(PIECES_MAX);
    let mut answer = hyper::Response::new(AnswerBody::Stream(receiver));
    copy_head(&relay.stream.head, &mut answer);
    tokio::task::spawn_local(relay.run(pieces));
    answer
}
