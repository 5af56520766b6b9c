//! The index: where blocks are, when their events were, and whose.

use crate::batch::NameDigests;
use crate::events::{BlockNames, TimeIndex};
use prost::Message;
use std::collections::BTreeSet;

/// Names of a block that are listed; with more, any may be in it.
const NAMES_MAX: usize = 128;

/// What the index says of a block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Where it begins.
    pub offset: u64,
    /// Events in it.
    pub events: u32,
    /// Earliest and latest time, in microseconds since the file's start.
    pub times: (u64, u64),
    /// Where its names are in their section.
    pub names: usize,
}

/// Whose the events of a block are.
#[derive(Debug, Default, Clone)]
pub struct Gathered {
    destinations: BTreeSet<u32>,
    customers: BTreeSet<u32>,
    times: Option<(u64, u64)>,
}

impl Gathered {
    /// An event is in the block.
    pub fn add(&mut self, at: u64, names: NameDigests) {
        let (first, last) = self.times.unwrap_or((at, at));
        self.times = Some((first.min(at), last.max(at)));
        // Beyond the bound nothing more is kept: that there are too many is known then.
        for (set, name) in
            [(&mut self.destinations, names.destination), (&mut self.customers, names.customer)]
        {
            if let Some(digest) = name.filter(|_| set.len() <= NAMES_MAX) {
                set.insert(digest);
            }
        }
    }

    /// Earliest and latest time.
    pub fn times(&self) -> (u64, u64) {
        self.times.unwrap_or_default()
    }

    fn names(&self) -> BlockNames {
        let steps = |set: &BTreeSet<u32>| {
            let mut before = 0;
            let listed = if set.len() > NAMES_MAX { None } else { Some(set) };
            let steps = listed.into_iter().flatten().map(|n| n - std::mem::replace(&mut before, *n));
            steps.collect::<Vec<_>>()
        };
        BlockNames {
            destinations: steps(&self.destinations),
            customers: steps(&self.customers),
            any_destination: self.destinations.len() > NAMES_MAX,
            any_customer: self.customers.len() > NAMES_MAX,
        }
    }
}

/// Collects the index while blocks are written.
#[derive(Debug, Default)]
pub struct Collector {
    times: TimeIndex,
    names: Vec<u8>,
    offset: u64,
    first: u64,
    names_at: u32,
}

impl Collector {
    /// A block was written.
    pub fn add(&mut self, offset: u64, events: u32, of: &Gathered) {
        let (first, last) = of.times();
        let t = &mut self.times;
        t.offset_step.push(offset - std::mem::replace(&mut self.offset, offset));
        t.events.push(events);
        t.first_step.push((first as i64).wrapping_sub(std::mem::replace(&mut self.first, first) as i64));
        t.span.push(last - first);
        let at = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        t.names_step.push(at - std::mem::replace(&mut self.names_at, at));
        self.names.extend(of.names().encode_length_delimited_to_vec());
    }

    /// The two sections: times and names.
    pub fn sections(&self) -> (Vec<u8>, Vec<u8>) {
        (self.times.encode_to_vec(), self.names.clone())
    }
}

/// Reads the section of times. None if it is spoilt or its lists do not fit one another.
pub fn read_times(section: &[u8]) -> Option<Vec<Entry>> {
    let t = TimeIndex::decode(section).ok()?;
    let count = t.offset_step.len();
    let lists = [t.events.len(), t.first_step.len(), t.span.len(), t.names_step.len()];
    if lists.iter().any(|l| *l != count) {
        return None;
    }
    let (mut offset, mut first, mut names) = (0u64, 0i64, 0usize);
    let mut entries = Vec::with_capacity(count);
    for n in 0..count {
        offset = offset.checked_add(t.offset_step[n])?;
        first = first.checked_add(t.first_step[n])?;
        names = names.checked_add(t.names_step[n] as usize)?;
        let from = u64::try_from(first).ok()?;
        let times = (from, from.checked_add(t.span[n])?);
        entries.push(Entry { offset, events: t.events[n], times, names });
    }
    Some(entries)
}

/// Whether names may be in a block by what the section of names says; an empty name asks for nothing.
pub fn may_hold(section: &[u8], entry: &Entry, destination: &str, customer: &str) -> bool {
    let Some(names) = section.get(entry.names..).and_then(|s| BlockNames::decode_length_delimited(s).ok())
    else {
        return true;
    };
    let among = |steps: &[u32], name: &str| {
        let (wanted, mut at) = (crc32fast::hash(name.as_bytes()), 0u32);
        steps.iter().any(|s| {
            at = at.wrapping_add(*s);
            at == wanted
        })
    };
    (destination.is_empty() || names.any_destination || among(&names.destinations, destination))
        && (customer.is_empty() || names.any_customer || among(&names.customers, customer))
}
