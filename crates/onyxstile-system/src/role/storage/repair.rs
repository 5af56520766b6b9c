//! Repair: each storage machine asks every other for the keys that changed there, and fetches those that it should hold
//! and doesn't. So a machine that was down, cut off, wiped or taken in anew comes to hold what is its own.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use super::journal::Stored;
use crate::clock::Instant;
use crate::program::Key;
use crate::storage_plan::StoragePlan;
use crate::wire::{Request, Response};

/// How long another machine may hold a question without changes.
const WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait that another machine has to answer.
const PATIENCE: Duration = Duration::from_millis(700);
/// Pause after a question that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// A machine that has not answered for this long counts as out of reach.
const OUT_OF_REACH: Duration = Duration::from_millis(900);
/// After this time a machine that lost its disk goes on with what it could copy from those in reach.
const COPY_PATIENCE: Duration = Duration::from_secs(8);
/// Keys asked for at once.
const KEYS_A_FETCH: usize = 256;

/// How far the copy from one other machine is.
#[derive(Debug, Clone, Default)]
struct Source {
    origin: u64,
    counter: u64,
    /// The plan's epoch at that machine when all its changes had been dealt with; 0 if they never were.
    complete_epoch: u64,
    answered: Option<Instant>,
}

/// How far repair is.
#[derive(Default)]
pub(super) struct Progress {
    sources: HashMap<Ipv4Addr, Source>,
    members: Vec<Ipv4Addr>,
    began: Option<Instant>,
}

impl Node {
    /// Goes by a newer storage plan.
    pub(super) fn take_plan(self: Rc<Node>, plan: Rc<StoragePlan>) {
        let before = self.plan.replace(plan.clone());
        if plan.epoch <= before.epoch {
            *self.plan.borrow_mut() = before;
            return;
        }
        log::info!("storage epoch {} with {} members", plan.epoch, plan.current.len());
        let own = self.own();
        let members: Vec<Ipv4Addr> =
            plan.all().iter().map(|node| node.address()).filter(|ip| *ip != own).collect();
        let now = self.clock.now();
        let mut repair = self.repair.borrow_mut();
        repair.began.get_or_insert(now);
        if plan.current != before.current {
            // Other keys are ours now: what was passed over has to be looked at again.
            repair.sources.values_mut().for_each(|source| *source = Source::default());
        }
        let fresh: Vec<Ipv4Addr> = members.iter().copied().filter(|ip| !repair.members.contains(ip)).collect();
        repair.members = members;
        drop(repair);
        for ip in fresh {
            tokio::task::spawn_local(self.clone().copy_from(ip));
        }
        self.review();
    }

    async fn copy_from(self: Rc<Node>, ip: Ipv4Addr) {
        while self.repair.borrow().members.contains(&ip) {
            let source = self.repair.borrow().sources.get(&ip).cloned().unwrap_or_default();
            let wait = if source.complete_epoch < self.plan.borrow().epoch { Duration::ZERO } else { WAIT };
            let request = Request::Changes {
                origin: source.origin,
                counter: source.counter,
                wait_ms: wait.as_millis() as u64,
            };
            let result = self.client.call(self.peer(ip), &request, wait + PATIENCE).await;
            let is_copied = match result {
                Ok(response) => self.copy(ip, source, response).await,
                Err(_) => false,
            };
            self.review();
            if !is_copied {
                tokio::time::sleep(PAUSE).await;
            }
        }
        self.repair.borrow_mut().sources.remove(&ip);
    }

    /// Deals with one answer; false if there is a reason to pause.
    async fn copy(&self, ip: Ipv4Addr, before: Source, response: Response) -> bool {
        let Response::Changes { origin, counter, is_last, epoch, is_whole, keys } = response else { return false };
        let asked_by = self.plan.borrow().epoch;
        if !self.fetch_missing(ip, keys).await {
            return false;
        }
        let now = self.clock.now();
        let own_epoch = self.plan.borrow().epoch;
        let mut repair = self.repair.borrow_mut();
        let held = repair.sources.entry(ip).or_default();
        held.answered = Some(now);
        let was_reset = held.origin != before.origin || held.counter != before.counter;
        if was_reset {
            return true;
        }
        held.origin = origin;
        held.counter = counter;
        let is_complete = is_last && is_whole && asked_by == own_epoch;
        if is_complete {
            held.complete_epoch = epoch.min(own_epoch);
        }
        is_complete && epoch >= own_epoch
    }

    async fn fetch_missing(&self, ip: Ipv4Addr, keys: Vec<(Key, u8)>) -> bool {
        let missing: Vec<Key> = keys
            .into_iter()
            .filter(|(key, version)| self.is_mine(key) && !self.store.borrow().holds(key, *version))
            .map(|(key, _)| key)
            .collect();
        for keys in missing.chunks(KEYS_A_FETCH) {
            let mut keys = keys.to_vec();
            while !keys.is_empty() {
                let request = Request::Fetch(keys.clone());
                let result = self.client.call(self.peer(ip), &request, PATIENCE * 3).await;
                let Ok(Response::Records(records)) = result else { return false };
                if records.is_empty() {
                    break;
                }
                let got: Vec<Key> = records.iter().map(|record| record.key()).collect();
                if !self.write(records).await {
                    return false;
                }
                keys.retain(|key| !got.contains(key));
            }
        }
        true
    }

    /// Looks whether enough has been copied to say so.
    fn review(&self) {
        let now = self.clock.now();
        let plan = self.plan.borrow().clone();
        let repair = self.repair.borrow();
        let is_missing = |ip: &&Ipv4Addr| {
            repair.sources.get(*ip).is_none_or(|source| source.complete_epoch < plan.epoch)
        };
        let missing: Vec<Ipv4Addr> = repair.members.iter().filter(is_missing).copied().collect();
        let is_reachable = |ip: &Ipv4Addr| {
            let source = repair.sources.get(ip);
            source.and_then(|source| source.answered).is_some_and(|at| now.since(at) < OUT_OF_REACH)
        };
        let began = repair.began.unwrap_or(now);
        let tolerated = self.tolerated();
        if !self.is_whole.get() {
            let own = self.own();
            // A member that lost its disk is one of the losses that are tolerated; a newcomer is none.
            let was_member = plan.previous.iter().any(|node| node.address() == own)
                || (!plan.is_changing() && plan.current.iter().any(|node| node.address() == own));
            let spared = if was_member { tolerated.saturating_sub(1) } else { tolerated };
            let has_waited = now.since(began) > COPY_PATIENCE && missing.len() <= tolerated;
            let is_complete = missing.len() <= spared || has_waited;
            if !is_complete || plan.epoch == 0 {
                return;
            }
            self.is_whole.set(true);
            log::info!("copied from {} machines", repair.members.len() - missing.len());
            self.journal.append_later(Stored::Whole);
        }
        if missing.len() <= tolerated && !missing.iter().any(is_reachable) {
            self.synced_epoch.set(plan.epoch);
        }
    }
}
