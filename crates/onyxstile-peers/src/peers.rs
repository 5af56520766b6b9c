//! All that one relay does about the others, behind one door: datagrams, questions and the clock in, datagrams and news
//! out.

use crate::door::{Counts, Effect, Own, Terms};
use crate::exchange::{Exchange, Heard, Number};
use crate::life::{Comeback, Life, NodeNo};
use crate::members::{Found, Members};
use crate::note::{About, Answer, FACTS_MAX, Letter, Note, Question};
use crate::roster::Roster;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Questions of one relay that are answered in a second, at most; more are dropped, and asked again if they matter.
const ANSWERED_A_SECOND: f64 = 200.0;

/// What one relay knows of the others.
#[derive(Debug)]
pub struct Peers {
    terms: Terms,
    members: Members,
    exchange: Exchange,
    /// What is known of each relay.
    pub roster: Roster,
    /// Answers that may still be given in this second, by relay.
    allowance: Vec<(f64, Duration)>,
    counts: Counts,
    /// Relays that are gone for good, by an operator's word, and since when that is known.
    gone: BTreeMap<NodeNo, Duration>,
}

impl Peers {
    /// A relay that has heard of none so far.
    pub fn new(terms: Terms, now: Duration) -> Peers {
        let Terms { node, life, relays, seed, .. } = terms;
        Peers {
            terms,
            members: Members::new(node, life, relays, seed, now),
            exchange: Exchange::new(seed as u32),
            roster: Roster::default(),
            allowance: vec![(ANSWERED_A_SECOND, now); relays.into()],
            counts: Counts::default(),
            gone: BTreeMap::new(),
        }
    }

    /// By an operator's word these are gone for good, and no others.
    pub fn set_gone(&mut self, gone: &BTreeSet<NodeNo>, now: Duration) {
        let since = |node: &NodeNo| self.gone.get(node).copied().unwrap_or(now);
        self.gone = gone.iter().map(|node| (*node, since(node))).collect();
    }

    /// How long a relay has been gone for good: since the word, and since it was last heard, for then it was not. What
    /// is handed in after that it cannot have.
    pub fn gone_for(&self, node: NodeNo, now: Duration) -> Option<Duration> {
        let heard = self.roster.get(node).and_then(|s| s.heard).unwrap_or_default();
        self.gone.get(&node).map(|since| now.saturating_sub(heard.max(*since)))
    }

    /// All other relays.
    pub fn others(&self) -> impl Iterator<Item = NodeNo> + use<> {
        let me = self.terms.node;
        (0..self.terms.relays).map(NodeNo).filter(move |n| *n != me)
    }

    /// Asks a relay. The end comes as [`Effect::Heard`]; none if too much is open there already.
    pub fn ask(
        &mut self, to: NodeNo, question: Question, now: Duration, patience: Duration,
    ) -> Option<Number> {
        self.exchange.ask(to, question, now, patience)
    }

    /// A datagram came.
    pub fn take(&mut self, bytes: &[u8], own: &dyn Own, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.counts.came += 1;
        let letter = Letter::read(bytes);
        let letter = letter.filter(|l| l.fleet == self.terms.fleet);
        let letter = letter.filter(|l| l.from != self.terms.node && l.from.0 < self.terms.relays);
        let Some(Letter { from, life, note, .. }) = letter else {
            self.counts.dropped += 1;
            return effects;
        };
        let turn = self.roster.life(from, life, true, now);
        effects.extend(turn.map(|t| Effect::Turn(from, t)));
        match note {
            Note::Swim(bytes) => {
                let (mut out, mut found) = (Vec::new(), Vec::new());
                if !self.members.take(&bytes, now, &mut out, &mut found) {
                    self.counts.dropped += 1;
                }
                self.pass_on(out, found, now, &mut effects);
            }
            Note::Ask(number, question) => {
                let (left, at) = &mut self.allowance[usize::from(from.0)];
                let more = (now.saturating_sub(*at)).as_secs_f64() * ANSWERED_A_SECOND;
                (*left, *at) = ((*left + more).min(ANSWERED_A_SECOND), now);
                if *left < 1.0 {
                    self.counts.dropped += 1;
                    return effects;
                }
                *left -= 1.0;
                let before = self.roster.get(from).and_then(|s| s.known.but_for(&life));
                let answer = self.answer(question, before, own);
                self.send(from, Note::Tell(number, answer), &mut effects);
            }
            Note::Tell(number, answer) => {
                if self.exchange.answered(from, number, &answer) {
                    if let Answer::Who(about, of_me) = &answer {
                        self.roster.about(from, *about, now);
                        let mine = self.members.life();
                        // Somebody went on from where this folder stands: it is behind.
                        let later = of_me.filter(|l| Comeback::of(Some(l), &mine) == Comeback::OldCopy);
                        effects.extend(later.map(Effect::Overtaken));
                    }
                    effects.push(Effect::Heard(from, number, Heard::Answer(answer)));
                }
            }
        }
        effects
    }

