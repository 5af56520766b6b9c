//! Retention of conversations, over seeded histories in virtual time: conversations with branches that outlast the
//! retention time by far, on storage machines that miss writes, restart, and lose their disks.

mod support;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::program::{Key, Quorum, Record, Turn, WriteQuorum, groups, renewals};
use onyxstile_system::storage_plan::StoragePlan;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use support::indexed_log::IndexedLog;
use support::{ONE_MACHINE, address, env_number, plan};

const RETENTION_MS: u64 = 60_000;
const STEP_MS: u64 = 2_000;
/// Length of a history: thirty retention times.
const CONVERSATIONS_MS: u64 = 30 * RETENTION_MS;
/// Time after the last turn within which all records are dropped: half the length again, and two retention times.
const DROPPED_WITHIN_MS: u64 = CONVERSATIONS_MS / 2 + 2 * RETENTION_MS + 60_000;
/// Maximum clock difference between relays.
const SKEW_MS: u64 = 4_000;

/// Leases that relays renew; all but the first have to be detected by the checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Renewals {
    All,
    /// Only that of the turn that is continued.
    Parent,
    None,
}

struct Machine {
    store: IndexedLog,
    down_until_ms: u64,
}

struct History {
    now_ms: u64,
    rng: Pcg64Mcg,
    plan: StoragePlan,
    machines: BTreeMap<Ipv4Addr, Machine>,
    /// For each machine (first) and each other one, the newest change that it has copied from there.
    copied: BTreeMap<(Ipv4Addr, Ipv4Addr), u64>,
    /// Chains of the acknowledged turns, each with its last turn at the end.
    chains: Vec<Vec<Rc<Turn>>>,
    last_turn: u64,
    renewals: Renewals,
    last_fault_ms: u64,
}

