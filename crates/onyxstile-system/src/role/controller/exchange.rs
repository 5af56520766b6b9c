//! Endpoints among controllers: each elector pulls the records of all others, so that any majority knows every endpoint, and
//! each has them on its disk. A drain is on disks before it is acknowledged; one that has lost its disk, or has taken a place
//! over, holds all drains before relays count it.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use super::Node;
use crate::registry::{Instance, RecordUpdate, Stage, replicas_needed};
use crate::wire::{Request, Response};

/// How long another controller has to take a record to its disk.
const REGISTER_PATIENCE: Duration = Duration::from_millis(700);
/// How long a pull may wait for news.
const WAIT: Duration = Duration::from_millis(1000);
/// Time beyond the wait that another controller has to answer.
const PATIENCE: Duration = Duration::from_millis(700);
/// Pause after a pull that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// What stands for the life of a controller that has not answered yet.
const NO_LIFE: u64 = 0;
/// How often the electors are looked at.
const REVIEW: Duration = Duration::from_millis(100);

impl Node {
    /// Takes a registry record in and wakes those who wait for news.
    pub(super) fn hold(&self, instance: Instance) {
        if self.registry.borrow_mut().merge(self.clock.now(), instance) {
            self.changed.notify_waiters();
        }
    }

    /// Takes in what another controller tells.
    fn hold_told(&self, told: RecordUpdate) {
        if self.registry.borrow_mut().merge_update(self.clock.now(), told) {
            self.changed.notify_waiters();
        }
    }

    /// Takes a record in for another controller. One of an endpoint that leaves is on the disk before the answer.
    pub(super) async fn hold_for(&self, instance: Instance) -> Response {
        let is_leaving = instance.stage != Stage::Ready;
        self.hold_told(RecordUpdate { instance, owner: None });
        if is_leaving && !self.keep_registry().await { Response::Refused } else { Response::Done }
    }

    /// Has a drain on the disks of this controller and of as many others as it takes.
    pub(super) async fn replicate(&self, instance: &Instance) -> bool {
        let (is_kept, is_held) = tokio::join!(self.keep_registry(), self.held_by_others(instance));
        is_kept && is_held
    }

    async fn keep_registry(&self) -> bool {
        let is_whole = self.copies.borrow().is_complete();
        let written = self.kept_registry.keep_now(&self.registry.borrow(), is_whole);
        written.await.unwrap_or(false)
    }

    async fn held_by_others(&self, instance: &Instance) -> bool {
        let electors = self.electors();
        let needed = replicas_needed(electors.len(), self.tolerance().losses());
        let own = self.own();
        let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
        for ip in electors.into_iter().filter(|ip| *ip != own) {
            let (client, sender) = (self.client.clone(), sender.clone());
            let (to, request) = (self.peer(ip.into()), Request::Register(instance.clone()));
            tokio::task::spawn_local(async move {
                let result = client.call(to, &request, REGISTER_PATIENCE).await;
                // Enough others may have answered before.
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

    /// Tells another controller of endpoints.
    pub(super) async fn registry_since(&self, origin: u64, counter: u64, wait_ms: u64) -> Response {
        let answer = || {
            let registry = self.registry.borrow();
            Response::Registry {
                origin: registry.origin(),
                counter: registry.counter(),
                is_complete: self.copies.borrow().is_complete(),
                records: registry.updates_since(origin, counter),
            }
        };
        let is_news = |response: &Response| {
            matches!(response, Response::Registry { origin: own, counter: newest, .. }
                if *own != origin || *newest > counter)
        };
        self.on_news(wait_ms, answer, is_news).await
    }

    /// Pulls the records of all other electors, whoever they are.
    pub(super) async fn follow_registries(self: Rc<Node>) {
        let mut followed: Vec<([u8; 4], tokio::task::JoinHandle<()>)> = Vec::new();
        loop {
            let (own, electors) = (self.own(), self.electors());
            followed.retain(|(_, task)| !task.is_finished());
            for ip in electors.into_iter().filter(|ip| *ip != own) {
                if !followed.iter().any(|(other, _)| *other == ip) {
                    followed.push((ip, tokio::task::spawn_local(self.clone().pull_registry(ip))));
                }
            }
            tokio::time::sleep(REVIEW).await;
        }
    }

    async fn pull_registry(self: Rc<Node>, ip: [u8; 4]) {
        let to = self.peer(Ipv4Addr::from(ip));
        let (mut life, mut held) = (NO_LIFE, 0);
        let mut wait = Duration::ZERO;
        while self.electors().contains(&ip) {
            let request = Request::Registry { origin: life, counter: held, wait_ms: wait.as_millis() as u64 };
            let result = self.client.call(to, &request, wait + PATIENCE).await;
            let Ok(Response::Registry { origin, counter, is_complete, records }) = result else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            if life != origin {
                self.note_life_over(life);
            }
            records.into_iter().for_each(|told| self.hold_told(told));
            (life, held) = (origin, counter);
            self.copies.borrow_mut().record_pull(ip, is_complete);
            self.review_copies();
            wait = if is_complete { WAIT } else { PAUSE };
        }
        self.note_life_over(life);
    }

    fn note_life_over(&self, life: u64) {
        if life != NO_LIFE {
            self.registry.borrow_mut().forget_origin(self.clock.now(), life);
        }
    }

    fn review_copies(&self) {
        let is_news = self.copies.borrow_mut().check_complete(self.own(), &self.electors());
        if is_news {
            log::info!("holds the drains of the other controllers");
            // Written in the background; one that is lost is copied again.
            drop(self.kept_registry.write(&self.registry.borrow(), true));
            self.changed.notify_waiters();
        }
    }
}
