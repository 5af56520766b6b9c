//! Each request of a run is accounted for: what became of it, held against the rules.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use crate::Run;
use crate::connection::Outcome;
use crate::endpoints::{Endpoints, Execution};
use crate::process::GRACE_PERIODS;

/// A whole request that is closed without an answer is so within this time: `loss_slack_ms` of every deployment.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Endpoints that one try may run on where it may be repeated.
const ATTEMPTS_MAX: usize = 2;
/// A request that takes longer than the process has left may be cut by its end, if its endpoint works, or its client reads nothing,
/// into this last part of the grace, and it was sent while the listener was open.
const LAST_PART_OF_GRACE: f64 = 5.0 / 6.0;

/// One request.
pub struct Record {
    pub id: String,
    /// What was asked, for whoever reads of a fault.
    pub request: String,
    pub edge: usize,
    /// When its first byte was sent, its last, and when its outcome was known.
    pub began: Instant,
    pub sent: Instant,
    pub ended: Instant,
    pub deadline: Duration,
    /// What the client itself let pass between two reads.
    pub paused: Duration,
    pub is_idempotent: bool,
    /// The client had ended its own half of the connection, which counts as leaving.
    pub has_half_closed: bool,
    /// The answer before it on its connection had said that the connection closes, or had not come.
    pub follows_last_answer: bool,
    /// The whole body of the answer.
    pub expected: Vec<u8>,
    pub outcome: Outcome,
}

/// All requests.
#[derive(Default)]
pub struct Ledger {
    records: RefCell<Vec<Record>>,
}

impl Ledger {
    /// Adds one.
    pub fn add(&self, record: Record) {
        self.records.borrow_mut().push(record);
    }

    /// Holds all requests against the rules.
    pub fn check(&self, run: &Run, endpoints: &Endpoints) {
        for record in &*self.records.borrow() {
            let executions = endpoints.executions(&record.id);
            if let Some(fault) = record.violation(run, &executions) {
                run.record_fault(format!("request {} {fault}; {}", record.id, record.circumstances(run)));
            }
        }
    }

    /// Requests and answers, in numbers.
    pub fn summary(&self) -> String {
        let records = self.records.borrow();
        let count =
            |is: &dyn Fn(&Outcome) -> bool| records.iter().filter(|record| is(&record.outcome)).count();
        let status = |wanted: u16| {
            count(&|outcome| matches!(outcome, Outcome::Answered(answer) if answer.status == wanted))
        };
        let closed = count(&|outcome| matches!(outcome, Outcome::Closed(_)));
        format!(
            "{} requests ({} served, {} refused, {closed} closed)",
            records.len(),
            status(200),
            status(503)
        )
    }
}

impl Record {
    /// What was going on at its machine, for whoever reads of a fault.
    fn circumstances(&self, run: &Run) -> String {
        let edge = &run.edges[self.edge];
        let since =
            |all: Vec<Instant>| all.into_iter().rfind(|at| *at <= self.ended).map(|at| self.ended - at);
        format!(
            "at {} {:?} after the start, {:?} after its first byte; before its end: SIGTERM {:?}, a shorter grace {:?}, a kill {:?}; {}",
            edge.name,
            self.ended - run.began,
            self.ended - self.began,
            since(edge.terminations()),
            since(edge.shortenings()),
            since(edge.kills()),
            self.request
        )
    }

    /// What breaks a rule in it.
    fn violation(&self, run: &Run, executions: &[Execution]) -> Option<String> {
        let runs = executions.len();
        if runs > if self.is_idempotent { ATTEMPTS_MAX } else { 1 } {
            return Some(format!("ran {runs} times"));
        }
        let took = self.ended - self.sent;
        match &self.outcome {
            Outcome::Answered(answer) => match answer.status {
                200 if runs > 0 && answer.body == self.expected => None,
                503 if runs == 0 || self.is_idempotent => None,
                504 if self.ended - self.began >= self.deadline.mul_f64(0.8) => None,
                status => Some(format!("got {status} and {} bytes, ran {runs} times", answer.body.len())),
            },
            Outcome::TimedOut => {
                Some(format!("was neither answered nor closed in {took:?}, ran {runs} times"))
            }
            Outcome::Closed(_) if self.has_half_closed || self.was_killed(run) => None,
            Outcome::Closed(_) if runs > 0 && self.outlasts_grace(run, executions) => None,
            Outcome::Closed(bytes) if runs > 0 => {
                Some(format!("ran and was closed after {took:?} with {bytes} bytes of an answer"))
            }
            // An answer that says so is the last: what was sent behind it is read by nobody (RFC 9112, 9.6). Behind one that did
            // not come, which is a record of its own, there can be none.
            Outcome::Closed(_) if self.follows_last_answer => None,
            Outcome::Closed(_) if took > LOSS_SLACK => {
                Some(format!("was closed after {took:?} without an answer"))
            }
            Outcome::Closed(_) => None,
        }
    }

    /// Whether it was open at the machine as a kill struck that. The client sees that at once, unless it reads nothing.
    fn was_killed(&self, run: &Run) -> bool {
        let sees = LOSS_SLACK + self.paused;
        let is_hit = |at: &Instant| (self.began..=self.ended).contains(at) && self.ended - *at <= sees;
        run.edges[self.edge].kills().iter().any(is_hit)
    }

    /// Whether its endpoint worked on, or its client read nothing, into the last part of a grace that had begun before the listener
    /// closed, or that became shorter while it was under way.
    fn outlasts_grace(&self, run: &Run, executions: &[Execution]) -> bool {
        let edge = &run.edges[self.edge];
        edge.terminations().iter().any(|terminated_at| {
            let last_part = *terminated_at + GRACE_PERIODS[0].mul_f64(LAST_PART_OF_GRACE);
            let was_cut_short = edge.shortenings().iter().any(|at| (self.began..=self.ended).contains(at));
            let was_accepted = self.sent <= *terminated_at + GRACE_PERIODS[1] / 2 || was_cut_short;
            let still_works = |run: &Execution| run.ended.is_none_or(|ended| ended >= last_part);
            let still_pauses = !self.paused.is_zero() && self.sent + self.paused >= last_part;
            was_accepted && self.ended >= last_part && (still_pauses || executions.iter().any(still_works))
        })
    }
}
