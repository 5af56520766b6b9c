//! A partner that has an outage and returns cold, and several relays that call it.

use super::*;
use std::collections::BTreeSet;

/// Behaviour of a partner during an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutageKind {
    /// Refuses connections.
    ConnectionRefused,
    /// Accepts calls and never answers.
    Silent,
    /// Refuses calls without a wait.
    Overloaded,
    /// Refuses calls with a wait until the end of the outage.
    OverloadedWithWait,
    /// Answers with errors.
    Errors,
}

pub const OUTAGE_KINDS: [OutageKind; 5] = [
    OutageKind::ConnectionRefused,
    OutageKind::Silent,
    OutageKind::Overloaded,
    OutageKind::OverloadedWithWait,
    OutageKind::Errors,
];

impl OutageKind {
    /// The outcome of a call, if it is answered; `wait` is the wait reported by `OverloadedWithWait`.
    pub fn outcome(self, wait: Duration) -> Option<Outcome> {
        match self {
            OutageKind::ConnectionRefused => Some(Outcome::Unreachable),
            OutageKind::Silent => None,
            OutageKind::Overloaded => Some(Outcome::Overloaded { wait: None }),
            OutageKind::OverloadedWithWait => Some(Outcome::Overloaded { wait: Some(wait) }),
            OutageKind::Errors => Some(Outcome::Failure),
        }
    }
}

/// Accepts `rate` calls per second; for `cold` after an outage only a share that grows from `start`.
pub struct Partner {
    pub rate: f64,
    pub start: f64,
    pub cold: Duration,
    pub outage: (Duration, Duration, OutageKind),
    /// Time and relay of each call and probe.
    pub arrivals: Vec<(Duration, usize)>,
    /// Relays that saw a call or a probe fail or be refused during the outage.
    pub observers: BTreeSet<usize>,
    tokens: f64,
    at: Duration,
}

impl Partner {
    pub fn new(rate: f64, settings: &Settings, outage: (Duration, Duration, OutageKind)) -> Partner {
        let (start, cold) = (settings.start_capacity, settings.cold_time);
        Partner {
            rate,
            start,
            cold,
            outage,
            arrivals: vec![],
            observers: BTreeSet::new(),
            tokens: 1.0,
            at: START,
        }
    }

    /// Calls per second that it accepts at the given time.
    pub fn capacity(&self, now: Duration) -> f64 {
        let (from, back, _) = self.outage;
        if now < from {
            return self.rate;
        }
        let warm = (now.saturating_sub(back).as_secs_f64() / self.cold.as_secs_f64().max(0.001)).min(1.0);
        self.rate * (self.start + (1.0 - self.start) * warm)
    }

    /// Outcome of a call that arrives now; `None` if it is not answered.
    pub fn respond(&mut self, relay: usize, now: Duration) -> Option<Outcome> {
        self.arrivals.push((now, relay));
        let (from, back, how) = self.outage;
        if (from..back).contains(&now) {
            self.tokens = 0.0;
            return how.outcome(back - now);
        }
        let capacity = self.capacity(now);
        self.tokens = (self.tokens + capacity * (now - self.at).as_secs_f64()).min(capacity.max(1.0));
        self.at = now;
        if self.tokens < 1.0 {
            return Some(Outcome::Overloaded { wait: None });
        }
        self.tokens -= 1.0;
        Some(Outcome::Success)
    }

    /// A relay received the outcome of a call or a probe.
    fn record_outcome(&mut self, relay: usize, outcome: Outcome, now: Duration) {
        if outcome != Outcome::Success && (self.outage.0..self.outage.1).contains(&now) {
            self.observers.insert(relay);
        }
    }

    /// Calls in each of the given number of seconds.
    pub fn by_second(&self, from: Duration, seconds: u64) -> Vec<usize> {
        let of = |n: u64| {
            let second = from + ms(1000 * n)..from + ms(1000 * (n + 1));
            self.arrivals.iter().filter(|(t, _)| second.contains(t)).count()
        };
        (0..seconds).map(of).collect()
    }

