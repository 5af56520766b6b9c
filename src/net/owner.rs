//! The one task that owns the module, the core and the journal. All else reaches it by one bounded queue.

use super::clock::Clock;
use super::config::{Config, RawEntry, RawList};
use super::journal::{Journal, Owed, Record, SentTo, TakenFlow};
use super::notices;
use super::parcel::Parcel;
use super::phase::{Phase, State};
use super::upstream::{CallOrder, Switch, Upstream};
use crate::api::{ClassId, DestinationId, KindId, ListState, Past, TenantId, ZoneId};
use crate::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms, Outcome, ServerNo, ServiceEntry};
use crate::settings::Names;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// Messages that may wait for the owner.
pub const QUEUE: usize = 1024;
/// Messages taken into one step, at most.
const BATCH: usize = 256;
/// Time from the order to end within which calls may still begin, and after which the program exits: the kill
/// comes no sooner than 3.7 s after it.
const DRAIN_CALLS: Duration = Duration::from_millis(2000);
const DRAIN_END: Duration = Duration::from_millis(3500);
/// Time for which new connections still come after the order to end.
const DRAIN_LEAST: Duration = Duration::from_millis(600);
/// Ids of flows that are over, kept in case one is handed in twice.
const REMEMBERED: usize = 4096;

/// What reaches the owner.
#[derive(Debug)]
pub enum ToOwner {
    /// A client hands in a flow.
    Offer(Offer),
    /// A call ended.
    CallEnded(CallEnd),
    /// News of discovery's list.
    List(RawList),
    /// Notices were heard.
    NoticesHeard(Vec<FlowNo>),
}

/// A flow that a client hands in.
#[derive(Debug)]
pub struct Offer {
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: u64,
    /// When it is given up.
    pub deadline: Duration,
    /// What to deliver.
    pub parcel: Rc<Parcel>,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<Verdict>,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Taken on, and lasting.
    Taken,
    /// Not taken; may come again after this time.
    TurnedDown(Duration),
    /// No room.
    Full,
    /// Given up at once.
    Failed,
    /// It names something that the settings do not know.
    Unknown(&'static str),
}

#[derive(Debug)]
struct Server {
    uid: String,
    address: Option<SocketAddr>,
}

/// Real servers by their lasting names.
#[derive(Debug, Default)]
struct Directory {
    numbers: BTreeMap<String, ServerNo>,
    servers: Vec<Server>,
}

impl Directory {
    fn number(&mut self, uid: &str) -> ServerNo {
        if let Some(no) = self.numbers.get(uid) {
            return *no;
        }
        let no = ServerNo(self.servers.len() as u32);
        self.servers.push(Server { uid: uid.to_string(), address: None });
        self.numbers.insert(uid.to_string(), no);
        no
    }

