//! Upgrade handover: transfers the complete state to another process, or resumes from a transferred state.

use super::*;
use crate::net::upgrade::machine::{Give, Giver, ToGiver};
use crate::net::upgrade::parking::{Parked, ParkedCall};
use crate::net::upgrade::state::{STATE_MAX, State, read, write};
use crate::net::upgrade::wire::Kind;
use crate::net::upgrade::{PARK_TIME, READY_TIME};
use std::os::fd::{AsFd, BorrowedFd};
use tokio::time::{Instant, timeout, timeout_at};

/// Interval at which the owner checks its queue while tasks release their sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Owner {
    /// Transfers the complete state to another process. Returns the peer once that process has taken over; otherwise
    /// this process continues as before.
    pub(super) async fn hand_over(&mut self, mut peer: Peer) -> Option<Peer> {
        let (mut giver, began) = (Giver::default(), Instant::now());
        tracing::info!("another process requests a handover");
        if giver.on(ToGiver::Asked) != Give::Park {
            return None;
        }
        self.held_connections.open();
        let event = if self.wait_for_release(&mut peer).await { ToGiver::Parked } else { ToGiver::Late };
        let mut parked = self.held_connections.close();
        parked.idle = self.upstream.park_idle();
        if giver.on(event) == Give::Offer {
            self.trim(&mut parked);
            let event = match self.state(&mut parked) {
                Ok(state) => send_state(&mut peer, &state, &parked).await,
                Err(why) => {
                    tracing::warn!("not handed over: {why}");
                    let _ = timeout(READY_TIME, peer.say(Kind::Later, why.as_bytes())).await;
                    ToGiver::Late
                }
            };
            if giver.on(event) == Give::Commit {
                // This order keeps each connection open in only one process when the other begins, and leaves no time
                // with two deciding processes.
                drop(parked);
                self.lock.take().into_iter().for_each(Lock::give_up);
                let _ = timeout(READY_TIME, peer.say(Kind::Go, &[])).await;
                tracing::info!("handed over within {:?}", began.elapsed());
                return Some(peer);
            }
        }
        // The peer must be notified before anything is done here: without this message it would assume that this
        // process has died.
        let _ = timeout(READY_TIME, peer.say(Kind::Resumed, &[])).await;
        tracing::warn!("not handed over; this process continues");
        self.adopt_held_sockets(parked);
        None
    }

    /// Waits until every task has released its socket or ended and all of their results are processed.
    async fn wait_for_release(&mut self, peer: &mut Peer) -> bool {
        let until = Instant::now() + PARK_TIME;
        loop {
            while let Ok(message) = self.orders.try_recv() {
                self.handle_message(message);
            }
            while let Ok(message) = self.queue.try_recv() {
                self.handle_message(message);
            }
            self.wake_if_due();
            self.step();
            if self.held_connections.is_quiet() && self.queue.is_empty() {
                return true;
            }
            if Instant::now() >= until {
                tracing::warn!("not all sockets were released in time");
                let _ = timeout(READY_TIME, peer.say(Kind::Later, b"it is busy")).await;
                return false;
            }
            tokio::select! {
                biased;
                Some(message) = self.queue.recv() => self.handle_message(message),
                () = self.held_connections.changed() => {}
                () = sleep_until(Instant::now() + POLL_INTERVAL) => {}
            }
        }
    }

    /// Bounds file descriptors: both processes hold every socket until the handover is confirmed. Connections without a
    /// request are dropped first.
    fn trim(&self, parked: &mut Parked) {
        let calls = parked.calls.iter().filter(|c| c.stream.is_some()).count();
        let capacity = (self.sockets / 2).saturating_sub(calls);
        if parked.edges.len() > capacity {
            parked.edges.sort_by_key(|e| !e.note.served && e.note.read.is_empty());
            parked.edges.truncate(capacity);
        }
        parked.idle.truncate(capacity - parked.edges.len());
    }

    fn state(&self, parked: &mut Parked) -> Result<State, &'static str> {
        if !self.unwritten.is_empty() {
            return Err("the journal cannot be written");
        }
        let core = self.core.snapshot().ok_or("it is about to end")?;
        let core = write(&core).map_err(|_| "the module's state cannot be written")?;
        for call in &mut parked.calls {
            let first = call.note.items.first().map(|i| (i.flow, i.attempt));
            if let Some(open) = first.and_then(|i| self.calls.get(&i)) {
                (call.note.held, call.note.stopped) = (open.switch.held(), open.switch.is_stopped());
            }
            if call.note.sent && call.stream.is_none() {
                return Err("a socket cannot be had");
            }
        }
        Ok(State {
            now: self.clock.now(),
            journal: self.journal.length(),
            core,
            directory: self.directory.clone(),
            list_rev: self.list_rev,
            fixed: self.fixed.clone(),
            ids: self.ids.clone(),
            over: self.over.clone(),
            next: self.next,
            wakes: self.wakes.clone(),
            evacuated: self.evacuation.is_on(),
            listener: parked.listener.is_some(),
            edges: parked.edges.iter().map(|e| e.note.clone()).collect(),
            calls: parked.calls.iter().map(|c| c.note.clone()).collect(),
            idle: parked.idle.iter().map(|i| i.note.clone()).collect(),
        })
    }

    /// Adopts all held sockets, either from another process or after a failed handover.
    pub fn adopt_held_sockets(&mut self, parked: Parked) {
        let Parked { listener, edges, calls, idle } = parked;
        self.upstream.adopt_idle(idle);
        for call in calls {
            self.adopt_held_call(call);
        }
        let Some(edge) = &self.edge else { return };
        edges.into_iter().for_each(|e| edge.adopt(e));
        if let Some(listener) = listener.and_then(|l| tokio::net::TcpListener::from_std(l).ok()) {
            tokio::task::spawn_local(edge.clone().serve(listener));
        }
    }

    fn adopt_held_call(&mut self, mut call: ParkedCall) {
        let server = call.note.server;
        let mut parcels = Vec::new();
        let (sent, elapsed) = (call.note.sent, call.note.elapsed);
        call.note.items.retain(|item| {
            let (flow, attempt) = (item.flow, item.attempt);
            let parcel = self.journal.ledger().open.get(&flow).map(|(f, _)| f.parcel.clone());
            // The flow of a sent call may have ended; no further call is sent for such a flow.
            let parcel = parcel.or_else(|| sent.then(no_parcel));
            if parcel.is_none() {
                let outcome = Outcome::Void;
                let end = CallEnd { flow, attempt, server, outcome, finished: None, elapsed, limit: None };
                self.calls.remove(&(flow, attempt));
                self.core.call_ended(end);
            }
            parcels.extend(parcel.clone());
            parcel.is_some()
        });
        let keys: Vec<_> = call.note.items.iter().map(|i| (i.flow, i.attempt)).collect();
        if keys.is_empty() {
            return;
        }
        let switch = self.upstream.adopt(call, parcels);
        self.register_call(keys, server, &switch);
    }

    /// Restores the state of another process except its sockets. Nothing is written or carried out yet.
    pub(super) fn resume_from(&mut self, config: &Config, state: State) -> Result<(), OwnerError> {
        let now = self.clock.now();
        let core = read(&state.core).map_err(|_| OwnerError::Handed("the module's state"))?;
        let ledger = self.journal.ledger();
        let payload = |no: FlowNo| ledger.open.get(&no).map(|(f, _)| f.parcel.clone());
        self.core = Core::restore(core, config.settings.max_held, payload)
            .ok_or(OwnerError::Handed("the journal lacks a flow"))?;
        if !self.routing.is_empty() {
            self.core.set_proposer(self.routing.proposer());
        }
        self.directory = state.directory;
        self.routing.name_servers(&self.directory);
        self.list_rev = state.list_rev;
        (self.ids, self.over, self.next) = (state.ids, state.over, state.next);
        self.wakes = state.wakes;
        self.evacuation.set(state.evacuated);
        for no in self.core.flows().collect::<Vec<_>>() {
            let Some((flow, _)) = self.journal.ledger().open.get(&no).cloned() else { continue };
            self.register_flow(no, &flow, now).ok_or(OwnerError::Handed("unknown class"))?;
        }
        // The operator's file may name other servers now.
        let fixed = std::mem::replace(&mut self.fixed, state.fixed);
        if self.fixed != fixed {
            self.take_servers(fixed);
        }
        let (flows, calls) = (self.core.open_flows(), state.calls.len());
        tracing::info!("continuing with {flows} open flows, {calls} calls and {} clients", state.edges.len());
        Ok(())
    }

    /// Holds the folder lock: from now on this process decides and writes.
    pub fn take_lock(&mut self, lock: Lock) {
        self.lock = Some(lock);
    }
}

