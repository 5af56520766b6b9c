//! A fleet in virtual time: relays' quotas, a network that loses, doubles and delays, and clients that count.

use onyxstile_quota::rendezvous::mix;
use onyxstile_quota::{Beyond, Effect, Measure, Quota, Quotas, Refusal, Start, Terms, Used};
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Where every clock begins, unless it is off: in the middle of a minute.
pub const START: Duration = Duration::from_secs(1_800_000_030);

pub struct Relay {
    pub quotas: Option<Quotas>,
    /// What its folder holds.
    pub used: BTreeMap<u64, Used>,
    /// By what its clock is off, and how fast it runs.
    pub off: f64,
    pub pace: f64,
    starts: u64,
}

impl Relay {
    /// One that was never started.
    pub fn none() -> Relay {
        Relay { quotas: None, used: BTreeMap::new(), off: 0.0, pace: 1.0, starts: 0 }
    }
}

pub struct Net {
    pub now: Duration,
    pub relays: Vec<Relay>,
    pub terms: Terms,
    under_way: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    pub lost: u64,
    pub doubled: u64,
    pub late: Duration,
    /// Which ways are cut.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub notes: u64,
    pub bytes: u64,
    number: u64,
    dice: u64,
    /// When messages were taken, by customer.
    pub taken: BTreeMap<String, Vec<Duration>>,
    pub refused: u64,
}

pub fn rate(customer: &str, per_s: f64, burst: u32) -> Quota {
    let measure = Measure::rate(per_s, burst).unwrap();
    Quota { customer: customer.into(), class: None, measure, beyond: Beyond::Refuse }
}

pub fn terms(relays: usize, quotas: Vec<Quota>) -> Terms {
    let members = (0..relays as u16).collect();
    Terms { version: 1, members, before: vec![], me: 0, edge: ms(2000), quotas }
}

impl Net {
    pub fn new(relays: usize, quotas: Vec<Quota>, seed: u64) -> Net {
        Net::of(terms(relays, quotas), relays, seed)
    }

    pub fn of(terms: Terms, relays: usize, seed: u64) -> Net {
        let mut net = Net {
            now: START,
            relays: (0..relays).map(|_| Relay::none()).collect(),
            terms,
            under_way: BTreeMap::new(),
            lost: 0,
            doubled: 0,
            late: ms(1),
            cut: Box::new(|_, _| false),
            notes: 0,
            bytes: 0,
            number: 0,
            dice: mix(seed),
            taken: BTreeMap::new(),
            refused: 0,
        };
        (0..relays).for_each(|i| net.start(i, true));
        net
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.dice = mix(self.dice.wrapping_add(0x9e37_79b9));
        self.dice % n.max(1)
    }

    /// A relay's own clock.
    pub fn clock(&self, i: usize) -> Duration {
        let r = &self.relays[i];
        Duration::from_secs_f64(START.as_secs_f64() + r.off + (self.now - START).as_secs_f64() * r.pace)
    }

    /// Starts a relay; its folder is believed or is not.
    pub fn start(&mut self, i: usize, believed: bool) {
        let now = self.clock(i);
        let r = &mut self.relays[i];
        r.starts += 1;
        let start = Start { seed: mix(i as u64 * 1000 + r.starts), used: believed.then(|| r.used.clone()) };
        r.quotas = Some(Quotas::new(Terms { me: i as u16, ..self.terms.clone() }, start, now));
        self.pass_on(i);
    }

    pub fn kill(&mut self, i: usize) {
        self.relays[i].quotas = None;
    }

    /// A client hands in at a relay; its answer.
    pub fn hand(&mut self, i: usize, customer: &str) -> Option<Result<(), Refusal>> {
        let now = self.clock(i);
        let verdict = self.relays[i].quotas.as_mut()?.take(customer, "orders", 1, now);
        self.pass_on(i);
        match verdict {
            Ok(_) => {
                self.taken.entry(customer.into()).or_default().push(self.now);
                Some(Ok(()))
            }
            Err(refusal) => {
                self.refused += 1;
                Some(Err(refusal))
            }
        }
    }

    pub fn pass_on(&mut self, i: usize) {
        let Some(quotas) = &mut self.relays[i].quotas else { return };
        for effect in quotas.effects() {
            match effect {
                Effect::Write(quota, used) => drop(self.relays[i].used.insert(quota, used)),
                Effect::Send(to, bytes) => {
                    self.notes += 1;
                    self.bytes += bytes.len() as u64;
                    let copies = 1 + usize::from(self.below(100) < self.doubled);
                    if (self.cut)(i, to.into()) || self.below(100) < self.lost {
                        continue;
                    }
                    for _ in 0..copies {
                        let late = self.late.mul_f64(0.5 + self.below(1000) as f64 / 1000.0);
                        self.number += 1;
                        let at = self.now + late;
                        self.under_way.insert((at, self.number), (i, to.into(), bytes.clone()));
                    }
                }
            }
        }
    }

    /// Lets time pass; `traffic` is asked each step of 5 ms.
    pub fn run(&mut self, time: Duration, mut traffic: impl FnMut(&mut Net)) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(5);
            while let Some(first) = self.under_way.first_entry().filter(|f| f.key().0 <= self.now) {
                let (from, to, bytes) = first.remove();
                let now = self.clock(to);
                if let Some(quotas) = &mut self.relays[to].quotas {
                    quotas.hear(from as u16, &bytes, now);
                }
                self.pass_on(to);
            }
            traffic(self);
            for i in 0..self.relays.len() {
                let now = self.clock(i);
                if let Some(quotas) = &mut self.relays[i].quotas
                    && quotas.next(now).is_some()
                {
                    quotas.tick(now);
                    self.pass_on(i);
                }
            }
        }
    }

    /// Hands in so many messages a second of a customer at each of these relays, evenly.
    pub fn feed(&mut self, customer: &str, per_s: f64, relays: &[usize]) {
        for i in relays {
            // A step of 5 ms.
            let mut n = per_s * 0.005;
            while n > 0.0 {
                if n >= 1.0 || (self.below(1_000_000) as f64) < n * 1e6 {
                    self.hand(*i, customer);
                }
                n -= 1.0;
            }
        }
    }

    /// How many messages were taken since a moment.
    pub fn since(&self, customer: &str, from: Duration) -> usize {
        self.taken.get(customer).map_or(0, |t| t.iter().filter(|t| **t >= from).count())
    }

    /// In no window more than the quota: a bucket that a single relay would have never runs dry.
    pub fn must_hold(&self, customer: &str, per_s: f64, burst: u32) {
        let (mut level, mut at) = (f64::from(burst), Duration::ZERO);
        for (n, t) in self.taken.get(customer).into_iter().flatten().enumerate() {
            level = (level + (*t - at).as_secs_f64() * per_s).min(f64::from(burst)) - 1.0;
            at = *t;
            assert!(
                level > -1e-6,
                "message {n} of {customer}, {:?} after the beginning, is above it",
                *t - START
            );
        }
    }
}
