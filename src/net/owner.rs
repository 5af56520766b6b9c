//! The one task that owns the module, the core and the journal. All else reaches it by one bounded queue.

use super::clock::Clock;
use super::config::{Config, RawEntry, RawList};
use super::journal::{Journal, Owed, Record, SentTo, TakenFlow};
use super::mail::MailSettings;
use super::mail::client::{Item, MailCall, MailUpstream};
use super::mail::dsn::Report;
use super::notices;
use super::operator::{FixedServer, Wire};
use super::parcel::{Envelope, Parcel};
use super::phase::{Phase, State};
use super::upstream::{CallOrder, Switch, Upstream};
use crate::api::{ClassId, DestinationId, KindId, LimitReport, ListState, Past, TenantId, ZoneId};
use crate::core::vigil::{Line, Vigil};
use crate::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms, Outcome, ServerNo, ServiceEntry};
use crate::plugin::{FlowView, Hooks};
use crate::settings::Names;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// Messages taken into one step, at most.
const BATCH: usize = 256;
/// Time from the order to end within which calls may still begin, and after which the program exits: the kill
/// comes no sooner than 3.7 s after it.
const DRAIN_CALLS: Duration = Duration::from_millis(2000);
const DRAIN_END: Duration = Duration::from_millis(3500);
/// Time for which new connections still come after the order to end.
const DRAIN_LEAST: Duration = Duration::from_millis(600);
/// Time from the order to end after which the next process is there: the kill, its pause, and a start. Clients
/// are asked to stay away until then, within the two times.
const NEXT_READY: Duration = Duration::from_millis(4500);
const COME_BACK: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Ids of flows that are over, kept in case one is handed in twice.
const REMEMBERED: usize = 4096;

/// What reaches the owner.
#[derive(Debug)]
pub enum ToOwner {
    /// A client hands in a flow.
    Offer(Offer),
    /// A call ended.
    CallEnded(CallEnd, Option<String>),
    /// A probe ended.
    Probed(ServerNo, Outcome, Option<LimitReport>),
    /// The operator's real servers, all of them.
    Servers(Vec<FixedServer>),
    /// News of discovery's list.
    List(RawList),
    /// Notices were heard.
    NoticesHeard(Vec<FlowNo>),
}

/// Flows that a client hands in together.
#[derive(Debug)]
pub struct Offer {
    /// Their class, by name.
    pub class: String,
    /// Their tenant, by name.
    pub tenant: Option<String>,
    /// When they are given up.
    pub deadline: Duration,
    /// Where each goes, and what to deliver.
    pub items: Vec<(DestinationId, Rc<Parcel>)>,
    /// Whoever handed them in hears one verdict for all: taking one on takes all on.
    pub together: bool,
    /// Where the verdicts go, one for each.
    pub reply: oneshot::Sender<Vec<Verdict>>,
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
    wire: Wire,
    kind: KindId,
    state: ListState,
    /// Its idle connections lead nowhere any more.
    moved: bool,
}

/// Real servers by their lasting names. One that has gone is kept until its last call is over; should its name
/// come again, it is another real server.
#[derive(Debug, Default)]
struct Directory {
    numbers: BTreeMap<String, ServerNo>,
    servers: BTreeMap<ServerNo, Server>,
    next: u32,
    /// Every destination that a list has named.
    destinations: BTreeSet<DestinationId>,
}

impl Directory {
    fn number(&mut self, uid: &str) -> ServerNo {
        if let Some(no) = self.numbers.get(uid) {
            return *no;
        }
        let no = ServerNo(self.next);
        self.next += 1;
        let (address, wire, kind) = (None, Wire::Http, KindId(usize::MAX));
        let server =
            Server { uid: uid.to_string(), address, wire, kind, state: ListState::Live, moved: false };
        self.servers.insert(no, server);
        self.numbers.insert(uid.to_string(), no);
        no
    }

