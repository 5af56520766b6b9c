//! Kept messages in a store: two records each, what changes and what does not.

use onyxstile_store::disk::{Disk, OsDisk};
use onyxstile_store::{Change, Options, Report, Store};
use onyxstile_undelivered::{Body, Kept, State};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// By what messages are found.
const DESTINATION: usize = 0;
const CUSTOMER: usize = 1;
const FAILED: usize = 2;
const STATE: usize = 3;
/// Facets of a record.
pub const FACETS: usize = 4;
/// Messages that one look takes in at most, found or not.
const LOOKED_AT: usize = 4096;

/// Which messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// These alone; none named: all.
    pub keys: Vec<u64>,
    /// Of this destination, as the operator writes it.
    pub destination: Option<u64>,
    /// Of this customer.
    pub customer: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// In this state.
    pub state: Option<String>,
    /// Of this id on the wire.
    pub id: Option<String>,
    /// That failed from this time on, Unix time in milliseconds.
    pub from_ms: Option<u64>,
    /// And up to this one.
    pub to_ms: Option<u64>,
}

/// Kept messages.
#[derive(Debug)]
pub struct Shelf<D: Disk = OsDisk> {
    /// Where they are.
    pub store: Store<D, FACETS>,
}

/// What stands for a customer in the store: 64 bits that names of customers, which come from the settings, do not
/// share by chance.
fn digest(name: &str) -> u64 {
    let low = u64::from(crc32fast::hash(name.as_bytes()));
    let mut again = crc32fast::Hasher::new_with_initial(0x6f78_7374);
    again.update(name.as_bytes());
    low | u64::from(again.finalize()) << 32 ^ name.len() as u64
}

/// What is written of a message that is kept, or has changed.
pub fn put(kept: &Kept) -> Change<FACETS> {
    let facets = [kept.destination, digest(&kept.customer), kept.failed.wall_ms, kept.state as u64];
    Change::Put { key: 2 * kept.key, facets: Some(facets), value: kept.encode_to_vec() }
}

/// What is written once.
pub fn put_body(key: u64, body: &Body) -> Change<FACETS> {
    Change::Put { key: 2 * key + 1, facets: None, value: body.encode_to_vec() }
}

/// What takes a message away.
pub fn delete(key: u64) -> [Change<FACETS>; 2] {
    [Change::Delete(2 * key), Change::Delete(2 * key + 1)]
}

impl Shelf {
    /// Opens it to read, whoever else writes it.
    ///
    /// # Errors
    /// There is none, or it cannot be read.
    pub fn read_only(folder: &Path) -> onyxstile_store::Result<(Shelf, Report)> {
        let options = Options { verify: true, ..super::settings::store_options(u64::MAX / 2) };
        let (store, report) = Store::open_to_read(OsDisk::read_only(folder), options)?;
        Ok((Shelf { store }, report))
    }
}

impl<D: Disk> Shelf<D> {
    /// Whether a message is kept.
    pub fn has(&self, key: u64) -> bool {
        self.store.has(2 * key)
    }

    /// A message; what is wrong with it where it cannot be read.
    ///
    /// # Errors
    /// The disk's word, or that it is no message.
    pub fn get(&self, key: u64) -> Result<Option<Kept>, String> {
        let value = self.store.get(2 * key).map_err(|e| e.to_string())?;
        value.map(|v| Kept::decode(&v[..]).map_err(|e| e.to_string())).transpose()
    }

    /// Its body.
    ///
    /// # Errors
    /// As [`Shelf::get`].
    pub fn body(&self, key: u64) -> Result<Option<Body>, String> {
        let value = self.store.get(2 * key + 1).map_err(|e| e.to_string())?;
        value.map(|v| Body::decode(&v[..]).map_err(|e| e.to_string())).transpose()
    }

    /// All keys.
    pub fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.store.keys(0..=u64::MAX).filter(|k| k % 2 == 0).map(|k| k / 2)
    }

    /// Messages by their states.
    pub fn by_state(&self, state: State) -> impl Iterator<Item = u64> + '_ {
        let state = state as u64;
        self.store.by(STATE, state..=state).map(|(_, key)| key / 2)
    }

    /// Some messages after a key, in the order of keys, and the key to go on after if there may be more. One look takes
    /// in only so many, so that it is over soon.
    pub fn look(&self, filter: &Filter, after: Option<u64>, most: usize) -> (Vec<Kept>, Option<u64>) {
        let state = filter.state.as_deref().and_then(State::named).map(|s| s as u64);
        let customer = filter.customer.as_deref().map(digest);
        let fits = |facets: &[u64; FACETS]| {
            filter.destination.is_none_or(|d| {
                d == crate::net::mail::written(crate::api::DestinationId(facets[DESTINATION]))
            }) && customer.is_none_or(|c| c == facets[CUSTOMER])
                && state.is_none_or(|s| s == facets[STATE])
                && filter.from_ms.is_none_or(|t| facets[FAILED] >= t)
                && filter.to_ms.is_none_or(|t| facets[FAILED] <= t)
        };
        let mut keys = filter.keys.clone();
        keys.sort_unstable();
        keys.dedup();
        let from = after.map_or(0, |a| a + 1);
        let candidates: Box<dyn Iterator<Item = u64>> = if !keys.is_empty() {
            Box::new(keys.into_iter().filter(|k| *k >= from))
        } else if let Some(state) = state.filter(|s| *s != State::Waiting as u64) {
            Box::new(self.store.by(STATE, state..=state).map(|(_, k)| k / 2).filter(move |k| *k >= from))
        } else if let Some(customer) = customer {
            Box::new(
                self.store.by(CUSTOMER, customer..=customer).map(|(_, k)| k / 2).filter(move |k| *k >= from),
            )
        } else {
            Box::new(self.store.keys(2 * from..=u64::MAX).filter(|k| k % 2 == 0).map(|k| k / 2))
        };
        let (mut found, mut last) = (Vec::new(), None);
        for (n, key) in candidates.enumerate() {
            if found.len() >= most || n >= LOOKED_AT {
                return (found, last);
            }
            last = Some(key);
            if !self.store.facets(2 * key).is_some_and(&fits) {
                continue;
            }
            let Ok(Some(kept)) = self.get(key) else { continue };
            if filter.class.as_ref().is_none_or(|c| *c == kept.class)
                && filter.id.as_ref().is_none_or(|i| *i == kept.id)
            {
                found.push(kept);
            }
        }
        (found, None)
    }
}
