//! What relays say to each other of quotas: bundles of short sentences, each in a datagram of the fleet's.

use serde::{Deserialize, Serialize};

/// Bytes of a bundle, at most: what a datagram holds beside its sender.
pub const BUNDLE_MAX: usize = 200;

/// A sentence. Quotas are named by their digests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Say {
    /// Who asks lacks so many units, of a quota for which it is handed in so many messages a thousand seconds.
    Ask {
        /// Of this quota.
        quota: u64,
        /// The question's number; the loan has it too.
        nonce: u64,
        /// Units lacked.
        lacks: u32,
        /// Units that it has, but for those of whom it asks.
        held: u32,
        /// Tokens that it could take alone: more would be lost there.
        room: u32,
        /// Messages in 1,000 s.
        demand: u32,
        /// An earlier loan that this one is to go on for.
        renews: Option<u64>,
    },
    /// These are yours: of a rate for a loan's time from your question on, or no units, and tokens alone; of a span for good.
    Grant {
        /// Of this quota.
        quota: u64,
        /// The question's number.
        nonce: u64,
        /// Units.
        units: u32,
        /// Tokens that go along, in parts; of a span, the span's number.
        with: u64,
    },
    /// None now. It is of no use to ask again within this time.
    Deny {
        /// Of this quota.
        quota: u64,
        /// The question's number.
        nonce: u64,
        /// Milliseconds.
        wait_ms: u32,
    },
    /// Of this loan so many units are left; the others are yours again, with these tokens.
    Repay {
        /// Of this quota.
        quota: u64,
        /// The loan.
        nonce: u64,
        /// Units left of it.
        left: u32,
        /// Tokens that come back, in parts.
        tokens: u64,
    },
    /// Others want of what you have by this loan: keep so many at most.
    Recall {
        /// Of this quota.
        quota: u64,
        /// The loan.
        nonce: u64,
        /// Units that are yours by the division.
        keep: u32,
    },
}

/// Sentences, and by which terms their sender goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The version of its terms.
    pub version: u32,
    /// A digest of them.
    pub terms: u32,
    /// It wants to hear the version of whoever reads this.
    pub hello: bool,
    /// What is said.
    pub says: Vec<Say>,
}

impl Bundle {
    /// The sentences as bytes, as few bundles as hold them; one at least.
    pub fn write(version: u32, terms: u32, hello: bool, says: &[Say]) -> Vec<Vec<u8>> {
        let bundle = |says: &[Say]| {
            let bundle = Bundle { version, terms, hello, says: says.to_vec() };
            postcard::to_stdvec(&bundle).unwrap_or_default()
        };
        let (mut out, mut from) = (Vec::new(), 0);
        for to in 1..=says.len() {
            if bundle(&says[from..to]).len() > BUNDLE_MAX {
                out.push(bundle(&says[from..to - 1]));
                from = to - 1;
            }
        }
        out.push(bundle(&says[from..]));
        out
    }

    /// Reads a bundle; none if it cannot be understood, all of it.
    pub fn read(bytes: &[u8]) -> Option<Bundle> {
        if bytes.len() > BUNDLE_MAX {
            return None;
        }
        let (bundle, rest) = postcard::take_from_bytes::<Bundle>(bytes).ok()?;
        rest.is_empty().then_some(bundle)
    }
}
