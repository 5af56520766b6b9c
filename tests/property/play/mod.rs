//! A play of hostile events against module, core and journal, through kills.

mod checks;
mod events;

use crate::common::*;
use crate::legal::home;
use crate::stage::dice::Dice;
use crate::stage::{self, Away, Does, Kill, Relay, START};
use onyxstile::api::*;
use onyxstile::core::{CallEnd, End, FlowNo, ServerNo};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The rules of the brief that a play is watched for; the cold partner has plays of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    OneAnswer,
    Bounds,
    SideBySide,
    Drains,
    Waits,
}

/// A flow as the world knows it.
struct Owed {
    class: usize,
    to: DestinationId,
    deadline: Duration,
    /// It is known to be held: it was promised, or is in the journal.
    taken: bool,
    out: Option<u32>,
    calls: u32,
    /// The first call that may have run.
    risk: Option<(Duration, ServerNo)>,
    over: bool,
    /// It was held when a process died.
    survived: bool,
}

/// What a told wait binds: a destination, or a route where they are apart.
type Bound = (DestinationId, Option<ServerNo>);

fn bound(server: ServerNo, to: DestinationId) -> Bound {
    (to, (place(server.0).1 == 1).then_some(server))
}

struct Out {
    flow: FlowNo,
    attempt: u32,
    server: ServerNo,
    sent: Duration,
    give_up_at: Duration,
}

/// Plays random events against one relay and keeps an account of what it may do.
pub struct Play {
    rule: Rule,
    dice: Dice,
    settings: Settings,
    relay: Relay,
    now: Duration,
    owed: BTreeMap<FlowNo, Owed>,
    out: Vec<Out>,
    /// What each real server was last said to be, and until when waits were told.
    listed: BTreeMap<ServerNo, (DestinationId, ListState)>,
    waits: BTreeMap<Bound, Duration>,
    /// How a partner is away at the moment, and the wait that it tells, in ms.
    moods: BTreeMap<DestinationId, Option<(Away, u64)>>,
    /// Banned by operators, whatever lists say.
    banned: BTreeSet<u32>,
    probes: Vec<ServerNo>,
    ended: Vec<CallEnd>,
    killed: bool,
    seen: BTreeMap<&'static str, u64>,
}

const SERVERS: u32 = 7;
const ALL: [DestinationId; 3] = [DestinationId(7), DestinationId(8), DestinationId(9)];

/// Servers 1 to 3 are one destination, 4 to 6 routes apart of another, 7 is alone at first.
fn place(server: u32) -> (DestinationId, usize) {
    if server == 7 { (ALL[2], 0) } else { home(server) }
}

fn drawn(dice: &mut Dice) -> Settings {
    let mut s = settings();
    (s.max_calls, s.max_held) = (dice.pick(&[1, 3, 12]), dice.pick(&[1, 6, 40]));
    (s.max_attempts, s.senders) = (dice.pick(&[1, 2, 12]), dice.pick(&[1, 3, 300]));
    (s.probes, s.cancelling) = (dice.percent(50), dice.percent(70));
    let group = dice.pick(&[RepeatGroup::All, RepeatGroup::Zone, RepeatGroup::Endpoint]);
    s.classes[1].effect = Effect::Keyed { group, window: ms(dice.pick(&[0, 900, 4000])) };
    for class in &mut s.classes {
        (class.aim, class.deadline) =
            dice.pick(&[(ms(2000), ms(9000)), (ms(0), ms(400)), (ms(3000), ms(3000))]);
    }
    (s.start_capacity, s.cold_time) = dice.pick(&[(0.2, ms(5000)), (0.0, ms(0)), (1.0, ms(1))]);
    (s.overload_factor, s.overload_span) = dice.pick(&[(2.0, ms(1000)), (0.0, ms(0))]);
    s.keepalive = ms(dice.pick(&[9000, 0]));
    s.max_client_wait = ms(dice.pick(&[0, 500, 60_000]));
    s
}

impl Play {
    pub fn run(rule: Rule, seed: u64) -> BTreeMap<&'static str, u64> {
        let mut dice = Dice::new(seed);
        let settings = drawn(&mut dice);
        // The small journal is full at times, and rewritten often.
        let limit = dice.pick(&[60_000, 1 << 20]);
        let relay = Relay::new(&settings, seed, limit, START);
        let mut play = Play {
            rule,
            dice,
            settings,
            relay,
            now: START,
            owed: BTreeMap::new(),
            out: vec![],
            listed: BTreeMap::new(),
            waits: BTreeMap::new(),
            moods: ALL.into_iter().map(|d| (d, None)).collect(),
            banned: BTreeSet::new(),
            probes: vec![],
            ended: vec![],
            killed: false,
            seen: BTreeMap::new(),
        };
        let whole = (1..=SERVERS).map(|s| play.entry(s, place(s).0, ListState::Live)).collect();
        play.list(whole, true);
        for _ in 0..150 {
            play.pass();
            play.events();
        }
        // Whatever is left ends by itself.
        let over = play.now + ms(9500);
        while play.now < over {
            play.pass();
        }
        play.step(None);
        let (flows, calls) = (play.relay.core.open_flows(), play.relay.core.open_calls());
        play.law(Rule::OneAnswer, flows == 0 && calls == 0, || format!("{flows} flows, {calls} calls left"));
        let open = play.relay.journal.ledger().open.len();
        play.law(Rule::OneAnswer, open == 0, || format!("{open} flows left in the journal"));
        std::mem::take(&mut play.seen)
    }

    pub fn law(&self, rule: Rule, kept: bool, what: impl FnOnce() -> String) {
        assert!(kept || rule != self.rule, "{rule:?} broken at {:?}: {}", self.now - START, what());
    }

    pub fn saw(&mut self, what: &'static str, is: bool) {
        *self.seen.entry(what).or_default() += u64::from(is);
    }

    pub fn entry(&self, server: u32, destination: DestinationId, state: ListState) -> EndpointInfo {
        let banned = state == ListState::Live && self.banned.contains(&server);
        let state = if banned { ListState::Draining } else { state };
        line(server, destination, place(server).1, state)
    }

    pub fn list(&mut self, entries: Vec<EndpointInfo>, all: bool) {
        if all {
            self.listed.values_mut().for_each(|l| l.1 = ListState::Gone);
        }
        for e in &entries {
            let waiting = self.owed.values().any(|f| !f.over && f.out.is_none() && f.to == e.destination);
            self.saw("drained with messages waiting", e.state != ListState::Live && waiting);
            let calls = self.out.iter().any(|o| o.server == e.id);
            self.saw("gone with a call out", e.state == ListState::Gone && calls);
            let old = self.listed.insert(e.id, (e.destination, e.state));
            self.saw("moved to another destination", old.is_some_and(|l| l.0 != e.destination));
        }
        self.relay.core.take_entries(entries, all);
    }

    /// Time goes on to the next event: timers fire and calls time out at their own moments.
    pub fn pass(&mut self) {
        let until = self.now + ms(1 + self.dice.below(160));
        loop {
            let due = self.out.iter().map(|o| o.give_up_at).chain(self.relay.wakes.next()).min();
            let Some(due) = due.filter(|t| *t <= until) else { break };
            self.now = self.now.max(due);
            for n in
                (0..self.out.len()).rev().filter(|n| self.out[*n].give_up_at <= self.now).collect::<Vec<_>>()
            {
                self.end(n, Outcome::TimedOut);
            }
            self.step(None);
        }
        self.now = until;
    }
}
