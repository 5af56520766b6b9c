//! The book of ids: what became of flows, by the digests of their ids, for as long as anybody may ask.

use crate::note::Fate;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The digest of a flow's id. FNV-1a, 64 bits: of a million ids two share one with a chance of 3 in 100 million.
pub fn id_digest(id: &str) -> u64 {
    let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    id.bytes().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// The digest of a real server's lasting name.
pub fn name_digest(name: &str) -> u32 {
    let long = id_digest(name);
    (long ^ (long >> 32)) as u32
}

/// Fates by digest, the oldest forgotten first: by age, and by number. Memory grows with neither time nor traffic.
#[derive(Debug, Clone)]
pub struct Book {
    fates: HashMap<u64, Fate>,
    /// When each was first written, the oldest first.
    order: VecDeque<(Duration, u64)>,
    most: usize,
    memory: Duration,
    /// From when on nothing is missing.
    whole_since: Duration,
}

impl Book {
    /// A book that knows all from `now` on; at most so many ids, each for `memory`.
    pub fn new(most: usize, memory: Duration, now: Duration) -> Book {
        Book { fates: HashMap::new(), order: VecDeque::new(), most, memory, whole_since: now }
    }

    /// Nothing is missing from earlier on: what was written down then has been read back.
    pub fn whole_from(&mut self, at: Duration) {
        self.whole_since = at;
    }

    /// What became of one. A flow that was delivered or has ended never becomes less than that.
    pub fn write(&mut self, digest: u64, fate: Fate, now: Duration) {
        match self.fates.get_mut(&digest) {
            Some(old) if *old == Fate::Returned => *old = fate,
            Some(old) if *old == Fate::Taken && fate == Fate::Returned => *old = fate,
            Some(old) => *old = fate.max(*old),
            None => {
                self.fates.insert(digest, fate);
                self.order.push_back((now, digest));
            }
        }
        while self
            .order
            .front()
            .is_some_and(|(at, _)| self.order.len() > self.most || *at + self.memory < now)
        {
            if let Some((at, digest)) = self.order.pop_front() {
                self.fates.remove(&digest);
                self.whole_since = self.whole_since.max(at);
            }
        }
    }

    /// What became of one, as far as is known.
    pub fn fate(&self, digest: u64) -> Option<Fate> {
        self.fates.get(&digest).copied()
    }

    /// For how long back nothing is missing.
    pub fn whole_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.whole_since)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_book_stays_small_and_says_from_when_on_it_is_whole() {
        let s = Duration::from_secs;
        let mut book = Book::new(3, s(60), s(100));
        for n in 1..=3 {
            book.write(n, Fate::Taken, s(100 + n));
        }
        book.write(1, Fate::Delivered, s(105));
        book.write(1, Fate::Ended, s(106));
        book.write(2, Fate::Returned, s(106));
        assert_eq!([book.fate(1), book.fate(2)], [Some(Fate::Delivered), Some(Fate::Returned)]);
        book.write(2, Fate::Taken, s(107));
        assert_eq!((book.fate(2), book.whole_for(s(110))), (Some(Fate::Taken), s(10)));
        book.write(4, Fate::Taken, s(110));
        assert_eq!((book.fate(1), book.whole_for(s(110))), (None, s(9)));
        book.write(5, Fate::Taken, s(169));
        assert_eq!([book.fate(2), book.fate(3), book.fate(4)], [None, None, Some(Fate::Taken)]);
    }
}
