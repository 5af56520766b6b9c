//! The owner's part in a return to service: what [`onyxstile_recovery`] decides is carried out here.

use super::*;
use crate::api::LimitReport;
use crate::net::config::Config;
use crate::net::journal::Started;
use onyxstile_peers::book::{Book, name_digest};
use onyxstile_peers::facts::Sight;
use onyxstile_peers::{Fate as FlowFate, Life, NodeNo, Question};
use onyxstile_recovery::{Boot, Effect as Order, Event, Folder, Loss, Ramp, Return, Stage as At, Times};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Others that are asked after a loss, at most: one that knows a later life of this relay is enough, and each knows
/// partners by calls of its own.
const ASKED_MOST: usize = 16;
/// How long a start that cannot be written waits before it is tried again.
const START_AGAIN: Duration = Duration::from_millis(500);
/// How long who is turned away during a return is asked to stay away.
const STAY_AWAY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// A return that is under way, or was.
#[derive(Debug)]
pub(super) struct Comeback {
    ret: Return,
    /// What the folder showed as open and has not been handed over, and all of it that must not run twice, or may.
    left: BTreeSet<FlowNo>,
    once: BTreeSet<FlowNo>,
    others: BTreeSet<FlowNo>,
    owed: BTreeSet<FlowNo>,
    pub(super) telling: bool,
    pub(super) kept: bool,
    ramp: Option<Ramp>,
    asked_until: Duration,
    /// Until when a real server of which no sound relay told is taken for cold when it is first listed.
    pub(super) cold_until: Duration,
    rng: Pcg32,
    life: Life,
    boot: String,
    /// What the folder by itself says that was lost.
    loss: Loss,
    /// The start is not written yet, and is tried to be again at this time.
    unstarted: Option<Duration>,
}

/// The life with which a process begins: the next one of its folder, or the first of a new one.
pub(crate) fn begin_life(last: Option<&Started>, seed: u64, now: Duration) -> Life {
    let mut rng = Pcg32::seed_from_u64(seed ^ now.as_nanos() as u64);
    let process = rng.next_u32() as u16;
    match last.map(|s| s.life) {
        Some(life) => Life { start: life.start.saturating_add(1), process, turn: 0, ..life },
        None => Life { born: now.as_secs() as u32, folder: rng.next_u32(), start: 1, process, turn: 0 },
    }
}

impl Owner {
    /// Judges the folder and begins the return. The start is written, and synced, before anything else is said or done.
    pub(super) fn begin_return(&mut self, config: &Config, life: Life) {
        let now = self.clock.now();
        let settings = config.durability.as_ref();
        let (durability, boot) = settings.map(|s| (s.durability, s.boot.clone())).unwrap_or_default();
        let ledger = self.journal.ledger();
        let last = ledger.started.as_ref();
        let same = last.is_some_and(|s| !boot.is_empty() && s.boot == boot);
        let folder = Folder {
            empty: last.is_none(),
            tail: self.journal.tail(),
            boot: if same { Boot::Same } else { Boot::Other },
            closed: ledger.closed,
            written: last.map(|s| s.durability).unwrap_or_default(),
        };
        let loss = folder.loss();
        tracing::info!(?folder, ?loss, ?life, "folder judged");
        let sound = if loss.shakes() { now } else { last.map_or(now, |s| s.at) };
        let (open, owed): (Vec<_>, BTreeSet<_>) =
            (ledger.open.keys().copied().collect(), ledger.owed.keys().copied().collect());
        let is_once = |no: &FlowNo| {
            let class = ledger.open.get(no).and_then(|(f, _)| position(&self.names.classes, &f.class));
            class.and_then(|c| self.classes.get(c)).is_none_or(|c| c.0 == crate::api::Effect::Once)
        };
        let (once, others): (BTreeSet<_>, BTreeSet<_>) = open.iter().partition(|no| is_once(no));
        let mut book =
            Book::new(crate::net::peers::settings::IDS_MOST, crate::net::peers::settings::ID_MEMORY, now);
        if matches!(loss, Loss::Nothing | Loss::Unsynced) {
            ledger.over.iter().for_each(|(digest, fate, at)| book.write(*digest, *fate, *at));
            book.whole_from(ledger.over_from);
        }
        let fates = ledger.open.values().map(|(f, _)| onyxstile_peers::book::id_digest(&f.parcel.id));
        fates.for_each(|digest| book.write(digest, FlowFate::Taken, now));
        self.journal.set_durability(durability);
        let cold_until = if loss.shakes() { now + self.cold_time } else { now };
        let comeback = Comeback {
            ret: Return::new(Times::of(self.cold_time), now),
            left: open.into_iter().collect(),
            once,
            others,
            owed,
            telling: false,
            kept: false,
            ramp: None,
            asked_until: now,
            cold_until,
            rng: Pcg32::seed_from_u64(config.seed ^ 0xc01d),
            life,
            boot,
            loss,
            unstarted: Some(now),
        };
        self.comeback = Some(comeback);
        if let Some(fleet) = &mut self.fleet {
            (fleet.book, fleet.sound_since) = (book, sound);
        }
        self.write_start();
    }

