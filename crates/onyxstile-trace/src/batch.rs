//! Events on their way to a file, encoded one behind the other.
//!
//! A batch holds two buffers, whatever the count of its events: none of them is allocated by itself, nor freed by
//! another thread than the one that made it.

use crate::about::{About, about_what};
use crate::events::Event;
use crate::events::event::What;
use crate::format::EVENT_MAX;
use prost::Message;

/// What a file's index has to know of an event: digests of its names, where it has them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct NameDigests {
    /// Of its destination.
    pub destination: Option<u32>,
    /// Of its customer.
    pub customer: Option<u32>,
}

impl NameDigests {
    /// Those of names.
    pub fn of(about: &About<'_>) -> NameDigests {
        let digest = |name: &str| (!name.is_empty()).then(|| crc32fast::hash(name.as_bytes()));
        NameDigests { destination: digest(about.destination), customer: digest(about.customer) }
    }
}

/// An event of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Encoded<'a> {
    /// When, by the clock of whoever made the batch, in microseconds.
    pub at_us: u64,
    /// Its names.
    pub names: NameDigests,
    /// The field `what` of [`Event`], encoded.
    pub body: &'a [u8],
}

#[derive(Debug, Clone, Copy)]
struct Head {
    at_us: u64,
    names: NameDigests,
    end: usize,
}

/// Events of one relay, in their order.
#[derive(Debug, Default, Clone)]
pub struct Batch {
    bytes: Vec<u8>,
    heads: Vec<Head>,
}

impl Batch {
    /// Appends an event. One that is too large to be an event is left out.
    pub fn push(&mut self, at_us: u64, what: &What) {
        let begin = self.bytes.len();
        what.encode(&mut self.bytes);
        // The time's field takes eleven bytes at most.
        if self.bytes.len() - begin > EVENT_MAX - 16 {
            self.bytes.truncate(begin);
            return;
        }
        let names = NameDigests::of(&about_what(Some(what)));
        self.heads.push(Head { at_us, names, end: self.bytes.len() });
    }

    /// Moves all events of another batch behind those of this one. The other keeps its buffers.
    pub fn append(&mut self, other: &mut Batch) {
        let before = self.bytes.len();
        self.bytes.extend(&other.bytes);
        self.heads.extend(other.heads.iter().map(|h| Head { end: h.end + before, ..*h }));
        other.clear();
    }

    /// Forgets all events and keeps the buffers.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.heads.clear();
    }

    /// Events in it.
    pub fn len(&self) -> usize {
        self.heads.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.heads.is_empty()
    }

    /// Its events.
    pub fn iter(&self) -> impl Iterator<Item = Encoded<'_>> {
        let mut begin = 0;
        self.heads.iter().map(move |head| {
            let body = &self.bytes[std::mem::replace(&mut begin, head.end)..head.end];
            Encoded { at_us: head.at_us, names: head.names, body }
        })
    }

    /// Its events, decoded.
    pub fn events(&self) -> impl Iterator<Item = Event> {
        self.iter().map(|e| Event { at_us: e.at_us, ..Event::decode(e.body).unwrap_or_default() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::events::{Flow, Sent, Taken};

    #[test]
    fn batches_give_back_what_was_put_in_also_appended() {
        let flow = |n: u64| {
            Some(Flow { number: n, class: "order".into(), customer: "c".into(), destination: n.to_string() })
        };
        let sent =
            |n: u64| What::Sent(Sent { flow: flow(n), server: "s".repeat(n as usize), ..Sent::default() });
        let (mut a, mut b) = (Batch::default(), Batch::default());
        for n in 0..50 {
            a.push(n * 7, &sent(n));
            b.push(n * 9, &What::Taken(Taken { flow: flow(n) }));
        }
        let huge = What::Sent(Sent { server: "x".repeat(EVENT_MAX), ..Sent::default() });
        a.push(1, &huge);
        a.append(&mut b);
        assert!(b.is_empty() && a.len() == 100);
        let expected =
            (0..50).map(|n| Event { at_us: n * 7, source: 0, what: Some(sent(n)) }).chain((0..50).map(|n| {
                Event { at_us: n * 9, source: 0, what: Some(What::Taken(Taken { flow: flow(n) })) }
            }));
        assert!(a.events().eq(expected));
        let digests: Vec<_> = a.iter().map(|e| e.names.destination).collect();
        assert_eq!(digests[3], Some(crc32fast::hash(b"3")));
        assert_eq!(digests[..50], digests[50..]);
    }
}
