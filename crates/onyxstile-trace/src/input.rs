//! Going through a file: all of it, or what is asked for.

use crate::Error;
use crate::about::{NAMES, about, kind};
use crate::events::Event;
use crate::events::event::What;
use crate::index::{self, Entry};
use crate::reader::{Block, Reader};
use std::collections::BTreeSet;
use std::io::{Read, Seek};

/// Which events are asked for; the default asks for all.
#[derive(Debug, Default, Clone)]
pub struct Selection {
    /// Wall time from which on, in microseconds since 1970.
    pub from: Option<u64>,
    /// Wall time up to which, itself left out.
    pub to: Option<u64>,
    /// Of this destination.
    pub destination: String,
    /// Of this customer.
    pub customer: String,
    /// Of the flow of this number.
    pub flow: Option<u64>,
    /// Of flows with this id.
    pub id: String,
    /// Of these names: places in [`NAMES`]; empty: of any.
    pub events: BTreeSet<usize>,
}

impl Selection {
    /// Asks for events of a name.
    ///
    /// # Errors
    /// No event has it.
    pub fn add_event(&mut self, name: &str) -> Result<(), Error> {
        let place = NAMES.iter().position(|n| *n == name);
        self.events.insert(place.ok_or_else(|| Error::Asked(format!("no event is named `{name}`")))?);
        Ok(())
    }

    /// Whether all is asked for.
    pub fn is_all(&self) -> bool {
        self.from.is_none() && self.to.is_none() && self.of_whom_ever() && self.events.is_empty()
    }

    fn of_whom_ever(&self) -> bool {
        self.destination.is_empty() && self.customer.is_empty() && self.flow.is_none() && self.id.is_empty()
    }

    /// Whether an index can tell which blocks hold what is asked for.
    fn by_index(&self) -> bool {
        self.from.is_some() || self.to.is_some() || !self.destination.is_empty() || !self.customer.is_empty()
    }

    /// Whether an event of a file that starts at `start` (wall time, microseconds) is asked for. `with_id` holds the
    /// flows that were found so far to have the id.
    fn wants(&self, start: u64, event: &Event, with_id: &mut BTreeSet<u64>) -> bool {
        let at = start.saturating_add(event.at_us);
        if self.from.is_some_and(|from| at < from) || self.to.is_some_and(|to| at >= to) {
            return false;
        }
        if !self.of_whom_ever() {
            let its = about(event);
            if !self.id.is_empty() {
                let (id, number) = match &event.what {
                    Some(What::Offered(e)) => (e.id.as_str(), its.flow),
                    Some(What::Recovered(e)) => (e.id.as_str(), its.flow),
                    Some(What::TurnedDown(e)) if !e.id.is_empty() => (e.id.as_str(), its.flow),
                    _ => ("", None),
                };
                // A number that was given to a flow turned down is another's later.
                if let Some(number) = number {
                    if id == self.id {
                        with_id.insert(number);
                    } else {
                        with_id.remove(&number);
                    }
                }
                if !its.flow.is_some_and(|n| with_id.contains(&n)) {
                    return false;
                }
            }
            if !self.destination.is_empty() && its.destination != self.destination
                || !self.customer.is_empty() && its.customer != self.customer
                || self.flow.is_some_and(|n| its.flow != Some(n))
            {
                return false;
            }
        }
        self.events.is_empty() || event.what.as_ref().is_some_and(|w| self.events.contains(&kind(w)))
    }
}

/// What is told while a file is read: its bytes, and how many are done.
pub type Progress<'a> = &'a mut dyn FnMut(u64, u64);

/// Where events go: their number, their encoded form, themselves.
pub type Taker<'a> = &'a mut dyn FnMut(u64, &[u8], Event) -> Result<(), Error>;

/// Hands on each event that is asked for, with its number and encoded form. Where the file has an index and a time,
/// a destination or a customer is asked for, only blocks that may hold it are read.
///
/// # Errors
/// The file cannot be read, or what it is handed to fails.
pub fn each<R: Read + Seek>(
    reader: &mut Reader<R>, wanted: &Selection, progress: Progress<'_>, to: Taker<'_>,
) -> Result<(), Error> {
    let start = reader.header().start_us;
    let chosen = match wanted.by_index() {
        true => reader.index(!wanted.destination.is_empty() || !wanted.customer.is_empty())?,
        false => None,
    };
    // Numbers already handed on: should the index turn out to be wrong, they do not come again.
    let mut from = 0;
    let mut with_id = BTreeSet::new();
    if let Some((entries, names)) = chosen {
        let window = (
            wanted.from.unwrap_or(0).saturating_sub(start),
            wanted.to.map_or(u64::MAX, |to| to.saturating_sub(start)),
        );
        let among = |e: &&Entry| {
            e.times.1 >= window.0
                && e.times.0 < window.1
                && index::may_hold(&names, e, &wanted.destination, &wanted.customer)
        };
        let entries: Vec<Entry> = entries.iter().filter(among).cloned().collect();
        let mut wrong = None;
        for entry in &entries {
            let Some(block) = reader.block(entry)? else {
                wrong = Some(entry.offset);
                break;
            };
            hand_on(&block, &mut from, (start, wanted, &mut with_id), to)?;
            progress(reader.progress().0, entry.offset);
        }
        match wrong {
            None => return Ok(()),
            Some(offset) => reader.distrust_index(offset),
        }
    }
    while let Some(block) = reader.next_block()? {
        hand_on(&block, &mut from, (start, wanted, &mut with_id), to)?;
        let (length, at) = reader.progress();
        progress(length, at);
    }
    Ok(())
}

fn hand_on(
    block: &Block, from: &mut u64, (start, wanted, with_id): (u64, &Selection, &mut BTreeSet<u64>),
    to: Taker<'_>,
) -> Result<(), Error> {
    for (number, encoded, event) in block.both() {
        if number >= *from && wanted.wants(start, &event, with_id) {
            to(number, encoded, event)?;
        }
    }
    *from = (*from).max(block.head.first + u64::from(block.head.events));
    Ok(())
}
