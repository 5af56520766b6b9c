//! Controllers in virtual time under a seeded scheduler: messages are lost, late, doubled and out of order; machines are
//! killed in mid-step, wiped, frozen, cut off and replaced. A checker states the rules for configurations.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;
use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Durable, ElectorId, Incarnation, Message, Operation, Outcome, Write};
use onyxstile_system::controller::{Controller, Effect, Input};
use onyxstile_system::tolerance::{Location, Tolerance};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::{address, place};

mod accessors;
mod faults;
mod operators;

/// How a world departs from what the controllers rely on; each has to be caught by the checker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: nothing may be caught.
    None,
    /// What is persisted is lost at a kill, as if it had never been synced.
    UnsyncedVotes,
    /// A wiped machine claims to be what it was.
    ReusedIdentity,
    /// Whoever is asked whether a view is current is believed to have said yes.
    UncheckedReads,
    /// A write counts as acknowledged once the head has it.
    HeadAcknowledges,
    /// All lives of a process call themselves alike, as when numbers were told without a life.
    SharedIncarnation,
}

const TICK_MS: u64 = 25;
const DETECTION_MS: u64 = 1200;
/// A connection in the making holds messages for up to this long, in ms.
const MAX_DELAY: u32 = 1200;
/// After its return a machine still counts as lost for this long, in ms.
pub const CATCH_UP: u64 = 4000;

struct Machine {
    controller: Option<Controller>,
    disk: Durable,
    frozen_until: u64,
    down_until: Option<u64>,
    cut_until: u64,
    /// Until then nothing reaches the machine, though what it sends goes out.
    inbound_blocked_until: u64,
    lost_until: u64,
    is_gone: bool,
    /// Whether its disk was lost and the machines have not all been in touch for long enough since.
    is_disk_lost: bool,
    /// The number of the newest operation that this life of its process was handed.
    last_number: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: std::cmp::Reverse<u64>,
    number: std::cmp::Reverse<u64>,
    to: Ipv4Addr,
    from: Ipv4Addr,
    index: usize,
}

/// A change that the operator sent.
#[derive(Debug, Clone)]
pub struct Change {
    pub base: u64,
    pub revision: u64,
    pub body: Rc<Vec<u8>>,
    pub acknowledged_at: Option<u64>,
    pub is_refused: bool,
}

enum Request {
    Change(usize),
    Read { began: u64 },
    Submission(u64),
}

/// All machines, the network and the operators.
pub struct ControlSimulation {
    pub now: u64,
    pub rng: Pcg64Mcg,
    machines: BTreeMap<Ipv4Addr, Machine>,
    network: BinaryHeap<Delivery>,
    messages: Vec<Option<Message>>,
    tolerance: Tolerance,
    zones: u8,
    seeds: Vec<Ipv4Addr>,
    flaw: Flaw,
    next_machine: u8,
    next_incarnation: Incarnation,
    next_disk: u64,
    /// Machines of the one half, and until when they are cut from the other.
    split: (BTreeSet<Ipv4Addr>, u64),
    /// Since when all machines have been up and in touch.
    connected_since: u64,
    pending_requests: BTreeMap<(Ipv4Addr, u64), Request>,
    pub changes: Vec<Change>,
    /// States by sequence that some machine has told as committed.
    committed: BTreeMap<u64, u64>,
    pub violations: Vec<String>,
    pub reads: usize,
    newest_read: u64,
    last_submission: u64,
    outcomes: Vec<(u64, Outcome)>,
}

impl ControlSimulation {
    /// `count` machines, each in a zone of its own, of which the first three (or fewer) are the seeds.
    pub fn new(count: u8, tolerated: usize, seed: u64, flaw: Flaw) -> ControlSimulation {
        ControlSimulation::zoned(count, u8::MAX, Tolerance::of_machines(tolerated), seed, flaw)
    }

    /// `count` machines that stand in `zones` zones by turns; the first three (or fewer) are the seeds.
    pub fn zoned(count: u8, zones: u8, tolerance: Tolerance, seed: u64, flaw: Flaw) -> ControlSimulation {
        let seeds: Vec<Ipv4Addr> = (1..=count.min(3)).map(address).collect();
        let mut simulation = ControlSimulation {
            now: 0,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            machines: BTreeMap::new(),
            network: BinaryHeap::new(),
            messages: Vec::new(),
            tolerance,
            zones,
            seeds,
            flaw,
            next_machine: count + 1,
            next_incarnation: 1,
            next_disk: 1000,
            split: (BTreeSet::new(), 0),
            connected_since: 0,
            pending_requests: BTreeMap::new(),
            changes: Vec::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
            reads: 0,
            newest_read: 0,
            last_submission: 0,
            outcomes: Vec::new(),
        };
        for number in 1..=count {
            let ip = address(number);
            let disk = if simulation.seeds.contains(&ip) {
                Controller::bootstrap(ip, &simulation.seeds)
            } else {
                simulation.next_disk += 1;
                Controller::empty(simulation.next_disk)
            };
            simulation.add(ip, disk, 0);
        }
        simulation
    }

