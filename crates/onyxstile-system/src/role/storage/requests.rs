//! Requests of proxies and other storage machines.

use std::rc::Rc;
use std::time::Duration;

use super::StorageServer;
use super::records::Lookup;
use crate::process;
use crate::program::{ClaimEntry, Record, groups};
use crate::role::rpc::ResponseFuture;
use crate::wire::{Request, Response};

/// Maximum number of keys in a response to a request for changes.
const KEYS_PER_RESPONSE: usize = 2048;
/// Maximum size of the records in a response, in bytes; at least one record is always sent.
const RECORD_BYTES_PER_RESPONSE: usize = 4 * 1024 * 1024;
/// Longest time for which a response waits for changes.
const WAIT_MAX: Duration = Duration::from_secs(5);

impl StorageServer {
    /// Answers one request of another machine.
    pub(super) fn answer(self: Rc<StorageServer>, request: Request) -> ResponseFuture {
        match request {
            Request::Reserve { epoch, program, entry, wants_all } => {
                Box::pin(async move { self.reserve(epoch, program, entry, wants_all).await })
            }
            Request::Write { epoch, records } => {
                Box::pin(async move { self.write_for_epoch(epoch, records).await })
            }
            Request::GetTurns { epoch, ids } => Box::pin(async move { self.get_turns(epoch, &ids).await }),
            Request::Changes { origin, counter, wait_ms } => {
                let wait = Duration::from_millis(wait_ms).min(WAIT_MAX);
                Box::pin(async move { self.changes(origin, counter, wait).await })
            }
            Request::Fetch(keys) => {
                Box::pin(
                    async move { Response::Records(self.records(&keys, RECORD_BYTES_PER_RESPONSE).await) },
                )
            }
            Request::Status => Box::pin(std::future::ready(Response::Status(self.status()))),
            _ => Box::pin(std::future::ready(Response::Refused)),
        }
    }

    /// Response to a sender with an outdated plan, which might write where no reader looks: it has to learn the newer
    /// plan first.
    fn stale(&self, epoch: u64) -> Option<Response> {
        let own = self.epoch.get();
        (epoch < own).then_some(Response::Stale(own))
    }

    /// Writes records for a sender that uses the plan of `epoch`. A plan that arrived during the disk write counts as
    /// well: a machine that copies by the newer plan may have requested changes before the records were there.
    async fn write_for_epoch(&self, epoch: u64, records: Vec<Record>) -> Response {
        if let Some(stale) = self.stale(epoch) {
            return stale;
        }
        if records.iter().any(|record| self.lacks_leased_turn(epoch, record)) || !self.write(records).await {
            return Response::Refused;
        }
        self.stale(epoch).unwrap_or(Response::Done)
    }

    /// Whether a record prolongs a turn that this machine should hold and lacks. Its acknowledgement would count as a copy
    /// of the turn. New members of a changing plan don't count as such and may receive the lease first; without the plan of
    /// the sender's `epoch` this machine cannot know whether it is one.
    fn lacks_leased_turn(&self, epoch: u64, record: &Record) -> bool {
        let Record::TurnLease(lease) = record else { return false };
        if self.index.borrow().turn(&lease.turn).is_some() {
            return false;
        }
        let plan = self.plan.borrow();
        let groups = groups(&plan, &lease.turn, self.tolerance());
        let is_committed = groups.last().is_some_and(|group| group.members.contains(&self.own()));
        let is_refused = plan.epoch < epoch || is_committed;
        if is_refused {
            log::debug!("refusing a lease on turn {}, which is not held", lease.turn);
        }
        is_refused
    }

    async fn get_turns(&self, epoch: u64, ids: &[String]) -> Response {
        // With an outdated plan the turn may be requested from machines to which it was never written.
        let is_conclusive = self.is_complete.get() && epoch >= self.epoch.get();
        let found = self.turns(ids).await;
        let is_read = !found.iter().any(|lookup| matches!(lookup, Lookup::Unreadable));
        let turns = found.into_iter().map(Lookup::turn).collect();
        Response::Turns { turns, is_conclusive: is_conclusive && is_read }
    }

    async fn reserve(&self, epoch: u64, program: String, entry: ClaimEntry, wants_all: bool) -> Response {
        if let Some(stale) = self.stale(epoch) {
            return stale;
        }
        if !self.is_complete.get() {
            return Response::Refused;
        }
        let record = Record::ClaimEntry { program: program.clone(), entry };
        match self.write_for_epoch(epoch, vec![record]).await {
            Response::Done => {}
            other => return other,
        }
        let index = self.index.borrow();
        if wants_all {
            Response::Claims(index.claims(&program))
        } else {
            Response::Reserved(index.claim_summary(&program))
        }
    }

    async fn changes(&self, origin: u64, counter: u64, wait: Duration) -> Response {
        let after = if origin == self.origin { counter } else { 0 };
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.index.borrow().counter() > after || origin != self.origin {
                break;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let index = self.index.borrow();
        let (keys, last) = index.changed_since(after, KEYS_PER_RESPONSE);
        let is_last = keys.len() < KEYS_PER_RESPONSE;
        Response::Changes {
            origin: self.origin,
            counter: if is_last { index.counter() } else { last },
            is_last,
            epoch: self.plan.borrow().epoch,
            is_complete: self.is_complete.get(),
            synced_epoch: self.synced_epoch.get(),
            keys,
        }
    }

    fn status(&self) -> Vec<String> {
        let (turns, programs) = self.index.borrow().sizes();
        vec![
            format!("node {}", self.settings.borrow().node_name),
            format!("previous end: {}", process::previous_end()),
            format!("turns {turns} programs {programs} index bytes {}", self.index.borrow().memory_bytes()),
            format!(
                "whole {} epoch {} synced {}",
                self.is_complete.get(),
                self.plan.borrow().epoch,
                self.synced_epoch.get()
            ),
            format!("log bytes {}", self.journal.used_bytes()),
        ]
    }
}