/// Sends a copy of the state and the sockets, and waits until the peer has built its own state from it.
async fn send_state(peer: &mut Peer, state: &State, parked: &Parked) -> ToGiver {
    let Ok(bytes) = write(state) else { return ToGiver::Late };
    if bytes.len() > STATE_MAX {
        tracing::warn!("not handed over: the state has {} bytes", bytes.len());
        return ToGiver::Late;
    }
    // Same order as in the state.
    let listener = parked.listener.iter().map(AsFd::as_fd);
    let edges = parked.edges.iter().map(|e| e.stream.as_fd());
    let calls = parked.calls.iter().filter_map(|c| c.stream.as_ref()).map(AsFd::as_fd);
    let idle = parked.idle.iter().map(|i| i.stream.as_fd());
    let sockets: Vec<BorrowedFd<'_>> = listener.chain(edges).chain(calls).chain(idle).collect();
    let sent = async {
        peer.say(Kind::State, &bytes).await?;
        peer.send_sockets(&sockets).await?;
        peer.hear().await
    };
    match timeout_at(Instant::now() + READY_TIME, sent).await {
        Ok(Ok(Some((Kind::Ready, _)))) => ToGiver::Ready,
        Ok(Ok(Some(_)) | Err(_)) | Err(_) => ToGiver::Late,
        Ok(Ok(None)) => ToGiver::PeerGone,
    }
}

fn no_parcel() -> Rc<Parcel> {
    Rc::new(Parcel { id: String::new(), key: None, mail: None, routed: None, body: Rc::from([]) })
}
