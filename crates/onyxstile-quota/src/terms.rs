//! What an operator says of quotas: which customers have which, and which relays hold the rights.

use crate::rendezvous::{digest, mix};
use crate::unit::Measure;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// What becomes of what is handed in beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Beyond {
    /// It is rejected.
    Refuse,
    /// It is taken at the least rank while nobody else waits.
    Spare,
}

/// A customer's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// The customer's name.
    pub customer: String,
    /// The class that it is for; all of them together without.
    pub class: Option<String>,
    /// How much.
    pub measure: Measure,
    /// What becomes of more.
    pub beyond: Beyond,
}

impl Quota {
    /// Its name between relays, and in the journal.
    pub fn digest(&self) -> u64 {
        digest(&[&self.customer, self.class.as_deref().unwrap_or("")])
    }
}

/// All that is said of quotas, and which relay this is.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// A later version goes before an earlier one.
    pub version: u32,
    /// The relays that hold rights, by their places in the fleet.
    pub members: Vec<u16>,
    /// Those that may still go by an earlier version.
    pub before: Vec<u16>,
    /// This relay's place.
    pub me: u16,
    /// Clocks of relays and clients differ by so much at most: of concern at the edges of spans.
    pub edge: Duration,
    /// The quotas.
    pub quotas: Vec<Quota>,
}

/// Why terms are none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TermsError {
    /// A customer, or a customer's class, has two quotas.
    Twice(String, Option<String>),
    /// No relay holds rights.
    Nobody,
    /// A relay is named twice.
    MemberTwice(u16),
    /// Version 0 is none; and without a version before it there can be nobody who goes by one.
    Version,
}

impl fmt::Display for TermsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TermsError::Twice(customer, None) => write!(f, "customer `{customer}` has two quotas"),
            TermsError::Twice(customer, Some(class)) => {
                write!(f, "customer `{customer}` has two quotas for class `{class}`")
            }
            TermsError::Nobody => f.write_str("`members` names no relay"),
            TermsError::MemberTwice(node) => write!(f, "relay {node} is named twice"),
            TermsError::Version => f.write_str("`version` has to be 1 or more, and 2 or more with `before`"),
        }
    }
}

impl std::error::Error for TermsError {}

impl Terms {
    /// Whether they can be gone by.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), TermsError> {
        let mut seen = BTreeSet::new();
        if let Some(q) = self.quotas.iter().find(|q| !seen.insert((&q.customer, &q.class))) {
            return Err(TermsError::Twice(q.customer.clone(), q.class.clone()));
        }
        for list in [&self.members, &self.before] {
            let mut seen = BTreeSet::new();
            if let Some(node) = list.iter().find(|n| !seen.insert(**n)) {
                return Err(TermsError::MemberTwice(*node));
            }
        }
        if self.members.is_empty() {
            return Err(TermsError::Nobody);
        }
        if self.version == 0 || self.version == 1 && !self.before.is_empty() {
            return Err(TermsError::Version);
        }
        Ok(())
    }

    /// A digest of all that has to be the same at every relay.
    pub fn digest(&self) -> u32 {
        let quota = |q: &Quota| {
            let measure = match q.measure {
                Measure::Rate { burst, micros } => mix(u64::from(burst)) ^ mix(micros),
                Measure::Span { count, span } => mix(u64::from(count)) ^ mix(span.length().as_secs() << 32),
            };
            mix(q.digest() ^ measure)
        };
        let quotas = self.quotas.iter().map(quota).fold(u64::from(self.version), |a, b| a ^ b);
        let members =
            self.members.iter().map(|m| mix(0x6d65 ^ mix(u64::from(*m)))).fold(0, |a: u64, b| a ^ b);
        mix(quotas ^ members) as u32
    }
}
