//! Which kept message goes next, and which makes room.
//!
//! Each destination has a lane. A lane opens once calls there have not failed for as long as its rule says, and then
//! begins with one resend; each that is delivered allows one more at once, up to the rule's figure. Any call that fails
//! there, whoever made it, closes the lane and starts that over, each time for twice as long. So a destination that
//! comes back cold is asked by one message, however many wait for it, and so by each relay that does the same.
//! What a resend meets beyond that is the decision module's: told waits, cold budgets, slots.

use crate::kept::{Kept, State};
use crate::rules::{Order, Rule, Rules, When};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a lane stays closed after a failure, beyond its rule's time: at first, and at most.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(300));
/// Lanes without a message are forgotten once nothing has failed there for so long.
const FORGET: Duration = Duration::from_secs(3600);
const DAY_MS: u64 = 86_400_000;

/// What a call to a destination showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// It answered as it should.
    Well,
    /// It failed, refused, or did not answer.
    Trouble,
}

/// A message that may go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Its key.
    pub key: u64,
    /// Its destination.
    pub destination: u64,
}

/// Whether a message is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Yes, once these are gone.
    Keep(Vec<u64>),
    /// No rule keeps it, or what is kept ranks above it.
    Refuse,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Queue {
    Ready(u64),
    Paused(u64),
    Open,
    None,
}

#[derive(Debug)]
struct Known {
    destination: u64,
    class: usize,
    customer: usize,
    rank: u32,
    bytes: u64,
    expires: u64,
    state: State,
    queue: Queue,
    not_before: u64,
    asked: bool,
}

#[derive(Debug, Default)]
struct Lane {
    ready: BTreeSet<(u64, u64)>,
    paused: BTreeSet<(u64, u64)>,
    open: usize,
    window: usize,
    next_begin: Duration,
    closed_until: Duration,
    trouble_at: Duration,
    back_off: Duration,
}

#[derive(Debug, Default)]
struct Customer {
    bytes: u64,
    keys: BTreeSet<(u32, u64)>,
}

