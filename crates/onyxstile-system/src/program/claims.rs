//! Claims on a program's budget: one a turn, at its most until it is settled. Pure.
//!
//! A storage machine tells the claims that are open one by one and those that are settled as a sum with a digest, so that
//! an answer does not grow with the turns of a program. Answers with one digest stand for the same claims; where they
//! differ and their sums together don't fit, all claims are asked for.

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One turn's claim on the budget of its program.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimEntry {
    /// The request id of the try.
    pub request: String,
    /// The most tokens that it may generate.
    pub max_tokens: u64,
    /// The tokens that it did generate, once that is known.
    pub settled: Option<u64>,
}

impl ClaimEntry {
    /// Rises when the claim changes: it is settled once.
    pub fn version(&self) -> u8 {
        u8::from(self.settled.is_some())
    }

    /// What the budget has to bear for it.
    pub fn charge(&self) -> u64 {
        self.settled.unwrap_or(self.max_tokens)
    }
}

/// The sum of settled claims.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Settled {
    /// How many they are.
    pub count: u32,
    /// The tokens that they generated.
    pub tokens: u64,
    /// Alike only for the same claims, whatever the order in which they came.
    pub digest: u64,
}

impl Settled {
    /// Adds a claim that is settled at `tokens`.
    pub fn add(&mut self, request: &str, tokens: u64) {
        self.count = self.count.saturating_add(1);
        self.tokens = self.tokens.saturating_add(tokens);
        self.digest ^= xxh3_64_with_seed(request.as_bytes(), tokens);
    }
}

/// What one storage machine knows of a program's claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimSummary {
    /// Claims that are not settled.
    pub open: Vec<ClaimEntry>,
    /// The sum of the others.
    pub settled: Settled,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// It fits the budget.
    Fits,
    /// It does not.
    Exhausted,
    /// The answers differ in what is settled: all claims have to be known.
    Inconclusive,
}

/// Whether a turn of at most `most` tokens fits a budget beside the claims that a quorum tells.
///
/// Where answers differ, the claims settled anywhere are no more than all sums together; if even these fit, so does the turn.
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

/// Whether a claim is a program's first by what a quorum tells: nothing was generated before, and no other turn is under way.
pub fn is_first(own: &str, answers: &[ClaimSummary]) -> bool {
    answers
        .iter()
        .all(|answer| answer.settled.tokens == 0 && answer.open.iter().all(|entry| entry.request == own))
}

/// Adds claims to those known, each request once; what is settled counts before what isn't.
pub fn merge_claims(claims: &mut Vec<ClaimEntry>, entries: Vec<ClaimEntry>) {
    for entry in entries {
        match claims.iter_mut().find(|held| held.request == entry.request) {
            Some(held) if held.settled.is_none() => *held = entry,
            Some(_) => {}
            None => claims.push(entry),
        }
    }
}

/// Whether a turn of at most `most` tokens fits a budget beside all other claims.
///
/// Of two turns that are reserved side by side at least one sees the other, for their quorums meet; both fit only if
/// the budget holds both at their most.
pub fn fits_budget(budget: u64, own: &str, max_tokens: u64, claims: &[ClaimEntry]) -> bool {
    let others = claims.iter().filter(|entry| entry.request != own).map(ClaimEntry::charge);
    // A sum that is no number is over every budget.
    others.fold(max_tokens, u64::saturating_add) <= budget
}