    /// Writes the start down, and syncs it, before anything else is said or done: without, the others would take the next
    /// process for this one. While that cannot be done nothing is.
    fn write_start(&mut self) {
        let now = self.clock.now();
        let Some(c) = self.comeback.as_mut().filter(|c| c.unstarted.is_some_and(|at| at <= now)) else {
            return;
        };
        let durability =
            if self.journal.syncs() { onyxstile_recovery::Durability::Power } else { Default::default() };
        let started = Started { life: c.life, boot: c.boot.clone(), durability, at: now };
        let (loss, mut records) = (c.loss, vec![Record::Started(started)]);
        // Guards what was lost against a second start: that one finds a folder in order, on a machine that is the same, and
        // would take what is not written for what never was.
        if !matches!(loss, Loss::Nothing | Loss::Unsynced) {
            records.push(Record::OverFrom(now));
        }
        if loss.shakes() {
            let open = self.journal.ledger().open.iter();
            records.extend(open.filter_map(|(no, (flow, progress))| {
                let believed = self.believed(*no, flow, progress.clone(), loss);
                (believed != *progress).then_some(Record::Progress(*no, believed))
            }));
        }
        let written = self.journal.write(&records).and_then(|()| self.journal.sync_all());
        if let Err(e) = written {
            tracing::error!("journal: the start cannot be written: {e}; nothing is done before it is");
            self.with_comeback(|c| c.unstarted = Some(now + START_AGAIN));
            return;
        }
        self.with_comeback(|c| c.unstarted = None);
        let peers = self.fleet.as_ref().is_some_and(|f| f.peers.others().next().is_some());
        self.on_return(Event::Judged { loss, peers }, now);
    }

    /// Whether the start is written: only then is anything said to the others.
    pub(super) fn has_started(&self) -> bool {
        self.comeback.as_ref().is_none_or(|c| c.unstarted.is_none())
    }

