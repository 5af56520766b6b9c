//! Controllers, their drains, the storage plan, storage machines, turns and claims in one seeded run: views and plans change,
//! disks are lost and machines are cut off across each other. Checkers state LOST, BUDGET, DRAIN and the return of service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::control::{Operation, Outcome};
use onyxstile_system::program::{
    Admission, ClaimSummary, Entry, Quorum, Record, Source, Turn, admit, fits, merge_claims,
};
use onyxstile_system::registry::{Copies, holders_needed};
use onyxstile_system::storage_plan::{Observed, StoragePlan};
use onyxstile_system::tolerance::Tolerance;

use super::control_world::{CATCH_UP, Flaw, World};
use super::storage;
use super::store_world::{Changes, Store, StoreFlaw};

/// Time from one step to the next, in ms.
const STEP: u64 = 25;
/// How long a relay waits for a quorum.
const PATIENCE: u64 = 3000;
/// A machine is held dead this long after it fell silent.
const DETECTION: u64 = 1000;
/// A storage machine's report counts for this long.
const REPORT_LIFETIME: u64 = 2000;
/// Relays; all but the first hear of a newer plan once in a long time.
const RELAYS: usize = 3;
const LATE: u32 = 400;
/// Of so many steps a storage machine asks another for changes in one, as a rule.
pub const COPIES_ONE_IN: u32 = 3;
/// Numbers of storage machines begin here.
const FIRST_STORE: u8 = 101;
/// The budget of each program, in tokens.
const BUDGET: u64 = 400;

/// What one relay asks a quorum for.
enum Question {
    /// To keep a turn.
    Keep(String),
    /// To find one; whether it was kept when the question was asked.
    Find(String, bool),
    /// To let a turn of a program run.
    Claim { program: String, entry: Entry },
    /// To settle a claim.
    Settle { program: String, entry: Entry },
}

impl Question {
    fn record(&self) -> Option<Record> {
        match self {
            Question::Keep(id) => Some(Record::Turn(turn(id))),
            Question::Find(..) => None,
            Question::Claim { program, entry } | Question::Settle { program, entry } => {
                Some(Record::Entry { program: program.clone(), entry: entry.clone() })
            }
        }
    }

    fn placed_by(&self) -> &str {
        match self {
            Question::Keep(id) | Question::Find(id, _) => id,
            Question::Claim { program, .. } | Question::Settle { program, .. } => program,
        }
    }
}

/// A question that is out at the members of a key's groups.
struct Asked {
    question: Question,
    epoch: u64,
    quorum: Quorum,
    until: u64,
    /// When each member gets it; then when what it did there is on its disk; then when its answer is back.
    arriving: Vec<(u64, Ipv4Addr)>,
    written: Vec<(u64, Ipv4Addr, u64)>,
    summaries: Vec<ClaimSummary>,
    claims: Vec<Entry>,
}

struct Copying {
    at: u64,
    to: Ipv4Addr,
    from: Ipv4Addr,
    /// The process that asked.
    began_by: u64,
    before: Source,
    changes: Changes,
}

/// The drains that one controller holds.
#[derive(Default)]
struct Drains {
    disk: u64,
    held: BTreeSet<u32>,
    copies: Copies,
}

/// All machines.
pub struct Tier {
    pub control: World,
    pub stores: BTreeMap<Ipv4Addr, Store>,
    pub violations: Vec<String>,
    tolerance: Tolerance,
    flaw: StoreFlaw,
    /// What each relay goes by; some hear of changes late.
    relays: Vec<Rc<StoragePlan>>,
    reports: BTreeMap<Ipv4Addr, (u64, u64)>,
    dead_since: BTreeMap<Ipv4Addr, u64>,
    asked: Vec<Asked>,
    copying: Vec<Copying>,
    drains: BTreeMap<Ipv4Addr, Drains>,
    acknowledged_drains: BTreeSet<u32>,
    next_drain: u32,
    kept: BTreeSet<String>,
    pub received: BTreeMap<String, u64>,
    retiring: BTreeMap<u64, String>,
    next: u64,
    next_store: u8,
    next_life: u64,
    planned_at: u64,
    calm_since: u64,
    /// Of so many steps a storage machine asks another for changes in one.
    pub copies_one_in: u32,
    /// What happened, counted, so that a test can ask for it.
    pub seen: BTreeMap<&'static str, u64>,
}

