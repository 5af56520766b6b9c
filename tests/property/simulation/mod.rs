//! Simulation of adverse events against module, core and journal, with process kills.

mod checks;
mod events;

use crate::cluster::rng::TestRng;
use crate::cluster::{self, Kill, OutageKind, Relay, RelayEffect, START};
use crate::common::*;
use crate::legal::destination_of;
use onyxstile::api::*;
use onyxstile::core::{CallEnd, End, FlowNo, ServerNo};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The rules checked by a simulation; cold returns have tests of their own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    OneAnswer,
    Bounds,
    Concurrency,
    Drains,
    Waits,
}

/// Expected state of a flow.
struct TrackedFlow {
    class: usize,
    to: DestinationId,
    deadline: Duration,
    /// Known to be held: it was accepted, or is in the journal.
    accepted: bool,
    out: Option<u32>,
    calls: u32,
    /// The first call that may have run.
    risk: Option<(Duration, ServerNo)>,
    over: bool,
    /// It was held when a process died.
    survived: bool,
}

/// Scope of a wait: a destination, or one independent route.
type LimiterId = (DestinationId, Option<ServerNo>);

fn limiter_of(server: ServerNo, to: DestinationId) -> LimiterId {
    (to, (server_destination(server.0).1 == 1).then_some(server))
}

struct Out {
    flow: FlowNo,
    attempt: u32,
    server: ServerNo,
    sent: Duration,
    give_up_at: Duration,
}

/// Applies random events to one relay and tracks what it may do.
pub struct Simulation {
    rule: Rule,
    rng: TestRng,
    settings: Settings,
    relay: Relay,
    now: Duration,
    flows: BTreeMap<FlowNo, TrackedFlow>,
    out: Vec<Out>,
    /// Last reported state of each real server, and end of the reported waits.
    listed: BTreeMap<ServerNo, (DestinationId, ListState)>,
    waits: BTreeMap<LimiterId, Duration>,
    /// Current outage of each partner, and the wait that it reports, in ms.
    outages: BTreeMap<DestinationId, Option<(OutageKind, u64)>>,
    /// Banned by operators, regardless of lists.
    banned: BTreeSet<u32>,
    probes: Vec<ServerNo>,
    ended: Vec<CallEnd>,
    killed: bool,
    seen: BTreeMap<&'static str, u64>,
}

const SERVERS: u32 = 7;
const ALL: [DestinationId; 3] = [DestinationId(7), DestinationId(8), DestinationId(9)];

/// Servers 1 to 3 belong to one destination, 4 to 6 are independent routes of another, 7 is alone at first.
fn server_destination(server: u32) -> (DestinationId, usize) {
    if server == 7 { (ALL[2], 0) } else { destination_of(server) }
}

fn random_settings(rng: &mut TestRng) -> Settings {
    let mut s = settings();
    (s.max_calls, s.max_held) = (rng.pick(&[1, 3, 12]), rng.pick(&[1, 6, 40]));
    (s.max_attempts, s.senders) = (rng.pick(&[1, 2, 12]), rng.pick(&[1, 3, 300]));
    (s.probes, s.cancelling) = (rng.percent(50), rng.percent(70));
    let group = rng.pick(&[RepeatGroup::All, RepeatGroup::Zone, RepeatGroup::Endpoint]);
    s.classes[1].effect = Effect::Keyed { group, window: ms(rng.pick(&[0, 900, 4000])) };
    for class in &mut s.classes {
        (class.target_latency, class.deadline) =
            rng.pick(&[(ms(2000), ms(9000)), (ms(0), ms(400)), (ms(3000), ms(3000))]);
    }
    (s.start_capacity, s.cold_time) = rng.pick(&[(0.2, ms(5000)), (0.0, ms(0)), (1.0, ms(1))]);
    (s.overload_factor, s.overload_span) = rng.pick(&[(2.0, ms(1000)), (0.0, ms(0))]);
    s.keepalive = ms(rng.pick(&[9000, 0]));
    s.max_client_wait = ms(rng.pick(&[0, 500, 60_000]));
    s
}

impl Simulation {
    pub fn run(rule: Rule, seed: u64) -> BTreeMap<&'static str, u64> {
        let mut rng = TestRng::new(seed);
        let settings = random_settings(&mut rng);
        // The small journal is sometimes full, and rewritten often.
        let limit = rng.pick(&[60_000, 1 << 20]);
        let relay = Relay::new(&settings, seed, limit, START);
        let mut simulation = Simulation {
            rule,
            rng,
            settings,
            relay,
            now: START,
            flows: BTreeMap::new(),
            out: vec![],
            listed: BTreeMap::new(),
            waits: BTreeMap::new(),
            outages: ALL.into_iter().map(|d| (d, None)).collect(),
            banned: BTreeSet::new(),
            probes: vec![],
            ended: vec![],
            killed: false,
            seen: BTreeMap::new(),
        };
        let complete =
            (1..=SERVERS).map(|s| simulation.entry(s, server_destination(s).0, ListState::Live)).collect();
        simulation.list(complete, true);
        for _ in 0..150 {
            simulation.advance();
            simulation.events();
        }
        // All remaining flows must end by themselves.
        let over = simulation.now + ms(9500);
        while simulation.now < over {
            simulation.advance();
        }
        simulation.step(None);
        let (flows, calls) = (simulation.relay.core.open_flows(), simulation.relay.core.open_calls());
        simulation.check(Rule::OneAnswer, flows == 0 && calls == 0, || {
            format!("{flows} flows, {calls} calls left")
        });
        let open = simulation.relay.journal.ledger().open.len();
        simulation.check(Rule::OneAnswer, open == 0, || format!("{open} flows left in the journal"));
        std::mem::take(&mut simulation.seen)
    }

    pub fn check(&self, rule: Rule, kept: bool, what: impl FnOnce() -> String) {
        assert!(kept || rule != self.rule, "{rule:?} broken at {:?}: {}", self.now - START, what());
    }

    pub fn observe(&mut self, what: &'static str, is: bool) {
        *self.seen.entry(what).or_default() += u64::from(is);
    }

    pub fn entry(&self, server: u32, destination: DestinationId, state: ListState) -> EndpointInfo {
        let banned = state == ListState::Live && self.banned.contains(&server);
        let state = if banned { ListState::Draining } else { state };
        entry(server, destination, server_destination(server).1, state)
    }

    pub fn list(&mut self, entries: Vec<EndpointInfo>, all: bool) {
        if all {
            self.listed.values_mut().for_each(|l| l.1 = ListState::Gone);
        }
        for e in &entries {
            let waiting = self.flows.values().any(|f| !f.over && f.out.is_none() && f.to == e.destination);
            self.observe("drained with messages waiting", e.state != ListState::Live && waiting);
            let calls = self.out.iter().any(|o| o.server == e.id);
            self.observe("gone with a call in flight", e.state == ListState::Gone && calls);
            let old = self.listed.insert(e.id, (e.destination, e.state));
            self.observe("moved to another destination", old.is_some_and(|l| l.0 != e.destination));
        }
        self.relay.core.update_entries(entries, all);
    }

    /// Advances to the next event; timers fire and calls time out at their exact times.
    pub fn advance(&mut self) {
        let until = self.now + ms(1 + self.rng.below(160));
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
