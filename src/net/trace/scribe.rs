//! Makes events of what goes into a step of the owner and what comes out of it. No input or output, no clock.

use crate::api::{DestinationId, Effect, Health, LimitReport, TenantId};
use crate::core::{CallEnd, End, FlowNo, Outcome};
use crate::net::listed::RawEntry;
use crate::settings::Names;
use onyxstile_trace::Batch;
use onyxstile_trace::about::NAMES;
use onyxstile_trace::events as e;
use onyxstile_trace::events::event::What;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the scribe has to know of a class.
#[derive(Debug, Clone, Copy)]
pub struct ClassTerms {
    /// What a repeat does.
    pub effect: Effect,
    /// Time within which it earns its full worth.
    pub aim: Duration,
    /// Time after which it is given up.
    pub life: Duration,
}

/// What is written of a flow with each of its events.
#[derive(Debug)]
struct Known {
    flow: e::Flow,
    since: Duration,
    aim_at: Duration,
    attempts: u32,
}

/// A flow as it comes in.
#[derive(Debug, Clone, Copy)]
pub struct Incoming<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its class, by its place.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its destination.
    pub destination: DestinationId,
    /// When it is given up.
    pub deadline: Duration,
    /// Bytes of its body.
    pub size: usize,
}

/// Makes events. Memory goes with the flows that are open or whose notices are owed, with waits and real servers.
#[derive(Debug)]
pub struct Scribe {
    sample: u32,
    names: Names,
    classes: Vec<ClassTerms>,
    flows: BTreeMap<FlowNo, Known>,
    owed: BTreeSet<FlowNo>,
    /// Waits that were told: by destination, and by real server where it binds that alone.
    waits: BTreeMap<(String, String), Duration>,
    listed: BTreeMap<String, (u64, String, e::Listed)>,
    made: Made,
}

/// The events that were made, encoded.
#[derive(Debug)]
struct Made {
    wanted: [bool; NAMES.len()],
    batch: Batch,
}

impl Made {
    fn make(&mut self, now: Duration, what: &What) {
        if self.wanted[onyxstile_trace::about::kind(what)] {
            self.batch.push(us(now), what);
        }
    }

    /// Makes an event of a flow, which is lent to it meanwhile: its names are not copied for each event.
    fn of_flow(&mut self, now: Duration, flow: &mut e::Flow, what: impl FnOnce(Option<e::Flow>) -> What) {
        let mut what = what(Some(std::mem::take(flow)));
        self.make(now, &what);
        if let Some(lent) = onyxstile_trace::about::flow_mut(&mut what).and_then(Option::take) {
            *flow = lent;
        }
    }
}

impl Scribe {
    /// `wanted`: which events; `sample`: share of flows, in millionths.
    pub fn new(wanted: [bool; NAMES.len()], sample: u32, names: Names, classes: Vec<ClassTerms>) -> Scribe {
        Scribe {
            sample,
            names,
            classes,
            flows: BTreeMap::new(),
            owed: BTreeSet::new(),
            waits: BTreeMap::new(),
            listed: BTreeMap::new(),
            made: Made { wanted, batch: Batch::default() },
        }
    }

    /// What was made since it was last emptied. Times are wall times, in microseconds since 1970.
    pub fn made(&mut self) -> &mut Batch {
        &mut self.made.batch
    }

    fn make(&mut self, now: Duration, what: What) {
        self.made.make(now, &what);
    }

    /// Whether the flow of an id is recorded: the same at every relay and in every process.
    fn sampled(&self, id: &str) -> bool {
        self.sample >= 1_000_000
            || (u64::from(crc32fast::hash(id.as_bytes())) * 1_000_000) >> 32 < u64::from(self.sample)
    }

    fn flow_of(&self, no: FlowNo, incoming: &Incoming<'_>) -> e::Flow {
        let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        e::Flow {
            number: no.0,
            class: name(&self.names.classes, incoming.class),
            customer: incoming.tenant.map(|t| name(&self.names.tenants, t.0)).unwrap_or_default(),
            destination: written(incoming.destination),
        }
    }

