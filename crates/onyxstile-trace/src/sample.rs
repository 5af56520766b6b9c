//! A made-up trace to try the tools on: customers, partners with limits and outages, a restart in the middle.
//!
//! It is drawn from a seed, runs on a clock of its own, and keeps the relay's rules, so that `verify` finds nothing
//! in it. Figures in it say nothing of any relay.

use crate::events::event::What;
use crate::events::*;
use crate::writer::{Options, Writer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};

/// What a sample is drawn by.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The same seed gives the same file.
    pub seed: u64,
    /// Flows that are handed in.
    pub flows: u64,
    /// Customers that they come from.
    pub customers: u64,
    /// Flows a second.
    pub per_s: f64,
    /// The relay's name.
    pub relay: String,
    /// Wall time of its start, microseconds since 1970.
    pub start_us: u64,
}

impl Wanted {
    /// So many flows of fifty customers, four hundred a second.
    pub fn of(seed: u64, flows: u64) -> Wanted {
        // 2026-07-14 14:00 UTC: an afternoon.
        let start_us = 1_784_037_600_000_000;
        Wanted { seed, flows, customers: 50, per_s: 400.0, relay: "relay-a".into(), start_us }
    }
}

const CUSTOMERS: [&str; 10] = [
    "rustavi-steel",
    "kutaisi-auto",
    "batumi-port",
    "telavi-wine",
    "gori-textile",
    "poti-grain",
    "zugdidi-tea",
    "marneuli-dairy",
    "borjomi-water",
    "senaki-rail",
];
const CLASSES: [(&str, Effect, u64, u64, u64); 3] = [
    ("order", Effect::Once, 2_000_000, 20_000_000, 5000),
    ("update", Effect::Keyed, 5_000_000, 40_000_000, 2000),
    ("ping", Effect::Repeatable, 1_000_000, 8_000_000, 500),
];
const DESTINATIONS: u64 = 12;
const SERVERS: u64 = 3;
/// After so long an attempt is given up, microseconds.
const HANG: u64 = 2_000_000;

/// Something that will happen.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrives,
    Answered(u64, u32, u64, u64),
    Timer(u64),
    WaitOver(String),
    Drains(u64),
    Returns(u64),
    Restarts,
    Heard(u64),
    Well(u64),
}

struct Open {
    flow: Flow,
    class: usize,
    taken: u64,
    until: u64,
    attempts: u32,
    out: bool,
    firings: u32,
    id: String,
}

struct Partner {
    /// Refuses above this many calls a second.
    limit: u64,
    calls: (u64, u64),
    wait_until: u64,
    /// From when to when it hangs.
    hangs: (u64, u64),
    down: BTreeSet<u64>,
    drains: BTreeSet<u64>,
}

struct Play<'a, W> {
    wanted: &'a Wanted,
    rng: Pcg64Mcg,
    writer: Writer<W>,
    now: u64,
    due: BTreeSet<(u64, u64, Due)>,
    order: u64,
    open: BTreeMap<u64, Open>,
    partners: BTreeMap<u64, Partner>,
    arrived: u64,
    next: u64,
    restarted: bool,
}