    fn entry(&mut self, raw: &RawEntry, wire: Wire, names: &Names) -> ServiceEntry {
        let id = self.number(&raw.uid);
        let state = match raw.state.as_str() {
            "up" => ListState::Live,
            "draining" => ListState::Draining,
            _ => ListState::Gone,
        };
        let destination = DestinationId(raw.pod_group);
        self.destinations.insert(destination);
        // A kind or zone that the settings do not name has no settings of its own.
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let (kind, zone) = (KindId(index(&names.kinds, &raw.model)), ZoneId(index(&names.zones, &raw.az)));
        if let Some(server) = self.servers.get_mut(&id) {
            (server.wire, server.kind, server.state) = (wire, kind, state);
            match raw.endpoint.parse() {
                Ok(address) => {
                    server.moved |= server.address.is_some_and(|old| old != address);
                    server.address = Some(address);
                }
                Err(_) => log::error!("discovery: `{:.60}` is no address", raw.endpoint),
            }
        }
        log::debug!("server {} is {} of destination {}: {}", id.0, raw.uid, raw.pod_group, raw.state);
        ServiceEntry { id, destination, kind, zone, state, rate: raw.capacity_hint }
    }

    /// The lasting name of a real server.
    fn uid(&self, no: ServerNo) -> String {
        self.servers.get(&no).map(|s| s.uid.clone()).unwrap_or_default()
    }
}

#[derive(Debug)]
struct OpenCall {
    switch: Switch,
    destination: DestinationId,
    server: ServerNo,
}

/// Flows whose client waits for the end of the present step.
#[derive(Debug)]
struct Group {
    reply: oneshot::Sender<Vec<Verdict>>,
    verdicts: Vec<Option<Verdict>>,
    together: bool,
}

#[derive(Debug)]
struct Waiting {
    group: u64,
    index: usize,
    flow: TakenFlow,
}