    /// What is to be known of a flow; its effect, time left to its aim and to its end.
    fn know(&self, no: FlowNo, incoming: &Incoming<'_>, now: Duration) -> (Known, i32, u64, u64) {
        let flow = self.flow_of(no, incoming);
        let terms = self.classes.get(incoming.class).copied();
        let lead = terms.map_or(Duration::ZERO, |t| t.life.saturating_sub(t.aim));
        let aim_at = incoming.deadline.saturating_sub(lead);
        let effect = match terms.map(|t| t.effect) {
            Some(Effect::Repeatable) => e::Effect::Repeatable,
            Some(Effect::Keyed { .. }) => e::Effect::Keyed,
            Some(Effect::Once) => e::Effect::Once,
            None => e::Effect::Unknown,
        };
        let known = Known { flow, since: now, aim_at, attempts: 0 };
        (known, effect as i32, us(aim_at.saturating_sub(now)), us(incoming.deadline.saturating_sub(now)))
    }

    /// A client handed a flow in, and it has a number.
    pub fn offered(&mut self, no: FlowNo, incoming: &Incoming<'_>, now: Duration) {
        if !self.sampled(incoming.id) {
            return;
        }
        let (mut known, effect, aim_us, life_us) = self.know(no, incoming, now);
        let (id, size) = (incoming.id.to_string(), incoming.size as u32);
        self.made.of_flow(now, &mut known.flow, |flow| {
            What::Offered(e::Offered { flow, id, life_us, aim_us, effect, size })
        });
        self.flows.insert(no, known);
    }

    /// A flow was turned away before it had a number.
    pub fn turned_away(&mut self, incoming: &Incoming<'_>, why: e::Why, wait: Duration, now: Duration) {
        if self.sampled(incoming.id) {
            let (flow, id) = (Some(self.flow_of(FlowNo(0), incoming)), incoming.id.to_string());
            let down = e::TurnedDown { flow, why: why as i32, wait_us: us(wait), id };
            self.make(now, What::TurnedDown(down));
        }
    }

    /// A flow was taken on.
    pub fn taken(&mut self, no: FlowNo, now: Duration) {
        self.of_flow(no, now, |flow| What::Taken(e::Taken { flow }));
    }

    /// A flow with a number was not taken on.
    pub fn turned_down(&mut self, no: FlowNo, why: e::Why, wait: Duration, now: Duration) {
        if let Some(known) = self.flows.remove(&no) {
            let (flow, why) = (Some(known.flow), why as i32);
            self.make(
                now,
                What::TurnedDown(e::TurnedDown { flow, why, wait_us: us(wait), id: String::new() }),
            );
        }
    }

    /// This process took up a flow.
    pub fn recovered(
        &mut self, no: FlowNo, incoming: &Incoming<'_>, attempts: u32, may_have_run: bool, now: Duration,
    ) {
        if !self.sampled(incoming.id) {
            return;
        }
        let (mut known, effect, aim_us, life_us) = self.know(no, incoming, now);
        known.attempts = attempts;
        let id = incoming.id.to_string();
        self.made.of_flow(now, &mut known.flow, |flow| {
            What::Recovered(e::Recovered { flow, id, life_us, attempts, may_have_run, effect, aim_us })
        });
        self.flows.insert(no, known);
    }

    /// A flow is over whose notice an earlier process left owed.
    pub fn owed_before(&mut self, no: FlowNo, id: &str) {
        if self.sampled(id) {
            self.owed.insert(no);
        }
    }

    fn of_flow(&mut self, no: FlowNo, now: Duration, what: impl FnOnce(Option<e::Flow>) -> What) {
        if let Some(known) = self.flows.get_mut(&no) {
            self.made.of_flow(now, &mut known.flow, what);
        }
    }

    /// An attempt was ordered.
    pub fn sent(&mut self, no: FlowNo, attempt: u32, server: String, patience: Duration, now: Duration) {
        if let Some(known) = self.flows.get_mut(&no) {
            known.attempts = attempt + 1;
            let patience_us = us(patience);
            self.made.of_flow(now, &mut known.flow, |flow| {
                What::Sent(e::Sent { flow, attempt, server, patience_us })
            });
        }
    }

