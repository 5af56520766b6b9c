//! Memory of a process that is taken by answers of other processes until they have been passed on. Performs no I/O.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of answers that are held.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    used_bytes: Cell<usize>,
}

impl AnswerMemory {
    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// A holder of no bytes so far.
    pub fn holder(self: &Rc<AnswerMemory>) -> HeldBytes {
        HeldBytes { memory: self.clone(), bytes: 0 }
    }
}

/// Bytes in use by one holder. Dropping it gives them back.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<AnswerMemory>,
    bytes: usize,
}

impl HeldBytes {
    /// Adds bytes to those in use.
    pub fn add(&mut self, bytes: usize) {
        self.resize(self.bytes + bytes);
    }

    /// Changes the number of bytes in use.
    pub fn resize(&mut self, bytes: usize) {
        let used = &self.memory.used_bytes;
        used.set(used.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.resize(0);
    }
}
