//! All quotas of one relay, behind one door: messages, notes and the clock in; verdicts, notes and what is to be written out.

use crate::account::Used;
use crate::escrow::Times;
use crate::holding::{Busy, Holding, Rights, rights};
use crate::lends::Ask;
use crate::note::{Bundle, Say};
use crate::rendezvous::{mix, share};
use crate::roster::Roster;
use crate::terms::Terms;
use crate::unit::Measure;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How often what is wanted is looked at while somebody hands in.
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// A quota of which nothing was heard or handed in for so long is looked at no more.
const IDLE: Duration = Duration::from_secs(5);
/// How often a relay that has not said by which version it goes is asked.
const HELLO: Duration = Duration::from_millis(500);
/// What is said where a better time to come again is not known.
pub(crate) const SOON: Duration = Duration::from_millis(100);
/// The longest time that is said: who hands in something then comes to no harm by asking.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(3600);

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write this down. What was spent, and what is sent after this, counts once that lasts.
    Write(u64, Used),
    /// Send this bundle to a relay.
    Send(u16, Vec<u8>),
}

/// How a process begins.
#[derive(Debug, Clone, Default)]
pub struct Start {
    /// For chance; of this process alone.
    pub seed: u64,
    /// What the folder says of spans, by quota; none if it may be an older one, or has lost something.
    pub used: Option<BTreeMap<u64, Used>>,
}

/// What a message took of quotas, to be given back should it not be taken on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Spent(pub(crate) Vec<(usize, u64)>, pub(crate) u32);

/// All quotas of one relay.
#[derive(Debug)]
pub struct Quotas {
    pub(crate) terms: Terms,
    pub(crate) seed: u64,
    pub(crate) holdings: Vec<Holding>,
    /// Places of the quotas, by customer and class, and by digest.
    names: HashMap<String, Vec<(Option<String>, usize)>>,
    pub(crate) by_digest: HashMap<u64, usize>,
    pub(crate) busy: BTreeMap<usize, Busy>,
    pub(crate) roster: Roster,
    /// What goes out, by relay.
    pub(crate) says: BTreeMap<u16, Vec<Say>>,
    hellos: BTreeMap<u16, bool>,
    hello_at: Duration,
    pub(crate) effects: Vec<Effect>,
    last_nonce: u64,
    pub(crate) ending: bool,
    /// Rights that are more than before count.
    pub(crate) grown: bool,
    /// Questions that may still be asked in this second.
    pub(crate) allowance: (f64, Duration),
}

impl Quotas {
    /// Rights of a process that begins. Rates rest for a loan's time: nobody knows what was lent of them.
    pub fn new(terms: Terms, start: Start, now: Duration) -> Quotas {
        let mut quotas = Quotas {
            seed: start.seed,
            holdings: Vec::new(),
            names: HashMap::new(),
            by_digest: HashMap::new(),
            busy: BTreeMap::new(),
            roster: Roster::default(),
            says: BTreeMap::new(),
            hellos: BTreeMap::new(),
            hello_at: now,
            effects: Vec::new(),
            last_nonce: 0,
            ending: false,
            grown: false,
            allowance: (0.0, now),
            terms,
        };
        let rest = now + Times::USUAL.gone() + Times::USUAL.margin;
        quotas.roster.begin(
            quotas.terms.version,
            &quotas.terms.before,
            quotas.terms.me,
            now,
            Times::USUAL.gone(),
        );
        for quota in quotas.terms.quotas.clone() {
            let digest = quota.digest();
            let own = if quotas.roster.settled().is_some() { quotas.share(digest, quota.measure) } else { 0 };
            let before = start.used.as_ref().map(|u| u.get(&digest).copied().unwrap_or_default());
            let rights = rights(quota.measure, own, quotas.terms.edge, rest, before, now);
            quotas.holdings.push(Holding { quota, digest, rights, counts: (0, 0) });
        }
        quotas.index();
        quotas.write_gone();
        quotas
    }

    /// Writes down what was taken for gone without being spent.
    pub(crate) fn write_gone(&mut self) {
        for h in &mut self.holdings {
            if let Rights::Span(a) = &mut h.rights {
                let digest = h.digest;
                self.effects.extend(a.taken_for_gone().map(|used| Effect::Write(digest, used)));
            }
        }
    }

