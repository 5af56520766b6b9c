//! Accounting of memory that is held for others while they wait. Performs no I/O.

/// Memory of a waiting request besides its message, in bytes: its task, its answer and its place in tables.
pub const REQUEST_OVERHEAD_BYTES: usize = 2048;

/// Bytes in use out of a maximum. A single holder may exceed the maximum, so that nothing waits forever.
#[derive(Debug)]
pub struct ByteBudget {
    max_bytes: usize,
    used_bytes: usize,
}

impl ByteBudget {
    /// A budget of `max_bytes` bytes, none of them in use.
    pub fn new(max_bytes: usize) -> ByteBudget {
        ByteBudget { max_bytes, used_bytes: 0 }
    }

    /// Takes bytes if they are left; returns whether it did.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let has_room = self.used_bytes == 0 || self.used_bytes.saturating_add(bytes) <= self.max_bytes;
        if has_room {
            self.take(bytes);
        }
        has_room
    }

    /// Takes bytes whether they are left or not.
    pub fn take(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_add(bytes);
    }

    /// Gives bytes back that were taken.
    pub fn give_back(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
