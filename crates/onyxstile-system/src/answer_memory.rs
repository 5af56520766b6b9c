//! Memory of a process that is taken by answers of other processes, from their first byte until they have been passed on.
//! Performs no I/O.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Answers take at most 1 part in this many of the memory limit.
const BUDGET_DIVISOR: usize = 4;
/// One answer costs at most 1 part in this many of the memory limit.
const ANSWER_DIVISOR: usize = 16;
/// The part of the budget that is kept for small answers: 1 part in this many.
const RESERVE_DIVISOR: usize = 4;
/// Largest size of a small answer, in bytes.
pub const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// The budget has no bytes left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryExhausted;

/// Budget of a process for answers. A part of it is kept for small answers, so that large ones do not displace them.
#[derive(Debug)]
pub struct AnswerMemory {
    max_bytes: usize,
    max_answer_bytes: usize,
    used_bytes: AtomicUsize,
}

impl AnswerMemory {
    /// An unused budget for a process with this memory limit, in bytes.
    pub fn new(memory_bytes: usize) -> Arc<AnswerMemory> {
        Arc::new(AnswerMemory {
            max_bytes: memory_bytes / BUDGET_DIVISOR,
            max_answer_bytes: memory_bytes / ANSWER_DIVISOR,
            used_bytes: AtomicUsize::new(0),
        })
    }

    /// Bytes that all answers together may take.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Bytes that one answer may cost.
    pub fn max_answer_bytes(&self) -> usize {
        self.max_answer_bytes
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// A holder of no bytes so far.
    pub fn holder(self: &Arc<AnswerMemory>) -> HeldBytes {
        HeldBytes { memory: self.clone(), bytes: 0 }
    }

    /// Takes `more` bytes for a holder that then has `total`.
    fn take(&self, total: usize, more: usize) -> Result<(), MemoryExhausted> {
        let reserved = if total <= SMALL_ANSWER_BYTES { 0 } else { self.max_bytes / RESERVE_DIVISOR };
        let used = self.used_bytes().saturating_add(more);
        if used > self.max_bytes - reserved {
            return Err(MemoryExhausted);
        }
        self.used_bytes.store(used, Ordering::Relaxed);
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of the budget in use by one holder. Dropping it gives them back.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl HeldBytes {
    /// Changes the number of bytes in use. Without bytes left it stays as it is.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        if bytes > self.bytes {
            self.memory.take(bytes, bytes - self.bytes)?;
        } else {
            self.memory.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.give_back(self.bytes);
    }
}

/// Received bytes together with their part of the budget.
pub struct HeldBuffer {
    bytes: Vec<u8>,
    held: HeldBytes,
}

impl HeldBuffer {
    /// An empty buffer.
    pub fn new(held: HeldBytes) -> HeldBuffer {
        HeldBuffer { bytes: Vec::new(), held }
    }

    /// Makes room for `more` bytes behind those that it has.
    pub fn reserve(&mut self, more: usize) -> Result<(), MemoryExhausted> {
        let length = self.bytes.len() + more;
        if length > self.bytes.capacity() {
            self.held.resize(length)?;
            self.bytes.reserve_exact(more);
        }
        Ok(())
    }

    /// Appends bytes. The room at least doubles when it grows, so each byte is copied a constant number of times on average.
    pub fn push(&mut self, more: &[u8]) -> Result<(), MemoryExhausted> {
        if self.bytes.len() + more.len() > self.bytes.capacity() {
            self.reserve(more.len().max(self.bytes.len()))?;
        }
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    /// The bytes; the budget is given back with the last reference to them.
    pub fn freeze(self) -> bytes::Bytes {
        bytes::Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
