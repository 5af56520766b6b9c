//! Turns of programs: the claim on the token budget before a turn runs, and storing the turn afterwards.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call::{Call, TurnRequest};
use super::chain::Chain;
use super::turn_error::{PREPARE_TIMEOUT, TurnError};
use crate::program::{
    BudgetDecision, ClaimEntry, ClaimSummary, Record, Turn, admit, fits_budget, is_first, merge_claims,
    renewals,
};
use crate::role::membership::wall_clock_ms;
use crate::wire::{Request, Response};

/// Timeout for storage writes after a turn.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Claim on a token budget. If it is dropped before it is settled, it is settled at the number of tokens delivered so far.
pub(super) struct Claim {
    proxy: Rc<Proxy>,
    program: String,
    request: String,
    max_tokens: u64,
    delivered: Cell<u64>,
    is_settled: Cell<bool>,
    is_first: bool,
}

impl Claim {
    /// Adds tokens that were forwarded to the client.
    pub(super) fn add_delivered(&self, tokens: u64) {
        self.delivered.set(self.delivered.get() + tokens);
    }

    /// Whether the program has generated nothing before and has no other turn in progress.
    pub(super) fn is_first(&self) -> bool {
        self.is_first
    }

    /// Records the number of tokens that the turn has generated. Runs in the background: until the write succeeds, the turn
    /// counts with its maximum.
    pub(super) fn settle(&self) {
        if self.is_settled.replace(true) {
            return;
        }
        let settled = Some(self.delivered.get());
        let entry = ClaimEntry { request: self.request.clone(), max_tokens: self.max_tokens, settled };
        let record = Record::ClaimEntry { program: self.program.clone(), entry };
        let (proxy, key) = (self.proxy.clone(), self.program.clone());
        let work = proxy.phase.shutdown().enter();
        tokio::task::spawn_local(async move {
            let _work = work;
            let write = |epoch| Request::Write { epoch, records: vec![record.clone()] };
            if proxy.write_quorum(&key, write, COMMIT_TIMEOUT).await.is_none() {
                log::warn!("could not settle a claim of program {key}; it stays at its maximum");
            }
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.settle();
    }
}

impl Proxy {
    /// Claims the maximum number of tokens that a turn may generate; `None` if the call is not a turn with a budget.
    pub(super) async fn claim(self: &Rc<Proxy>, call: &Call) -> Result<Option<Claim>, TurnError> {
        let Some(head) = &call.turn else { return Ok(None) };
        let entry = ClaimEntry { request: call.id.clone(), max_tokens: head.max_tokens, settled: None };
        let mut claim = Claim {
            proxy: self.clone(),
            program: head.program.clone(),
            request: call.id.clone(),
            max_tokens: head.max_tokens,
            delivered: Cell::new(0),
            is_settled: Cell::new(false),
            is_first: false,
        };
        let timeout = PREPARE_TIMEOUT.min(call.remaining(self.clock.now()));
        let responses = self.reserve(head, &entry, false, timeout).await?;
        let summaries: Vec<ClaimSummary> = responses
            .into_iter()
            .filter_map(
                |response| if let Response::Reserved(summary) = response { Some(summary) } else { None },
            )
            .collect();
        claim.is_first = is_first(&call.id, &summaries);
        let fits = match admit(head.budget, &call.id, head.max_tokens, &summaries) {
            BudgetDecision::Fits => true,
            BudgetDecision::Exhausted => false,
            BudgetDecision::Inconclusive => self.fits_all_claims(head, &entry, timeout).await?,
        };
        if fits { Ok(Some(claim)) } else { Err(TurnError::BudgetSpent) }
    }

    /// Whether a turn fits into the budget, computed from the individual claims of all members.
    async fn fits_all_claims(
        self: &Rc<Proxy>, head: &TurnRequest, entry: &ClaimEntry, timeout: Duration,
    ) -> Result<bool, TurnError> {
        let mut claims: Vec<ClaimEntry> = Vec::new();
        for response in self.reserve(head, entry, true, timeout).await? {
            if let Response::Claims(entries) = response {
                merge_claims(&mut claims, entries);
            }
        }
        Ok(fits_budget(head.budget, &entry.request, entry.max_tokens, &claims))
    }

    /// Writes a claim to a quorum and returns the members' responses.
    async fn reserve(
        self: &Rc<Proxy>, head: &TurnRequest, entry: &ClaimEntry, wants_all: bool, timeout: Duration,
    ) -> Result<Vec<Response>, TurnError> {
        let (program, entry) = (head.program.clone(), entry.clone());
        let request =
            |epoch| Request::Reserve { epoch, program: program.clone(), entry: entry.clone(), wants_all };
        let responses =
            self.write_quorum(&program, request, timeout).await.ok_or(TurnError::Indeterminate)?;
        let is_expected = |response: &Response| match response {
            Response::Reserved(_) => !wants_all,
            Response::Claims(_) => wants_all,
            _ => false,
        };
        if responses.iter().all(is_expected) { Ok(responses) } else { Err(TurnError::Indeterminate) }
    }

    /// Stores a completed turn and prolongs the retention of its ancestors; true if a quorum has written each record to disk.
    pub(super) async fn store_turn(self: &Rc<Proxy>, call: &Call, chain: &Chain, output: Vec<u8>) -> bool {
        let turn = Rc::new(Turn {
            id: call.id.clone(),
            ancestors: chain.turns.iter().map(|turn| turn.id.clone()).collect(),
            input: call.body.to_vec(),
            output,
            retention_ms: call.retention_ms(),
            ended_ms: wall_clock_ms(),
        });
        let leases = renewals(&chain.turns, turn.ended_ms, turn.retention_ms);
        if !leases.is_empty() {
            log::debug!("turn {} renews the leases of {} ancestors", call.id, leases.len());
        }
        let mut records = vec![Record::Turn(turn.clone())];
        records.extend(leases.into_iter().map(Record::TurnLease));
        let is_stored = self.write_records(&records, COMMIT_TIMEOUT).await;
        if is_stored {
            self.turns.borrow_mut().insert(turn);
        } else {
            log::warn!("turn {} and the leases of its chain were not stored by a quorum", call.id);
        }
        is_stored
    }
}
