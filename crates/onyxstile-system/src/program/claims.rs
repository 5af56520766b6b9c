//! Claims on a program's budget: one per turn, charged at its maximum until it is settled. Performs no I/O.
//!
//! A storage machine returns open claims individually and settled claims as a sum with a digest, so that a reply does
//! not grow with the number of turns of a program. Replies with equal digests cover the same claims. If digests differ
//! and the sums together exceed the budget, all claims are requested.

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Claim of one turn on the budget of its program.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimEntry {
    /// Request id of the attempt.
    pub request: String,
    /// Maximum number of tokens that the turn may generate.
    pub max_tokens: u64,
    /// Number of tokens that the turn generated, once known.
    pub settled: Option<u64>,
}

impl ClaimEntry {
    /// Version, which increases when the claim is settled; that happens once.
    pub fn version(&self) -> u8 {
        u8::from(self.settled.is_some())
    }

    /// Tokens that the claim takes from the budget.
    pub fn charge(&self) -> u64 {
        self.settled.unwrap_or(self.max_tokens)
    }
}

/// Sum of settled claims.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Settled {
    /// Number of claims.
    pub count: u32,
    /// Tokens generated.
    pub tokens: u64,
    /// Digest of the claims, independent of their order.
    pub digest: u64,
}

impl Settled {
    /// Adds a claim that was settled at `tokens`.
    pub fn add(&mut self, request: &str, tokens: u64) {
        self.count = self.count.saturating_add(1);
        self.tokens = self.tokens.saturating_add(tokens);
        self.digest ^= xxh3_64_with_seed(request.as_bytes(), tokens);
    }
}

/// One storage machine's claims of a program.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimSummary {
    /// Claims that are not settled.
    pub open: Vec<ClaimEntry>,
    /// Sum of the settled claims.
    pub settled: Settled,
}

/// Whether the budget admits a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn fits the budget.
    Fits,
    /// The budget is exhausted.
    Exhausted,
    /// The replies differ in their settled claims; all claims have to be requested.
    Inconclusive,
}

/// Decides whether a turn of at most `max_tokens` tokens fits the budget, given the claims reported by a quorum.
///
/// If replies differ, the settled claims of all replies are at most the sum of all differing sums. If even that fits,
/// the turn fits.
pub fn admit(budget: u64, own: &str, max_tokens: u64, answers: &[ClaimSummary]) -> BudgetDecision {
    let mut open = Vec::new();
    let mut settled: Vec<Settled> = Vec::new();
    for answer in answers {
        merge_claims(&mut open, answer.open.clone());
        if !settled.contains(&answer.settled) {
            settled.push(answer.settled);
        }
    }
    let tokens = settled.iter().fold(0, |sum: u64, settled| sum.saturating_add(settled.tokens));
    if fits_budget(budget.saturating_sub(tokens), own, max_tokens, &open) && tokens <= budget {
        BudgetDecision::Fits
    } else if settled.len() <= 1 {
        BudgetDecision::Exhausted
    } else {
        BudgetDecision::Inconclusive
    }
}

/// Whether a claim is the first of its program according to a quorum: no tokens were generated before and no other turn
/// is in progress.
pub fn is_first(own: &str, answers: &[ClaimSummary]) -> bool {
    answers
        .iter()
        .all(|answer| answer.settled.tokens == 0 && answer.open.iter().all(|entry| entry.request == own))
}

/// Merges claims into `claims`, one per request; a settled claim takes precedence over an open one.
pub fn merge_claims(claims: &mut Vec<ClaimEntry>, entries: Vec<ClaimEntry>) {
    for entry in entries {
        match claims.iter_mut().find(|held| held.request == entry.request) {
            Some(held) if held.settled.is_none() => *held = entry,
            Some(_) => {}
            None => claims.push(entry),
        }
    }
}

/// Whether a turn of at most `max_tokens` tokens fits the budget besides all other claims.
///
/// Of two turns that are reserved concurrently at least one sees the other's claim, because their quorums intersect.
/// Both are admitted only if the budget covers the maximum of both.
pub fn fits_budget(budget: u64, own: &str, max_tokens: u64, claims: &[ClaimEntry]) -> bool {
    let others = claims.iter().filter(|entry| entry.request != own).map(ClaimEntry::charge);
    // A saturated sum exceeds every budget.
    others.fold(max_tokens, u64::saturating_add) <= budget
}