    fn add(&mut self, ip: Ipv4Addr, disk: Durable, lost_until: u64) {
        let now = Instant::from_millis(self.now);
        let controller = Some(self.controller(ip, disk.clone(), now));
        let machine = Machine {
            controller,
            disk,
            frozen_until: 0,
            down_until: None,
            cut_until: 0,
            inbound_blocked_until: 0,
            lost_until,
            is_gone: false,
            is_disk_lost: false,
            last_number: 0,
        };
        self.machines.insert(ip, machine);
    }

    fn incarnation(&mut self) -> Incarnation {
        if self.flaw != Flaw::SharedIncarnation {
            self.next_incarnation += 1;
        }
        self.next_incarnation
    }

    fn controller(&mut self, ip: Ipv4Addr, disk: Durable, now: Instant) -> Controller {
        Controller::new(ip, disk, self.tolerance, self.incarnation(), now).with_location(self.location(ip))
    }

    /// Where a machine stands.
    pub fn location(&self, ip: Ipv4Addr) -> Location {
        place("r", &format!("z{}", ip.octets()[3] % self.zones))
    }

    /// The machines of the zone that `ip` stands in.
    pub fn machines_in_zone(&self, ip: Ipv4Addr) -> Vec<Ipv4Addr> {
        self.present().into_iter().filter(|other| self.location(*other) == self.location(ip)).collect()
    }

    pub fn random_below(&mut self, sides: u32) -> u32 {
        self.rng.next_u32() % sides
    }

    /// Machines that count as lost now.
    pub fn lost(&self) -> usize {
        let is_lost = |machine: &&Machine| {
            machine.lost_until > self.now || machine.down_until.is_some() || machine.cut_until > self.now
        };
        self.machines.values().filter(is_lost).count()
    }

    pub fn present(&self) -> Vec<Ipv4Addr> {
        self.machines.iter().filter(|(_, machine)| !machine.is_gone).map(|(ip, _)| *ip).collect()
    }

    pub fn random_machine(&mut self) -> Ipv4Addr {
        let present = self.present();
        present[self.random_below(present.len() as u32) as usize]
    }

    /// The machine at the head, if one thinks that it is.
    pub fn head(&self) -> Option<Ipv4Addr> {
        let is_head = |machine: &Machine| machine.controller.as_ref().is_some_and(Controller::is_head);
        self.machines.iter().find(|(_, machine)| is_head(machine)).map(|(ip, _)| *ip)
    }