    /// How long the others may still be asked.
    pub(super) fn asking_left(&self, now: Duration) -> Option<Duration> {
        let c = self.comeback.as_ref().filter(|c| c.ret.stage() == At::AskingPeers)?;
        Some(c.asked_until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// All answers may be there.
    pub(super) fn check_asked(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_ref().filter(|f| f.asked.is_empty()) else { return };
        let (sound, told, current) =
            (fleet.evidence.any_sound, fleet.told_rev > 0, self.list_rev >= fleet.told_rev);
        if told && current {
            self.on_return(Event::ListHad, now);
        }
        self.on_return(Event::PeersHeard { sound }, now);
    }

    /// Takes in what happened to the return, and does what follows.
    pub(super) fn on_return(&mut self, event: Event, now: Duration) {
        let Some(orders) = self.comeback.as_mut().map(|c| c.ret.on(event, now)) else { return };
        for order in orders {
            match order {
                Order::Entered(before, state, why, took) => {
                    let took_ms = took.as_millis() as u64;
                    tracing::info!(%state, %before, ?why, took_ms, "return");
                    if state == At::Owed {
                        self.tell_module(now);
                    }
                }
                Order::AskPeers(patience) => self.ask_others(patience, now),
                Order::GiveUpFolder => self.give_up_folder(),
                Order::TellOwed => self.with_comeback(|c| c.telling = true),
                Order::SettleOnce => self.hand_over_left(|c| c.once.clone()),
                Order::SendKeyed => self.hand_over_left(|c| c.left.clone()),
                Order::Admit(length) => {
                    let worth = self.worth.clone();
                    self.with_comeback(|c| c.ramp = Some(Ramp::new(now, length, &worth)));
                }
                Order::SendKept => self.with_comeback(|c| c.kept = true),
            }
        }
    }

    fn with_comeback(&mut self, change: impl FnOnce(&mut Comeback)) {
        if let Some(c) = &mut self.comeback {
            change(c);
        }
    }

    fn ask_others(&mut self, patience: Duration, now: Duration) {
        let Some(mut others) = self.fleet.as_ref().map(|f| f.peers.others().collect::<Vec<NodeNo>>()) else {
            return;
        };
        self.with_comeback(|c| {
            c.asked_until = now + patience;
            while others.len() > ASKED_MOST {
                let no = c.rng.next_u32() as usize % others.len();
                others.swap_remove(no);
            }
        });
        others.into_iter().for_each(|to| self.ask_of_loss(to, Question::Who, patience));
        self.tick_fleet();
    }

    /// The conditions of the present state, as far as they show in what is held.
    pub(super) fn check_return(&mut self) {
        self.write_start();
        let now = self.clock.now();
        let Some(c) = self.comeback.as_ref().filter(|c| c.ret.stage() != At::Serving) else { return };
        let ledger = self.journal.ledger();
        let over = |flows: &BTreeSet<FlowNo>| flows.iter().all(|no| !ledger.open.contains_key(no));
        let event = match c.ret.stage() {
            At::Owed if c.owed.iter().all(|no| !ledger.owed.contains_key(no)) => Event::OwedTold,
            At::Once if over(&c.once) => Event::OnceSettled,
            At::Keyed if over(&c.others) => Event::KeyedSettled,
            _ => Event::Tick,
        };
        self.on_return(event, now);
        if self
            .comeback
            .as_ref()
            .is_some_and(|c| c.ret.stage() != At::Serving && c.ret.due().is_some_and(|d| d <= now))
        {
            self.on_return(Event::Tick, now);
        }
    }

    pub(super) fn return_due(&self) -> Option<Duration> {
        self.comeback.as_ref().and_then(|c| c.unstarted.or(c.ret.due()))
    }

    /// The list came in a version: it is had once it is not behind what others have.
    pub(super) fn list_came(&mut self, rev: u64) {
        let told = self.fleet.as_ref().map_or(0, |f| f.told_rev);
        if rev >= told {
            self.on_return(Event::ListHad, self.clock.now());
        }
        self.end_lent(rev);
    }

    fn hand_over_left(&mut self, which: impl FnOnce(&Comeback) -> BTreeSet<FlowNo>) {
        let Some(c) = &mut self.comeback else { return };
        let flows: BTreeSet<FlowNo> = which(c).intersection(&c.left).copied().collect();
        c.left.retain(|no| !flows.contains(no));
        let loss = c.ret.loss();
        self.recover(&flows, loss);
    }

    /// Whether an offer of a class is turned away because service is still returning, and for how long.
    pub(super) fn not_yet(&mut self, class: usize) -> Option<Duration> {
        let now = self.clock.now();
        let c = self.comeback.as_mut()?;
        let clamp = |wait: Duration| Some(wait.clamp(STAY_AWAY.0, STAY_AWAY.1));
        let Some(ramp) = c.ramp.as_ref() else {
            return clamp(c.ret.due().map_or(STAY_AWAY.0, |due| due.saturating_sub(now)));
        };
        let share = ramp.share(class, now);
        if share >= 1.0 || f64::from(c.rng.next_u32()) / f64::from(u32::MAX) < share {
            return None;
        }
        clamp(ramp.come_back(now))
    }

    /// Tells the module what is known of the real servers, as facts that its events have words for: one that may be cold
    /// has been put back after a drain; a told wait, a limit and silence are what a probe would have found.
    fn tell_module(&mut self, now: Duration) {
        let loss = self.comeback.as_ref().map_or(Loss::Nothing, |c| c.ret.loss());
        let waits = self.journal.ledger().waits.clone();
        let evidence = self.fleet.as_ref().map(|f| f.evidence.clone()).unwrap_or_default();
        for no in self.directory.listed() {
            let uid = self.directory.uid(no);
            let told = evidence.of(name_digest(&uid));
            let well = told.sight.is_some_and(|(s, _)| s == Sight::Well) && evidence.any_sound;
            if loss.shakes() && !well {
                self.take_for_cold(no);
            }
            if told.drained {
                let rev = self.fleet.as_ref().map_or(0, |f| f.told_rev);
                self.lend(&uid, Some(rev));
            }
            if told.banned && loss.shakes() {
                self.lend(&uid, None);
            }
            if let Some(rate) = told.limit.filter(|_| loss.shakes()) {
                let report = LimitReport { left: 0.0, rate: f64::from(rate) / 1e3 };
                self.core.probe_ended(no, Outcome::Success, Some(report));
            }
            if told.sight.is_some_and(|(s, _)| s == Sight::Down) && loss.shakes() {
                (0..2).for_each(|_| self.core.probe_ended(no, Outcome::Unreachable, None));
            }
            // This relay's own record goes first; what it cannot know to be complete, others may add to.
            let own = waits.get(&uid).map_or(Duration::ZERO, |until| until.saturating_sub(now));
            let rest = if loss.shakes() { own.max(told.wait) } else { own };
            if !rest.is_zero() {
                tracing::info!(uid, ?rest, "a told wait goes on");
                self.core.probe_ended(no, Outcome::Overloaded { wait: Some(rest) }, None);
            }
        }
    }

    /// Real servers that come with a list after a loss: nobody has seen them yet, and they may be as cold as the others.
    pub(super) fn listed_after_loss(&mut self, before: &[ServerNo]) {
        let now = self.clock.now();
        if self.comeback.as_ref().is_some_and(|c| now < c.cold_until && c.ret.stage() > At::AwaitingList) {
            let new: Vec<_> = self.directory.listed().into_iter().filter(|no| !before.contains(no)).collect();
            new.into_iter().for_each(|no| self.take_for_cold(no));
        }
    }

    /// Word of a flow that an earlier process, or this one long ago, had: its client hears the same again.
    pub(super) fn known_before(&self, items: &[(DestinationId, Rc<Parcel>)]) -> Option<Verdict> {
        let fleet = self.fleet.as_ref()?;
        let fate = |id: &str| fleet.book.fate(onyxstile_peers::book::id_digest(id));
        match items.iter().filter_map(|(_, p)| fate(&p.id)).max()? {
            FlowFate::Taken | FlowFate::Delivered => Some(Verdict::Taken),
            FlowFate::Ended => Some(Verdict::Failed),
            FlowFate::Returned => None,
        }
    }

    /// One that has been put back after a drain is cold; that is what the module is told of it.
    pub(super) fn take_for_cold(&mut self, no: ServerNo) {
        if let Some(entry) = self.directory.service_entry(no).filter(|e| e.state == ListState::Live) {
            self.core.take_for_cold(entry);
        }
    }

    /// Holds a real server back on the word of others.
    fn lend(&mut self, uid: &str, rev: Option<u64>) {
        let Some(fleet) = &mut self.fleet else { return };
        if fleet.lent.insert(uid.to_string(), rev).is_none() {
            tracing::info!(uid, ?rev, "held back on the word of others");
            if let Some((_, entry)) = self.directory.ban(uid, true) {
                self.core.take_entries(vec![entry], false);
            }
        }
    }

    /// A list in this version says itself what drains.
    fn end_lent(&mut self, rev: u64) {
        let Some(fleet) = &mut self.fleet else { return };
        let over: Vec<_> = fleet
            .lent
            .iter()
            .filter(|(_, r)| r.is_some_and(|r| rev >= r))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in over {
            if let Some(fleet) = &mut self.fleet {
                fleet.lent.remove(&uid);
            }
            if !self.journal.ledger().bans.contains(&uid)
                && let Some((_, entry)) = self.directory.ban(&uid, false)
            {
                self.core.take_entries(vec![entry], false);
            }
        }
    }

    /// Another relay knows a later life of this one: the folder is an old copy. Nothing that it shows is acted on, and the
    /// relay goes on as the first life of a new folder.
    pub(super) fn overtaken(&mut self, later: Life, now: Duration) {
        let Some(c) = &mut self.comeback else { return };
        tracing::error!(?later, mine = ?c.life, "this folder is an old copy: nothing that it shows is acted on");
        let born = (now.as_secs() as u32).max(later.born).saturating_add(1);
        c.life = Life { born, folder: c.rng.next_u32(), start: 1, ..c.life };
        c.cold_until = now + self.cold_time;
        let (life, boot) = (c.life, c.boot.clone());
        self.on_return(Event::Overtaken, now);
        let durability =
            if self.journal.syncs() { onyxstile_recovery::Durability::Power } else { Default::default() };
        let started = Record::Started(Started { life, boot, durability, at: now });
        if let Err(e) = self.journal.write(&[started]).and_then(|()| self.journal.sync_all()) {
            tracing::error!("journal: {e}");
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.sound_since = now;
        }
        self.go_by(life, now);
    }

    fn give_up_folder(&mut self) {
        let now = self.clock.now();
        let Some(c) = &mut self.comeback else { return };
        c.left.clear();
        let flows: Vec<FlowNo> = c.once.iter().chain(&c.others).copied().collect();
        let ledger = self.journal.ledger();
        let mut records: Vec<_> = flows
            .iter()
            .filter(|no| ledger.open.contains_key(no))
            .map(|no| Record::Ended(*no, None))
            .collect();
        records
            .extend(c.owed.iter().filter(|no| ledger.owed.contains_key(no)).map(|no| Record::Noticed(*no)));
        records.extend(ledger.bans.iter().map(|uid| Record::Banned(uid.clone(), false)));
        let bans: Vec<String> = ledger.bans.iter().cloned().collect();
        tracing::warn!(flows = flows.len(), owed = c.owed.len(), bans = bans.len(), "the folder is given up");
        for no in &flows {
            self.core.withdraw(*no);
            let id = self.journal.ledger().open.get(no).map(|(f, _)| f.parcel.id.clone());
            id.into_iter().for_each(|id| self.forget(*no, &id));
        }
        for uid in bans {
            if let Some((_, entry)) = self.directory.ban(&uid, false) {
                self.core.take_entries(vec![entry], false);
            }
        }
        if let Err(e) = self.journal.write(&records) {
            tracing::error!("journal: {e}");
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.book =
                Book::new(crate::net::peers::settings::IDS_MOST, crate::net::peers::settings::ID_MEMORY, now);
        }
    }
}
