//! Questions and their answers, over datagrams that may be lost, late, doubled and out of order.
//!
//! A question has a number of its own and is asked again by a timer that doubles, until its answer comes or its time is
//! up; one of the two always happens. An answer counts once, and only from whom was asked. Whoever answers keeps nothing:
//! a question that comes twice is answered twice. What is owed to a peer that says nothing is bounded by [`OPEN_MOST`].

use crate::life::NodeNo;
use crate::note::{Answer, Question};
use std::collections::BTreeMap;
use std::time::Duration;

/// The first pause before a question is asked again; each further one is twice as long, up to the last.
pub const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause.
pub const LAST_PAUSE: Duration = Duration::from_millis(640);
/// Questions open to one peer, at most: without a bound, a peer that is silent would gather all that is ever asked.
pub const OPEN_MOST: usize = 16;

/// A question's number.
pub type Number = u32;

/// A question on its way: to whom, by which number, what.
pub type Asked = (NodeNo, Number, Question);

/// How a question ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Heard {
    /// It was answered.
    Answer(Answer),
    /// Its time is up.
    Nothing,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Open {
    to: NodeNo,
    question: Question,
    next: Duration,
    pause: Duration,
    give_up: Duration,
}

/// The open questions of one relay.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Exchange {
    open: BTreeMap<Number, Open>,
    last: Number,
}

impl Exchange {
    /// With no question open. Numbers go on from `first`, by chance: an answer to a process that died must not pass for
    /// one to the next.
    pub fn new(first: Number) -> Exchange {
        Exchange { open: BTreeMap::new(), last: first }
    }

    /// Asks, for so long. None, and nothing is asked, if too many questions to this peer are open.
    pub fn ask(
        &mut self, to: NodeNo, question: Question, now: Duration, patience: Duration,
    ) -> Option<Number> {
        if self.open.values().filter(|o| o.to == to).count() >= OPEN_MOST {
            return None;
        }
        self.last = self.last.wrapping_add(1);
        let open = Open { to, question, next: now, pause: FIRST_PAUSE, give_up: now + patience };
        self.open.insert(self.last, open);
        Some(self.last)
    }

    /// What is to be sent now, and the questions whose time is up.
    pub fn due(&mut self, now: Duration) -> (Vec<Asked>, Vec<(NodeNo, Number)>) {
        let over: Vec<_> =
            self.open.iter().filter(|(_, o)| o.give_up <= now).map(|(n, o)| (o.to, *n)).collect();
        over.iter().for_each(|(_, n)| drop(self.open.remove(n)));
        let mut send = Vec::new();
        for (number, o) in self.open.iter_mut().filter(|(_, o)| o.next <= now) {
            (o.next, o.pause) = (now + o.pause, (o.pause * 2).min(LAST_PAUSE));
            send.push((o.to, *number, o.question.clone()));
        }
        (send, over)
    }

    /// An answer came. True if it ends a question; a doubled one, one that nobody asked for, and one that does not fit
    /// its question are nothing.
    pub fn answered(&mut self, from: NodeNo, number: Number, answer: &Answer) -> bool {
        let fits = |o: &Open| match (&o.question, answer) {
            (Question::Who, Answer::Who(..)) | (Question::Facts(_), Answer::Facts(..)) => true,
            (Question::Ids(asked), Answer::Ids(fates, _)) => asked.len() == fates.len(),
            _ => false,
        };
        let ends = self.open.get(&number).is_some_and(|o| o.to == from && fits(o));
        if ends {
            self.open.remove(&number);
        }
        ends
    }

    /// When there is something to do next.
    pub fn next(&self) -> Option<Duration> {
        self.open.values().map(|o| o.next.min(o.give_up)).min()
    }

    /// How many questions are open.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_question_is_asked_again_ever_more_slowly_and_always_ends_once() {
        let ms = Duration::from_millis;
        let mut e = Exchange::new(7);
        let n = e.ask(NodeNo(2), Question::Who, ms(0), ms(1000)).unwrap();
        let mut at = Vec::new();
        let over = loop {
            let now = e.next().unwrap();
            let (send, over) = e.due(now);
            if !over.is_empty() {
                break (now, over);
            }
            at.push(now.as_millis());
            assert_eq!(send, [(NodeNo(2), n, Question::Who)]);
        };
        assert_eq!((at, over), (vec![0, 40, 120, 280, 600], (ms(1000), vec![(NodeNo(2), n)])));
        assert!(e.next().is_none() && !e.answered(NodeNo(2), n, &Answer::Ids(vec![], 0)));
        let n = e.ask(NodeNo(2), Question::Ids(vec![1, 2]), ms(0), ms(1000)).unwrap();
        let fates = Answer::Ids(vec![None, None], 5);
        assert!(!e.answered(NodeNo(3), n, &fates) && !e.answered(NodeNo(2), n + 1, &fates));
        assert!(!e.answered(NodeNo(2), n, &Answer::Ids(vec![None], 5)));
        assert!(e.answered(NodeNo(2), n, &fates) && !e.answered(NodeNo(2), n, &fates));
    }

    #[test]
    fn a_silent_peer_is_owed_a_bounded_number_of_questions() {
        let mut e = Exchange::new(0);
        let mut ask = |to| e.ask(NodeNo(to), Question::Who, Duration::ZERO, Duration::from_secs(9));
        assert_eq!((0..100).filter(|_| ask(1).is_some()).count(), OPEN_MOST);
        assert!(ask(2).is_some());
    }
}