    /// An attempt's end came in. `alone`: what its real server tells binds it alone.
    pub fn attempt_ended(
        &mut self, end: &CallEnd, server: String, destination: DestinationId, alone: bool, now: Duration,
    ) {
        let wait = if let Outcome::Overloaded { wait } = end.outcome { wait } else { None };
        let known_as = if wait.is_some() { server.clone() } else { String::new() };
        self.of_flow(end.flow, now, |flow| {
            What::AttemptEnded(e::AttemptEnded {
                flow,
                attempt: end.attempt,
                server,
                outcome: outcome(end.outcome) as i32,
                elapsed_us: us(end.elapsed),
                report: end.limit.map(report),
            })
        });
        if let Some(wait) = wait {
            let server = known_as;
            let destination = written(destination);
            let bound = if alone { server.clone() } else { String::new() };
            let until = self.waits.entry((destination.clone(), bound)).or_default();
            *until = (*until).max(now + wait);
            let told = e::WaitTold { destination, server, wait_us: us(wait), server_alone: alone };
            self.make(now, What::WaitTold(told));
        }
    }

    /// An attempt is not waited for any longer.
    pub fn stopped(&mut self, no: FlowNo, attempt: u32, now: Duration) {
        self.of_flow(no, now, |flow| What::AttemptStopped(e::AttemptStopped { flow, attempt }));
    }

    /// A flow's timer fired.
    pub fn timer(&mut self, no: FlowNo, firings: u32, won: bool, now: Duration) {
        self.of_flow(no, now, |flow| What::TimerFired(e::TimerFired { flow, firings, won }));
    }

    /// A real server is taken for something else.
    pub fn health(
        &mut self, server: String, destination: DestinationId, (from, to): (Health, Health),
        after: Option<Outcome>, now: Duration,
    ) {
        let (from, to) = (state(from) as i32, state(to) as i32);
        let after = after.map_or(e::Outcome::Unknown, outcome) as i32;
        let destination = written(destination);
        self.make(now, What::Health(e::Health { server, destination, from, to, after }));
    }

    /// A probe goes out, or was answered.
    pub fn probed(
        &mut self, server: String, destination: DestinationId, end: Option<(Outcome, Option<LimitReport>)>,
        now: Duration,
    ) {
        let destination = written(destination);
        let result = end.map_or(e::Outcome::Unknown, |(o, _)| outcome(o)) as i32;
        let report = end.and_then(|(_, r)| r).map(report);
        self.make(now, What::Probed(e::Probed { server, destination, outcome: result, report }));
    }

    /// The list of real servers, whole or what has changed; only what is news becomes an event.
    pub fn listed<'a>(&mut self, entries: impl Iterator<Item = &'a RawEntry>, whole: bool, now: Duration) {
        let mut seen = BTreeSet::new();
        let mut news = Vec::new();
        for raw in entries {
            let state = match raw.state.as_str() {
                "up" => e::Listed::Up,
                "draining" => e::Listed::Draining,
                _ => e::Listed::Removed,
            };
            seen.insert(raw.uid.clone());
            let line = (raw.pod_group, raw.endpoint.clone(), state);
            let known = self.listed.get(&raw.uid);
            if known != Some(&line) && (known.is_some() || state != e::Listed::Removed) {
                news.push((raw.uid.clone(), line));
            }
        }
        if whole {
            for (uid, (group, address, _)) in self.listed.iter().filter(|(uid, _)| !seen.contains(*uid)) {
                news.push((uid.clone(), (*group, address.clone(), e::Listed::Removed)));
            }
        }
        for (server, line) in news {
            let (destination, address, state) =
                (written(DestinationId(line.0)), line.1.clone(), line.2 as i32);
            if line.2 == e::Listed::Removed {
                self.listed.remove(&server);
            } else {
                self.listed.insert(server.clone(), line);
            }
            self.make(now, What::ListChanged(e::ListChanged { server, destination, address, state }));
        }
    }

    /// The operator's file was read again.
    pub fn configuration(&mut self, servers: usize, now: Duration) {
        let changed = e::ConfigurationChanged { taken: true, servers: servers as u32 };
        self.make(now, What::ConfigurationChanged(changed));
    }

    /// A flow is over; whether a notice is owed for it.
    pub fn ended(&mut self, no: FlowNo, end: End, owed: bool, now: Duration) {
        let Some(mut known) = self.flows.remove(&no) else { return };
        let kind = match end {
            End::Delivered => e::End::Delivered,
            End::Failed => e::End::Failed,
            End::Returned(_) => e::End::Returned,
            End::Over => e::End::Over,
        };
        let (since, aim_at, attempts) = (known.since, known.aim_at, known.attempts);
        self.made.of_flow(now, &mut known.flow, |flow| {
            What::Ended(e::Ended {
                flow,
                end: kind as i32,
                elapsed_us: us(now.saturating_sub(since)),
                attempts,
                wait_us: if let End::Returned(wait) = end { us(wait) } else { 0 },
                late: end == End::Delivered && now > aim_at,
            })
        });
        if owed {
            self.owed.insert(no);
            self.make(now, What::NoticeOwed(e::NoticeOwed { flow: Some(known.flow) }));
        }
    }

    /// Notices were heard.
    pub fn heard(&mut self, flows: &[FlowNo], now: Duration) {
        for no in flows {
            if self.owed.remove(no) {
                self.make(now, What::NoticeHeard(e::NoticeHeard { number: no.0 }));
            }
        }
    }

    /// The program's phase.
    pub fn phase(&mut self, stage: e::Stage, now: Duration) {
        self.make(now, What::Phase(e::Phase { stage: stage as i32 }));
    }

    /// Tells of waits that are over by now.
    pub fn pass(&mut self, now: Duration) {
        if self.waits.values().any(|until| *until <= now) {
            let waits = std::mem::take(&mut self.waits);
            let (over, rest): (BTreeMap<_, _>, _) = waits.into_iter().partition(|(_, until)| *until <= now);
            self.waits = rest;
            for (destination, server) in over.into_keys() {
                self.make(now, What::WaitEnded(e::WaitEnded { destination, server }));
            }
        }
    }
}

