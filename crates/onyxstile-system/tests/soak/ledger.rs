//! Records all requests of a run and checks their outcomes against the rules.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use crate::Run;
use crate::connection::Outcome;
use crate::endpoints::{Endpoints, Execution};
use crate::process::GRACE_PERIODS;

/// Time within which a complete request that gets no answer has its connection closed: `loss_slack_ms` of every deployment.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Maximum number of executions of an idempotent request.
const ATTEMPTS_MAX: usize = 2;
/// Fraction of the grace period after which its last part begins. A request that takes longer than the process has left may be
/// cut off by the end of the process, if its endpoint works, or its client pauses reading, into that part, and if it was sent while
/// the listener was open.
const LAST_PART_OF_GRACE: f64 = 5.0 / 6.0;

/// A request and its outcome.
pub struct Record {
    pub id: String,
    /// Description of the request for fault reports.
    pub request: String,
    pub edge: usize,
    /// When its first byte was sent, when its last byte was sent, and when its outcome was determined.
    pub began: Instant,
    pub sent: Instant,
    pub ended: Instant,
    pub deadline: Duration,
    /// Time for which the client itself paused between two reads.
    pub paused: Duration,
    pub is_idempotent: bool,
    /// The answer is a stream, which is cut if it outlasts the process.
    pub is_stream: bool,
    /// The client had closed its sending half, which counts as a disconnect.
    pub has_half_closed: bool,
    /// The preceding answer on its connection announced the close of the connection, or was not received.
    pub follows_last_answer: bool,
    /// The complete body of the answer.
    pub expected: Vec<u8>,
    pub outcome: Outcome,
}

/// All requests of a run.
#[derive(Default)]
pub struct Ledger {
    records: RefCell<Vec<Record>>,
}

impl Ledger {
    /// Adds a request.
    pub fn add(&self, record: Record) {
        self.records.borrow_mut().push(record);
    }

    /// Checks all requests against the rules and records the violations.
    pub fn check(&self, run: &Run, endpoints: &Endpoints) {
        for record in &*self.records.borrow() {
            let executions = endpoints.executions(&record.id);
            if let Some(fault) = record.violation(run, &executions) {
                run.record_fault(format!("request {} {fault}; {}", record.id, record.circumstances(run)));
            }
        }
    }

    /// Counts of requests and outcomes.
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
    /// State of its machine at the time, for fault reports.
    fn circumstances(&self, run: &Run) -> String {
        let edge = &run.edges[self.edge];
        let since =
            |all: Vec<Instant>| all.into_iter().rfind(|at| *at <= self.ended).map(|at| self.ended - at);
        format!(
            "at {} {:?} after the start, {:?} after its first byte; before its end: SIGTERM {:?}, a shorter grace period {:?}, a kill {:?}; {}",
            edge.name,
            self.ended - run.began,
            self.ended - self.began,
            since(edge.terminations()),
            since(edge.shortenings()),
            since(edge.kills()),
            self.request
        )
    }

    /// The violated rule, if any.
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
                504 if runs > 0 && self.outlasts_grace(run, executions) => None,
                status => Some(format!("got {status} and {} bytes, ran {runs} times", answer.body.len())),
            },
            Outcome::TimedOut => {
                Some(format!("was neither answered nor closed in {took:?}, ran {runs} times"))
            }
            Outcome::Closed(_) if self.has_half_closed || self.was_killed(run) => None,
            Outcome::Closed(bytes)
                if runs > 0 && self.outlasts_grace(run, executions) && self.may_be_cut(*bytes) =>
            {
                None
            }
            Outcome::Closed(bytes) if runs > 0 => {
                Some(format!("ran and was closed after {took:?} with {bytes} bytes of an answer"))
            }
            // An answer that announces the close is the last: later requests on the connection are not read (RFC 9112, 9.6). After a
            // missing answer, which has a record of its own, there can be none.
            Outcome::Closed(_) if self.follows_last_answer => None,
            Outcome::Closed(_) if took > LOSS_SLACK => {
                Some(format!("was closed after {took:?} without an answer"))
            }
            Outcome::Closed(_) => None,
        }
    }

    /// Whether its answer may be cut at the end of a process, which answers all requests whose answers have not begun.
    fn may_be_cut(&self, bytes: usize) -> bool {
        self.is_stream || bytes > 0 || !self.paused.is_zero()
    }

    /// Whether it was open at the machine when that was killed. The client detects a kill at once, unless it pauses reading.
    fn was_killed(&self, run: &Run) -> bool {
        let sees = LOSS_SLACK + self.paused;
        let is_hit = |at: &Instant| (self.began..=self.ended).contains(at) && self.ended - *at <= sees;
        run.edges[self.edge].kills().iter().any(is_hit)
    }

    /// Whether its endpoint worked, or its client paused reading, into the last part of a grace period that began before the listener
    /// closed, or that was shortened during the request.
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