impl History {
    fn new(seed: u64, renewals: Renewals) -> History {
        let numbers: Vec<u8> = (1..=3 + (seed % 3) as u8).collect();
        let machine =
            |number: &u8| (address(*number), Machine { store: IndexedLog::default(), down_until_ms: 0 });
        History {
            now_ms: 10 * SKEW_MS,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            plan: plan(1, &numbers, &[]),
            machines: numbers.iter().map(machine).collect(),
            copied: BTreeMap::new(),
            chains: Vec::new(),
            last_turn: 0,
            renewals,
            last_fault_ms: 0,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        u64::from(self.rng.next_u32()) % bound
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn is_up(&self, ip: Ipv4Addr) -> bool {
        self.machines[&ip].down_until_ms <= self.now_ms
    }

    /// The chains that may be continued.
    fn kept_chains(&self) -> Vec<&Vec<Rc<Turn>>> {
        let is_kept = |chain: &&Vec<Rc<Turn>>| {
            let last = &chain[chain.len() - 1];
            last.ended_ms + RETENTION_MS > self.now_ms + SKEW_MS
        };
        self.chains.iter().filter(is_kept).collect()
    }

    /// Ends a turn that begins a conversation or continues one, mostly one that would otherwise be dropped soon.
    fn end_turn(&mut self) {
        let kept: Vec<Vec<Rc<Turn>>> = self.kept_chains().into_iter().cloned().collect();
        let begins = kept.is_empty() || self.below(40) == 0;
        let picked = if self.below(3) == 0 { self.below(kept.len().max(1) as u64) as usize } else { 0 };
        let chain = if begins { Vec::new() } else { kept[picked].clone() };
        self.last_turn += 1;
        let ended_ms = self.now_ms + self.below(SKEW_MS) - SKEW_MS / 2;
        let turn = Rc::new(Turn {
            id: format!("t{}", self.last_turn),
            ancestors: chain.iter().map(|turn| turn.id.clone()).collect(),
            input: Vec::new(),
            output: Vec::new(),
            retention_ms: RETENTION_MS,
            ended_ms,
        });
        let mut leases = renewals(&chain, ended_ms, RETENTION_MS);
        match self.renewals {
            Renewals::All => {}
            Renewals::Parent => leases.retain(|lease| chain.last().is_some_and(|last| last.id == lease.turn)),
            Renewals::None => leases.clear(),
        }
        let mut records = vec![Record::Turn(turn.clone())];
        records.extend(leases.into_iter().map(Record::TurnLease));
        if self.write(&records) {
            self.chains.push(chain.into_iter().chain([turn]).collect());
        }
    }

    /// Writes records to the machines that are up, some of which miss it; true if each record has a quorum.
    fn write(&mut self, records: &[Record]) -> bool {
        let mut quorum = WriteQuorum::new(&self.plan, records, ONE_MACHINE);
        let now = self.now();
        let mut is_reached = false;
        for (ip, records) in quorum.assignments() {
            if !self.is_up(ip) || self.below(20) == 0 {
                continue;
            }
            let store = &mut self.machines.get_mut(&ip).expect("a machine").store;
            let lacks_turn = |record: &Record| match record {
                Record::TurnLease(lease) => store.index.turn(&lease.turn).is_none(),
                _ => false,
            };
            if !records.iter().any(lacks_turn) {
                records.iter().for_each(|record| store.merge(now, record));
                is_reached = quorum.count(ip);
            }
        }
        is_reached
    }

    /// Copies what each machine lacks from the others.
    fn repair(&mut self) {
        let up: Vec<Ipv4Addr> = self.machines.keys().copied().filter(|ip| self.is_up(*ip)).collect();
        for (to, from) in up.iter().flat_map(|to| up.iter().map(move |from| (*to, *from))) {
            let is_missing = |key: &Key| {
                let group = groups(&self.plan, key.placed_by(), ONE_MACHINE).remove(0);
                group.members.contains(&to) && !self.machines[&to].store.index.holds(key, 0)
            };
            let source = &self.machines[&from].store;
            let copied = self.copied.get(&(to, from)).copied().unwrap_or(0);
            let (keys, newest) = source.index.changed_since(copied, usize::MAX);
            let missing = keys.iter().map(|(key, _)| key).filter(|key| is_missing(key));
            let records: Vec<Record> = missing.filter_map(|key| source.record(self.now(), key)).collect();
            self.copied.insert((to, from), newest);
            let now = self.now();
            let store = &mut self.machines.get_mut(&to).expect("a machine").store;
            records.iter().for_each(|record| store.merge(now, record));
        }
    }

    /// One machine at a time goes down for up to a retention time or loses its disk.
    fn inject_fault(&mut self) {
        if self.now_ms < self.last_fault_ms + 2 * RETENTION_MS {
            return;
        }
        self.last_fault_ms = self.now_ms;
        let index = self.below(self.machines.len() as u64) as usize;
        let down_until_ms = self.now_ms + self.below(RETENTION_MS);
        let is_wiped = self.below(2) == 0;
        let machine = self.machines.values_mut().nth(index).expect("a machine");
        machine.down_until_ms = down_until_ms;
        if is_wiped {
            machine.store = IndexedLog::default();
        }
    }

    fn advance(&mut self) {
        let before_ms = self.now_ms;
        self.now_ms += STEP_MS;
        let (now, now_ms) = (self.now(), self.now_ms);
        for (ip, machine) in &mut self.machines {
            if machine.down_until_ms > now_ms {
                continue;
            }
            if machine.down_until_ms > before_ms {
                machine.store.restart(now);
                self.copied.retain(|(to, from), _| to != ip && from != ip);
            }
            machine.store.expire(now);
        }
        self.repair();
    }

    /// A turn of a kept chain that no machine holds.
    fn lost_turn(&self) -> Option<String> {
        let is_held = |id: &str| {
            let members = Quorum::new(&self.plan, id, ONE_MACHINE).members();
            members.iter().any(|ip| self.is_up(*ip) && self.machines[ip].store.turn(id).is_some())
        };
        let mut turns = self.kept_chains().into_iter().flatten();
        turns.find(|turn| !is_held(&turn.id)).map(|turn| turn.id.clone())
    }
}

/// Plays one history; returns it, or the turn that was lost.
fn play(seed: u64, renewals: Renewals) -> Result<History, String> {
    let mut history = History::new(seed, renewals);
    while history.now_ms < CONVERSATIONS_MS {
        if history.below(6) == 0 {
            history.end_turn();
        }
        if history.below(60) == 0 {
            history.inject_fault();
        }
        history.advance();
        if let Some(id) = history.lost_turn() {
            return Err(format!("seed {seed}: {id} is lost at {} ms", history.now_ms));
        }
    }
    Ok(history)
}

/// Guards against LOST: a conversation lost its beginning while its last turn was still kept (review/1).
#[test]
fn a_conversation_is_kept_whole_for_as_long_as_it_is_continued() {
    let first = env_number("FIRST", 0);
    let mut longest_chain = 0;
    for seed in first..first + env_number("HISTORIES", 12) {
        let mut history = play(seed, Renewals::All).expect("no turn is lost");
        longest_chain = history.chains.iter().map(Vec::len).max().unwrap_or(0).max(longest_chain);
        let end_ms = history.now_ms + DROPPED_WITHIN_MS;
        while history.now_ms < end_ms {
            history.advance();
        }
        for machine in history.machines.values() {
            assert!(machine.store.log.is_empty(), "seed {seed}: nothing continues these turns any more");
            assert_eq!(machine.store.index.memory_bytes(), 0, "seed {seed}");
        }
    }
    assert!(longest_chain > 20, "conversations outlast the retention time: {longest_chain} turns");
}

fn is_loss_detected(renewals: Renewals) -> bool {
    (0..20).any(|seed| play(seed, renewals).is_err())
}

#[test]
fn checks_detect_turns_that_expire_by_their_own_age() {
    assert!(is_loss_detected(Renewals::None));
}

#[test]
fn checks_detect_renewals_of_the_parent_alone() {
    assert!(is_loss_detected(Renewals::Parent));
}

/// Renewals come in batches and grow with the logarithm of the conversation's length.
#[test]
fn a_long_conversation_renews_each_turn_a_few_times() {
    const TURNS: u64 = 290;
    const GAP_MS: u64 = 6_000;
    /// Two while a turn is young, then one for each growth of its age by a half.
    const RENEWALS_MAX: usize = 10;
    let mut chain: Vec<Rc<Turn>> = Vec::new();
    let (mut leases, mut batches) = (0, 0);
    for number in 0..TURNS {
        let ended_ms = number * GAP_MS;
        let renewed = renewals(&chain, ended_ms, RETENTION_MS).len();
        leases += renewed;
        batches += usize::from(renewed > 0);
        chain.push(Rc::new(Turn {
            id: format!("t{number}"),
            ancestors: chain.iter().map(|turn| turn.id.clone()).collect(),
            input: Vec::new(),
            output: Vec::new(),
            retention_ms: RETENTION_MS,
            ended_ms,
        }));
    }
    println!("{TURNS} turns: {leases} leases in {batches} batches");
    assert!(leases <= TURNS as usize * RENEWALS_MAX, "{leases} leases");
    assert!(batches as u64 <= TURNS * GAP_MS / RETENTION_MS + 1, "{batches} batches");
}