/// The owner's state.
#[derive(Debug)]
pub struct Owner {
    core: Core<Rc<Parcel>>,
    journal: Journal,
    vigil: Vigil,
    names: Names,
    clock: Clock,
    phase: Phase,
    upstream: Upstream,
    mail: Option<(MailSettings, MailUpstream)>,
    hooks: Rc<Hooks>,
    /// What scripts see of the open flows; kept only where there are scripts.
    views: BTreeMap<FlowNo, FlowView>,
    fixed: Vec<FixedServer>,
    per_call: Vec<usize>,
    /// What a repeat does and how long a flow lives, by class.
    classes: Vec<(crate::api::Effect, Duration)>,
    directory: Directory,
    calls: BTreeMap<(FlowNo, u32), OpenCall>,
    /// Offers that wait for the end of the present step.
    waiting: BTreeMap<FlowNo, Waiting>,
    groups: BTreeMap<u64, Group>,
    /// Records that the next write begins with.
    unwritten: Vec<Record>,
    /// What real servers last said of open mail flows.
    said: BTreeMap<FlowNo, String>,
    /// Mail calls of the present step.
    mail_calls: Vec<(ServerNo, Duration, DestinationId, Item)>,
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
    /// Makes those by mail.
    pub mail_upstream: Option<MailUpstream>,
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
        let Parts { journal, clock, phase, upstream, mail_upstream, notices, queue } = parts;
        let core = Core::new(config.settings.clone(), config.seed, clock.now())?;
        let mut owner = Owner {
            core,
            next: journal.ledger().next.max(1),
            journal,
            vigil: Vigil::default(),
            names: config.names.clone(),
            clock,
            phase,
            upstream,
            mail: config.mail.clone().zip(mail_upstream),
            hooks: config.hooks.clone(),
            views: BTreeMap::new(),
            fixed: config.fixed.clone(),
            classes: config.settings.classes.iter().map(|c| (c.effect, c.deadline)).collect(),
            per_call: config.settings.kinds.iter().map(|k| k.per_call).collect(),
            directory: Directory::default(),
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            groups: BTreeMap::new(),
            unwritten: Vec::new(),
            said: BTreeMap::new(),
            mail_calls: Vec::new(),
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
            let risk = progress.risk.or(progress.out);
            let risk = risk.map(|r| (now.saturating_sub(r.at), self.directory.number(&r.server)));
            let past = Past { attempts: progress.attempts, risk };
            if !self.take_up(no, &flow, past, now) {
                // The settings have lost its class: nothing can be decided for it but its end.
                let owed = Owed { id: flow.parcel.id.clone(), returned_after: None };
                lost.push(Record::Ended(no, Some(owed).filter(|_| flow.parcel.mail.is_none())));
                continue;
            };
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

    /// Hands the core a flow that is lasting already; false if the settings do not know its class.
    fn take_up(&mut self, no: FlowNo, flow: &TakenFlow, past: Past, now: Duration) -> bool {
        self.ids.insert(flow.parcel.id.clone(), no);
        let Some(class) = position(&self.names.classes, &flow.class) else { return false };
        let tenant = flow.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
        let destination = DestinationId(flow.destination);
        let remaining = flow.deadline.saturating_sub(now);
        let terms = FlowTerms { class: ClassId(class), tenant, destination, remaining };
        if !self.hooks.is_empty() {
            let view = view(&flow.class, flow.tenant.as_deref(), destination, &flow.parcel);
            self.views.insert(no, view);
        }
        self.destinations.insert(no, destination);
        if flow.parcel.mail.is_none() {
            self.vigil.taken(no, &flow.parcel.id, now, flow.deadline, true);
        }
        self.core.recover(no, terms, past, flow.parcel.clone());
        true
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
            ToOwner::CallEnded(end, detail) => {
                let line = Line::CallEnded(end.attempt, outcome_name(end.outcome));
                self.vigil.note(end.flow, self.clock.now(), line);
                self.calls.remove(&(end.flow, end.attempt));
                // Should this never be written, a restart takes the call for one that may have run.
                self.unwritten.push(Record::CallEnded(end.flow, end.outcome.never_ran()));
                if let Some(view) = self.views.get(&end.flow) {
                    let server = self.directory.uid(end.server);
                    let outcome = outcome_name(end.outcome);
                    self.hooks.attempt_ended(view, end.attempt, &server, outcome, end.elapsed);
                }
                if let Some(text) = detail {
                    self.said.insert(end.flow, text);
                }
                self.core.call_ended(end);
            }
            ToOwner::Probed(server, outcome, limit) => self.core.probe_ended(server, outcome, limit),
            ToOwner::Servers(servers) => self.take_servers(servers),
            ToOwner::List(list) => self.take_list(&list),
            ToOwner::NoticesHeard(flows) => {
                self.telling = false;
                let now = self.clock.now();
                flows
                    .iter()
                    .filter_map(|no| self.vigil.kept(*no, now))
                    .for_each(|story| log::error!("{story}"));
                self.unwritten.extend(flows.into_iter().map(Record::Noticed));
            }
        }
    }

    fn take_list(&mut self, list: &RawList) {
        if list.all {
            self.directory.servers.values_mut().for_each(|s| s.state = ListState::Gone);
        }
        let of_list = list.targets.iter().map(|raw| (raw, Wire::Http));
        // What the operator names is in no list of discovery's, and does not go with it.
        let own = self.fixed.iter().filter(|_| list.all).map(|f| (&f.entry, f.wire));
        let entries =
            of_list.chain(own).map(|(raw, wire)| self.directory.entry(raw, wire, &self.names)).collect();
        self.core.take_entries(entries, list.all);
        self.sweep_servers();
    }

    /// Guards memory and descriptors on days on which real servers come and go: one that wants nothing new, or
    /// has another address, keeps no idle connection, and one that is gone is forgotten with its last call.
    fn sweep_servers(&mut self) {
        let mut gone = Vec::new();
        for (no, server) in &mut self.directory.servers {
            if std::mem::take(&mut server.moved) || server.state != ListState::Live {
                self.upstream.release(*no);
                if let Some((_, mail)) = &self.mail {
                    mail.release(*no);
                }
            }
            if server.state == ListState::Gone && !self.calls.values().any(|c| c.server == *no) {
                gone.push((*no, server.uid.clone()));
            }
        }
        for (no, uid) in gone {
            self.directory.servers.remove(&no);
            self.directory.numbers.remove(&uid);
        }
    }

