//! One model endpoint in steps: between two steps of all running requests a piece of the waiting prompts is read.

use std::collections::VecDeque;

use onyxstile_system::load::Load;
use onyxstile_system::prefix::{Cache, Part, tokens};

use super::shape::EngineShape;

/// What an engine is asked for.
pub(super) struct Job {
    pub(super) id: u64,
    pub(super) parts: Vec<Part>,
    pub(super) tokens_out: u32,
}

struct Reading {
    job: Job,
    unread: f64,
}

struct Running {
    job: Job,
    written: u32,
}

/// What a step has brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    /// The first token.
    First(u64),
    /// One more event.
    Event(u64),
    /// The last event.
    Last(u64),
}

/// One engine.
pub(super) struct Engine {
    shape: EngineShape,
    speed: f64,
    waiting: VecDeque<Job>,
    reading: VecDeque<Reading>,
    running: Vec<Running>,
    cache: Cache,
    finished: Vec<Reading>,
    /// Whether a step is under way.
    pub(super) is_at_work: bool,
}

impl Engine {
    pub(super) fn new(shape: EngineShape, speed: f64) -> Engine {
        Engine {
            shape,
            speed,
            waiting: VecDeque::new(),
            reading: VecDeque::new(),
            running: Vec::new(),
            cache: Cache::default(),
            finished: Vec::new(),
            is_at_work: false,
        }
    }

    pub(super) fn load(&self) -> Load {
        let waiting = self.waiting.len() + self.reading.len() + self.finished.len();
        Load { running: self.running.len() as u32, waiting: waiting as u32 }
    }

    pub(super) fn take(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// The client is gone.
    pub(super) fn cancel(&mut self, id: u64) {
        self.waiting.retain(|job| job.id != id);
        self.reading.retain(|reading| reading.job.id != id);
        self.finished.retain(|reading| reading.job.id != id);
        self.running.retain(|running| running.job.id != id);
    }

    /// Begins a step, and says how long it takes, in ms; `None` where there is nothing to do.
    pub(super) fn begin_step(&mut self) -> Option<f64> {
        while self.running.len() + self.reading.len() < self.shape.batch {
            let Some(job) = self.waiting.pop_front() else { break };
            let unread = (tokens(&job.parts) - self.cache.held(&job.parts)) as f64;
            self.reading.push_back(Reading { job, unread });
        }
        if self.running.is_empty() && self.reading.is_empty() {
            self.is_at_work = false;
            return None;
        }
        let mut room = self.shape.chunk;
        while room > 0.0 {
            let Some(first) = self.reading.front_mut() else { break };
            let piece = first.unread.min(room);
            first.unread -= piece;
            room -= piece;
            if first.unread > 0.0 {
                break;
            }
            self.finished.extend(self.reading.pop_front());
        }
        self.is_at_work = true;
        let context: u64 = self.running.iter().map(|running| tokens(&running.job.parts)).sum();
        let step = self.shape.step_ms
            + self.shape.step_ms_per_slot * self.running.len() as f64
            + self.shape.context_ms_per_k * context as f64 / 1000.0;
        Some((step + (self.shape.chunk - room) / self.shape.read_per_ms) * self.speed)
    }

    /// Ends the step that was begun.
    pub(super) fn end_step(&mut self) -> Vec<Written> {
        let mut written = Vec::new();
        for running in &mut self.running {
            running.written += 1;
            if running.written >= running.job.tokens_out {
                written.push(Written::Last(running.job.id));
            } else if running.written % self.shape.stride == 0 {
                written.push(Written::Event(running.job.id));
            }
        }
        self.running.retain(|running| running.written < running.job.tokens_out);
        for reading in self.finished.drain(..) {
            self.cache.note(&reading.job.parts, self.shape.memory_tokens);
            written.push(Written::First(reading.job.id));
            self.running.push(Running { job: reading.job, written: 1 });
        }
        written
    }
}
