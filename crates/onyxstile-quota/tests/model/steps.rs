//! What may happen next: loans at three relays with a quota of four units: questions, grants and returns that are lost, late and
//! doubled, relays that are killed with and without their folder, clocks that run apart. The rights are the program's own.

use onyxstile_quota::Measure;
use onyxstile_quota::escrow::{Escrow, Loan, Times};
use onyxstile_quota::rendezvous::share;
use std::collections::BTreeMap;
use std::time::Duration;

pub const RELAYS: usize = 3;
pub const UNITS: u32 = 4;
pub const QUOTA: u64 = 77;
/// Steps of time, questions, kills, returns and notes under way in a history, at most.
pub const STEPS: u8 = 4;
pub const ASKS: u8 = 2;
pub const KILLS: u8 = 1;
pub const REPAYS: u8 = 1;
pub const NOTES: usize = 2;
/// What each relay's clock goes on by in a step: one is fast by a tenth, one slow.
pub const STEP_MS: [u64; RELAYS] = [11, 9, 10];
/// A loan lasts some two steps: it ends at the second for the fast clock and after it for the slow one; the margin is what clocks so far apart need.
pub const LOAN: Duration = Duration::from_millis(21);
pub const MARGIN: Duration = Duration::from_millis(3);

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Note {
    Ask { from: usize, to: usize, nonce: u64, units: u32, renews: Option<u64> },
    Grant { from: usize, to: usize, nonce: u64, units: u32, tokens: u64 },
    Repay { from: usize, to: usize, nonce: u64, left: u32, tokens: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Asked {
    pub to: usize,
    pub at: Duration,
    pub renews: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub rights: Vec<Option<Escrow>>,
    pub clocks: [Duration; RELAYS],
    pub asked: Vec<BTreeMap<u64, Asked>>,
    pub notes: Vec<Note>,
    pub nonce: u64,
    pub steps: u8,
    pub asks: u8,
    pub kills: u8,
    pub repays: u8,
    /// What a broken lender has said and not put aside yet: to whom, and the question.
    pub unwritten: Vec<(usize, usize, u64, u32)>,
}

/// What is left out of the program on purpose, to see that it is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// The margin between the two ends of a loan.
    Margin,
    /// The rest of a relay's own units after its start.
    Rest,
    /// The lender's putting aside before its note leaves.
    Before,
    /// That a question is answered once.
    Once,
}

impl Without {
    pub fn times(self) -> Times {
        Times { loan: LOAN, margin: if self == Without::Margin { Duration::ZERO } else { MARGIN } }
    }

    /// The rights of a process that begins. At the beginning of all nothing was lent before.
    pub fn rights(self, relay: usize, now: Duration, first: bool) -> Escrow {
        let measure = Measure::Rate { burst: UNITS, micros: 0 };
        let own = share(QUOTA, UNITS, &[0, 1, 2], relay as u16);
        let rest = if self == Without::Rest || first { now } else { now + LOAN + MARGIN * 2 };
        Escrow::new(measure, self.times(), own, rest, now)
    }

    pub fn first(self) -> State {
        State {
            rights: (0..RELAYS).map(|i| Some(self.rights(i, Duration::ZERO, true))).collect(),
            clocks: [Duration::ZERO; RELAYS],
            asked: vec![BTreeMap::new(); RELAYS],
            notes: Vec::new(),
            nonce: 0,
            steps: 0,
            asks: 0,
            kills: 0,
            repays: 0,
            unwritten: Vec::new(),
        }
    }

    pub fn next(self, s: &State) -> Vec<(String, State)> {
        let mut all = Vec::new();
        let mut add = |what: String, mut to: State| {
            to.notes.sort();
            all.push((what, to));
        };
        if s.steps < STEPS {
            add("time passes".into(), passed(s));
        }
        for i in 0..RELAYS {
            let Some(rights) = &s.rights[i] else {
                let mut to = s.clone();
                to.rights[i] = Some(self.rights(i, s.clocks[i], false));
                add(format!("{i} starts"), to);
                continue;
            };
            if s.kills < KILLS {
                let mut to = s.clone();
                to.rights[i] = None;
                to.asked[i].clear();
                to.kills += 1;
                to.unwritten.retain(|(lender, ..)| *lender != i);
                add(format!("{i} is killed, and its folder is lost"), to);
            }
            if s.asks < ASKS && s.notes.len() < NOTES {
                for to in (0..RELAYS).filter(|to| *to != i) {
                    let loans =
                        rights.loans().iter().filter(|l| usize::from(l.with) == to).map(|l| Some(l.nonce));
                    for renews in loans.chain([None]) {
                        let mut next = s.clone();
                        (next.nonce, next.asks) = (s.nonce + 1, s.asks + 1);
                        next.asked[i].insert(next.nonce, Asked { to, at: s.clocks[i], renews });
                        next.notes.push(Note::Ask { from: i, to, nonce: next.nonce, units: 2, renews });
                        add(format!("{i} asks {to} for two ({renews:?} goes over)"), next);
                    }
                }
            }
            for loan in rights.loans() {
                if s.notes.len() < NOTES && s.repays < REPAYS {
                    let mut to = s.clone();
                    to.repays += 1;
                    let rights = to.rights[i].as_mut().unwrap();
                    if let Some((left, tokens)) = rights.repay(loan.with, loan.nonce, 1, s.clocks[i]) {
                        let (to_, nonce) = (usize::from(loan.with), loan.nonce);
                        to.notes.push(Note::Repay { from: i, to: to_, nonce, left, tokens });
                        add(format!("{i} gives one back"), to);
                    }
                }
            }
        }
        // One that is lost is one that is never heard.
        for (n, note) in s.notes.iter().enumerate() {
            let mut without = s.clone();
            without.notes.remove(n);
            add(format!("heard: {note:?}"), self.heard(&without, note));
            add(format!("heard, and comes again: {note:?}"), self.heard(s, note));
        }
        for (n, (lender, to, nonce, units)) in s.unwritten.iter().enumerate() {
            let mut next = s.clone();
            next.unwritten.remove(n);
            if let Some(rights) = &mut next.rights[*lender] {
                rights.lend(*to as u16, *nonce, *units, None, s.clocks[*lender]);
            }
            add(format!("{lender} puts aside what it has said"), next);
        }
        all
    }

    pub fn heard(self, s: &State, note: &Note) -> State {
        let mut s = s.clone();
        match note.clone() {
            Note::Ask { from, to, nonce, units, renews } => {
                let now = s.clocks[to];
                let Some(rights) = &mut s.rights[to] else { return s };
                let mut said = rights.clone();
                let there = rights.granted(from as u16, nonce);
                let loan = there.or_else(|| said.lend(from as u16, nonce, units, renews, now));
                if self == Without::Before && there.is_none() {
                    s.unwritten.extend(loan.map(|l| (to, from, nonce, l.units)));
                } else {
                    *rights = said;
                }
                if let Some(l) = loan.filter(|_| s.notes.len() < NOTES) {
                    s.notes.push(Note::Grant { from: to, to: from, nonce, units: l.units, tokens: l.tokens });
                }
            }
            Note::Grant { from, to, nonce, units, tokens } => {
                let (now, asked) = (s.clocks[to], s.asked[to].get(&nonce).cloned());
                let (Some(rights), Some(asked)) = (&mut s.rights[to], asked) else { return s };
                if asked.to == from {
                    if self != Without::Once {
                        s.asked[to].remove(&nonce);
                    }
                    let said = Loan { with: from as u16, nonce, units, until: now, tokens };
                    rights.borrow(said, asked.renews, asked.at, now);
                }
            }
            Note::Repay { from, to, nonce, left, tokens } => {
                let now = s.clocks[to];
                if let Some(rights) = &mut s.rights[to] {
                    rights.repaid(from as u16, nonce, left, tokens, now);
                }
            }
        }
        s
    }
}

pub fn passed(s: &State) -> State {
    let mut to = s.clone();
    to.steps += 1;
    for (i, step) in STEP_MS.into_iter().enumerate() {
        to.clocks[i] += Duration::from_millis(step);
        if let Some(rights) = &mut to.rights[i] {
            rights.pass(to.clocks[i]);
        }
    }
    to
}
