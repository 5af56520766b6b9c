//! Forwards the events of one endpoint's stream to the client, within the limits of an answer.

use std::time::Duration;

use bytes::Bytes;

use super::answer_reader::EVENT_COST_BYTES;
use super::chunk_queue::ChunkSender;
use super::cut_offs::CutReason;
use super::relay_stream::{Forwarded, StreamEnd, StreamRelay};
use crate::answer_memory::{HeldBuffer, HeldBytes};
use crate::balance::EVENTS_PER_SAMPLE;
use crate::clock::Instant;
use crate::sse::{Event, Splitter};

/// A resumable stream is resumed at another endpoint after a silence of this many times the target gap between events.
const SILENCE_FACTOR: u32 = 2;

/// Event count and time of the last progress report.
struct ProgressMark {
    events: u32,
    at: Instant,
}

impl StreamRelay {
    /// Forwards events until the stream from the endpoint is complete.
    pub(super) async fn forward(
        &mut self, chunks: &ChunkSender, forwarded: &mut Forwarded,
    ) -> Result<(), StreamEnd> {
        let mut splitter = Splitter::default();
        let mut held = self.stream.body.holder();
        let mut last_event_at = self.proxy.clock.now();
        let mut mark = ProgressMark { events: forwarded.events, at: last_event_at };
        let mut next = std::mem::take(&mut self.stream.first);
        loop {
            let events = splitter.push(&next);
            let has_events = !events.is_empty();
            forwarded.events += events.iter().filter(|event| event.data.is_some()).count() as u32;
            self.note_progress(forwarded.events, &mut mark);
            self.check_limits(&splitter, events.len(), forwarded, &mut held)?;
            self.forward_events(events, chunks, forwarded).await?;
            if has_events {
                // The time in which the client did not read is not the endpoint's silence.
                last_event_at = self.proxy.clock.now();
            }
            next = match self.next_bytes(chunks, last_event_at).await? {
                Some(bytes) => bytes,
                None if splitter.is_empty() => return Ok(()),
                None => return Err(StreamEnd::Interrupted(CutReason::ConnectionLost)),
            };
        }
    }

    /// Fails if the stream has become larger than it may.
    fn check_limits(
        &mut self, splitter: &Splitter, events: usize, forwarded: &Forwarded, held: &mut HeldBytes,
    ) -> Result<(), CutReason> {
        if splitter.is_over_limit() {
            return Err(CutReason::NoWholeUnit);
        }
        if u64::from(forwarded.events) > self.call_sender.call.events_max() {
            return Err(CutReason::TooManyEvents);
        }
        self.stream.body.charge(events * EVENT_COST_BYTES)?;
        held.resize(splitter.held_bytes() + forwarded.output.capacity())?;
        Ok(())
    }

    /// The next bytes of the stream, `None` at its end. Only whole events end the silence of an endpoint.
    async fn next_bytes(
        &mut self, chunks: &ChunkSender, last_event_at: Instant,
    ) -> Result<Option<Bytes>, StreamEnd> {
        let left = self.left();
        if left.is_zero() {
            return Err(StreamEnd::TimedOut);
        }
        let silence = self.proxy.clock.now().since(last_event_at);
        let timeout = self.silence_timeout().saturating_sub(silence).min(left);
        let read = tokio::select! {
            read = tokio::time::timeout(timeout, self.stream.body.next()) => read,
            () = chunks.closed() => return Err(StreamEnd::ClientGone),
        };
        match read {
            Ok(read) => Ok(read?),
            Err(_) if left <= timeout => Err(StreamEnd::TimedOut),
            Err(_) => Err(StreamEnd::Interrupted(CutReason::NotInTime)),
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
        &self, events: Vec<Event>, chunks: &ChunkSender, forwarded: &mut Forwarded,
    ) -> Result<(), StreamEnd> {
        if events.is_empty() {
            return Ok(());
        }
        let mut chunk = HeldBuffer::new(self.stream.body.holder());
        chunk.reserve(events.iter().map(|event| event.bytes.len()).sum()).map_err(CutReason::from)?;
        for event in events {
            chunk.push(&event.bytes).map_err(CutReason::from)?;
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
        match tokio::time::timeout(self.left(), chunks.send(chunk)).await {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(StreamEnd::TimedOut),
        }
    }
}