    pub(crate) fn index(&mut self) {
        self.names.clear();
        self.by_digest.clear();
        for (no, h) in self.holdings.iter().enumerate() {
            let of = self.names.entry(h.quota.customer.clone()).or_default();
            of.push((h.quota.class.clone(), no));
            self.by_digest.insert(h.digest, no);
        }
    }

    pub(crate) fn share(&self, digest: u64, measure: Measure) -> u32 {
        share(digest, measure.units(), &self.terms.members, self.terms.me)
    }

    pub(crate) fn which(&self, customer: &str, class: &str) -> impl Iterator<Item = usize> + use<'_> {
        let class = class.to_string();
        let of = self.names.get(customer).into_iter().flatten();
        of.filter(move |(c, _)| c.as_ref().is_none_or(|c| *c == class)).map(|(_, no)| *no)
    }

    pub(crate) fn busy_of(&mut self, no: usize, now: Duration) -> &mut Busy {
        let busy = self.busy.entry(no).or_default();
        busy.used = now;
        busy
    }

    pub(crate) fn nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        // One sequence for each seed. (Two hashes joined by an exclusive or met those of another process, whose grants came again.)
        mix(self.seed.wrapping_add(self.last_nonce.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.grow(now);
        if now >= self.hello_at {
            self.hello_at = now + HELLO;
            let awaited: Vec<u16> = self.roster.awaited().collect();
            self.hellos.extend(awaited.into_iter().map(|node| (node, true)));
        }
        for no in self.busy.keys().copied().collect::<Vec<_>>() {
            self.holdings[no].pass(now);
            self.settle_asked(no, now);
            self.repay_surplus(no, now);
            self.ask_for(no, now);
        }
        let holdings = &self.holdings;
        let lends =
            |no: &usize| matches!(&holdings[*no].rights, Rights::Rate(e) if e.lent() + e.borrowed() > 0);
        self.busy.retain(|no, b| now < b.used + IDLE || lends(no));
    }

    /// When [`Quotas::tick`] has something to do.
    pub fn next(&self, now: Duration) -> Option<Duration> {
        let busy = (!self.busy.is_empty()).then_some(now + TICK);
        let awaits = self.roster.awaited().next().map(|_| self.hello_at);
        let grows = self.roster.settled().filter(|at| *at > now);
        busy.into_iter().chain(awaits).chain(grows).min()
    }

    /// What is to be done since this was asked last.
    pub fn effects(&mut self) -> Vec<Effect> {
        let (version, terms) = (self.terms.version, self.terms.digest());
        let mut out = std::mem::take(&mut self.effects);
        let mut says = std::mem::take(&mut self.says);
        let hellos = std::mem::take(&mut self.hellos);
        for to in hellos.keys() {
            says.entry(*to).or_default();
        }
        for (to, says) in says {
            let hello = hellos.get(&to).copied().unwrap_or(false);
            let bundles = Bundle::write(version, terms, hello, &says);
            out.extend(bundles.into_iter().map(|bytes| Effect::Send(to, bytes)));
        }
        out
    }

    /// A bundle came from a relay; false if it could not be read.
    pub fn hear(&mut self, from: u16, bytes: &[u8], now: Duration) -> bool {
        let Some(bundle) = Bundle::read(bytes).filter(|_| from != self.terms.me) else { return false };
        self.roster.heard(from, bundle.version, now, Times::USUAL.gone());
        if bundle.hello {
            self.hellos.entry(from).or_insert(false);
        }
        let same = bundle.terms == self.terms.digest();
        for say in bundle.says {
            match say {
                Say::Repay { quota, nonce, left, tokens } => {
                    self.repaid(from, quota, nonce, left, tokens, now)
                }
                // By other terms units are of another worth.
                _ if !same => {}
                Say::Ask { quota, nonce, lacks, held, room, demand, renews } => {
                    let demand = f64::from(demand) / 1e3;
                    self.asked(Ask { from, quota, nonce, lacks, held, room, demand, renews }, now);
                }
                Say::Grant { quota, nonce, units, with } => {
                    self.granted(from, quota, nonce, units, with, now)
                }
                Say::Deny { quota, nonce, wait_ms } => self.denied(from, quota, nonce, wait_ms, now),
                Say::Recall { quota, nonce, keep } => self.recalled(from, quota, nonce, keep, now),
            }
        }
        true
    }
}
