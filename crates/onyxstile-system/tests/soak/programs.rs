//! Programs of a run: turns that go on from each other within a budget, and what was acknowledged of them read back at the end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::Run;
use crate::connection::{Connection, HELD, Outcome};
use crate::endpoints::{Endpoints, event};

/// Tokens in one event, as the configuration says.
pub const TOKENS_AN_EVENT: u64 = 3;
/// Events of a turn at the most.
const EVENTS_MAX: u64 = 6;
/// Tokens that one turn generates at the most.
const MOST: u64 = EVENTS_MAX * TOKENS_AN_EVENT;
/// Tokens of a program.
const BUDGET: u64 = 240;
const DEADLINE: Duration = Duration::from_millis(2500);
/// After the stops a turn is served by this time.
const RETURN: Duration = Duration::from_secs(20);

/// All programs of a run.
pub struct Programs {
    endpoints: Rc<Endpoints>,
    last: Cell<u64>,
    turns: Cell<u64>,
    spent: Cell<u64>,
    begun: RefCell<Vec<Program>>,
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
enum Fate {
    Whole,
    Refused,
    Spent,
    Broken,
}

impl Programs {
    /// None has begun.
    pub fn new(endpoints: Rc<Endpoints>) -> Rc<Programs> {
        let (last, turns, spent, begun) = (Cell::new(0), Cell::new(0), Cell::new(0), RefCell::default());
        Rc::new(Programs { endpoints, last, turns, spent, begun })
    }

    /// One program after the other.
    pub async fn play(self: Rc<Programs>, run: Rc<Run>) {
        while !run.is_over.get() {
            self.last.set(self.last.get() + 1);
            let name = format!("p{}", self.last.get());
            let mut program = Program { name, turns: 0, previous: None, received: 0, unsettled: 0 };
            while !run.is_over.get() && self.turn(&run, &mut program).await != Fate::Spent {
                run.rest(60).await;
            }
            self.begun.borrow_mut().push(program);
        }
    }

    /// After the stops each program is asked to go on: its budget is as spent as it was, and all its acknowledged turns are there
    /// for a program that goes on from the last of them.
    pub async fn read_back(self: Rc<Programs>, run: Rc<Run>) {
        let mut reading = JoinSet::new();
        for mut program in self.begun.take() {
            let (programs, run) = (self.clone(), run.clone());
            reading.spawn_local(async move {
                programs.go_on(&run, &mut program).await;
                if program.previous.is_some() {
                    let name = format!("{}-heir", program.name);
                    let mut heir = Program { name, received: 0, unsettled: 0, ..program };
                    programs.go_on(&run, &mut heir).await;
                }
            });
        }
        while reading.join_next().await.is_some() {}
    }

    /// A further turn is served, or refused for the budget: never for a turn before it that was acknowledged.
    async fn go_on(&self, run: &Run, program: &mut Program) {
        let served = async {
            while !matches!(self.turn(run, program).await, Fate::Whole | Fate::Spent) {
                run.rest(100).await;
            }
        };
        if tokio::time::timeout(RETURN, served).await.is_err() {
            run.fault(format!("program {} was not served again", program.name));
        }
    }

    async fn turn(&self, run: &Run, program: &mut Program) -> Fate {
        program.turns += 1;
        let id = format!("{}t{}", program.name, program.turns);
        let events = 1 + run.roll(EVENTS_MAX);
        let edge = run.roll(run.edges.len() as u64) as usize;
        let Ok(mut connection) = Connection::open(run.front(edge), false).await else { return Fate::Refused };
        let input = format!("said in {id};");
        let previous =
            program.previous.as_ref().map_or(String::new(), |(id, _)| format!("Previous: {id}\r\n"));
        let text = format!(
            "POST /c/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nProgram: {}\r\nSession: {}\r\nBudget: {BUDGET}\r\nToken-Count: 10,{MOST}\r\nWork-Ms: {}\r\nEvents: {events}\r\n{previous}Content-Length: {}\r\n\r\n{input}",
            DEADLINE.as_millis(),
            program.name,
            program.name,
            run.roll(200),
            input.len()
        );
        connection.send(text.as_bytes()).await;
        let outcome = connection.answer(DEADLINE + HELD).await;
        self.turns.set(self.turns.get() + 1);
        self.judge(run, program, &id, events, &input, outcome)
    }

    fn judge(
        &self, run: &Run, program: &mut Program, id: &str, events: u64, input: &str, outcome: Outcome,
    ) -> Fate {
        let fault = |text: String| run.fault(format!("turn {id} {text}"));
        let runs = self.endpoints.executions(id).len();
        if runs > 1 {
            fault(format!("ran {runs} times"));
        }
        let fate = match outcome {
            Outcome::Answered(answer) => match answer.status {
                200 => {
                    self.take(run, program, id, events, input, &answer.body);
                    Fate::Whole
                }
                402 => {
                    self.spent.set(self.spent.get() + 1);
                    let counted = program.received + program.unsettled * MOST;
                    if runs > 0 || counted + MOST <= BUDGET {
                        fault(format!("got 402 with {counted} of {BUDGET} tokens spent, ran {runs} times"));
                    }
                    Fate::Spent
                }
                503 if runs == 0 => Fate::Refused,
                504 => Fate::Broken,
                status => {
                    let before = program.previous.as_ref().map(|(id, _)| id);
                    fault(format!("got {status} behind {before:?}, ran {runs} times"));
                    Fate::Broken
                }
            },
            // An unknown part of its tokens may have come: it counts at its most.
            Outcome::Closed(_) => Fate::Broken,
            Outcome::Held => {
                fault("was neither answered nor closed".into());
                Fate::Broken
            }
        };
        if fate == Fate::Broken {
            program.unsettled += 1;
        }
        if program.received > BUDGET + MOST {
            fault(format!("made it {} tokens of {BUDGET}", program.received));
        }
        fate
    }

    fn take(&self, run: &Run, program: &mut Program, id: &str, events: u64, input: &str, body: &[u8]) {
        let said = |part: fn((String, String)) -> String| -> String {
            (1..=events).map(|number| part(event(id, number))).collect()
        };
        if body != said(|event| event.0).as_bytes() {
            run.fault(format!("turn {id} got {} bytes that are not its events", body.len()));
        }
        let mut history = program.previous.take().map_or(Vec::new(), |(_, history)| history);
        history.extend_from_slice(input.as_bytes());
        if self.endpoints.prompt(id).as_ref() != Some(&history) {
            run.fault(format!("turn {id} ran on another history than the acknowledged one"));
        }
        history.extend_from_slice(said(|event| event.1).as_bytes());
        program.previous = Some((id.to_owned(), history));
        program.received += events * TOKENS_AN_EVENT;
    }

    /// Programs, in numbers.
    pub fn summary(&self) -> String {
        format!("{} turns of {} programs, {} spent", self.turns.get(), self.last.get(), self.spent.get())
    }
}