    fn take_servers(&mut self, servers: Vec<FixedServer>) {
        let old = std::mem::replace(&mut self.fixed, servers);
        let stays = |f: &FixedServer| self.fixed.iter().any(|n| n.entry.uid == f.entry.uid);
        let gone = old.into_iter().filter(|f| !stays(f)).map(|mut f| {
            f.entry.state = "removed".into();
            f
        });
        let gone: Vec<_> = gone.collect();
        let changed = self.fixed.iter().chain(&gone);
        let entries = changed.map(|f| self.directory.entry(&f.entry, f.wire, &self.names)).collect();
        self.core.take_entries(entries, false);
        self.sweep_servers();
    }

    fn take_offer(&mut self, offer: Offer) {
        let Offer { class, tenant, deadline, items, together, reply } = offer;
        let known = position(&self.names.classes, &class);
        let tenant_no = match &tenant {
            None => Some(None),
            Some(name) => position(&self.names.tenants, name).map(|t| Some(TenantId(t))),
        };
        let bytes = items.iter().map(|(_, p)| p.body.len() + 1024).sum();
        let (Some(class_no), Some(tenant_no)) = (known, tenant_no) else {
            let what = if known.is_none() { "the class" } else { "the account" };
            let _ = reply.send(vec![Verdict::Unknown(what); items.len()]);
            return;
        };
        if let Some(what) = self.unusable(class_no, deadline, &items) {
            let _ = reply.send(vec![Verdict::Unknown(what); items.len()]);
            return;
        }
        let verdict =
            if items.iter().any(|(_, p)| self.ids.get(&p.id).is_some_and(|no| self.waiting.contains_key(no)))
            {
                // One of that id waits for its verdict; nothing can be promised in its name.
                Some(Verdict::Unknown("the id"))
            } else if items.iter().all(|(_, p)| self.ids.contains_key(&p.id)) {
                // Taken on before, and the answer was lost on its way: it is not a second flow.
                Some(Verdict::Taken)
            } else if self.phase.state() != State::Serving {
                Some(Verdict::TurnedDown(come_back(self.draining_since, self.clock.now())))
            } else if !self.core.has_room(items.len()) || !self.journal.has_room(items.len(), bytes) {
                Some(Verdict::Full)
            } else {
                None
            };
        if let Some(verdict) = verdict {
            let _ = reply.send(vec![verdict; items.len()]);
            return;
        }
        // Scripts come after all that could refuse it and before anything is promised: they can only add a
        // turn-down. Where one verdict holds for all, so does that.
        let mut views = Vec::new();
        let mut turned_down = vec![None; items.len()];
        if !self.hooks.is_empty() {
            for (i, (destination, parcel)) in items.iter().enumerate() {
                let mut view = view(&class, tenant.as_deref(), *destination, parcel);
                turned_down[i] = self.hooks.flow_taken(&mut view);
                views.push(view);
            }
        }
        if let Some(wait) = turned_down.iter().flatten().max().copied().filter(|_| together) {
            turned_down.fill(Some(wait));
        }
        let group = self.next;
        // One moment for all: what was handed in together is as urgent and goes out in the order given.
        let remaining = deadline.saturating_sub(self.clock.now());
        let verdicts: Vec<_> = turned_down.iter().map(|w| w.map(Verdict::TurnedDown)).collect();
        if let Some(all) = verdicts.iter().copied().collect() {
            let _ = reply.send(all);
            return;
        }
        self.groups.insert(group, Group { reply, verdicts, together });
        for (index, (destination, parcel)) in items.into_iter().enumerate() {
            if turned_down[index].is_some() {
                continue;
            }
            let no = self.number();
            if let Some(view) = views.get(index) {
                self.views.insert(no, view.clone());
            }
            self.ids.insert(parcel.id.clone(), no);
            let terms = FlowTerms { class: ClassId(class_no), tenant: tenant_no, destination, remaining };
            self.destinations.insert(no, destination);
            self.core.offer(no, terms, parcel.clone());
            let (class, tenant) = (class.clone(), tenant.clone());
            let flow = TakenFlow { deadline, class, tenant, destination: destination.0, parcel };
            self.waiting.insert(no, Waiting { group, index, flow });
        }
    }

