//! The chain that a turn goes on from: from the proxy's memory, else from the nearest storage machine that should hold each
//! turn, else from a quorum.
//!
//! Turns never change, so one answer that has a turn is enough; that there is none only a quorum can say. A machine that
//! does not answer soon is helped out by all others of the turn's group and is not asked first for a while.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call::Call;
use super::turn_error::{PREPARE_TIMEOUT, TurnError};
use crate::clock::Instant;
use crate::program::{Turn, nearest};
use crate::wire::{Request, Response};

/// How long the nearest machine has before all are asked: some round trips inside a region, and a turn of its processor.
const HEDGE_DELAY: Duration = Duration::from_millis(25);
/// How long a machine that had to be helped out is not asked first.
const SLOW_MEMBER_PENALTY: Duration = Duration::from_secs(2);
/// Turns asked for at once.
const TURNS_PER_REQUEST: usize = 64;

/// What a turn goes on from.
#[derive(Debug, Clone, Default)]
pub(super) struct Chain {
    /// The turns before, the first one first.
    pub turns: Vec<Rc<Turn>>,
}

impl Chain {
    /// The body for the endpoint: each turn's input and output, then the new input.
    pub(super) fn body(&self, input: &[u8]) -> Vec<u8> {
        let before: usize = self.turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
        let mut body = Vec::with_capacity(before + input.len());
        for turn in &self.turns {
            body.extend_from_slice(&turn.input);
            body.extend_from_slice(&turn.output);
        }
        body.extend_from_slice(input);
        body
    }
}

/// Machines that did not answer soon, and until when they are not asked first.
#[derive(Debug, Default)]
pub(super) struct SlowMembers {
    until: HashMap<Ipv4Addr, Instant>,
}

impl SlowMembers {
    fn note(&mut self, now: Instant, member: Ipv4Addr) {
        self.until.insert(member, now + SLOW_MEMBER_PENALTY);
    }

    fn contains(&self, now: Instant, member: Ipv4Addr) -> bool {
        self.until.get(&member).is_some_and(|until| *until > now)
    }
}

impl Proxy {
    /// The chain that a turn goes on from.
    pub(super) async fn chain(self: &Rc<Proxy>, call: &Call) -> Result<Chain, TurnError> {
        let Some(previous) = &call.previous else { return Ok(Chain::default()) };
        let timeout = PREPARE_TIMEOUT.min(call.remaining(self.clock.now()));
        let last = self.turn(previous, timeout).await?;
        let mut found = self.turns_from_nearest(&last.ancestors).await;
        let mut fetches = Vec::new();
        for id in last.ancestors.iter().filter(|id| !found.contains_key(*id)) {
            let (proxy, id) = (self.clone(), id.clone());
            fetches.push(tokio::task::spawn_local(async move { proxy.turn_from_quorum(&id, timeout).await }));
        }
        for fetch in fetches {
            // What the last turn was built on was kept when it ran; its absence is doubt, not knowledge.
            let turn =
                fetch.await.map_err(|_| TurnError::Indeterminate)?.map_err(|_| TurnError::Indeterminate)?;
            found.insert(turn.id.clone(), turn);
        }
        let mut turns = Vec::with_capacity(last.ancestors.len() + 1);
        for id in &last.ancestors {
            turns.push(found.get(id).cloned().ok_or(TurnError::Indeterminate)?);
        }
        turns.push(last);
        Ok(Chain { turns })
    }

    async fn turn(self: &Rc<Proxy>, id: &str, timeout: Duration) -> Result<Rc<Turn>, TurnError> {
        let ids = [id.to_owned()];
        match self.turns_from_nearest(&ids).await.remove(id) {
            Some(turn) => Ok(turn),
            None => self.turn_from_quorum(id, timeout).await,
        }
    }

    /// Those of some turns that are remembered here, or that the nearest machines tell soon.
    async fn turns_from_nearest(self: &Rc<Proxy>, ids: &[String]) -> HashMap<String, Rc<Turn>> {
        let mut found = HashMap::new();
        let mut wanted: BTreeMap<Ipv4Addr, Vec<String>> = BTreeMap::new();
        for id in ids {
            if let Some(turn) = self.turns.borrow_mut().get(id) {
                found.insert(id.clone(), turn);
            } else if let Some(member) = self.nearest(id) {
                wanted.entry(member).or_default().push(id.clone());
            }
        }
        let mut tasks = Vec::new();
        for (member, ids) in wanted {
            for ids in ids.chunks(TURNS_PER_REQUEST) {
                let (proxy, ids) = (self.clone(), ids.to_vec());
                let task =
                    tokio::task::spawn_local(async move { proxy.turns_from_member(member, ids).await });
                tasks.push((member, task));
            }
        }
        let until = tokio::time::Instant::now() + HEDGE_DELAY;
        for (member, task) in tasks {
            match tokio::time::timeout_at(until, task).await {
                Ok(Ok(turns)) => found.extend(turns.into_iter().map(|turn| (turn.id.clone(), turn))),
                _ => self.slow_members.borrow_mut().note(self.clock.now(), member),
            }
        }
        found
    }

    fn nearest(&self, id: &str) -> Option<Ipv4Addr> {
        let (now, slow_members) = (self.clock.now(), self.slow_members.borrow());
        let settings = self.settings.borrow();
        let is_slow = |member| slow_members.contains(now, member);
        nearest(&self.plan.borrow(), id, settings.fault_tolerance, &settings.zone, is_slow)
    }

    /// Those of some turns that one machine holds; they are remembered, also if nobody waits for them any more.
    async fn turns_from_member(&self, member: Ipv4Addr, ids: Vec<String>) -> Vec<Rc<Turn>> {
        let to = SocketAddrV4::new(member, self.settings.borrow().peer_port());
        let epoch = self.plan.borrow().epoch;
        let request = Request::GetTurns { epoch, ids };
        let Ok(Response::Turns { turns, .. }) = self.client.call(to, &request, PREPARE_TIMEOUT).await else {
            return Vec::new();
        };
        let turns: Vec<Rc<Turn>> = turns.into_iter().flatten().collect();
        turns.iter().for_each(|turn| self.turns.borrow_mut().insert(turn.clone()));
        turns
    }

    /// A turn from any machine of its group; that there is none only if a quorum that is sure says so.
    async fn turn_from_quorum(self: &Rc<Proxy>, id: &str, timeout: Duration) -> Result<Rc<Turn>, TurnError> {
        let epoch = self.plan.borrow().epoch;
        if epoch == 0 {
            return Err(TurnError::Indeterminate);
        }
        let mut responses =
            self.request_members(id, Request::GetTurns { epoch, ids: vec![id.to_owned()] }, timeout);
        while let Some((member, response)) = responses.next().await {
            let Response::Turns { turns, is_conclusive } = response else { continue };
            if let Some(turn) = turns.into_iter().flatten().next() {
                self.turns.borrow_mut().insert(turn.clone());
                return Ok(turn);
            }
            if is_conclusive && responses.count(member, Response::Done) {
                log::debug!("turn {id} is known nowhere");
                return Err(TurnError::PreviousNotFound);
            }
        }
        Err(TurnError::Indeterminate)
    }
}