fn turn(id: &str) -> Rc<Turn> {
    Rc::new(Turn {
        id: id.into(),
        ancestors: Vec::new(),
        input: Vec::new(),
        output: Vec::new(),
        retention_ms: 3_600_000,
        ended_ms: 0,
    })
}

impl Tier {
    pub fn new(stores: u8, seed: u64, flaw: StoreFlaw) -> Tier {
        let tolerance = Tolerance::of_machines(1);
        let mut tier = Tier {
            control: World::new(3, 1, seed, Flaw::None),
            stores: BTreeMap::new(),
            violations: Vec::new(),
            tolerance,
            flaw,
            relays: vec![Rc::default(); RELAYS],
            reports: BTreeMap::new(),
            dead_since: BTreeMap::new(),
            asked: Vec::new(),
            copying: Vec::new(),
            drains: BTreeMap::new(),
            acknowledged_drains: BTreeSet::new(),
            next_drain: 0,
            kept: BTreeSet::new(),
            received: BTreeMap::new(),
            retiring: BTreeMap::new(),
            next: 0,
            next_store: FIRST_STORE,
            next_life: 0,
            planned_at: 0,
            calm_since: 0,
            copies_one_in: COPIES_ONE_IN,
            seen: BTreeMap::new(),
        };
        for _ in 0..stores {
            tier.add_store(true);
        }
        tier
    }

    pub fn now(&self) -> u64 {
        self.control.now
    }

    pub fn roll(&mut self, sides: u32) -> u32 {
        self.control.roll(sides)
    }