    /// Messages that were sent so far.
    pub fn messages_sent(&self) -> usize {
        self.messages.len()
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            let next_tick = (self.now / TICK_MS + 1) * TICK_MS;
            while self.network.peek().is_some_and(|delivery| delivery.at.0 <= next_tick) {
                self.deliver();
            }
            self.now = next_tick;
            self.tick();
        }
    }

    fn deliver(&mut self) {
        let Some(delivery) = self.network.pop() else { return };
        self.now = self.now.max(delivery.at.0);
        let Some(message) = self.messages[delivery.index].clone() else { return };
        if self.is_cut(delivery.from, delivery.to) {
            return;
        }
        let Some(machine) = self.machines.get(&delivery.to) else { return };
        if machine.frozen_until > self.now {
            let at = machine.frozen_until + 1;
            self.network.push(Delivery { at: std::cmp::Reverse(at), ..delivery });
            return;
        }
        self.step(delivery.to, Input::Message { from: delivery.from, message });
    }

    fn is_cut(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let is_off = |ip: &Ipv4Addr| self.machines.get(ip).is_none_or(|machine| machine.cut_until > self.now);
        let is_inbound_blocked =
            self.machines.get(&to).is_some_and(|machine| machine.inbound_blocked_until > self.now);
        let is_split = self.split.1 > self.now && self.split.0.contains(&from) != self.split.0.contains(&to);
        from != to && (is_off(&from) || is_off(&to) || is_inbound_blocked || is_split)
    }

    fn tick(&mut self) {
        for ip in self.machines.keys().copied().collect::<Vec<_>>() {
            self.restart(ip);
            let live = self.live(ip);
            let is_awake = self.machines.get(&ip).is_some_and(|machine| machine.frozen_until <= self.now);
            if is_awake {
                self.step(ip, Input::Live(live));
                self.step(ip, Input::Tick);
            }
        }
        self.check_committed();
        self.update_lost_disks();
    }

    fn restart(&mut self, ip: Ipv4Addr) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        if machine.down_until.is_some_and(|until| until <= now) {
            machine.down_until = None;
            let disk = machine.disk.clone();
            let controller = self.controller(ip, disk, Instant::from_millis(now));
            if let Some(machine) = self.machines.get_mut(&ip) {
                machine.controller = Some(controller);
            }
        }
    }

    /// A failure detector that knows after a while.
    fn live(&self, own: Ipv4Addr) -> Vec<(ElectorId, Location)> {
        let own_cut = self.machines.get(&own).is_some_and(|machine| machine.cut_until > self.now);
        let is_live = |(ip, machine): &(&Ipv4Addr, &Machine)| {
            **ip != own
                && !machine.is_gone
                && machine.down_until.is_none()
                && machine.controller.is_some()
                && machine.frozen_until <= self.now + DETECTION_MS / 2
                && machine.inbound_blocked_until <= self.now
                && !self.is_cut(own, **ip)
                && !own_cut
        };
        self.machines
            .iter()
            .filter(is_live)
            .map(|(ip, machine)| (ElectorId { ip: ip.octets(), disk: machine.disk.disk }, self.location(*ip)))
            .collect()
    }

    fn step(&mut self, ip: Ipv4Addr, input: Input) {
        let now = Instant::from_millis(self.now);
        let Some(controller) = self.machines.get_mut(&ip).and_then(|machine| machine.controller.as_mut())
        else {
            return;
        };
        let effects = controller.step(now, input);
        for effect in effects {
            match effect {
                Effect::Persist(durable) => self.persist(ip, &durable),
                Effect::Append { view, write } => self.append(ip, view, &write),
                Effect::Send { to, message } => self.send(ip, to, message),
                Effect::Reply { number, outcome } => self.reply(ip, number, outcome),
            }
        }
    }

    fn persist(&mut self, ip: Ipv4Addr, durable: &Durable) {
        if self.flaw == Flaw::UnsyncedVotes && self.random_below(3) > 0 {
            return;
        }
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.disk = durable.clone();
        }
    }

    fn append(&mut self, ip: Ipv4Addr, view: u64, write: &Write) {
        if self.flaw == Flaw::UnsyncedVotes && self.random_below(3) > 0 {
            return;
        }
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let is_in_view = machine.disk.view.as_ref().is_some_and(|held| held.number == view);
        let is_made = is_in_view && machine.disk.state.apply(write);
        if !is_made && self.flaw == Flaw::None {
            self.violations
                .push(format!("{}: a write that does not follow what {ip} has on its disk", self.now));
        }
    }

    fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message) {
        match (&message, self.flaw) {
            (Message::Confirm { view, incarnation, nonce }, Flaw::UncheckedReads) => {
                let Some(disk) = self.machines.get(&to).map(|machine| machine.disk.disk) else { return };
                let id = ElectorId { ip: to.octets(), disk };
                let forged =
                    Message::Confirmed { from: id, view: *view, incarnation: *incarnation, nonce: *nonce };
                self.queue(to, from, forged, 1);
                // Forged by the world, so it comes even through a cut.
                return;
            }
            (Message::Apply { view, written }, Flaw::HeadAcknowledges) => {
                let forged = Message::Applied { view: *view, sequence: written.sequence() };
                self.queue(to, from, forged, 1);
            }
            _ => {}
        }
        let fate = self.random_below(100);
        if fate < 3 {
            return;
        }
        let delay = 1
            + u64::from(self.random_below(6))
            + if fate < 8 { u64::from(self.random_below(MAX_DELAY)) } else { 0 };
        if fate > 96 {
            self.queue(from, to, message.clone(), delay + 40);
        }
        self.queue(from, to, message, delay);
    }

    fn queue(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message, delay: u64) {
        self.messages.push(Some(message));
        let index = self.messages.len() - 1;
        let number = std::cmp::Reverse(index as u64);
        let at = std::cmp::Reverse(self.now + delay);
        self.network.push(Delivery { at, number, to, from, index });
    }
}