    /// The worst window of the cold rule after the return: calls in it relative to the allowance plus two, as the
    /// rule has some slack for chance. Counted if two thirds came from relays that observed the outage.
    pub fn worst(&self, settings: &Settings) -> f64 {
        let (back, span) = (self.outage.1, settings.overload_span);
        let after: Vec<_> = self.arrivals.iter().filter(|a| a.0 >= back).collect();
        let window = |end: Duration| {
            let calls: Vec<_> = after.iter().filter(|a| a.0 <= end && a.0 + span > end).collect();
            let knowing = calls.iter().filter(|a| self.observers.contains(&a.1)).count();
            let may = 2.0 + settings.overload_factor * self.capacity(end) * span.as_secs_f64();
            if knowing * 3 >= calls.len() * 2 { calls.len() as f64 / may } else { 0.0 }
        };
        after.iter().map(|a| window(a.0)).fold(0.0, f64::max)
    }
}

/// Several relays and one partner with `servers` real servers.
pub struct Fleet {
    pub now: Duration,
    pub partner: Partner,
    pub relays: Vec<Relay>,
    pub servers: u32,
    /// Relay, flow, attempt, server, time of the send, time of the end, outcome.
    out: Vec<(usize, FlowNo, u32, ServerNo, Duration, Duration, Outcome)>,
    pub delivered: usize,
    pub failed: usize,
}

pub const TO: DestinationId = DestinationId(7);
/// Response time of the partner.
const LATENCY: Duration = Duration::from_millis(80);

impl Fleet {
    pub fn new(settings: &Settings, partner: Partner, servers: u32, seed: u64) -> Fleet {
        let relay = |n: u32| {
            let mut relay = Relay::new(settings, seed * 100 + u64::from(n), 1 << 20, START);
            relay.core.update_entries(entries(servers), true);
            relay
        };
        let relays = (0..settings.senders).map(relay).collect();
        Fleet { now: START, partner, relays, servers, out: vec![], delivered: 0, failed: 0 }
    }

    pub fn submit(&mut self, relay: usize, class: usize, life: Duration) -> Option<FlowNo> {
        self.relays[relay].submit(class, TO, self.now + life, self.now)
    }

    /// Kills a relay and restarts it at once.
    pub fn kill(&mut self, relay: usize) {
        self.out.retain(|o| o.0 != relay);
        self.relays[relay].restart(entries(self.servers), self.now);
    }

    /// Advances the clock in steps of 5 ms; `each` submits the traffic.
    pub fn advance(&mut self, time: Duration, each: &mut dyn FnMut(&mut Fleet)) {
        let until = self.now + time;
        while self.now < until {
            self.now += ms(5);
            each(self);
            let now = self.now;
            let (due, out) = std::mem::take(&mut self.out).into_iter().partition(|o| o.5 <= now);
            self.out = out;
            for (relay, flow, attempt, server, sent, _, outcome) in due {
                self.partner.record_outcome(relay, outcome, now);
                let limit = Some(LimitReport { left: 0.3, rate: self.partner.rate });
                let limit = limit.filter(|_| outcome == Outcome::Success);
                self.relays[relay]
                    .call_ended(CallEnd { limit, ..end(flow, attempt, server, outcome, now - sent) });
            }
            for relay in 0..self.relays.len() {
                if self.relays[relay].core.has_events()
                    || self.relays[relay].wakes.next().is_some_and(|at| at <= now)
                {
                    self.step(relay);
                }
            }
        }
    }

    fn step(&mut self, relay: usize) {
        let now = self.now;
        for effect in self.relays[relay].step(now, None).unwrap() {
            match effect {
                Effect::Call { flow, attempt, server, give_up_at, .. } => {
                    let response = self.partner.respond(relay, now);
                    let (at, outcome) = match response {
                        Some(outcome) if now + LATENCY < give_up_at => (now + LATENCY, outcome),
                        _ => (give_up_at, Outcome::TimedOut),
                    };
                    self.out.push((relay, flow, attempt, server, now, at, outcome));
                }
                Effect::StopCall(flow, attempt) => {
                    for o in self.out.iter_mut().filter(|o| (o.0, o.1, o.2) == (relay, flow, attempt)) {
                        (o.5, o.6) = (now, Outcome::Withdrawn);
                    }
                }
                Effect::Probe(server) => {
                    let outcome = self.partner.respond(relay, now).unwrap_or(Outcome::TimedOut);
                    self.partner.record_outcome(relay, outcome, now);
                    self.relays[relay].core.probe_ended(server, outcome, None);
                }
                Effect::Ended(_, _, End::Delivered) => self.delivered += 1,
                Effect::Ended(..) => self.failed += 1,
                _ => {}
            }
        }
    }
}

pub fn entries(servers: u32) -> Vec<EndpointInfo> {
    (1..=servers).map(|id| crate::common::entry(id, TO, 0, ListState::Live)).collect()
}
