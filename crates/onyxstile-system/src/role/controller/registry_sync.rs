//! Registry synchronisation between controllers: each elector pulls the records of all others, so that any majority knows
//! every endpoint, and each stores them on its disk. A drain is on disks before it is acknowledged. A controller that has
//! lost its disk, or has replaced another one, holds all drains before relays count it.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use super::ControllerServer;
use crate::registry::{Instance, RecordUpdate, Stage, replicas_needed};
use crate::wire::{Request, Response};

/// Time for another controller to write a record to its disk.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for this controller to do so. Endpoints call another controller after 1 s without an answer.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which a pull may wait for updates.
const WAIT: Duration = Duration::from_millis(1000);
/// Response timeout of a pull, in addition to its wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed pull.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Origin of the registry of a controller that has not responded yet.
const NO_ORIGIN: u64 = 0;
/// Interval between reviews of the electors.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

impl ControllerServer {
    /// Merges a registry record and wakes requests that wait for updates.
    pub(super) fn merge_record(&self, instance: Instance) {
        if self.registry.borrow_mut().merge(self.clock.now(), instance) {
            self.changed.notify_waiters();
        }
    }

    /// Merges an update of another controller.
    fn merge_update(&self, update: RecordUpdate) {
        if self.registry.borrow_mut().merge_update(self.clock.now(), update) {
            self.changed.notify_waiters();
        }
    }

    /// Merges a record for another controller. The record of a leaving endpoint is on the disk before the response.
    pub(super) async fn register(&self, instance: Instance) -> Response {
        let is_leaving = instance.stage != Stage::Ready;
        self.merge_update(RecordUpdate { instance, owner: None });
        if is_leaving && !self.persist_registry().await { Response::Refused } else { Response::Done }
    }

    /// Stores a drain on this controller and on the required number of others.
    pub(super) async fn replicate(&self, instance: &Instance) -> bool {
        let (is_kept, is_held) = tokio::join!(self.persist_registry(), self.replicate_to_others(instance));
        is_kept && is_held
    }

    /// Whether the registry is on the disk within the time for which callers wait. Otherwise the record is refused; that the
    /// disk may still take it does no harm, since the endpoint is leaving.
    async fn persist_registry(&self) -> bool {
        let is_complete = self.drain_sync.borrow().is_complete();
        let written = self.registry_store.write_now(&self.registry.borrow(), is_complete);
        matches!(tokio::time::timeout(PERSIST_TIMEOUT, written).await, Ok(Ok(true)))
    }

    async fn replicate_to_others(&self, instance: &Instance) -> bool {
        let electors = self.electors();
        let needed = replicas_needed(electors.len(), self.tolerance().losses());
        let own = self.own();
        let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
        for ip in electors.into_iter().filter(|ip| *ip != own) {
            let (client, sender) = (self.client.clone(), sender.clone());
            let (to, request) = (self.peer(ip.into()), Request::Register(instance.clone()));
            tokio::task::spawn_local(async move {
                let result = client.call(to, &request, REGISTER_TIMEOUT).await;
                // The receiver is dropped once enough others have responded.
                sender.send(matches!(result, Ok(Response::Done))).ok();
            });
        }
        drop(sender);
        let mut held = 0;
        while held < needed {
            match receiver.recv().await {
                Some(true) => held += 1,
                Some(false) => {}
                None => return false,
            }
        }
        true
    }

    /// Returns the registry changes since `counter` to another controller.
    pub(super) async fn registry_since(&self, origin: u64, counter: u64, wait_ms: u64) -> Response {
        let answer = || {
            let registry = self.registry.borrow();
            Response::Registry {
                origin: registry.origin(),
                counter: registry.counter(),
                is_complete: self.drain_sync.borrow().is_complete(),
                records: registry.updates_since(origin, counter),
            }
        };
        let is_update = |response: &Response| {
            matches!(response, Response::Registry { origin: own, counter: newest, .. }
                if *own != origin || *newest > counter)
        };
        self.wait_for_change(wait_ms, answer, is_update).await
    }

    /// Pulls the records of all other current electors.
    pub(super) async fn follow_registries(self: Rc<ControllerServer>) -> Infallible {
        let mut followed: Vec<([u8; 4], tokio::task::JoinHandle<()>)> = Vec::new();
        loop {
            let (own, electors) = (self.own(), self.electors());
            followed.retain(|(_, task)| !task.is_finished());
            for ip in electors.into_iter().filter(|ip| *ip != own) {
                if !followed.iter().any(|(other, _)| *other == ip) {
                    followed.push((ip, tokio::task::spawn_local(self.clone().pull_registry(ip))));
                }
            }
            tokio::time::sleep(REVIEW_INTERVAL).await;
        }
    }

    async fn pull_registry(self: Rc<ControllerServer>, ip: [u8; 4]) {
        let to = self.peer(Ipv4Addr::from(ip));
        let (mut known_origin, mut held) = (NO_ORIGIN, 0);
        let mut wait = Duration::ZERO;
        while self.electors().contains(&ip) {
            let request =
                Request::Registry { origin: known_origin, counter: held, wait_ms: wait.as_millis() as u64 };
            let result = self.client.call(to, &request, wait + RESPONSE_TIMEOUT).await;
            let Ok(Response::Registry { origin, counter, is_complete, records }) = result else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if known_origin != origin {
                self.forget_origin(known_origin);
            }
            records.into_iter().for_each(|update| self.merge_update(update));
            (known_origin, held) = (origin, counter);
            self.drain_sync.borrow_mut().record_pull(ip, is_complete);
            self.review_drain_sync();
            wait = if is_complete { WAIT } else { RETRY_DELAY };
        }
        self.forget_origin(known_origin);
    }

    fn forget_origin(&self, known_origin: u64) {
        if known_origin != NO_ORIGIN {
            self.registry.borrow_mut().forget_origin(self.clock.now(), known_origin);
        }
    }

    fn review_drain_sync(&self) {
        let is_update = self.drain_sync.borrow_mut().check_complete(self.own(), &self.electors());
        if is_update {
            log::info!("copied the drains of the other controllers");
            // Written in the background; if the write is lost, the drains are copied again.
            drop(self.registry_store.write(&self.registry.borrow(), true));
            self.changed.notify_waiters();
        }
    }
}
