//! Repair: each storage machine requests the changed keys of every other one and fetches the records that it should hold
//! but lacks. In this way a machine that was down, cut off, wiped or newly added obtains its data.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use super::StorageServer;
use super::log_entry::LogEntry;
use super::recovery::{COMPLETE, EPOCH, SYNCED};
use crate::program::{CopiedChanges, Key, Source};
use crate::storage_plan::StoragePlan;
use crate::wire::{Request, Response};

/// Longest time for which another machine may hold a request without changes.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Response timeout of another machine, in addition to the wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a request that failed or reached a machine that has not caught up.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of keys in a fetch request.
const KEYS_PER_FETCH: usize = 256;

impl StorageServer {
    /// Applies a newer storage plan. Its epoch is written to the disk first: a machine that copies from here by this plan
    /// relies on no further writes here by an older one, whatever restarts in between.
    pub(super) async fn apply_plan(self: Rc<StorageServer>, plan: Rc<StoragePlan>) {
        let before = self.plan.borrow().clone();
        if plan.epoch <= before.epoch {
            return;
        }
        while self.epoch.get() < plan.epoch {
            if self.journal.append_own(vec![(EPOCH, LogEntry::Epoch(plan.epoch))]).await {
                self.epoch.set(plan.epoch);
            } else {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        *self.plan.borrow_mut() = plan.clone();
        log::info!("storage epoch {} with {} members", plan.epoch, plan.current.len());
        let fresh = self.repair.borrow_mut().apply_plan(self.own(), &before, &plan);
        for ip in fresh {
            tokio::task::spawn_local(self.clone().copy_from(ip));
        }
        self.review();
    }

    async fn copy_from(self: Rc<StorageServer>, ip: Ipv4Addr) {
        while self.repair.borrow().is_member(ip) {
            let source = self.repair.borrow().source(ip);
            let is_copied = self.repair.borrow().is_copied(ip, self.plan.borrow().epoch);
            let wait = if is_copied { POLL_WAIT } else { Duration::ZERO };
            let request = Request::Changes {
                origin: source.origin,
                counter: source.counter,
                wait_ms: wait.as_millis() as u64,
            };
            let result = self.client.call(self.peer(ip), &request, wait + RESPONSE_TIMEOUT).await;
            if let Ok(response) = result {
                self.copy(ip, source, response).await;
            }
            self.review();
            let has_more = self.repair.borrow().source(ip).counter > source.counter;
            let is_copied = self.repair.borrow().is_copied(ip, self.plan.borrow().epoch);
            if !is_copied && !has_more {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        self.repair.borrow_mut().forget(ip);
    }

    async fn copy(&self, ip: Ipv4Addr, before: Source, response: Response) {
        let Response::Changes { origin, counter, is_last, epoch, is_complete, synced_epoch, keys } = response
        else {
            return;
        };
        let evaluated_epoch = self.plan.borrow().epoch;
        if !self.fetch_missing(ip, keys).await {
            return;
        }
        let copied =
            CopiedChanges { origin, counter, is_last, epoch, is_complete, synced_epoch, evaluated_epoch };
        let own_epoch = self.plan.borrow().epoch;
        self.repair.borrow_mut().note(self.clock.now(), ip, before, copied, own_epoch);
    }

    /// The keys among `keys` that this machine should hold and lacks. A turn that expired here because its lease had not
    /// arrived is fetched again with the lease.
    fn missing(&self, keys: Vec<(Key, u8)>) -> Vec<Key> {
        let index = self.index.borrow();
        let mut missing = Vec::new();
        for (key, version) in keys {
            if index.holds(&key, version) || !self.is_assigned(&key) {
                continue;
            }
            if let Key::TurnLease { turn, .. } = &key
                && index.turn(turn).is_none()
            {
                missing.push(Key::Turn(turn.clone()));
            }
            missing.push(key);
        }
        missing
    }

    async fn fetch_missing(&self, ip: Ipv4Addr, keys: Vec<(Key, u8)>) -> bool {
        let missing = self.missing(keys);
        for keys in missing.chunks(KEYS_PER_FETCH) {
            let mut keys = keys.to_vec();
            while !keys.is_empty() {
                let request = Request::Fetch(keys.clone());
                let result = self.client.call(self.peer(ip), &request, RESPONSE_TIMEOUT * 3).await;
                let Ok(Response::Records(records)) = result else { return false };
                if records.is_empty() {
                    break;
                }
                let received: Vec<Key> = records.iter().map(|record| record.key()).collect();
                if !self.write(records).await {
                    return false;
                }
                keys.retain(|key| !received.iter().any(|received| received.replaces(key)));
            }
        }
        true
    }

    /// Checks whether enough has been copied to report it.
    fn review(&self) {
        let plan = self.plan.borrow().clone();
        let was_complete = self.is_complete.get();
        let assessment = self.repair.borrow().assess(
            self.clock.now(),
            (self.own(), self.disk),
            &plan,
            was_complete,
            self.tolerance(),
        );
        if assessment.is_complete && !was_complete {
            self.is_complete.set(true);
            log::info!("copied all data that this machine should hold in epoch {}", plan.epoch);
            self.journal.append_later(COMPLETE, &LogEntry::Complete);
        }
        if assessment.is_synced && self.synced_epoch.get() < plan.epoch {
            self.synced_epoch.set(plan.epoch);
            self.journal.append_later(SYNCED, &LogEntry::Synced(plan.epoch));
        }
    }
}