/// What is kept, as far as that decides what goes and what makes room. Some 300 bytes a message.
#[derive(Debug)]
pub struct Planner {
    rules: Rules,
    /// For what a person asked for and no rule is for.
    by_hand: Rule,
    lanes: BTreeMap<u64, Lane>,
    known: BTreeMap<u64, Known>,
    names: Vec<String>,
    customers: BTreeMap<usize, Customer>,
    ranks: BTreeSet<(u32, u64)>,
    expiry: BTreeSet<(u64, u64)>,
    bytes: u64,
    open: usize,
    /// The lane that was served last: the next goes first.
    served: u64,
    since: Duration,
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl Planner {
    /// One that knows nothing yet. No lane opens before its rule's time has passed from `now` on: what failed before
    /// the process began is not known.
    pub fn new(rules: Rules, now: Duration) -> Planner {
        let by_hand = Rule {
            classes: Vec::new(),
            destinations: Vec::new(),
            keep: true,
            rank: 0,
            when: When::Hand,
            per_s: 1.0,
            at_once: 1,
            order: Order::Oldest,
            tries: 1,
            pause: Duration::ZERO,
        };
        Planner {
            rules,
            by_hand,
            lanes: BTreeMap::new(),
            known: BTreeMap::new(),
            names: Vec::new(),
            customers: BTreeMap::new(),
            ranks: BTreeSet::new(),
            expiry: BTreeSet::new(),
            bytes: 0,
            open: 0,
            served: 0,
            since: now,
        }
    }

    /// Other rules are in force. What was begun goes on; what no rule keeps any more stays until its time is over, and
    /// waits for a person.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
        let keys: Vec<u64> = self.known.keys().copied().collect();
        for key in keys {
            let Some(mut known) = self.take(key) else { continue };
            let rule = self.rules.of(&self.names[known.class], known.destination);
            known.rank = rule.map_or(0, |r| r.rank);
            self.place(key, known);
        }
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    fn name(&mut self, name: &str) -> usize {
        let known = self.names.iter().position(|n| n == name);
        known.unwrap_or_else(|| {
            self.names.push(name.to_string());
            self.names.len() - 1
        })
    }

    // ---- What is kept -------------------------------------------------------------------------------------

    /// Whether a message that just failed is kept, and what has to go for it: the oldest of the least rank, of its
    /// customer or of all. Nothing of a higher rank goes for it, and nothing whose resend is open.
    pub fn admit(&self, class: &str, customer: &str, destination: u64, bytes: u64) -> Admission {
        let Some(rule) = self.rules.of(class, destination) else { return Admission::Refuse };
        let mut gone = BTreeSet::new();
        let (mut freed, mut freed_of) = (0, 0);
        let place = self.names.iter().position(|n| n == customer);
        let its = place.and_then(|c| self.customers.get(&c));
        let can_go = |(rank, key): &&(u32, u64)| {
            *rank <= rule.rank && self.known.get(key).is_some_and(|k| k.state != State::Resending)
        };
        let size = |key: &u64| self.known.get(key).map_or(0, |k| k.bytes);
        let mut own = its.iter().flat_map(|c| c.keys.iter()).filter(can_go);
        while its.map_or(0, |c| c.bytes) - freed_of + bytes > self.rules.customer_bytes {
            let Some((_, key)) = own.next() else { return Admission::Refuse };
            freed_of += size(key);
            freed += size(key);
            gone.insert(*key);
        }
        let mut any = self.ranks.iter().filter(can_go);
        while self.bytes - freed + bytes > self.rules.bytes
            || self.known.len() - gone.len() >= self.rules.most
        {
            let Some((_, key)) = any.next() else { return Admission::Refuse };
            if gone.insert(*key) {
                freed += size(key);
            }
        }
        Admission::Keep(gone.into_iter().collect())
    }

    /// A message is kept, or has changed.
    pub fn put(&mut self, kept: &Kept) {
        self.remove(kept.key);
        let (class, customer) = (self.name(&kept.class), self.name(&kept.customer));
        let rank = self.rules.of(&kept.class, kept.destination).map_or(0, |r| r.rank);
        let known = Known {
            destination: kept.destination,
            class,
            customer,
            rank,
            bytes: u64::from(kept.bytes),
            expires: kept.failed.wall_ms + ms(self.rules.keep_for),
            state: kept.is(),
            queue: Queue::None,
            not_before: kept.not_before_ms,
            asked: kept.asked,
        };
        self.place(kept.key, known);
    }

    /// A message is not kept any more.
    pub fn remove(&mut self, key: u64) {
        self.take(key);
    }

    fn place(&mut self, key: u64, mut known: Known) {
        let rule = self.rules.of(&self.names[known.class], known.destination);
        let newest = rule.is_some_and(|r| r.order == Order::Newest);
        // Without a rule nothing goes by itself.
        let fits = rule.is_some() || known.asked;
        let lane = self.lanes.entry(known.destination).or_insert_with(|| Lane {
            window: 1,
            trouble_at: self.since,
            back_off: BACK_OFF.0,
            ..Lane::default()
        });
        known.queue = match known.state {
            State::Resending => {
                lane.open += 1;
                self.open += 1;
                Queue::Open
            }
            State::Waiting if fits && known.not_before > 0 => {
                lane.paused.insert((known.not_before, key));
                Queue::Paused(known.not_before)
            }
            State::Waiting if fits => {
                // What a person asked for goes first; no flow has the number 0.
                let order = match (known.asked, newest) {
                    (true, _) => 0,
                    (false, true) => u64::MAX - key,
                    (false, false) => key,
                };
                lane.ready.insert((order, key));
                Queue::Ready(order)
            }
            _ => Queue::None,
        };
        let customer = self.customers.entry(known.customer).or_default();
        customer.bytes += known.bytes;
        customer.keys.insert((known.rank, key));
        self.ranks.insert((known.rank, key));
        self.expiry.insert((known.expires, key));
        self.bytes += known.bytes;
        self.known.insert(key, known);
    }

    fn take(&mut self, key: u64) -> Option<Known> {
        let known = self.known.remove(&key)?;
        if let Some(lane) = self.lanes.get_mut(&known.destination) {
            match known.queue {
                Queue::Ready(order) => drop(lane.ready.remove(&(order, key))),
                Queue::Paused(until) => drop(lane.paused.remove(&(until, key))),
                Queue::Open => {
                    lane.open -= 1;
                    self.open -= 1;
                }
                Queue::None => {}
            }
        }
        if let Some(customer) = self.customers.get_mut(&known.customer) {
            customer.bytes -= known.bytes;
            customer.keys.remove(&(known.rank, key));
            if customer.keys.is_empty() {
                self.customers.remove(&known.customer);
            }
        }
        self.ranks.remove(&(known.rank, key));
        self.expiry.remove(&(known.expires, key));
        self.bytes -= known.bytes;
        Some(known)
    }

    /// Messages whose time is over, some at once; never one whose resend is open.
    pub fn expired(&self, now: Duration) -> Vec<u64> {
        let over = self.expiry.range(..=(ms(now), u64::MAX));
        let idle = |key: &u64| self.known.get(key).is_some_and(|k| k.state != State::Resending);
        over.map(|(_, key)| *key).filter(idle).take(64).collect()
    }

    /// Messages kept, their bytes, and resends that are open.
    pub fn totals(&self) -> (usize, u64, usize) {
        (self.known.len(), self.bytes, self.open)
    }

    // ---- What goes ----------------------------------------------------------------------------------------

    /// A call to a destination ended, of whatever flow.
    pub fn traffic(&mut self, destination: u64, what: Traffic, now: Duration) {
        let lane = match self.lanes.get_mut(&destination) {
            Some(lane) => lane,
            // Of a destination for which nothing waits only failures are of interest.
            None if what == Traffic::Trouble => self.lanes.entry(destination).or_insert_with(|| Lane {
                window: 1,
                back_off: BACK_OFF.0,
                ..Lane::default()
            }),
            None => return,
        };
        if what == Traffic::Trouble {
            lane.trouble_at = now;
            lane.window = 1;
        }
    }

    /// The resend of a message ended: before [`Planner::put`] or [`Planner::remove`] says what became of it.
    pub fn resend_ended(&mut self, key: u64, delivered: bool, now: Duration) {
        let Some(known) = self.known.get(&key) else { return };
        let most = self.rules.of(&self.names[known.class], known.destination).map_or(1, |r| r.at_once);
        let Some(lane) = self.lanes.get_mut(&known.destination) else { return };
        if delivered {
            lane.window = (lane.window + 1).min(most);
            lane.back_off = BACK_OFF.0;
        } else {
            lane.window = 1;
            lane.trouble_at = now;
            lane.closed_until = now + lane.back_off;
            lane.back_off = (lane.back_off * 2).min(BACK_OFF.1);
        }
    }

    /// The message that goes next, if one may go now. Whoever asks begins it and says so by [`Planner::put`], or
    /// passes it over by [`Planner::not_now`].
    pub fn pick(&mut self, now: Duration) -> Option<Pick> {
        self.wake_paused(now);
        let served = self.served;
        let after = self.lanes.range(served + 1..).chain(self.lanes.range(..=served));
        let (destination, key) = after
            .filter_map(|(destination, lane)| {
                let (_, key) = lane.ready.first()?;
                let (rule, asked) = self.rule_of(*key)?;
                (opens(lane, rule, asked, now) <= now).then_some((*destination, *key))
            })
            .next()?;
        self.served = destination;
        let per_s = self.rule_of(key)?.0.per_s;
        let lane = self.lanes.get_mut(&destination)?;
        lane.next_begin = now + Duration::from_secs_f64(1.0 / per_s);
        Some(Pick { key, destination })
    }

    /// A lane is left alone for a while.
    pub fn not_now(&mut self, destination: u64, until: Duration) {
        if let Some(lane) = self.lanes.get_mut(&destination) {
            lane.closed_until = lane.closed_until.max(until);
        }
    }

    /// When to ask again, if nothing else happens.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let lane = |lane: &Lane| {
            let ready = lane.ready.first().and_then(|(_, key)| self.rule_of(*key));
            let ready =
                ready.map(|(rule, asked)| opens(lane, rule, asked, now)).filter(|t| *t < Duration::MAX);
            let paused = lane.paused.first().map(|(until, _)| Duration::from_millis(*until));
            ready.into_iter().chain(paused).min()
        };
        let expiry = self.expiry.first().map(|(at, _)| Duration::from_millis(*at));
        self.lanes.values().filter_map(lane).chain(expiry).min()
    }

    /// Forgets lanes that nothing has to be known of any more.
    pub fn sweep(&mut self, now: Duration) {
        self.lanes.retain(|_, l| {
            !l.ready.is_empty() || !l.paused.is_empty() || l.open > 0 || now < l.trouble_at + FORGET
        });
    }

    /// Lanes that there are.
    pub fn lanes(&self) -> usize {
        self.lanes.len()
    }

    /// A message's rule, and whether a person asked for it.
    fn rule_of(&self, key: u64) -> Option<(&Rule, bool)> {
        let known = self.known.get(&key)?;
        let rule = self.rules.of(&self.names[known.class], known.destination);
        Some((rule.or(known.asked.then_some(&self.by_hand))?, known.asked))
    }

    fn wake_paused(&mut self, now: Duration) {
        let due = |lane: &Lane| lane.paused.first().is_some_and(|(until, _)| *until <= ms(now));
        let lanes: Vec<u64> = self.lanes.iter().filter(|(_, l)| due(l)).map(|(d, _)| *d).collect();
        for destination in lanes {
            let Some(lane) = self.lanes.get(&destination) else { continue };
            let over: Vec<u64> = lane.paused.range(..=(ms(now), u64::MAX)).map(|(_, key)| *key).collect();
            for key in over {
                if let Some(mut known) = self.take(key) {
                    known.not_before = 0;
                    self.place(key, known);
                }
            }
        }
    }
}