    fn answer(&self, question: Question, before: Option<Life>, own: &dyn Own) -> Answer {
        match question {
            Question::Who => Answer::Who(About { life: self.members.life(), ..own.about() }, before),
            Question::Facts(from) => {
                let facts = own.facts();
                let rest = facts.get(usize::from(from)..).unwrap_or_default();
                Answer::Facts(rest.iter().take(FACTS_MAX).copied().collect(), rest.len() > FACTS_MAX)
            }
            Question::Ids(ids) => Answer::Ids(ids.iter().map(|id| own.fate(*id)).collect(), own.whole_s()),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        let (mut effects, mut out, mut found) = (Vec::new(), Vec::new(), Vec::new());
        if self.members.next() <= now {
            self.members.tick(now, &mut out, &mut found);
            self.pass_on(out, found, now, &mut effects);
        }
        let (send, over) = self.exchange.due(now);
        for (to, number, question) in send {
            self.send(to, Note::Ask(number, question), &mut effects);
        }
        effects.extend(over.into_iter().map(|(to, number)| Effect::Heard(to, number, Heard::Nothing)));
        effects
    }

    /// When [`Peers::tick`] has something to do.
    pub fn next(&self) -> Duration {
        let members = self.members.next();
        self.exchange.next().map_or(members, |at| at.min(members))
    }

    /// The life that this relay goes by.
    pub fn life(&self) -> Life {
        self.members.life()
    }

    /// This relay goes on as another life: its folder was an old copy, and has been given up.
    pub fn become_life(&mut self, life: Life, now: Duration) -> Vec<Effect> {
        let (mut effects, mut out) = (Vec::new(), Vec::new());
        self.members.become_life(life, now, &mut out);
        self.pass_on(out, Vec::new(), now, &mut effects);
        effects
    }

    /// What came and went so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn pass_on(
        &mut self, out: Vec<(NodeNo, Vec<u8>)>, found: Vec<Found>, now: Duration, effects: &mut Vec<Effect>,
    ) {
        for (to, bytes) in out {
            self.send(to, Note::Swim(bytes), effects);
        }
        for news in found {
            let turn = match news {
                Found::Up(node, life) => {
                    let turn = self.roster.life(node, life, false, now);
                    let back = self.roster.up(node, true);
                    turn.or(back).map(|t| (node, t))
                }
                // Word of an older life's end says nothing of the one that is there now.
                Found::Down(node, life) => {
                    let its = self.roster.get(node).is_some_and(|s| s.known.life.same_process(&life));
                    self.roster.up(node, !its).filter(|_| its).map(|t| (node, t))
                }
                Found::Back(_) => None,
            };
            effects.extend(turn.map(|(node, t)| Effect::Turn(node, t)));
        }
    }

    fn send(&mut self, to: NodeNo, note: Note, effects: &mut Vec<Effect>) {
        let letter =
            Letter { fleet: self.terms.fleet, from: self.terms.node, life: self.members.life(), note };
        if let Some(bytes) = letter.write() {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            effects.push(Effect::Send(to, bytes));
        }
    }
}