    fn see(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn life(&mut self) -> u64 {
        self.next_life += 1;
        self.next_life
    }

    /// A storage machine that holds nothing joins.
    pub fn add_store(&mut self, is_first_start: bool) -> Ipv4Addr {
        let node = storage(self.next_store);
        self.next_store += 1;
        let (life, now) = (self.life(), self.now());
        let ip = node.address();
        self.stores.insert(ip, Store::new(node, life, now, is_first_start));
        ip
    }

    pub fn members(&self) -> Vec<Ipv4Addr> {
        self.stores.iter().filter(|(_, store)| !store.is_gone).map(|(ip, _)| *ip).collect()
    }

    pub fn pick_store(&mut self) -> Ipv4Addr {
        let members = self.members();
        members[self.roll(members.len() as u32) as usize]
    }

    /// Disks that count as lost.
    pub fn disks_lost(&self) -> usize {
        self.stores.values().filter(|store| store.is_disk_lost).count() + self.control.disks_lost()
    }

    pub fn kill_store(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now() + for_ms;
        if let Some(store) = self.stores.get_mut(&ip) {
            store.down_until = Some(until);
        }
    }

    pub fn wipe_store(&mut self, ip: Ipv4Addr, for_ms: u64) {
        if let Some(store) = self.stores.get_mut(&ip) {
            store.lose_disk();
        }
        self.calm_since = self.now();
        self.kill_store(ip, for_ms);
    }

    /// A storage machine is gone for good, an empty one comes at another address.
    pub fn replace_store(&mut self, ip: Ipv4Addr) {
        if let Some(store) = self.stores.get_mut(&ip) {
            store.is_gone = true;
            store.is_disk_lost = true;
        }
        self.add_store(false);
        self.calm_since = self.now();
    }

    /// The operator asks that a storage machine be emptied.
    pub fn retire(&mut self, ip: Ipv4Addr) {
        let name = self.stores[&ip].node.name.clone();
        let to = self.control.pick();
        self.control.order(to, Operation::Retire(name));
    }

    fn ask_for_retirement(&mut self) {
        let retired = self.relays[0].retired.clone();
        let waiting = retired
            .into_iter()
            .find(|name| self.stores.values().any(|store| store.node.name == *name && !store.is_gone));
        if let Some(name) = waiting {
            let to = self.control.pick();
            let order = self.control.order(to, Operation::GetRetire(name.clone()));
            self.retiring.insert(order, name);
        }
    }

    fn take_outcomes(&mut self) {
        for (order, outcome) in self.control.take_outcomes() {
            let Some(name) = self.retiring.remove(&order) else { continue };
            if outcome == Outcome::Retirement(true) {
                self.see("machines taken away with their disks after they were retired");
                let store = self.stores.values_mut().find(|store| store.node.name == name);
                store.into_iter().for_each(|store| store.is_gone = true);
            }
        }
    }

    /// Ends all that lasts.
    pub fn heal(&mut self, within: u64) {
        self.control.heal(within);
        let now = self.now();
        for store in self.stores.values_mut() {
            store.frozen_until = store.frozen_until.min(now);
            store.cut_until = store.cut_until.min(now);
            store.dark_until = store.dark_until.min(now);
            store.down_until = store.down_until.map(|until| until.min(now + within));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / STEP {
            self.control.run(STEP);
            self.start_stores();
            self.tell_plans();
            self.write_plans();
            self.copy();
            self.serve();
            self.exchange_drains();
            self.take_outcomes();
            if self.now().is_multiple_of(400) {
                self.ask_for_retirement();
            }
            self.watch_calm();
        }
        let found = std::mem::take(&mut self.control.violations);
        self.violations.extend(found);
    }

    fn start_stores(&mut self) {
        let now = self.now();
        let due: Vec<Ipv4Addr> = self
            .stores
            .iter()
            .filter(|(_, store)| !store.is_gone && store.down_until.is_some_and(|until| until <= now))
            .map(|(ip, _)| *ip)
            .collect();
        for ip in due {
            let life = self.life();
            if let Some(store) = self.stores.get_mut(&ip) {
                store.start(life, now);
            }
        }
    }

    /// Whether a storage machine and a controller, or two storage machines, reach each other.
    fn is_in_reach(&self, ip: Ipv4Addr) -> bool {
        let now = self.now();
        self.stores
            .get(&ip)
            .is_some_and(|store| store.is_up(now) && store.cut_until.max(store.dark_until) <= now)
    }

    /// Whether relays reach a storage machine.
    fn is_served_by(&self, ip: Ipv4Addr) -> bool {
        let now = self.now();
        self.stores.get(&ip).is_some_and(|store| store.is_up(now) && store.dark_until <= now)
    }

    /// Storage machines and relays learn plans from any controller that they reach.
    fn tell_plans(&mut self) {
        let controllers = self.control.present();
        let plan = |tier: &Tier, ip: Ipv4Addr| {
            let state =
                tier.control.controller_at(ip).filter(|_| tier.control.is_up(ip))?.committed_state()?;
            Some(state.storage.clone())
        };
        for ip in self.members() {
            let from = controllers[self.roll(controllers.len() as u32) as usize];
            let is_reached = self.is_in_reach(ip) && !self.control.is_cut_off(from);
            if let Some(plan) = plan(self, from).filter(|_| is_reached)
                && let Some(store) = self.stores.get_mut(&ip)
            {
                store.take_plan(&plan, self.flaw);
                self.reports.insert(ip, (store.synced_epoch(), self.control.now));
            }
        }
        for relay in 0..RELAYS {
            let from = controllers[self.roll(controllers.len() as u32) as usize];
            let is_late = relay > 0 && self.relays[relay].epoch > 0 && self.roll(LATE) > 0;
            if let Some(plan) =
                plan(self, from).filter(|plan| !is_late && plan.epoch > self.relays[relay].epoch)
            {
                self.relays[relay] = plan;
            }
        }
    }

    /// The head writes the plan that should follow.
    fn write_plans(&mut self) {
        let now = self.now();
        let Some(head) = self.control.head().filter(|head| self.control.is_up(*head)) else { return };
        for ip in self.members() {
            if self.is_in_reach(ip) && !self.control.is_cut_off(head) {
                self.dead_since.remove(&ip);
            } else {
                self.dead_since.entry(ip).or_insert(now);
            }
        }
        for (ip, store) in &self.stores {
            if store.is_gone {
                self.dead_since.entry(*ip).or_insert(now);
            }
        }
        let is_dead = |ip: &Ipv4Addr| self.dead_since.get(ip).is_some_and(|since| now >= since + DETECTION);
        let dead = self.stores.iter().filter(|(ip, _)| is_dead(ip)).map(|(_, store)| store.node.name.clone());
        let dead = dead.collect();
        self.control.tell_dead_storage(head, dead);
        let Some(controller) = self.control.controller_at(head).filter(|head| head.is_settled()) else {
            return;
        };
        let Some(state) = controller.committed_state() else { return };
        if now < self.planned_at + 100 {
            return;
        }
        let observed = self.observe(now);
        let next = if state.storage.epoch > 0 {
            state.storage.next(&observed, self.tolerance)
        } else {
            StoragePlan::first(&observed, self.tolerance, false)
        };
        if let Some(plan) = next {
            if !plan.is_changing() && plan.epoch > 1 {
                self.see("plan changes ended");
            }
            self.planned_at = now;
            self.control.order(head, Operation::Plan(Rc::new(plan)));
        }
    }

    fn observe(&self, now: u64) -> Vec<Observed> {
        let observe = |(ip, store): (&Ipv4Addr, &Store)| {
            let dead_for = self.dead_since.get(ip).and_then(|since| (now - since).checked_sub(DETECTION));
            let report = self.reports.get(ip).filter(|(_, at)| now - at < REPORT_LIFETIME);
            Observed {
                node: store.node.clone(),
                dead_for: dead_for.map(Duration::from_millis),
                synced: report.map_or(0, |(epoch, _)| *epoch),
            }
        };
        self.stores.iter().map(observe).collect()
    }

    /// Storage machines ask each other for changes and copy what is theirs.
    fn copy(&mut self) {
        let now = self.now();
        for to in self.members() {
            if !self.is_in_reach(to) {
                continue;
            }
            let plan = self.stores[&to].plan.clone();
            for from in plan.all().iter().map(|node| node.address()).filter(|from| *from != to) {
                if !self.is_in_reach(from) || self.roll(self.copies_one_in) > 0 {
                    continue;
                }
                let before = self.stores[&to].progress.source(from);
                let changes = self.stores[&from].changes(before);
                let (at, began_by) = (now + u64::from(self.roll(6)) * STEP, self.stores[&to].origin());
                self.copying.push(Copying { at, to, from, began_by, before, changes });
            }
        }
        let (due, waiting) =
            std::mem::take(&mut self.copying).into_iter().partition(|copying| copying.at <= now);
        self.copying = waiting;
        let due: Vec<Copying> = due;
        due.into_iter().for_each(|copying| self.finish_copy(copying));
        for ip in self.members() {
            let (tolerance, flaw) = (self.tolerance, self.flaw);
            if let Some(store) = self.stores.get_mut(&ip).filter(|store| store.is_up(now)) {
                store.review(now, tolerance, flaw);
            }
        }
    }

    fn finish_copy(&mut self, copying: Copying) {
        let Copying { to, from, began_by, before, changes, .. } = copying;
        if !self.is_in_reach(to) || !self.is_in_reach(from) || self.roll(20) == 0 {
            return;
        }
        let Some(store) = self.stores.get(&to).filter(|store| store.origin() == began_by) else {
            return;
        };
        let looked_by = store.plan.epoch;
        let wanted = store.wanted(&changes, self.tolerance);
        let records: Vec<Record> = wanted.iter().filter_map(|key| self.stores[&from].record(key)).collect();
        let now = self.now();
        if let Some(store) = self.stores.get_mut(&to) {
            records.iter().for_each(|record| store.write(now, record));
            store.copied(now, from, before, &changes, looked_by);
        }
    }

    /// A relay puts a question to a quorum.
    fn ask(&mut self, question: Question) {
        let relay = self.roll(RELAYS as u32) as usize;
        let plan = self.relays[relay].clone();
        if plan.epoch == 0 {
            return;
        }
        let now = self.now();
        let quorum = Quorum::new(&plan, question.placed_by(), self.tolerance);
        let arriving =
            quorum.members().into_iter().map(|ip| (now + u64::from(self.roll(8)) * STEP, ip)).collect();
        self.asked.push(Asked {
            question,
            epoch: plan.epoch,
            quorum,
            until: now + PATIENCE,
            arriving,
            written: Vec::new(),
            summaries: Vec::new(),
            claims: Vec::new(),
        });
    }

    /// A turn ends and is to be kept.
    pub fn keep_turn(&mut self) {
        self.next += 1;
        self.ask(Question::Keep(format!("t{}", self.next)));
    }

    /// A turn goes on from another, mostly one of the newest.
    pub fn find_turn(&mut self) {
        let most = self.next.max(1) as u32;
        let back = if self.roll(4) == 0 { self.roll(most) } else { self.roll(10).min(most - 1) };
        let id = format!("t{}", most - back);
        let is_kept = self.kept.contains(&id);
        self.ask(Question::Find(id, is_kept));
    }

    /// A turn of a program is to run.
    pub fn run_turn(&mut self) {
        self.next += 1;
        let program = format!("p{}", self.next / 60);
        let entry =
            Entry { request: format!("r{}", self.next), most: 1 + u64::from(self.roll(100)), settled: None };
        self.ask(Question::Claim { program, entry });
    }

    fn serve(&mut self) {
        for mut asked in std::mem::take(&mut self.asked) {
            if self.advance(&mut asked) && asked.until > self.now() {
                self.asked.push(asked);
            }
        }
    }

    /// Lets what is due of a question happen; false once it has ended.
    fn advance(&mut self, asked: &mut Asked) -> bool {
        let now = self.now();
        let (due, arriving) = asked.arriving.iter().copied().partition(|(at, _)| *at <= now);
        asked.arriving = arriving;
        let due: Vec<(u64, Ipv4Addr)> = due;
        for (_, ip) in due {
            if !self.is_served_by(ip) || self.roll(30) == 0 {
                // It is asked again.
                asked.arriving.push((now + 125 + u64::from(self.roll(8)) * STEP, ip));
            } else if self.refuses_epoch(asked, ip) {
                return false;
            } else {
                let at = now + u64::from(self.roll(4)) * STEP;
                asked.written.push((at, ip, self.stores[&ip].origin()));
            }
        }
        let (due, written) = asked.written.iter().copied().partition(|(at, _, _)| *at <= now);
        asked.written = written;
        let due: Vec<(u64, Ipv4Addr, u64)> = due;
        due.into_iter().all(|(_, ip, life)| self.answer(asked, ip, life))
    }

    /// A storage machine's disk has taken a question's record, and its answer goes back; false once the question has ended.
    fn answer(&mut self, asked: &mut Asked, ip: Ipv4Addr, life: u64) -> bool {
        let now = self.now();
        let Some(store) = self.stores.get_mut(&ip).filter(|store| store.is_up(now) && store.origin() == life)
        else {
            asked.arriving.push((now + 125, ip));
            return true;
        };
        if let Some(record) = asked.question.record() {
            store.write(now, &record);
        }
        let (is_newer, dark) = (store.epoch() > asked.epoch, store.dark_until > now);
        // By an older plan the turn may be looked for where it was never written.
        let is_whole = store.is_whole() && !is_newer;
        if self.refuses_epoch(asked, ip) {
            return false;
        }
        let store = &self.stores[&ip];
        match &asked.question {
            Question::Claim { program, .. } => {
                if !is_whole {
                    asked.arriving.push((now + 125, ip));
                    return true;
                }
                let (summary, claims) = store.claims(program);
                asked.summaries.push(summary);
                merge_claims(&mut asked.claims, claims);
            }
            Question::Find(id, is_kept) => {
                if store.holds_turn(id) {
                    return false;
                }
                if !is_whole || dark {
                    return true;
                }
                if asked.quorum.count(ip) {
                    if *is_kept {
                        self.violations.push(format!("{now}: {id} was kept and is told to be nowhere"));
                    }
                    return false;
                }
                return true;
            }
            Question::Keep(_) | Question::Settle { .. } => {}
        }
        if dark || self.roll(30) == 0 {
            asked.arriving.push((now + 125, ip));
            return true;
        }
        if !asked.quorum.count(ip) {
            return true;
        }
        self.reached(asked);
        false
    }

    /// Whether a machine refuses to write by the relay's plan, for it knows a newer one.
    fn refuses_epoch(&mut self, asked: &Asked, ip: Ipv4Addr) -> bool {
        let refuses = self.stores[&ip].epoch() > asked.epoch && !matches!(asked.question, Question::Find(..));
        if refuses {
            self.see("writes refused that went by an older plan");
        }
        refuses
    }

    fn reached(&mut self, asked: &Asked) {
        match &asked.question {
            Question::Keep(id) => {
                self.see("turns kept");
                self.kept.insert(id.clone());
            }
            Question::Claim { program, entry } => {
                let fits = match admit(BUDGET, &entry.request, entry.most, &asked.summaries) {
                    Admission::Fits => true,
                    Admission::Spent => false,
                    Admission::Unsure => fits(BUDGET, &entry.request, entry.most, &asked.claims),
                };
                let tokens = if fits { u64::from(self.roll(entry.most as u32 + 1)) } else { 0 };
                *self.received.entry(program.clone()).or_default() += tokens;
                let total = self.received[program];
                if total > BUDGET {
                    self.violations
                        .push(format!("{}: {program} received {total} of {BUDGET}", self.control.now));
                }
                self.see(if fits { "turns let in" } else { "turns refused by their budget" });
                // A relay that dies leaves its claim as it is.
                if self.roll(8) > 0 {
                    let entry = Entry { settled: Some(tokens), ..entry.clone() };
                    let program = program.clone();
                    self.ask(Question::Settle { program, entry });
                }
            }
            Question::Find(..) | Question::Settle { .. } => {}
        }
    }

    /// Controllers that are electors, by the newest view that any has.
    fn electors(&self) -> Vec<Ipv4Addr> {
        let views = self
            .control
            .present()
            .into_iter()
            .filter_map(|ip| self.control.controller_at(ip)?.view().cloned());
        let newest = views.max_by_key(|view| view.number);
        newest.map_or_else(Vec::new, |view| view.electors.iter().map(|id| id.address()).collect())
    }

    /// The drains of a controller; one with another disk than before holds none.
    fn drains(&mut self, ip: Ipv4Addr) -> &mut Drains {
        let disk = self.control.disk(ip);
        let is_founder = self.control.now < 1000;
        let drains = self.drains.entry(ip).or_default();
        if drains.disk != disk {
            *drains = Drains {
                disk,
                held: BTreeSet::new(),
                copies: Copies::new(is_founder && ip.octets()[3] <= 3),
            };
        }
        drains
    }

    fn exchange_drains(&mut self) {
        let electors = self.electors();
        if electors.is_empty() {
            return;
        }
        let octets: Vec<[u8; 4]> = electors.iter().map(Ipv4Addr::octets).collect();
        for to in self.control.present() {
            let from = electors[self.control.roll(electors.len() as u32) as usize];
            let is_due = self.control.roll(4) == 0 && from != to && self.control.is_linked(from, to);
            if !is_due || !self.control.is_up(to) || !self.control.is_up(from) {
                continue;
            }
            let (held, is_whole) = {
                let drains = self.drains(from);
                (drains.held.clone(), drains.copies.is_whole())
            };
            let drains = self.drains(to);
            drains.held.extend(held);
            drains.copies.pulled(from.octets(), is_whole);
            drains.copies.review(to.octets(), &octets);
        }
    }

    /// An endpoint says that it leaves: to a controller, which has it held by others before it acknowledges.
    pub fn drain(&mut self) {
        let first = self.control.pick();
        let electors = match self.control.controller_at(first).and_then(|controller| controller.view()) {
            Some(view) if self.control.is_up(first) => view.electors.clone(),
            _ => return,
        };
        if !electors.iter().any(|id| id.address() == first) {
            return;
        }
        self.next_drain += 1;
        let drain = self.next_drain;
        self.drains(first).held.insert(drain);
        let needed = holders_needed(electors.len(), self.tolerance.losses());
        let others: Vec<Ipv4Addr> =
            electors.iter().map(|id| id.address()).filter(|ip| *ip != first).collect();
        let mut held = 0;
        for ip in others {
            if held < needed && self.control.is_up(ip) && self.control.is_linked(first, ip) {
                self.drains(ip).held.insert(drain);
                held += 1;
            }
        }
        if held >= needed {
            self.see("drains acknowledged");
            self.acknowledged_drains.insert(drain);
        }
    }

    /// A relay starts anew and hears a majority of the electors that count.
    pub fn start_relay(&mut self) {
        let electors = self.electors();
        let mut heard: Vec<Ipv4Addr> = Vec::new();
        for ip in electors.iter().copied() {
            // Some don't answer in time.
            if self.control.is_up(ip) && self.roll(3) > 0 && self.drains(ip).copies.is_whole() {
                heard.push(ip);
            }
        }
        if heard.len() <= electors.len() / 2 {
            return;
        }
        self.see("relays that started and were fresh");
        let known: BTreeSet<u32> = heard.iter().flat_map(|ip| self.drains(*ip).held.clone()).collect();
        if let Some(drain) = self.acknowledged_drains.difference(&known).next() {
            let now = self.now();
            self.violations
                .push(format!("{now}: drain {drain} was acknowledged; a fresh relay knows nothing of it"));
        }
    }

    fn watch_calm(&mut self) {
        let now = self.now();
        // Machines that copy so slowly are not back.
        let is_slow = self.copies_one_in > COPIES_ONE_IN;
        if is_slow || !self.stores.values().all(|store| store.is_in_touch(now)) {
            self.calm_since = now;
        }
        // Disks count as lost until all machines have been in touch for the time that a return takes.
        if now >= self.calm_since + CATCH_UP && self.control.is_calm() {
            self.stores.values_mut().for_each(|store| store.is_disk_lost = false);
        }
    }

    /// Whether turns are kept again and no change of the plan is under way.
    pub fn serves(&mut self) -> bool {
        let before = self.seen.get("turns kept").copied().unwrap_or(0);
        let newest = self.relays[0].clone();
        self.relays.fill(newest);
        for _ in 0..8 {
            self.keep_turn();
            self.run(100);
        }
        self.run(1000);
        let after = self.seen.get("turns kept").copied().unwrap_or(0);
        after >= before + 2 && !self.relays[0].is_changing()
    }

    /// Turns that were kept and that no machine holds any more.
    pub fn lost_turns(&self) -> Vec<String> {
        let is_held = |id: &String| self.stores.values().any(|store| !store.is_gone && store.holds_turn(id));
        self.kept.iter().filter(|id| !is_held(id)).cloned().collect()
    }

    /// How far each storage machine is, for the report of a failed history.
    pub fn describe(&self) -> String {
        let stores = self.stores.values().map(|store| {
            format!(
                "{} gone {} up {} disk lost {} whole {} plan {} synced {}",
                store.node.name,
                store.is_gone,
                store.is_up(self.now()),
                store.is_disk_lost,
                store.is_whole(),
                store.plan.epoch,
                store.synced_epoch()
            )
        });
        let names = |nodes: &[onyxstile_system::storage_plan::StorageNode]| {
            nodes.iter().map(|node| node.name.clone()).collect::<Vec<_>>().join(" ")
        };
        let plan = &self.relays[0];
        let plan =
            format!("plan {} now [{}] before [{}]", plan.epoch, names(&plan.current), names(&plan.previous));
        stores.chain([plan]).collect::<Vec<_>>().join("\n")
    }
}