/// When a lane may begin a resend by a rule; the largest time: not before something else happens.
fn opens(lane: &Lane, rule: &Rule, asked: bool, now: Duration) -> Duration {
    if lane.open >= lane.window.min(rule.at_once) {
        return Duration::MAX;
    }
    if asked {
        return lane.closed_until.max(lane.next_begin);
    }
    let (well, daily) = match rule.when {
        When::Hand => return Duration::MAX,
        When::Well(well) => (well, None),
        When::Daily(from, to, well) => (well, Some((ms(from), ms(to)))),
    };
    let at = (lane.trouble_at + well).max(lane.closed_until).max(lane.next_begin);
    let Some((from, to)) = daily else { return at };
    let at = ms(at.max(now));
    let of_day = at % DAY_MS;
    let inside = if from < to { (from..to).contains(&of_day) } else { of_day >= from || of_day < to };
    let begin = at - of_day + from;
    let next = if begin > at { begin } else { begin + DAY_MS };
    Duration::from_millis(if inside { at } else { next })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_core::{RngCore, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn rule() -> Rule {
        Rule {
            classes: vec![],
            destinations: vec![],
            keep: true,
            rank: 1,
            when: When::Well(s(10)),
            per_s: 2.0,
            at_once: 4,
            order: Order::Oldest,
            tries: 5,
            pause: s(30),
        }
    }

    fn rules(rules: Vec<Rule>) -> Rules {
        Rules { rules, keep_for: s(1000), most: 100, bytes: 10_000, customer_bytes: 4_000 }
    }

    fn kept(key: u64, destination: u64, state: State) -> Kept {
        let mut k = Kept {
            key,
            destination,
            bytes: 100,
            class: "order".into(),
            customer: "a".into(),
            ..Kept::default()
        };
        k.failed.wall_ms = 1_000_000;
        k.set_state(state);
        k
    }

    #[test]
    fn a_lane_opens_with_one_and_one_more_for_each_delivery_and_closes_at_any_failure() {
        let mut p = Planner::new(rules(vec![rule()]), s(1000));
        (1..=20).for_each(|k| p.put(&kept(k, 7, State::Waiting)));
        assert_eq!((p.pick(s(1009)), p.due(s(1009))), (None, Some(s(1010))));
        let begin = |p: &mut Planner, now| {
            let pick = p.pick(now)?;
            p.put(&kept(pick.key, 7, State::Resending));
            Some(pick.key)
        };
        assert_eq!(begin(&mut p, s(1010)), Some(1));
        assert_eq!(begin(&mut p, s(1011)), None, "one at first");
        p.resend_ended(1, true, s(1012));
        p.remove(1);
        assert_eq!(begin(&mut p, s(1012)), Some(2));
        assert_eq!(begin(&mut p, s(1012)), None, "no faster than its rate");
        assert_eq!(begin(&mut p, s(1013)), Some(3));
        assert_eq!(begin(&mut p, s(1014)), None, "two at once by now");
        // Somebody else's call fails there.
        p.traffic(7, Traffic::Trouble, s(1015));
        for key in [2, 3] {
            p.resend_ended(key, true, s(1016));
            p.remove(key);
        }
        assert_eq!(begin(&mut p, s(1024)), None);
        assert_eq!(begin(&mut p, s(1025)), Some(4));
        // Its own fails: closed for longer each time.
        let mut closed = vec![];
        let mut now = s(1026);
        for key in 4..8 {
            p.resend_ended(key, false, now);
            p.put(&kept(key, 7, State::MayHaveRun));
            let opens = p.due(now).unwrap();
            closed.push(opens - now);
            now = opens;
            assert_eq!(begin(&mut p, now), Some(key + 1));
        }
        assert_eq!(closed, [s(10), s(10), s(10), s(10)], "the rule's time is longer at first");
        for key in 8..16 {
            p.resend_ended(key, false, now);
            p.put(&kept(key, 7, State::MayHaveRun));
            now = p.due(now).unwrap();
            assert_eq!(begin(&mut p, now), Some(key + 1));
        }
        assert!(now > s(1026) + s(300), "{now:?}");
    }

    #[test]
    fn lanes_take_turns_and_one_that_is_closed_holds_up_no_other() {
        let mut p = Planner::new(rules(vec![Rule { at_once: 1, ..rule() }]), s(0));
        for k in 0..30 {
            p.put(&kept(k, k % 3, State::Waiting));
        }
        p.traffic(1, Traffic::Trouble, s(15));
        let mut got = vec![];
        while let Some(pick) = p.pick(s(20)) {
            p.put(&kept(pick.key, pick.destination, State::Resending));
            got.push(pick.destination);
        }
        assert_eq!(got, [2, 0]);
        p.not_now(1, s(40));
        assert!(p.pick(s(39)).is_none());
        assert_eq!(p.pick(s(40)).map(|k| k.destination), Some(1));
        assert_eq!(p.totals(), (30, 3000, 2));
    }

    #[test]
    fn times_of_the_day_hands_and_orders_are_heeded() {
        let daily =
            Rule { when: When::Daily(s(6 * 3600), s(7 * 3600), s(0)), order: Order::Newest, ..rule() };
        let hand = Rule { destinations: vec![9], when: When::Hand, ..rule() };
        let mut p = Planner::new(rules(vec![hand, daily]), s(0));
        (1..=3).for_each(|k| p.put(&kept(k, 7, State::Waiting)));
        p.put(&kept(4, 9, State::Waiting));
        assert_eq!((p.pick(s(5 * 3600)), p.pick(s(8 * 3600))), (None, None));
        assert_eq!(p.pick(s(6 * 3600)).map(|k| k.key), Some(3));
        let at = s(10 * 3600);
        let due = opens(&p.lanes[&7], &p.rules.rules[1], false, at);
        assert_eq!(due, s(30 * 3600), "tomorrow at six");
        // A person's word goes before a rule's time, and before what is older.
        p.put(&Kept { asked: true, ..kept(2, 7, State::Waiting) });
        p.put(&Kept { asked: true, class: "none".into(), ..kept(4, 9, State::Waiting) });
        let picks = [p.pick(at), p.pick(at)].map(|k| k.map(|k| k.key));
        assert_eq!(picks, [Some(4), Some(2)]);
        // Over midnight.
        let night = Rule { when: When::Daily(s(23 * 3600), s(3600), s(0)), ..rule() };
        let lane = Lane { window: 1, ..Lane::default() };
        let of = |hour: u64| opens(&lane, &night, false, s(hour * 3600));
        assert_eq!([of(0), of(12), of(23)], [s(0), s(23 * 3600), s(23 * 3600)]);
    }

    #[test]
    fn the_oldest_of_the_least_rank_makes_room_and_nothing_above_it() {
        let order = Rule { classes: vec!["order".into()], rank: 5, ..rule() };
        let no = Rule { classes: vec!["ping".into()], keep: false, ..rule() };
        let mut p = Planner::new(rules(vec![order, no, rule()]), s(0));
        for key in 1..=60 {
            let class = if key % 2 == 0 { "order" } else { "notice" };
            let k = Kept {
                class: class.into(),
                customer: format!("c{}", key % 4),
                ..kept(key, 7, State::Waiting)
            };
            p.put(&k);
        }
        assert_eq!(p.admit("ping", "c1", 7, 1), Admission::Refuse);
        // A customer's own share: 15 messages of 100 bytes; 2,600 more fit within 4,000 but for 100.
        assert_eq!(p.admit("notice", "c1", 7, 2600), Admission::Keep(vec![1]));
        assert_eq!(p.admit("notice", "c0", 7, 2600), Admission::Refuse, "its own are all orders");
        assert_eq!(p.admit("order", "c0", 7, 2600), Admission::Keep(vec![4]));
        // All: 6,000 of 10,000 bytes are taken.
        (100..140).for_each(|k| {
            p.put(&Kept { customer: format!("d{k}"), class: "notice".into(), ..kept(k, 7, State::Waiting) })
        });
        assert_eq!(p.admit("order", "e", 7, 150), Admission::Keep(vec![1, 3]));
        p.put(&Kept { class: "notice".into(), customer: "c1".into(), ..kept(1, 7, State::Resending) });
        assert_eq!(p.admit("order", "e", 7, 150), Admission::Keep(vec![3, 5]), "one that is out stays");
        assert_eq!(p.expired(s(1999)), [] as [u64; 0]);
        assert_eq!(p.expired(s(2000)).len(), 64);
        assert!(!p.expired(s(2000)).contains(&1));
        // Without a rule they stay, and nothing goes.
        p.set_rules(rules(vec![Rule { keep: false, ..rule() }]));
        assert_eq!((p.pick(s(1500)), p.totals().0), (None, 100));
    }

    #[test]
    fn its_books_balance_whatever_happens() {
        for seed in 0..200 {
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let mut below = |n: u64| random.next_u64() % n;
            let mut p = Planner::new(rules(vec![rule()]), s(0));
            let mut now = s(0);
            for _ in 0..300 {
                now += Duration::from_millis(below(3000));
                let key = below(40);
                let state = State::ALL[below(5) as usize];
                match below(6) {
                    0 => p.remove(key),
                    1 => p.resend_ended(key, below(2) == 0, now),
                    2 => p.traffic(below(4), [Traffic::Well, Traffic::Trouble][below(2) as usize], now),
                    3 => p.set_rules(rules(vec![Rule {
                        rank: below(4) as u32,
                        at_once: 1 + below(3) as usize,
                        ..rule()
                    }])),
                    4 => {
                        if let Some(pick) = p.pick(now) {
                            assert_eq!(p.known[&pick.key].state, State::Waiting, "seed {seed}");
                            p.put(&kept(pick.key, pick.destination, State::Resending));
                        }
                    }
                    _ => p.put(&Kept {
                        not_before_ms: ms(now) * below(2) + below(500),
                        ..kept(key, key % 4, state)
                    }),
                }
                let open = p.known.values().filter(|k| k.state == State::Resending).count();
                let lanes: usize = p.lanes.values().map(|l| l.open).sum();
                let queued: usize = p.lanes.values().map(|l| l.ready.len() + l.paused.len()).sum();
                let waiting = p.known.values().filter(|k| k.state == State::Waiting).count();
                assert_eq!((p.open, lanes, queued), (open, open, waiting), "seed {seed}");
                assert_eq!(p.bytes, p.known.values().map(|k| k.bytes).sum(), "seed {seed}");
                assert_eq!((p.ranks.len(), p.expiry.len()), (p.known.len(), p.known.len()), "seed {seed}");
            }
            (0..40).for_each(|k| p.remove(k));
            p.sweep(now + FORGET);
            assert!(p.customers.is_empty() && p.lanes.is_empty() && p.bytes == 0, "seed {seed}");
        }
    }
}