/// Writes a sample.
///
/// # Errors
/// Those of what is written to.
pub fn sample<W: Write>(wanted: &Wanted, to: W, options: Options) -> io::Result<W> {
    let mut rng = Pcg64Mcg::seed_from_u64(wanted.seed);
    let mut file_id = vec![0; 16];
    rng.fill_bytes(&mut file_id);
    let class = |c: &(&str, Effect, u64, u64, u64)| Class {
        name: c.0.into(),
        worth: c.4,
        late: 300,
        aim_us: c.2,
        life_us: c.3,
    };
    let header = FileHeader {
        file_id,
        relay: wanted.relay.clone(),
        start_us: wanted.start_us,
        start_mono_us: 0,
        process_start_us: wanted.start_us,
        program: "onyxstile trace sample".into(),
        sampled: 1_000_000,
        classes: CLASSES.iter().map(class).collect(),
        ..FileHeader::default()
    };
    let writer = Writer::new(to, &header, options)?;
    let span = (wanted.flows as f64 / wanted.per_s * 1e6) as u64;
    let mut partners = BTreeMap::new();
    for n in 0..DESTINATIONS {
        let begin = rng.next_u64() % span.max(1);
        let hangs = if n % 4 == 1 { (begin, begin + span / 10) } else { (0, 0) };
        let limit = (wanted.per_s / DESTINATIONS as f64 * if n % 3 == 0 { 0.8 } else { 1.6 }).ceil() as u64;
        let (down, drains) = (BTreeSet::new(), BTreeSet::new());
        partners.insert(n, Partner { limit, calls: (0, 0), wait_until: 0, hangs, down, drains });
    }
    let (open, due) = (BTreeMap::new(), BTreeSet::new());
    let mut play = Play {
        wanted,
        rng,
        writer,
        now: 0,
        due,
        order: 0,
        open,
        partners,
        arrived: 0,
        next: 1,
        restarted: false,
    };
    play.event(What::Phase(Phase { stage: Stage::Serving as i32 }))?;
    for n in 0..DESTINATIONS * SERVERS {
        play.list(n, Listed::Up)?;
    }
    play.at(0, Due::Arrives);
    play.at(span / 3, Due::Drains(5));
    play.at(span / 2, Due::Restarts);
    play.run()?;
    play.event(What::Phase(Phase { stage: Stage::Draining as i32 }))?;
    play.event(What::Phase(Phase { stage: Stage::Stopped as i32 }))?;
    play.writer.finish()
}

fn server_name(n: u64) -> String {
    format!("ep-{}-{}", n / SERVERS, ["a", "b", "c"][(n % SERVERS) as usize])
}

fn destination_name(n: u64) -> String {
    (100 + n).to_string()
}

