//! Turns of programs: the claim on the budget before a turn runs, and the turn's record after.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use super::call::{Call, TurnHead};
use super::chain::Chain;
use super::no_turn::{BEFORE_PATIENCE, NoTurn};
use crate::program::{
    BudgetDecision, ClaimEntry, ClaimSummary, Record, Turn, admit, fits_budget, is_first, merge_claims,
};
use crate::role::membership::wall_clock_ms;
use crate::wire::{Request, Response};

/// How long the storage machines have for what a turn leaves.
const AFTER_PATIENCE: Duration = Duration::from_millis(3000);

/// A claim on a budget. Dropped before it is settled, it is settled at what was delivered so far.
pub(super) struct Claim {
    node: Rc<Node>,
    program: String,
    request: String,
    most: u64,
    delivered: Cell<u64>,
    is_settled: Cell<bool>,
    is_first: bool,
}

impl Claim {
    /// Tokens were passed to the client.
    pub(super) fn deliver(&self, tokens: u64) {
        self.delivered.set(self.delivered.get() + tokens);
    }

    /// Whether nothing was generated for its program before, and nothing else is under way.
    pub(super) fn is_first(&self) -> bool {
        self.is_first
    }

    /// Records what the turn has generated. Nobody has to wait for it: until then the turn counts at its most.
    pub(super) fn settle(&self) {
        if self.is_settled.replace(true) {
            return;
        }
        let settled = Some(self.delivered.get());
        let entry = ClaimEntry { request: self.request.clone(), max_tokens: self.most, settled };
        let record = Record::ClaimEntry { program: self.program.clone(), entry };
        let (node, key) = (self.node.clone(), self.program.clone());
        let work = node.phase.shutdown().enter();
        tokio::task::spawn_local(async move {
            let _work = work;
            let write = |epoch| Request::Write { epoch, records: vec![record.clone()] };
            if node.write_quorum(&key, write, AFTER_PATIENCE).await.is_none() {
                log::warn!("a claim of program {key} stays at its most");
            }
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.settle();
    }
}

impl Node {
    /// Claims the most that a turn may generate; `None` where the call is no turn with a budget.
    pub(super) async fn claim(self: &Rc<Node>, call: &Call) -> Result<Option<Claim>, NoTurn> {
        let Some(head) = &call.turn else { return Ok(None) };
        let entry = ClaimEntry { request: call.id.clone(), max_tokens: head.most, settled: None };
        let mut claim = Claim {
            node: self.clone(),
            program: head.program.clone(),
            request: call.id.clone(),
            most: head.most,
            delivered: Cell::new(0),
            is_settled: Cell::new(false),
            is_first: false,
        };
        let patience = BEFORE_PATIENCE.min(call.left(self.clock.now()));
        let answers = self.reserve(head, &entry, false, patience).await?;
        let summaries: Vec<ClaimSummary> = answers
            .into_iter()
            .filter_map(|answer| if let Response::Reserved(summary) = answer { Some(summary) } else { None })
            .collect();
        claim.is_first = is_first(&call.id, &summaries);
        let fits = match admit(head.budget, &call.id, head.most, &summaries) {
            BudgetDecision::Fits => true,
            BudgetDecision::Exhausted => false,
            BudgetDecision::Inconclusive => self.fits_all_claims(head, &entry, patience).await?,
        };
        if fits { Ok(Some(claim)) } else { Err(NoTurn::Spent) }
    }

    /// Whether a turn fits beside all claims, told one by one.
    async fn fits_all_claims(
        self: &Rc<Node>, head: &TurnHead, entry: &ClaimEntry, patience: Duration,
    ) -> Result<bool, NoTurn> {
        let mut claims: Vec<ClaimEntry> = Vec::new();
        for answer in self.reserve(head, entry, true, patience).await? {
            if let Response::Claims(entries) = answer {
                merge_claims(&mut claims, entries);
            }
        }
        Ok(fits_budget(head.budget, &entry.request, entry.max_tokens, &claims))
    }

    /// Writes a claim to a quorum; what its members answer.
    async fn reserve(
        self: &Rc<Node>, head: &TurnHead, entry: &ClaimEntry, wants_all: bool, patience: Duration,
    ) -> Result<Vec<Response>, NoTurn> {
        let (program, entry) = (head.program.clone(), entry.clone());
        let request =
            |epoch| Request::Reserve { epoch, program: program.clone(), entry: entry.clone(), wants_all };
        let answers = self.write_quorum(&program, request, patience).await.ok_or(NoTurn::Unsure)?;
        let is_expected = |answer: &Response| match answer {
            Response::Reserved(_) => !wants_all,
            Response::Claims(_) => wants_all,
            _ => false,
        };
        if answers.iter().all(is_expected) { Ok(answers) } else { Err(NoTurn::Unsure) }
    }

    /// Keeps a turn that was answered whole; true once a quorum has it on disk.
    pub(super) async fn keep(self: &Rc<Node>, call: &Call, chain: &Chain, output: Vec<u8>) -> bool {
        let turn = Rc::new(Turn {
            id: call.id.clone(),
            ancestors: chain.turns.iter().map(|turn| turn.id.clone()).collect(),
            input: call.body.to_vec(),
            output,
            retention_ms: (call.route.retention_s * 1000.0) as u64,
            ended_ms: wall_clock_ms(),
        });
        let write = |epoch| Request::Write { epoch, records: vec![Record::Turn(turn.clone())] };
        let is_kept = self.write_quorum(&turn.id, write, AFTER_PATIENCE).await.is_some();
        if is_kept {
            self.turns.borrow_mut().insert(turn);
        } else {
            log::warn!("turn {} was not kept by a quorum", call.id);
        }
        is_kept
    }
}
