//! Loads the chain of previous turns that a turn continues: from the proxy's cache, otherwise from the nearest storage machine
//! that should hold each turn, otherwise from a quorum.
//!
//! Turns are immutable, so one response that contains a turn is sufficient; only a quorum can establish that a turn does not
//! exist. If a machine responds slowly, the request is hedged to all members of the turn's group, and the machine is not
//! preferred for a while; neither is one that cannot tell, as while its disk does not answer.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use super::Proxy;
use super::call::Call;
use super::turn_error::{PREPARE_TIMEOUT, TurnError};
use crate::clock::Instant;
use crate::program::{Record, Turn, first_lease_end_ms, nearest, renewals};
use crate::role::membership::wall_clock_ms;
use crate::wire::{Request, Response};

/// Hedging delay: time that the nearest machine has before all members are asked. Covers some round trips inside a region and
/// one scheduling delay of the machine.
const HEDGE_DELAY: Duration = Duration::from_millis(25);
/// How long a machine that exceeded the hedging delay, or could not tell whether it holds a turn, is not preferred.
const SLOW_MEMBER_PENALTY: Duration = Duration::from_secs(2);
/// Maximum number of turns in one request.
const TURNS_PER_REQUEST: usize = 64;

/// Chain of previous turns.
#[derive(Debug, Clone, Default)]
pub(super) struct Chain {
    /// Previous turns, oldest first.
    pub turns: Vec<Rc<Turn>>,
}

impl Chain {
    /// Whether storage machines keep all turns at least until this wall-clock time.
    fn is_kept_until(&self, until_ms: u64) -> bool {
        first_lease_end_ms(&self.turns).is_none_or(|end_ms| end_ms >= until_ms)
    }

    /// Request body for the endpoint: input and output of each previous turn, then the new input.
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

/// Storage machines that are not preferred, and until when.
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
    /// Loads the chain that the call continues; empty if it names no previous turn.
    pub(super) async fn chain(self: &Rc<Proxy>, call: &Call) -> Result<Chain, TurnError> {
        let Some(previous) = &call.previous else { return Ok(Chain::default()) };
        let timeout = PREPARE_TIMEOUT.min(call.remaining(self.clock.now()));
        let mut chain = self.load_chain(previous, timeout).await?;
        if !chain.is_kept_until(wall_clock_ms()) {
            // Storage machines may have dropped turns of this chain. That the cache has them is no proof that they are kept.
            chain.turns.iter().for_each(|turn| self.turns.borrow_mut().remove(&turn.id));
            chain = self.load_chain(previous, timeout).await?;
        }
        self.keep_while_running(call, &chain, timeout).await?;
        Ok(chain)
    }

    /// Renews the leases of a chain that could end before the call does.
    async fn keep_while_running(
        self: &Rc<Proxy>, call: &Call, chain: &Chain, timeout: Duration,
    ) -> Result<(), TurnError> {
        let now_ms = wall_clock_ms();
        let left = call.deadline.since(self.clock.now());
        if chain.is_kept_until(now_ms.saturating_add(left.as_millis() as u64)) {
            return Ok(());
        }
        let leases = renewals(&chain.turns, now_ms, call.retention_ms());
        let records: Vec<Record> = leases.into_iter().map(Record::TurnLease).collect();
        let is_renewed = records.is_empty() || self.write_records(&records, timeout).await;
        if is_renewed { Ok(()) } else { Err(TurnError::Indeterminate) }
    }

    async fn load_chain(self: &Rc<Proxy>, previous: &str, timeout: Duration) -> Result<Chain, TurnError> {
        let last = self.turn(previous, timeout).await?;
        let mut found = self.turns_from_nearest(&last.ancestors).await;
        let mut fetches = Vec::new();
        for id in last.ancestors.iter().filter(|id| !found.contains_key(*id)) {
            let (proxy, id) = (self.clone(), id.clone());
            fetches.push(tokio::task::spawn_local(async move { proxy.turn_from_quorum(&id, timeout).await }));
        }
        for fetch in fetches {
            // The ancestors were stored when the last turn ran, so a missing ancestor is an indeterminate result, not proof that
            // it does not exist.
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

    /// Looks up turns in the cache and on the nearest machines; returns those found within [`HEDGE_DELAY`].
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

    /// Fetches turns from one machine. They are added to the cache even if the caller no longer waits for them.
    async fn turns_from_member(&self, member: Ipv4Addr, ids: Vec<String>) -> Vec<Rc<Turn>> {
        let to = SocketAddrV4::new(member, self.settings.borrow().peer_port());
        let epoch = self.plan.borrow().epoch;
        let request = Request::GetTurns { epoch, ids };
        let response = self.client.call(to, &request, PREPARE_TIMEOUT).await;
        let Ok(Response::Turns { turns, is_conclusive }) = response else { return Vec::new() };
        if !is_conclusive && turns.contains(&None) {
            self.slow_members.borrow_mut().note(self.clock.now(), member);
        }
        let turns: Vec<Rc<Turn>> = turns.into_iter().flatten().collect();
        turns.iter().for_each(|turn| self.turns.borrow_mut().insert(turn.clone()));
        turns
    }

    /// Fetches a turn from any machine of its group. Returns `PreviousNotFound` only if a quorum of conclusive responses does not
    /// contain the turn.
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
                log::debug!("turn {id} not found by a quorum");
                return Err(TurnError::PreviousNotFound);
            }
        }
        Err(TurnError::Indeterminate)
    }
}