    /// What makes it impossible to keep the rules for flows of a class, if anything.
    fn unusable(
        &self, class: usize, deadline: Duration, items: &[(DestinationId, Rc<Parcel>)],
    ) -> Option<&'static str> {
        let (effect, longest) = self.classes.get(class)?;
        let keyed = matches!(effect, crate::api::Effect::Keyed { .. });
        let over = deadline.saturating_sub(self.clock.now()) > *longest * 2;
        let plain = |p: &Parcel| p.mail.is_none();
        items.iter().find_map(|(to, p)| match p {
            // What no list ever named could only be held until its time is up.
            _ if !self.directory.destinations.contains(to) => Some("the destination"),
            p if plain(p) && keyed && p.key.is_none() => Some("no key"),
            p if plain(p) && over => Some("the time left"),
            _ => None,
        })
    }

    fn number(&mut self) -> FlowNo {
        self.next += 1;
        FlowNo(self.next - 1)
    }

    /// Tells the verdict on one flow; the client hears it once all of its group are there.
    fn settle(&mut self, no: FlowNo, verdict: Verdict) {
        let Some(Waiting { group, index, .. }) = self.waiting.remove(&no) else { return };
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.verdicts[index] = Some(verdict);
        let verdicts: Option<Vec<_>> = g.verdicts.iter().copied().collect();
        if let Some(verdicts) = verdicts
            && let Some(g) = self.groups.remove(&group)
        {
            // The client may be gone; what was taken stays taken.
            let _ = g.reply.send(verdicts);
        }
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
            let batch: Vec<_> = owed.map(|(no, owed)| (*no, owed.clone())).collect();
            let now = self.clock.now();
            batch.iter().for_each(|(no, _)| self.vigil.note(*no, now, Line::Telling));
            self.telling = self.notices.try_send(batch).is_ok();
        }
        let now = self.clock.now();
        self.vigil.overdue(now).into_iter().for_each(|story| log::error!("{story}"));
    }

    /// Writes down first what the effects promise, then does them.
    fn carry_out(&mut self, effects: Vec<Effect<Rc<Parcel>>>) {
        let now = self.clock.now();
        let effects = self.keep_together(effects);
        let mut records = std::mem::take(&mut self.unwritten);
        for effect in &effects {
            match effect {
                Effect::Taken(no, _) => {
                    if let Some(w) = self.waiting.get(no) {
                        records.push(Record::Taken(*no, w.flow.clone()));
                    }
                }
                Effect::Call { flow, server, .. } => {
                    let server = self.directory.uid(*server);
                    records.push(Record::Sent(*flow, SentTo { at: now, server }));
                }
                Effect::Ended(no, parcel, end) => {
                    let refused = records.contains(&Record::CallEnded(*no, true));
                    records.push(self.end_record(*no, parcel, *end, refused, now));
                }
                _ => {}
            }
        }
        let lasting = self.journal.write(&records);
        if let Err(e) = &lasting {
            log::error!("journal: {e}; new flows are turned down");
            // Ends are written as soon as that works again; what was to be taken was not, nor was it sent.
            let not_taken = |no: &FlowNo| records.iter().any(|r| matches!(r, Record::Taken(n, _) if n == no));
            let keep = |r: &&Record| match r {
                Record::Ended(no, _) | Record::Bounced(no, ..) | Record::CallEnded(no, _) => !not_taken(no),
                Record::Noticed(_) => true,
                _ => false,
            };
            self.unwritten = records.iter().filter(keep).cloned().collect();
        } else {
            for record in &records {
                if let Record::Bounced(_, no, flow) = record {
                    self.take_up(*no, flow, Past::default(), now);
                }
            }
        }
        for effect in effects {
            self.do_effect(effect, now, lasting.is_ok());
        }
        self.make_mail_calls();
    }

    /// Guards the one verdict of flows handed in together: where some are taken, the others are taken too and
    /// end at once, each with what is owed for it.
    fn keep_together(&self, effects: Vec<Effect<Rc<Parcel>>>) -> Vec<Effect<Rc<Parcel>>> {
        let group = |no: &FlowNo| self.waiting.get(no).map(|w| w.group);
        let joint = |g: &u64| self.groups.get(g).is_some_and(|g| g.together);
        let taken = |e: &Effect<Rc<Parcel>>| match e {
            Effect::Taken(no, _) => group(no).filter(joint),
            _ => None,
        };
        let taken: BTreeSet<u64> = effects.iter().filter_map(taken).collect();
        let both = |e: Effect<Rc<Parcel>>| match e {
            Effect::TurnedDown(no, parcel, end) if group(&no).is_some_and(|g| taken.contains(&g)) => {
                vec![Effect::Taken(no, parcel.clone()), Effect::Ended(no, parcel, end)]
            }
            other => vec![other],
        };
        effects.into_iter().flat_map(both).collect()
    }

    /// How the end of a flow is written down, with what is owed for it.
    /// `refused`: the call that the ledger may still show as out is known not to have run.
    fn end_record(&mut self, no: FlowNo, parcel: &Parcel, end: End, refused: bool, now: Duration) -> Record {
        let said = self.said.remove(&no);
        if matches!(end, End::Delivered | End::Over) {
            return Record::Ended(no, None);
        }
        let returned_after = if let End::Returned(wait) = end { Some(wait) } else { None };
        let Some(envelope) = &parcel.mail else {
            return Record::Ended(no, Some(Owed { id: parcel.id.clone(), returned_after }));
        };
        log::info!(
            "mail: {} to <{}> ends undelivered: {}",
            parcel.id,
            envelope.to,
            said.as_deref().unwrap_or("-")
        );
        let bounce = self.mail.as_ref().and_then(|(s, _)| s.bounce.map(|to| (s.clone(), to)));
        let Some((settings, to)) = bounce.filter(|_| !envelope.from.is_empty()) else {
            return Record::Ended(no, None);
        };
        let progress = self.journal.ledger().open.get(&no).map(|(_, p)| p.clone()).unwrap_or_default();
        let permanent = said.as_deref().is_some_and(|s| s.starts_with('5'));
        let (status, reason) = match end {
            End::Failed if permanent => ("5.0.0", "The server that it was for refused it for good."),
            End::Failed if progress.risk.or(progress.out.filter(|_| !refused)).is_some() => (
                "4.4.2",
                "The server that it was for took it and did not say what became of it. It may have been\r\n\
                  delivered, and has not been sent again.",
            ),
            End::Failed => ("4.4.7", "Its time ran out before any server took it."),
            _ => ("4.3.2", "There was no room for it. It has not been delivered, and may be sent again."),
        };
        let dsn = self.number();
        let id = format!("n{:x}-{}", now.as_micros(), dsn.0);
        let report = Report {
            hostname: &settings.hostname,
            id: &id,
            sender: &envelope.from,
            recipient: &envelope.to,
            status,
            reason,
            diagnostic: said.as_deref(),
            original: &parcel.body,
            now,
        };
        let mail = Some(Envelope { from: String::new(), to: envelope.from.clone() });
        let parcel = Rc::new(Parcel { id: id.clone(), key: None, mail, body: report.message().into() });
        let (deadline, class) = (now + settings.deadline, settings.class.clone());
        Record::Bounced(no, dsn, TakenFlow { deadline, class, tenant: None, destination: to.0, parcel })
    }

    /// Hands the mail calls of this step out: what goes to one real server shares calls as far as its kind
    /// allows, and in a call what has one sender and one body shares a transaction.
    fn make_mail_calls(&mut self) {
        let mut by_server: BTreeMap<ServerNo, Vec<_>> = BTreeMap::new();
        for (server, give_up_at, destination, item) in std::mem::take(&mut self.mail_calls) {
            by_server.entry(server).or_default().push((give_up_at, destination, item));
        }
        for (no, orders) in by_server {
            let Some(server) = self.directory.servers.get(&no) else { continue };
            let (Some(address), Wire::Mail(dialect), Some((_, upstream))) =
                (server.address, server.wire, &self.mail)
            else {
                continue;
            };
            let per_call = self.per_call.get(server.kind.0).copied().unwrap_or(1).max(1);
            for orders in orders.chunks(per_call) {
                let mut transactions: Vec<Vec<Item>> = Vec::new();
                for (_, _, item) in orders {
                    let from = |i: &Item| i.parcel.mail.as_ref().map(|m| m.from.clone());
                    let same = |t: &&mut Vec<Item>| {
                        from(&t[0]) == from(item)
                            && (Rc::ptr_eq(&t[0].parcel.body, &item.parcel.body)
                                || t[0].parcel.body == item.parcel.body)
                    };
                    match transactions.iter_mut().find(same) {
                        Some(t) => t.push(item.clone()),
                        None => transactions.push(vec![item.clone()]),
                    }
                }
                let give_up_at = orders.iter().map(|o| o.0).min().unwrap_or_default();
                let give_up_at = self.clock.instant(give_up_at);
                let switch =
                    upstream.call(MailCall { server: no, address, dialect, give_up_at, transactions });
                for (_, destination, item) in orders {
                    let (switch, destination) = (switch.clone(), *destination);
                    let call = OpenCall { switch, destination, server: no };
                    self.calls.insert((item.flow, item.attempt), call);
                }
            }
        }
    }

    fn do_effect(&mut self, effect: Effect<Rc<Parcel>>, now: Duration, lasting: bool) {
        match effect {
            Effect::Taken(no, parcel) if lasting => {
                if let Some(w) = self.waiting.get(&no) {
                    let (class, to) = (&w.flow.class, w.flow.destination);
                    log::debug!("flow {} ({}) taken: class {class}, destination {to}", no.0, parcel.id);
                    if parcel.mail.is_none() {
                        self.vigil.taken(no, &parcel.id, now, w.flow.deadline, false);
                    }
                }
                self.settle(no, Verdict::Taken);
            }
            Effect::Taken(no, parcel) => {
                // Guards the promise of a 202: what is not written down was not taken.
                self.core.withdraw(no);
                self.forget(no, &parcel.id);
                self.settle(no, Verdict::Full);
            }
            Effect::TurnedDown(no, parcel, end) => {
                self.forget(no, &parcel.id);
                let verdict = match end {
                    End::Returned(wait) => Verdict::TurnedDown(wait),
                    _ => Verdict::Failed,
                };
                self.settle(no, verdict);
            }
            Effect::Call { flow, attempt, server, give_up_at, payload } => {
                let to = self.directory.servers.get(&server).and_then(|s| Some((s.address?, s.wire)));
                let destination = self.destinations.get(&flow).copied();
                let (Some((address, wire)), Some(destination), true) = (to, destination, lasting) else {
                    // Not written down, or nowhere to go: it does not go out.
                    let (outcome, elapsed) = (Outcome::Void, Duration::ZERO);
                    let end =
                        CallEnd { flow, attempt, server, outcome, finished: None, elapsed, limit: None };
                    self.core.call_ended(end);
                    return;
                };
                if wire != Wire::Http {
                    let item = Item { flow, attempt, parcel: payload };
                    self.mail_calls.push((server, give_up_at, destination, item));
                    return;
                }
                self.vigil.note(flow, now, Line::Sent(attempt, server.0, give_up_at));
                let give_up_at = self.clock.instant(give_up_at);
                let deadline = self.journal.ledger().open.get(&flow).map(|(f, _)| f.deadline);
                let over_at = deadline.map_or(give_up_at, |d| self.clock.instant(d));
                let order =
                    CallOrder { flow, attempt, server, address, give_up_at, over_at, parcel: payload };
                let switch = self.upstream.call(order);
                self.calls.insert((flow, attempt), OpenCall { switch, destination, server });
            }
            Effect::StopCall(flow, attempt) => {
                self.vigil.note(flow, now, Line::Stopped(attempt));
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
                let owed = parcel.mail.is_none() && matches!(end, End::Failed | End::Returned(_));
                self.vigil.note(no, now, Line::Ended(end_name(end), owed));
                if !owed && let Some(story) = self.vigil.kept(no, now) {
                    log::error!("{story}");
                }
                if let Some(view) = self.views.remove(&no) {
                    self.hooks.flow_ended(&view, end_name(end));
                }
                self.destinations.remove(&no);
                self.over.push_back(parcel.id.clone());
                if self.over.len() > REMEMBERED
                    && let Some(id) = self.over.pop_front()
                {
                    self.ids.remove(&id);
                }
            }
            Effect::Release(server) => {
                self.upstream.release(server);
                if let Some((_, mail)) = &self.mail {
                    mail.release(server);
                }
            }
            Effect::Wake(after) => {
                let at = now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
            }
            Effect::Probe(server) => {
                let to = self.directory.servers.get(&server).and_then(|s| Some((s.address?, s.wire)));
                match (to, &self.mail) {
                    (Some((address, Wire::Http)), _) => self.upstream.probe(server, address),
                    (Some((address, Wire::Mail(dialect))), Some((_, mail))) => {
                        mail.probe(server, address, dialect)
                    }
                    _ => self.core.probe_ended(server, Outcome::Void, None),
                }
            }
            Effect::Log(line) => log::info!("{line}"),
        }
    }

    fn forget(&mut self, no: FlowNo, id: &str) {
        self.destinations.remove(&no);
        self.views.remove(&no);
        self.ids.remove(id);
    }
}

