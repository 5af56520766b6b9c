//! Leases on turns: how long a turn is kept because later turns continue it. Performs no I/O.
//!
//! A turn is kept together with its chain for the retention time after its end, so each turn prolongs all its ancestors.
//! Every turn starts with a lease of [`INITIAL_PERIODS`] retention times. A turn whose ancestors have less than one
//! retention time left renews the leases that would soon have to be renewed as well. A renewal has a reserve that grows
//! with the turn's age, so the number of renewals of a turn grows with the logarithm of its conversation's length. A turn
//! that nothing continues any more is kept longer than promised by that reserve at most.
//!
//! When a lease ends follows from the chain alone: a turn's end is only reported to the client once its renewals are on
//! a quorum, so relays derive them from the end times of the chain's turns. Storage machines keep each turn somewhat
//! longer, which covers clock differences between relays.

use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use super::Turn;

/// Length of a turn's first lease in retention times: one that is promised, and one before the first renewal is due.
const INITIAL_PERIODS: u32 = 2;
/// A renewal's reserve is the age of the turn divided by this number, but at least one retention time.
const RESERVE_AGE_DIVISOR: u64 = 2;
/// Maximum reserve of a renewal, in ms. A turn with a wrong end time would otherwise be kept for decades.
const RESERVE_MAX_MS: u64 = 3_600_000;

/// A lease on a turn, which prolongs an earlier lease.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TurnLease {
    /// Request id of the turn.
    pub turn: String,
    /// End of the lease, in ms of wall-clock time at the relay. Of two leases on a turn, the one that ends later applies.
    pub until_ms: u64,
    /// Length of the lease from its receipt, in ms.
    pub duration_ms: u64,
}

/// Length of a turn's first lease.
pub fn initial_lease(retention: Duration) -> Duration {
    retention * INITIAL_PERIODS
}

/// Renewals that a turn needs which continues `chain` (oldest first) and ended at `ended_ms`.
pub fn renewals(chain: &[Rc<Turn>], ended_ms: u64, retention_ms: u64) -> Vec<TurnLease> {
    ChainLeases::of(chain).renew(ended_ms, retention_ms)
}

/// End of the lease that ends first, in ms of wall-clock time. After that, storage machines may have dropped a turn of the
/// chain. `None` if the chain is empty.
pub fn first_lease_end_ms(chain: &[Rc<Turn>]) -> Option<u64> {
    ChainLeases::of(chain).first_end_ms()
}

struct HeldLease<'a> {
    turn: &'a Turn,
    until_ms: u64,
}

/// Leases on the turns of a chain.
struct ChainLeases<'a> {
    leases: Vec<HeldLease<'a>>,
}

impl<'a> ChainLeases<'a> {
    /// Repeats the renewals of all turns of a chain.
    fn of(chain: &'a [Rc<Turn>]) -> ChainLeases<'a> {
        let mut chain_leases = ChainLeases { leases: Vec::with_capacity(chain.len()) };
        let mut first_end_ms = u64::MAX;
        for turn in chain {
            if first_end_ms < turn.ended_ms.saturating_add(turn.retention_ms) {
                chain_leases.renew(turn.ended_ms, turn.retention_ms);
                first_end_ms = chain_leases.first_end_ms().unwrap_or(u64::MAX);
            }
            let initial_ms = turn.retention_ms.saturating_mul(u64::from(INITIAL_PERIODS));
            let until_ms = turn.ended_ms.saturating_add(initial_ms);
            chain_leases.leases.push(HeldLease { turn, until_ms });
            first_end_ms = first_end_ms.min(until_ms);
        }
        chain_leases
    }

    fn first_end_ms(&self) -> Option<u64> {
        self.leases.iter().map(|lease| lease.until_ms).min()
    }

    /// Renews the leases for a turn that ended at `ended_ms`, if one of them ends too early.
    fn renew(&mut self, ended_ms: u64, retention_ms: u64) -> Vec<TurnLease> {
        let promised_ms = ended_ms.saturating_add(retention_ms);
        if self.first_end_ms().is_none_or(|first| first >= promised_ms) {
            return Vec::new();
        }
        // Those that are due within the next retention time are renewed as well, so that renewals come in batches.
        let due_before_ms = promised_ms.saturating_add(retention_ms);
        let due = self.leases.iter_mut().filter(|lease| lease.until_ms < due_before_ms);
        due.map(|lease| lease.renew(ended_ms, retention_ms)).collect()
    }
}

impl HeldLease<'_> {
    fn renew(&mut self, ended_ms: u64, retention_ms: u64) -> TurnLease {
        let age_ms = ended_ms.saturating_sub(self.turn.ended_ms);
        let reserve_ms = (age_ms / RESERVE_AGE_DIVISOR).min(RESERVE_MAX_MS).max(retention_ms);
        let duration_ms = retention_ms.saturating_add(reserve_ms);
        self.until_ms = ended_ms.saturating_add(duration_ms);
        TurnLease { turn: self.turn.id.clone(), until_ms: self.until_ms, duration_ms }
    }
}