/// A destination's name: its number, with a word before it for those of mail.
fn written(destination: DestinationId) -> String {
    let number = crate::net::mail::written(destination);
    if number == destination.0 { number.to_string() } else { format!("mail:{number}") }
}

fn us(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn report(r: LimitReport) -> e::Report {
    let left = (r.left.clamp(0.0, 1.0) * 1e6) as u32;
    e::Report { left, per_1000_s: (r.rate.clamp(0.0, 1e12) * 1e3) as u64 }
}

fn state(health: Health) -> e::State {
    match health {
        Health::Well => e::State::Well,
        Health::Warming(_) => e::State::Warming,
        Health::Down => e::State::Down,
    }
}

fn outcome(outcome: Outcome) -> e::Outcome {
    match outcome {
        Outcome::Success => e::Outcome::Success,
        Outcome::Failure => e::Outcome::Failure,
        Outcome::Overloaded { .. } => e::Outcome::Overloaded,
        Outcome::TimedOut => e::Outcome::TimedOut,
        Outcome::Unreachable => e::Outcome::Unreachable,
        Outcome::Broken => e::Outcome::Broken,
        Outcome::Withdrawn => e::Outcome::Withdrawn,
        Outcome::Void => e::Outcome::Void,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALL: [bool; NAMES.len()] = [true; NAMES.len()];

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn scribe(wanted: [bool; NAMES.len()], sample: u32) -> Scribe {
        let names = Names { classes: vec!["order".into()], tenants: vec!["t".into()], ..Names::default() };
        let class = ClassTerms { effect: Effect::Once, aim: ms(100), life: ms(1000) };
        Scribe::new(wanted, sample, names, vec![class])
    }

    fn incoming(id: &str) -> Incoming<'_> {
        let (tenant, destination) = (Some(TenantId(0)), DestinationId(7));
        Incoming { id, class: 0, tenant, destination, deadline: ms(3000), size: 5 }
    }

    fn taken(scribe: &mut Scribe) -> Vec<e::Event> {
        let made = scribe.made().events().collect();
        scribe.made().clear();
        made
    }

    fn kinds(scribe: &mut Scribe) -> Vec<&'static str> {
        taken(scribe).iter().map(onyxstile_trace::about::name).collect()
    }

    #[test]
    fn a_flow_s_events_name_it_and_nothing_is_kept_when_it_is_over() {
        let mut s = scribe(ALL, 1_000_000);
        s.offered(FlowNo(1), &incoming("a"), ms(2000));
        s.taken(FlowNo(1), ms(2000));
        s.sent(FlowNo(1), 0, "s".into(), ms(50), ms(2001));
        let wait = Outcome::Overloaded { wait: Some(ms(40)) };
        let end = |outcome| CallEnd {
            flow: FlowNo(1),
            attempt: 0,
            server: crate::core::ServerNo(0),
            outcome,
            finished: None,
            elapsed: ms(9),
            limit: None,
        };
        s.attempt_ended(&end(wait), "s".into(), DestinationId(7), false, ms(2010));
        s.pass(ms(2049));
        s.pass(ms(2050));
        s.timer(FlowNo(1), 1, true, ms(2060));
        s.ended(FlowNo(1), End::Failed, true, ms(2150));
        s.heard(&[FlowNo(1), FlowNo(2)], ms(2160));
        let made = taken(&mut s);
        for event in &made {
            let its = onyxstile_trace::about::about(event);
            let heard = matches!(event.what, Some(What::NoticeHeard(_)));
            assert!(heard || its.destination == "7", "{event:?}");
        }
        let names: Vec<_> = made.iter().map(onyxstile_trace::about::name).collect();
        let expected = [
            "offered",
            "taken",
            "sent",
            "attempt_ended",
            "wait_told",
            "wait_ended",
            "timer_fired",
            "ended",
            "notice_owed",
            "notice_heard",
        ];
        assert_eq!(names, expected);
        let Some(What::Offered(o)) = &made[0].what else { panic!() };
        assert_eq!((o.life_us, o.aim_us, o.effect), (1_000_000, 100_000, e::Effect::Once as i32));
        assert!(s.flows.is_empty() && s.owed.is_empty() && s.waits.is_empty());
        // Late by its aim, not by its end.
        for (at, late) in [(2100, false), (2101, true)] {
            s.offered(FlowNo(2), &incoming("b"), ms(2000));
            s.ended(FlowNo(2), End::Delivered, false, ms(at));
            let Some(What::Ended(e)) = taken(&mut s).pop().unwrap().what else { panic!() };
            assert_eq!((e.late, e.elapsed_us), (late, (at - 2000) * 1000));
        }
    }

    #[test]
    fn a_sample_takes_whole_flows_and_the_same_ones_everywhere() {
        let (mut a, mut b) = (scribe(ALL, 100_000), scribe(ALL, 100_000));
        let mut some = 0;
        for n in 0..2000 {
            let id = format!("flow-{n}");
            a.offered(FlowNo(n), &incoming(&id), ms(2000));
            a.taken(FlowNo(n), ms(2000));
            a.ended(FlowNo(n), End::Failed, true, ms(2001));
            a.heard(&[FlowNo(n)], ms(2002));
            let made = kinds(&mut a);
            assert!(made.is_empty() || made.len() == 5, "{made:?}");
            b.recovered(FlowNo(n), &incoming(&id), 1, true, ms(2500));
            assert_eq!(kinds(&mut b).len(), made.len() / 5);
            some += made.len() / 5;
        }
        assert!((120..280).contains(&some), "{some}");
        let mut few = [false; NAMES.len()];
        few[14] = true;
        let mut s = scribe(few, 1_000_000);
        s.offered(FlowNo(1), &incoming("a"), ms(2000));
        s.ended(FlowNo(1), End::Delivered, false, ms(2001));
        assert_eq!(kinds(&mut s), ["ended"]);
    }

    #[test]
    fn only_news_of_the_list_is_told() {
        let mut s = scribe(ALL, 1_000_000);
        let raw = |uid: &str, state: &str| RawEntry {
            uid: uid.into(),
            endpoint: "127.0.0.1:1".into(),
            az: String::new(),
            model: String::new(),
            pod_group: 7,
            state: state.into(),
            capacity_hint: 0.0,
        };
        let mut told = |list: &[RawEntry], whole| {
            s.listed(list.iter(), whole, ms(1));
            let state = |e: e::Event| match e.what {
                Some(What::ListChanged(c)) => (c.server, c.state),
                _ => panic!(),
            };
            taken(&mut s).into_iter().map(state).collect::<Vec<_>>()
        };
        let (up, gone) = (e::Listed::Up as i32, e::Listed::Removed as i32);
        let both = [raw("a", "up"), raw("b", "up")];
        assert_eq!(told(&both, true), [("a".into(), up), ("b".into(), up)]);
        assert_eq!(told(&both, true), []);
        assert_eq!(
            told(&[raw("a", "draining"), raw("x", "removed")], false),
            [("a".into(), e::Listed::Draining as i32)]
        );
        assert_eq!(told(&[raw("a", "draining")], true), [("b".into(), gone)]);
        assert_eq!(told(&[raw("a", "removed")], false), [("a".into(), gone)]);
    }
}