/// How long clients should stay away from a relay that ends. Guards their time: told the same at every moment,
/// those refused last would come long after there is somebody again.
fn come_back(draining_since: Option<Duration>, now: Duration) -> Duration {
    let left = draining_since.map_or(NEXT_READY, |since| (since + NEXT_READY).saturating_sub(now));
    left.clamp(COME_BACK.0, COME_BACK.1)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn view(class: &str, tenant: Option<&str>, destination: DestinationId, parcel: &Parcel) -> FlowView {
    FlowView {
        id: parcel.id.clone(),
        class: class.to_string(),
        tenant: tenant.unwrap_or_default().to_string(),
        destination: super::mail::written(destination),
        size: parcel.body.len(),
        mail: parcel.mail.as_ref().map(|m| (m.from.clone(), m.to.clone())),
        label: String::new(),
    }
}

fn end_name(end: End) -> &'static str {
    match end {
        End::Delivered => "delivered",
        End::Failed => "failed",
        End::Returned(_) => "returned",
        End::Over => "over",
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "success",
        Outcome::Failure => "failure",
        Outcome::Overloaded { .. } => "overloaded",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::Broken => "broken",
        Outcome::Withdrawn => "withdrawn",
        Outcome::Void => "void",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_are_asked_to_come_when_the_next_process_is_there() {
        let (ms, since) = (Duration::from_millis, Some(Duration::from_secs(9)));
        let told = |after: u64| come_back(since, ms(9000 + after));
        assert_eq!([told(0), told(2000), told(3500), told(9000)], [ms(2000), ms(2000), ms(1000), ms(250)]);
        assert_eq!(come_back(None, ms(0)), ms(2000));
    }
}