    fn entry(&mut self, raw: &RawEntry, names: &Names) -> ServiceEntry {
        let id = self.number(&raw.uid);
        match raw.endpoint.parse() {
            Ok(address) => self.servers[id.0 as usize].address = Some(address),
            Err(_) => log::error!("discovery: `{}` is no address", raw.endpoint),
        }
        // A kind or zone that the settings do not name has no settings of its own.
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        ServiceEntry {
            id,
            destination: DestinationId(raw.pod_group),
            kind: KindId(index(&names.kinds, &raw.model)),
            zone: ZoneId(index(&names.zones, &raw.az)),
            state: match raw.state.as_str() {
                "up" => ListState::Live,
                "draining" => ListState::Draining,
                _ => ListState::Gone,
            },
            rate: raw.capacity_hint,
        }
    }
}

#[derive(Debug)]
struct OpenCall {
    switch: Switch,
    destination: DestinationId,
}

/// The owner's state.
#[derive(Debug)]
pub struct Owner {
    core: Core<Rc<Parcel>>,
    journal: Journal,
    names: Names,
    clock: Clock,
    phase: Phase,
    upstream: Upstream,
    directory: Directory,
    calls: BTreeMap<(FlowNo, u32), OpenCall>,
    /// Offers that wait for the end of the present step.
    waiting: BTreeMap<FlowNo, (oneshot::Sender<Verdict>, TakenFlow)>,
    destinations: BTreeMap<FlowNo, DestinationId>,
    ids: BTreeMap<String, FlowNo>,
    over: VecDeque<String>,
    next: u64,
    wake_at: Option<Duration>,
    notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    telling: bool,
    draining_since: Option<Duration>,
    queue: mpsc::Receiver<ToOwner>,
}

/// What the owner is made with.
#[derive(Debug)]
pub struct Parts {
    /// The journal, read.
    pub journal: Journal,
    /// The clock.
    pub clock: Clock,
    /// The program's phase.
    pub phase: Phase,
    /// Makes the calls.
    pub upstream: Upstream,
    /// Takes batches of notices.
    pub notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    /// Where everything comes in.
    pub queue: mpsc::Receiver<ToOwner>,
}

impl Owner {
    /// An owner that has taken up what the journal holds.
    ///
    /// # Errors
    /// Settings that cannot work.
    pub fn new(config: &Config, parts: Parts) -> Result<Self, crate::core::SettingsError> {
        let Parts { journal, clock, phase, upstream, notices, queue } = parts;
        let core = Core::new(config.settings.clone(), config.seed, clock.now())?;
        let mut owner = Owner {
            core,
            next: journal.ledger().next.max(1),
            journal,
            names: config.names.clone(),
            clock,
            phase,
            upstream,
            directory: Directory::default(),
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            destinations: BTreeMap::new(),
            ids: BTreeMap::new(),
            over: VecDeque::new(),
            wake_at: None,
            notices,
            telling: false,
            draining_since: None,
            queue,
        };
        owner.take_list(&RawList { all: true, ..config.known.clone() });
        owner.recover();
        Ok(owner)
    }

    /// Takes up the flows that an earlier process left open. A call that was out may have run; what follows
    /// from that is for the module to say.
    fn recover(&mut self) {
        let now = self.clock.now();
        let open: Vec<_> = self.journal.ledger().open.iter().map(|(no, f)| (*no, f.clone())).collect();
        let mut lost = Vec::new();
        for (no, (flow, progress)) in open {
            self.ids.insert(flow.parcel.id.clone(), no);
            let Some(class) = position(&self.names.classes, &flow.class) else {
                // The settings have lost its class: nothing can be decided for it but its end.
                lost.push(Record::Ended(no, Some(Owed { id: flow.parcel.id.clone(), returned_after: None })));
                continue;
            };
            let tenant = flow.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
            let risk = progress.risk.or(progress.out);
            let risk = risk.map(|r| (now.saturating_sub(r.at), self.directory.number(&r.server)));
            let past = Past { attempts: progress.attempts, risk };
            let destination = DestinationId(flow.destination);
            let remaining = flow.deadline.saturating_sub(now);
            let terms = FlowTerms { class: ClassId(class), tenant, destination, remaining };
            self.destinations.insert(no, destination);
            self.core.recover(no, terms, past, flow.parcel);
        }
        if let Err(e) = self.journal.write(&lost) {
            log::error!("journal: {e}");
        }
        log::info!(
            "recovered {} open flows and {} notices owed",
            self.core.open_flows(),
            self.journal.ledger().owed.len()
        );
    }

    /// Runs until the program has drained.
    pub async fn run(mut self) {
        self.step();
        loop {
            if self.phase.state() >= State::Draining && self.drained() {
                return;
            }
            let now = self.clock.now();
            let due = self.wake_at.into_iter().chain(self.drain_due()).min();
            let due = self.clock.instant(due.unwrap_or(now + Duration::from_secs(1)));
            tokio::select! {
                biased;
                message = self.queue.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(due) => {}
                () = self.phase.reached(State::Draining), if self.draining_since.is_none() => {}
            }
            for _ in 1..BATCH {
                match self.queue.try_recv() {
                    Ok(message) => self.take(message),
                    Err(_) => break,
                }
            }
            if self.wake_at.is_some_and(|at| at <= self.clock.now()) {
                self.wake_at = None;
                self.core.wake();
            }
            self.step();
        }
    }

