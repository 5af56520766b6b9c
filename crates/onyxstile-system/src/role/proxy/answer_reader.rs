//! Reads the body of an endpoint's answer, frame by frame, within the limits of one answer and of the process.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::cut_offs::CutReason;
use crate::answer_memory::{AnswerMemory, HeldBuffer, HeldBytes, MemoryExhausted, SMALL_ANSWER_BYTES};
use crate::clock::{Instant, SteadyClock};
use crate::read_pace::ReadPace;
use crate::role::metered_socket::ReadMeter;

/// Cost of one frame besides its bytes, in bytes: the work and the bookkeeping that a chunk takes, however short it is.
const FRAME_COST_BYTES: usize = 128;
/// Cost of one event besides its bytes, in bytes.
pub(super) const EVENT_COST_BYTES: usize = 64;

/// What all answers of a process share.
pub(super) struct AnswerLimits {
    memory: Arc<AnswerMemory>,
    pace: RefCell<ReadPace>,
    clock: SteadyClock,
}

impl AnswerLimits {
    /// Limits for a process with this memory limit, in bytes.
    pub(super) fn new(clock: SteadyClock, memory_bytes: usize) -> Rc<AnswerLimits> {
        Rc::new(AnswerLimits { memory: AnswerMemory::new(memory_bytes), pace: RefCell::default(), clock })
    }

    /// Memory that answers take.
    pub(super) fn memory(&self) -> &Arc<AnswerMemory> {
        &self.memory
    }
}

impl From<MemoryExhausted> for CutReason {
    fn from(_: MemoryExhausted) -> CutReason {
        CutReason::NoMemory
    }
}

/// Body of an answer.
pub(super) struct AnswerReader {
    limits: Rc<AnswerLimits>,
    body: Incoming,
    meter: Arc<ReadMeter>,
    cost_bytes: usize,
    /// Time before which nothing more is read.
    paused_until: Instant,
}

impl AnswerReader {
    /// A body whose head has been received on a connection with this meter. A told length over the limit is refused before
    /// anything is read.
    pub(super) fn new(
        limits: &Rc<AnswerLimits>, body: Incoming, meter: &Arc<ReadMeter>,
    ) -> Result<AnswerReader, CutReason> {
        if body.size_hint().lower() > limits.memory.max_answer_bytes() as u64 {
            return Err(CutReason::TooLong);
        }
        meter.progress();
        let (limits, meter) = (limits.clone(), meter.clone());
        Ok(AnswerReader { limits, body, meter, cost_bytes: 0, paused_until: Instant::default() })
    }

    /// The next bytes, `None` at the end. Nothing is lost if the future is dropped before it completes.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, CutReason> {
        loop {
            self.pause().await;
            let frame = match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) if self.meter.is_exceeded() => return Err(CutReason::NoWholeUnit),
                Some(Err(_)) => return Err(CutReason::ConnectionLost),
                Some(Ok(frame)) => frame,
            };
            self.meter.progress();
            let data = frame.into_data().unwrap_or_default();
            self.charge(data.len() + FRAME_COST_BYTES)?;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Adds to the cost of the answer.
    pub(super) fn charge(&mut self, bytes: usize) -> Result<(), CutReason> {
        self.cost_bytes = self.cost_bytes.saturating_add(bytes);
        if self.cost_bytes > self.limits.memory.max_answer_bytes() {
            return Err(CutReason::TooLong);
        }
        if self.cost_bytes > SMALL_ANSWER_BYTES {
            let now = self.limits.clock.now();
            self.paused_until = now + self.limits.pace.borrow_mut().delay(now, bytes);
        }
        Ok(())
    }

    /// Reads the rest of the body.
    pub(super) async fn collect(&mut self) -> Result<Bytes, CutReason> {
        let mut collected = HeldBuffer::new(self.limits.memory.holder());
        while let Some(data) = self.next().await? {
            collected.push(&data)?;
        }
        Ok(collected.freeze())
    }

    /// A holder of the memory for what is kept of this answer.
    pub(super) fn holder(&self) -> HeldBytes {
        self.limits.memory.holder()
    }

    async fn pause(&self) {
        let left = self.paused_until.since(self.limits.clock.now());
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }
}
