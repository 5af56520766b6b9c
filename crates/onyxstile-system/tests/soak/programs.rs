//! Programs of a run: turns that go on from each other within a budget, and what was acknowledged of them read back at the end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::Run;
use crate::connection::{ANSWER_SLACK, Connection, Outcome};
use crate::endpoints::{Endpoints, event};

/// Tokens in one event, as the configuration says.
pub const TOKENS_PER_EVENT: u64 = 3;
/// Events of a turn at the most.
const EVENTS_MAX: u64 = 6;
/// Tokens that one turn generates at the most.
const TURN_TOKENS_MAX: u64 = EVENTS_MAX * TOKENS_PER_EVENT;
/// Tokens of a program.
const BUDGET: u64 = 240;
const DEADLINE: Duration = Duration::from_millis(2500);
/// After the stops a turn is served by this time.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// All programs of a run.
pub struct Programs {
    endpoints: Rc<Endpoints>,
    last: Cell<u64>,
    turns: Cell<u64>,
    spent: Cell<u64>,
    started: RefCell<Vec<Program>>,
}

/// One program.
struct Program {
    name: String,
    turns: u64,
    /// The last turn that was answered whole, and all that was said up to its end.
    previous: Option<(String, Vec<u8>)>,
    /// Tokens that came, in turns of all fates.
    received: u64,
    /// Turns that ended neither whole nor refused: they count at their most.
    unsettled: u64,
}

/// What became of a turn.
#[derive(PartialEq)]
enum TurnResult {
    Complete,
    Refused,
    BudgetSpent,
    Broken,
}

impl Programs {
    /// None has begun.
    pub fn new(endpoints: Rc<Endpoints>) -> Rc<Programs> {
        let (last, turns, spent, started) = (Cell::new(0), Cell::new(0), Cell::new(0), RefCell::default());
        Rc::new(Programs { endpoints, last, turns, spent, started })
    }

    /// One program after the other.
    pub async fn run(self: Rc<Programs>, run: Rc<Run>) {
        while !run.is_traffic_over.get() {
            self.last.set(self.last.get() + 1);
            let name = format!("p{}", self.last.get());
            let mut program = Program { name, turns: 0, previous: None, received: 0, unsettled: 0 };
            while !run.is_traffic_over.get() && self.turn(&run, &mut program).await != TurnResult::BudgetSpent
            {
                run.random_pause(60).await;
            }
            self.started.borrow_mut().push(program);
        }
    }

    /// After the stops each program is asked to go on: its budget is as spent as it was, and all its acknowledged turns are there
    /// for a program that goes on from the last of them.
    pub async fn read_back(self: Rc<Programs>, run: Rc<Run>) {
        let mut reading = JoinSet::new();
        for mut program in self.started.take() {
            let (programs, run) = (self.clone(), run.clone());
            reading.spawn_local(async move {
                programs.continue_program(&run, &mut program).await;
                if program.previous.is_some() {
                    let name = format!("{}-heir", program.name);
                    let mut successor = Program { name, received: 0, unsettled: 0, ..program };
                    programs.continue_program(&run, &mut successor).await;
                }
            });
        }
        while reading.join_next().await.is_some() {}
    }

    /// A further turn is served, or refused for the budget: never for a turn before it that was acknowledged.
    async fn continue_program(&self, run: &Run, program: &mut Program) {
        let served = async {
            while !matches!(self.turn(run, program).await, TurnResult::Complete | TurnResult::BudgetSpent) {
                run.random_pause(100).await;
            }
        };
        if tokio::time::timeout(RECOVERY_TIMEOUT, served).await.is_err() {
            run.record_fault(format!("program {} was not served again", program.name));
        }
    }

    async fn turn(&self, run: &Run, program: &mut Program) -> TurnResult {
        program.turns += 1;
        let id = format!("{}t{}", program.name, program.turns);
        let events = 1 + run.random_below(EVENTS_MAX);
        let edge = run.random_below(run.edges.len() as u64) as usize;
        let Ok(mut connection) = Connection::open(run.front(edge), false).await else {
            return TurnResult::Refused;
        };
        let input = format!("said in {id};");
        let previous =
            program.previous.as_ref().map_or(String::new(), |(id, _)| format!("Previous: {id}\r\n"));
        let text = format!(
            "POST /c/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nProgram: {}\r\nSession: {}\r\nBudget: {BUDGET}\r\nToken-Count: 10,{TURN_TOKENS_MAX}\r\nWork-Ms: {}\r\nEvents: {events}\r\n{previous}Content-Length: {}\r\n\r\n{input}",
            DEADLINE.as_millis(),
            program.name,
            program.name,
            run.random_below(200),
            input.len()
        );
        connection.send(text.as_bytes()).await;
        let outcome = connection.answer(DEADLINE + ANSWER_SLACK).await;
        self.turns.set(self.turns.get() + 1);
        self.check(run, program, &id, events, &input, outcome)
    }

    fn check(
        &self, run: &Run, program: &mut Program, id: &str, events: u64, input: &str, outcome: Outcome,
    ) -> TurnResult {
        let fault = |text: String| run.record_fault(format!("turn {id} {text}"));
        let runs = self.endpoints.executions(id).len();
        if runs > 1 {
            fault(format!("ran {runs} times"));
        }
        let result = match outcome {
            Outcome::Answered(answer) => match answer.status {
                200 => {
                    self.accept(run, program, id, events, input, &answer.body);
                    TurnResult::Complete
                }
                402 => {
                    self.spent.set(self.spent.get() + 1);
                    let counted = program.received + program.unsettled * TURN_TOKENS_MAX;
                    if runs > 0 || counted + TURN_TOKENS_MAX <= BUDGET {
                        fault(format!("got 402 with {counted} of {BUDGET} tokens spent, ran {runs} times"));
                    }
                    TurnResult::BudgetSpent
                }
                503 if runs == 0 => TurnResult::Refused,
                504 => TurnResult::Broken,
                status => {
                    let before = program.previous.as_ref().map(|(id, _)| id);
                    fault(format!("got {status} behind {before:?}, ran {runs} times"));
                    TurnResult::Broken
                }
            },
            // An unknown part of its tokens may have come: it counts at its most.
            Outcome::Closed(_) => TurnResult::Broken,
            Outcome::TimedOut => {
                fault("was neither answered nor closed".into());
                TurnResult::Broken
            }
        };
        if result == TurnResult::Broken {
            program.unsettled += 1;
        }
        if program.received > BUDGET + TURN_TOKENS_MAX {
            fault(format!("made it {} tokens of {BUDGET}", program.received));
        }
        result
    }

    fn accept(&self, run: &Run, program: &mut Program, id: &str, events: u64, input: &str, body: &[u8]) {
        let joined = |part: fn((String, String)) -> String| -> String {
            (1..=events).map(|number| part(event(id, number))).collect()
        };
        if body != joined(|event| event.0).as_bytes() {
            run.record_fault(format!("turn {id} got {} bytes that are not its events", body.len()));
        }
        let mut history = program.previous.take().map_or(Vec::new(), |(_, history)| history);
        history.extend_from_slice(input.as_bytes());
        if self.endpoints.prompt(id).as_ref() != Some(&history) {
            run.record_fault(format!("turn {id} ran on another history than the acknowledged one"));
        }
        history.extend_from_slice(joined(|event| event.1).as_bytes());
        program.previous = Some((id.to_owned(), history));
        program.received += events * TOKENS_PER_EVENT;
    }

    /// Programs, in numbers.
    pub fn summary(&self) -> String {
        format!("{} turns of {} programs, {} spent", self.turns.get(), self.last.get(), self.spent.get())
    }
}