    fn drain_due(&self) -> Option<Duration> {
        let since = self.draining_since?;
        let now = self.clock.now();
        [DRAIN_LEAST, DRAIN_CALLS, DRAIN_END].into_iter().map(|t| since + t).find(|t| *t > now)
    }

    /// Follows the order to end; true once nothing is left that can still end in time.
    fn drained(&mut self) -> bool {
        let now = self.clock.now();
        let since = *self.draining_since.get_or_insert(now);
        if now >= since + DRAIN_CALLS {
            self.core.close();
        }
        let idle = self.core.open_flows() == 0 && self.journal.ledger().owed.is_empty();
        now >= since + DRAIN_END || idle && now >= since + DRAIN_LEAST
    }

    fn take(&mut self, message: ToOwner) {
        match message {
            ToOwner::Offer(offer) => self.take_offer(offer),
            ToOwner::CallEnded(end) => {
                self.calls.remove(&(end.flow, end.attempt));
                let record = Record::CallEnded(end.flow, end.outcome.never_ran());
                // The flow goes on from here whether or not this is written: unwritten, a restart takes the
                // call for one that may have run.
                if let Err(e) = self.journal.write(&[record]) {
                    log::error!("journal: {e}");
                }
                self.core.call_ended(end);
            }
            ToOwner::List(list) => self.take_list(&list),
            ToOwner::NoticesHeard(flows) => {
                self.telling = false;
                let heard: Vec<_> = flows.into_iter().map(Record::Noticed).collect();
                if let Err(e) = self.journal.write(&heard) {
                    log::error!("journal: {e}");
                }
            }
        }
    }

    fn take_list(&mut self, list: &RawList) {
        let entries = list.targets.iter().map(|raw| self.directory.entry(raw, &self.names)).collect();
        self.core.take_entries(entries, list.all);
    }

    fn take_offer(&mut self, offer: Offer) {
        let Offer { class, tenant, destination, deadline, parcel, reply } = offer;
        let verdict = if self.ids.contains_key(&parcel.id) {
            // Taken on before, and the answer was lost on its way: it is not a second flow.
            Some(Verdict::Taken)
        } else if self.phase.state() != State::Serving {
            Some(Verdict::TurnedDown(Duration::from_secs(2)))
        } else if !self.core.has_room() || !self.journal.has_room(parcel.body.len() + 1024) {
            Some(Verdict::Full)
        } else {
            None
        };
        let known = position(&self.names.classes, &class);
        let tenant_no = match &tenant {
            None => Ok(None),
            Some(name) => position(&self.names.tenants, name).map(|t| Some(TenantId(t))).ok_or("the account"),
        };
        let verdict = verdict.or(known.is_none().then_some(Verdict::Unknown("the class")));
        let verdict = verdict.or(tenant_no.err().map(Verdict::Unknown));
        if let Some(verdict) = verdict {
            let _ = reply.send(verdict);
            return;
        }
        let (Some(class_no), Ok(tenant_no)) = (known, tenant_no) else { return };
        let no = FlowNo(self.next);
        self.next += 1;
        self.ids.insert(parcel.id.clone(), no);
        let remaining = deadline.saturating_sub(self.clock.now());
        let terms = FlowTerms {
            class: ClassId(class_no),
            tenant: tenant_no,
            destination: DestinationId(destination),
            remaining,
        };
        self.destinations.insert(no, terms.destination);
        self.core.offer(no, terms, parcel.clone());
        self.waiting.insert(no, (reply, TakenFlow { deadline, class, tenant, destination, parcel }));
    }

    /// Steps the core until it has nothing left to work on, and carries out what it asks for.
    fn step(&mut self) {
        let mut effects = Vec::new();
        loop {
            self.core.step(self.clock.now(), &mut effects);
            self.carry_out(std::mem::take(&mut effects));
            if !self.core.has_events() {
                break;
            }
        }
        if !self.telling && !self.journal.ledger().owed.is_empty() {
            let owed = self.journal.ledger().owed.iter().take(notices::BATCH);
            let batch = owed.map(|(no, owed)| (*no, owed.clone())).collect();
            self.telling = self.notices.try_send(batch).is_ok();
        }
    }