impl<W: Write> Play<'_, W> {
    fn event(&mut self, what: What) -> io::Result<()> {
        self.writer.push(&Event { at_us: self.now, source: 0, what: Some(what) })
    }

    fn at(&mut self, at: u64, due: Due) {
        self.order += 1;
        self.due.insert((at.max(self.now), self.order, due));
    }

    fn roll(&mut self, of: u64) -> u64 {
        self.rng.next_u64() % of.max(1)
    }

    fn list(&mut self, n: u64, state: Listed) -> io::Result<()> {
        let (server, destination) = (server_name(n), destination_name(n / SERVERS));
        let address = format!("10.0.{}.{}:8080", n / SERVERS, n % SERVERS + 1);
        self.event(What::ListChanged(ListChanged { server, destination, address, state: state as i32 }))
    }

    fn run(&mut self) -> io::Result<()> {
        while let Some((at, _, due)) = self.due.pop_first() {
            self.now = self.now.max(at);
            match due {
                Due::Arrives => self.arrive()?,
                Due::Answered(flow, attempt, server, time) => self.answered((flow, attempt), server, time)?,
                Due::Timer(flow) => self.timer(flow)?,
                Due::WaitOver(destination) => {
                    self.event(What::WaitEnded(WaitEnded { destination, server: String::new() }))?;
                }
                Due::Drains(n) => {
                    self.partners.get_mut(&(n / SERVERS)).map(|p| p.drains.insert(n));
                    self.list(n, Listed::Draining)?;
                    self.at(self.now + 5_000_000, Due::Returns(n));
                }
                Due::Returns(n) => {
                    self.partners.get_mut(&(n / SERVERS)).map(|p| p.drains.remove(&n));
                    self.list(n, Listed::Up)?;
                }
                Due::Restarts => self.restart()?,
                Due::Well(n) => {
                    self.partners.get_mut(&(n / SERVERS)).map(|p| p.down.remove(&n));
                    let (from, to) = (State::Down as i32, State::Well as i32);
                    let (server, destination) = (server_name(n), destination_name(n / SERVERS));
                    let after = Outcome::Success as i32;
                    self.event(What::Health(Health { server, destination, from, to, after }))?;
                }
                Due::Heard(number) => self.event(What::NoticeHeard(NoticeHeard { number }))?,
            }
        }
        Ok(())
    }

    fn arrive(&mut self) -> io::Result<()> {
        if self.arrived >= self.wanted.flows {
            return Ok(());
        }
        self.arrived += 1;
        let gap =
            (-(1.0 - self.rng.next_u32() as f64 / 4_294_967_296.0).ln() / self.wanted.per_s * 1e6) as u64;
        self.at(self.now + gap, Due::Arrives);
        // A few customers bring most.
        let low = self.roll(self.wanted.customers).min(self.roll(self.wanted.customers));
        let customer = match CUSTOMERS.get(low as usize) {
            Some(name) => name.to_string(),
            None => format!("customer-{low}"),
        };
        let class = [0, 0, 1, 1, 1, 2][self.roll(6) as usize];
        let (name, effect, aim_us, life_us, _) = CLASSES[class];
        let number = self.next;
        self.next += 1;
        let destination = destination_name(self.roll(DESTINATIONS));
        let flow = Flow { number, class: name.into(), customer, destination };
        let id = format!("{:016x}", self.rng.next_u64());
        let offered = Offered {
            flow: Some(flow.clone()),
            id: id.clone(),
            life_us,
            aim_us,
            effect: effect as i32,
            size: 200 + self.roll(2000) as u32,
        };
        self.event(What::Offered(offered))?;
        if self.open.len() > 2000 || self.roll(60) == 0 {
            let (why, wait_us) = (Why::Module as i32, 500_000);
            return self.event(What::TurnedDown(TurnedDown {
                flow: Some(flow),
                why,
                wait_us,
                id: String::new(),
            }));
        }
        self.event(What::Taken(Taken { flow: Some(flow.clone()) }))?;
        let (taken, until) = (self.now, self.now + life_us);
        self.open.insert(number, Open { flow, class, taken, until, attempts: 0, out: false, firings: 0, id });
        self.send(number)
    }

    fn send(&mut self, number: u64) -> io::Result<()> {
        let Some(open) = self.open.get(&number) else { return Ok(()) };
        let place = open.flow.destination.parse::<u64>().unwrap_or(100) - 100;
        let (flow, attempt, now) = (open.flow.clone(), open.attempts, self.now);
        let first = self.roll(SERVERS);
        let Some(partner) = self.partners.get_mut(&place) else { return Ok(()) };
        let mut servers = (0..SERVERS).map(|n| place * SERVERS + (first + n) % SERVERS);
        let free = servers.find(|s| !partner.drains.contains(s) && !partner.down.contains(s));
        let Some(server) = free.filter(|_| now >= partner.wait_until) else {
            return self.later(number);
        };
        if partner.calls.0 != now / 1_000_000 {
            partner.calls = (now / 1_000_000, 0);
        }
        let hangs = now >= partner.hangs.0 && now < partner.hangs.1;
        let sent = Sent { flow: Some(flow), attempt, server: server_name(server), patience_us: 2_000_000 };
        self.event(What::Sent(sent))?;
        if let Some(open) = self.open.get_mut(&number) {
            (open.attempts, open.out) = (open.attempts + 1, true);
        }
        let time = if hangs { HANG } else { 4000 + self.roll(30_000) };
        self.at(now + time, Due::Answered(number, attempt, server, time));
        Ok(())
    }

    fn answered(&mut self, (number, attempt): (u64, u32), server: u64, elapsed_us: u64) -> io::Result<()> {
        // A process that was killed hears no answer.
        let Some(open) = self.open.get(&number).filter(|o| o.out && o.attempts == attempt + 1) else {
            return Ok(());
        };
        let (flow, now, dice) = (open.flow.clone(), self.now, self.roll(200));
        let hangs = elapsed_us >= HANG;
        let Some(partner) = self.partners.get_mut(&(server / SERVERS)) else { return Ok(()) };
        partner.calls.1 += 1;
        let outcome = if hangs {
            Outcome::TimedOut
        } else if partner.calls.1 > partner.limit {
            Outcome::Overloaded
        } else {
            [Outcome::Failure, Outcome::Broken, Outcome::Unreachable]
                .get(dice as usize)
                .copied()
                .unwrap_or(Outcome::Success)
        };
        let wait = (1_000_000 - now % 1_000_000).max(50_000);
        let tells = outcome == Outcome::Overloaded && now >= partner.wait_until;
        if tells {
            partner.wait_until = now + wait;
        }
        // It is down until it answers again.
        let (was_down, back) = (!hangs || !partner.down.insert(server), partner.hangs.1 + 500_000);
        let destination = flow.destination.clone();
        let report = (outcome == Outcome::Success && server.is_multiple_of(2)).then(|| Report {
            left: 1_000_000 - (partner.calls.1 * 1_000_000 / partner.limit.max(1)).min(1_000_000) as u32,
            per_1000_s: partner.limit * 1000,
        });
        let name = server_name(server);
        let ended = AttemptEnded {
            flow: Some(flow.clone()),
            attempt,
            server: name.clone(),
            outcome: outcome as i32,
            elapsed_us,
            report,
        };
        self.event(What::AttemptEnded(ended))?;
        if !was_down {
            self.at(back.max(now + 500_000), Due::Well(server));
            let (from, to) = (State::Well as i32, State::Down as i32);
            let health = Health {
                server: name.clone(),
                destination: destination.clone(),
                from,
                to,
                after: outcome as i32,
            };
            self.event(What::Health(health))?;
        }
        if tells {
            let told = WaitTold {
                destination: destination.clone(),
                server: name,
                wait_us: wait,
                server_alone: false,
            };
            self.event(What::WaitTold(told))?;
            self.at(now + wait, Due::WaitOver(destination));
        }
        let Some(open) = self.open.get_mut(&number) else { return Ok(()) };
        open.out = false;
        let never_ran = matches!(outcome, Outcome::Overloaded | Outcome::Unreachable);
        match outcome {
            Outcome::Success => self.end(number, End::Delivered),
            _ if !never_ran && CLASSES[open.class].1 == Effect::Once => self.end(number, End::Failed),
            _ => self.later(number),
        }
    }

    fn later(&mut self, number: u64) -> io::Result<()> {
        let Some(open) = self.open.get(&number) else { return Ok(()) };
        let pause = 500_000 << open.firings.min(2);
        if self.now + pause + 100_000 >= open.until {
            let end = if open.attempts == 0 { End::Returned } else { End::Failed };
            return self.end(number, end);
        }
        self.at(self.now + pause, Due::Timer(number));
        Ok(())
    }

    fn timer(&mut self, number: u64) -> io::Result<()> {
        let won = self.roll(5) > 0;
        let Some(open) = self.open.get_mut(&number).filter(|o| !o.out) else { return Ok(()) };
        open.firings += 1;
        let (flow, firings) = (Some(open.flow.clone()), open.firings);
        self.event(What::TimerFired(TimerFired { flow, firings, won }))?;
        if won { self.send(number) } else { self.later(number) }
    }

    fn end(&mut self, number: u64, end: End) -> io::Result<()> {
        let Some(open) = self.open.remove(&number) else { return Ok(()) };
        let elapsed_us = self.now - open.taken;
        let ended = Ended {
            flow: Some(open.flow.clone()),
            end: end as i32,
            elapsed_us,
            attempts: open.attempts,
            wait_us: if end == End::Returned { 500_000 } else { 0 },
            late: end == End::Delivered && elapsed_us > CLASSES[open.class].2,
        };
        self.event(What::Ended(ended))?;
        if end != End::Delivered {
            self.event(What::NoticeOwed(NoticeOwed { flow: Some(open.flow) }))?;
            self.at(self.now + 3000, Due::Heard(number));
        }
        Ok(())
    }

    /// The process is killed; the next one takes up what was open.
    fn restart(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.restarted, true) {
            return Ok(());
        }
        self.now += 1_500_000;
        self.event(What::Phase(Phase { stage: Stage::Serving as i32 }))?;
        let numbers: Vec<u64> = self.open.keys().copied().collect();
        for number in numbers {
            let Some(open) = self.open.get_mut(&number) else { continue };
            let was_out = std::mem::replace(&mut open.out, false);
            let (_, effect, aim, ..) = CLASSES[open.class];
            let recovered = Recovered {
                flow: Some(open.flow.clone()),
                id: open.id.clone(),
                life_us: open.until.saturating_sub(self.now),
                attempts: open.attempts,
                may_have_run: was_out,
                effect: effect as i32,
                aim_us: (open.taken + aim).saturating_sub(self.now),
            };
            open.taken = self.now;
            self.event(What::Recovered(recovered))?;
            if was_out && effect == Effect::Once {
                self.end(number, End::Failed)?;
            } else {
                self.later(number)?;
            }
        }
        Ok(())
    }
}
