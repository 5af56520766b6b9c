//! What there is and where, in memory.
//!
//! A record takes 24 bytes, 8 a facet and 16 more for its place in each facet's order, in trees that are two thirds
//! full: about 55 bytes without facets, and 230 with four (docs/design/store.md has what was measured).

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Where a value is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Its segment; numbers wrap, which no folder lives to see.
    pub segment: u32,
    pub at: u32,
    pub length: u32,
}

#[derive(Debug)]
struct Entry<const F: usize> {
    place: Place,
    facets: Option<Box<[u64; F]>>,
}

/// Keys, places and facets.
#[derive(Debug)]
pub(crate) struct Index<const F: usize> {
    entries: BTreeMap<u64, Entry<F>>,
    orders: [BTreeSet<(u64, u64)>; F],
    /// Bytes of values.
    bytes: u64,
}

impl<const F: usize> Index<F> {
    pub(crate) fn new() -> Index<F> {
        Index { entries: BTreeMap::new(), orders: std::array::from_fn(|_| BTreeSet::new()), bytes: 0 }
    }

    pub(crate) fn put(&mut self, key: u64, place: Place, facets: Option<[u64; F]>) {
        self.delete(key);
        self.bytes += u64::from(place.length);
        for (order, facet) in self.orders.iter_mut().zip(facets.iter().flatten()) {
            order.insert((*facet, key));
        }
        self.entries.insert(key, Entry { place, facets: facets.map(Box::new) });
    }

    pub(crate) fn delete(&mut self, key: u64) {
        let Some(entry) = self.entries.remove(&key) else { return };
        self.bytes -= u64::from(entry.place.length);
        for (order, facet) in self.orders.iter_mut().zip(entry.facets.iter().flat_map(|f| f.iter())) {
            order.remove(&(*facet, key));
        }
    }

    pub(crate) fn place(&self, key: u64) -> Option<Place> {
        self.entries.get(&key).map(|e| e.place)
    }

    pub(crate) fn facets(&self, key: u64) -> Option<&[u64; F]> {
        self.entries.get(&key)?.facets.as_deref()
    }

    pub(crate) fn keys(&self, range: RangeInclusive<u64>) -> impl DoubleEndedIterator<Item = u64> + '_ {
        self.entries.range(range).map(|(key, _)| *key)
    }

    pub(crate) fn by(
        &self, facet: usize, range: RangeInclusive<u64>,
    ) -> impl DoubleEndedIterator<Item = (u64, u64)> + '_ {
        self.orders[facet].range((*range.start(), 0)..=(*range.end(), u64::MAX)).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}