    /// Writes down first what the effects promise, then does them.
    fn carry_out(&mut self, effects: Vec<Effect<Rc<Parcel>>>) {
        let now = self.clock.now();
        let mut records = Vec::new();
        for effect in &effects {
            match effect {
                Effect::Taken(no, _) => {
                    if let Some((_, flow)) = self.waiting.get(no) {
                        records.push(Record::Taken(*no, flow.clone()));
                    }
                }
                Effect::Call { flow, server, .. } => {
                    let server = self.directory.servers[server.0 as usize].uid.clone();
                    records.push(Record::Sent(*flow, SentTo { at: now, server }));
                }
                Effect::Ended(no, parcel, end) => {
                    let returned_after = if let End::Returned(wait) = end { Some(*wait) } else { None };
                    let owed = matches!(end, End::Failed | End::Returned(_));
                    let owed = owed.then(|| Owed { id: parcel.id.clone(), returned_after });
                    records.push(Record::Ended(*no, owed));
                }
                _ => {}
            }
        }
        let lasting = self.journal.write(&records);
        if let Err(e) = &lasting {
            log::error!("journal: {e}; new flows are turned down");
        }
        for effect in effects {
            self.do_effect(effect, now, lasting.is_ok());
        }
    }

    fn do_effect(&mut self, effect: Effect<Rc<Parcel>>, now: Duration, lasting: bool) {
        match effect {
            Effect::Taken(no, parcel) => {
                let Some((reply, _)) = self.waiting.remove(&no) else { return };
                if lasting {
                    let _ = reply.send(Verdict::Taken);
                } else {
                    // Guards the promise of a 202: what is not written down was not taken.
                    self.core.withdraw(no);
                    self.forget(no, &parcel.id);
                    let _ = reply.send(Verdict::Full);
                }
            }
            Effect::TurnedDown(no, parcel, end) => {
                self.forget(no, &parcel.id);
                if let Some((reply, _)) = self.waiting.remove(&no) {
                    let verdict = match end {
                        End::Returned(wait) => Verdict::TurnedDown(wait),
                        _ => Verdict::Failed,
                    };
                    let _ = reply.send(verdict);
                }
            }
            Effect::Call { flow, attempt, server, give_up_at, payload } => {
                let address = self.directory.servers[server.0 as usize].address;
                let destination = self.destinations.get(&flow).copied();
                let (Some(address), Some(destination), true) = (address, destination, lasting) else {
                    // Not written down, or nowhere to go: it does not go out.
                    let (outcome, elapsed) = (Outcome::Void, Duration::ZERO);
                    let end = CallEnd { flow, attempt, server, outcome, over: false, elapsed, limit: None };
                    self.core.call_ended(end);
                    return;
                };
                let give_up_at = self.clock.instant(give_up_at);
                let order = CallOrder { flow, attempt, server, address, give_up_at, parcel: payload };
                let switch = self.upstream.call(order);
                self.calls.insert((flow, attempt), OpenCall { switch, destination });
            }
            Effect::StopCall(flow, attempt) => {
                if let Some(call) = self.calls.get(&(flow, attempt)) {
                    call.switch.stop();
                }
            }
            Effect::HoldUnsent(destination) => {
                let there = self.calls.values().filter(|c| c.destination == destination);
                there.for_each(|c| c.switch.hold());
            }
            Effect::Ended(no, parcel, end) => {
                log::debug!("flow {} ({}) ended: {end:?}", no.0, parcel.id);
                self.destinations.remove(&no);
                self.over.push_back(parcel.id.clone());
                if self.over.len() > REMEMBERED
                    && let Some(id) = self.over.pop_front()
                {
                    self.ids.remove(&id);
                }
            }
            Effect::Release(server) => self.upstream.release(server),
            Effect::Wake(after) => {
                let at = now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
            }
            // The platform's real servers have no probe that the settings would not have to allow first.
            Effect::Probe(server) => self.core.probe_ended(server, Outcome::Void, None),
            Effect::Log(line) => log::info!("{line}"),
        }
    }

    fn forget(&mut self, no: FlowNo, id: &str) {
        self.destinations.remove(&no);
        self.ids.remove(id);
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
