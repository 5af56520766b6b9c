//! Event counters that are told apart by the values of a label.

use std::cell::Cell;

/// One counter for each value of a label; the values have fixed positions.
#[derive(Debug)]
pub(super) struct LabelCounts<const N: usize> {
    values: [&'static str; N],
    counts: [Cell<u64>; N],
}

impl<const N: usize> LabelCounts<N> {
    /// Counters at zero for these label values.
    pub(super) fn new(values: [&'static str; N]) -> LabelCounts<N> {
        LabelCounts { values, counts: [const { Cell::new(0) }; N] }
    }

    /// Counts an event of the value at `position`.
    pub(super) fn add(&self, position: usize) {
        let count = &self.counts[position];
        count.set(count.get() + 1);
    }

    /// Number of events of the value at `position`.
    pub(super) fn get(&self, position: usize) -> u64 {
        self.counts[position].get()
    }

    /// All label values with their numbers of events.
    pub(super) fn all(&self) -> Vec<(&'static str, u64)> {
        self.values.into_iter().zip(&self.counts).map(|(value, count)| (value, count.get())).collect()
    }
}
