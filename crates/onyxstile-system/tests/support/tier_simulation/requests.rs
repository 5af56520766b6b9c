//! Quorum requests of relays, and checks of their results.

use super::*;

/// A request of a relay to a quorum.
pub(super) enum QuorumRequest {
    /// Stores a turn.
    Store(String),
    /// Reads a turn; the flag is whether it was stored when the request was made.
    Read(String, bool),
    /// Claims budget for a turn of a program.
    Claim { program: String, entry: ClaimEntry },
    /// Settles a claim.
    Settle { program: String, entry: ClaimEntry },
}

impl QuorumRequest {
    pub(super) fn record(&self) -> Option<Record> {
        match self {
            QuorumRequest::Store(id) => Some(Record::Turn(turn(id))),
            QuorumRequest::Read(..) => None,
            QuorumRequest::Claim { program, entry } | QuorumRequest::Settle { program, entry } => {
                Some(Record::ClaimEntry { program: program.clone(), entry: entry.clone() })
            }
        }
    }

    pub(super) fn placement_key(&self) -> &str {
        match self {
            QuorumRequest::Store(id) | QuorumRequest::Read(id, _) => id,
            QuorumRequest::Claim { program, .. } | QuorumRequest::Settle { program, .. } => program,
        }
    }
}

/// A request that is pending at the members of the key's groups.
pub(super) struct PendingRequest {
    request: QuorumRequest,
    epoch: u64,
    quorum: Quorum,
    until: u64,
    /// Time of arrival at each member. `written` holds the times at which the record is on the member's disk and its
    /// response is sent.
    arriving: Vec<(u64, Ipv4Addr)>,
    written: Vec<(u64, Ipv4Addr, u64)>,
    summaries: Vec<ClaimSummary>,
    claims: Vec<ClaimEntry>,
}

impl TierSimulation {
    /// Sends a request of a random relay to a quorum.
    pub(super) fn start_request(&mut self, request: QuorumRequest) {
        let relay = self.random_below(RELAYS as u32) as usize;
        let plan = self.relays[relay].clone();
        if plan.epoch == 0 {
            return;
        }
        let now = self.now();
        let quorum = Quorum::new(&plan, request.placement_key(), self.tolerance);
        let arriving = quorum
            .members()
            .into_iter()
            .map(|ip| (now + u64::from(self.random_below(8)) * STEP, ip))
            .collect();
        self.pending.push(PendingRequest {
            request,
            epoch: plan.epoch,
            quorum,
            until: now + QUORUM_TIMEOUT,
            arriving,
            written: Vec::new(),
            summaries: Vec::new(),
            claims: Vec::new(),
        });
    }

    /// Stores a turn that has ended.
    pub fn store_turn(&mut self) {
        self.last_turn += 1;
        self.start_request(QuorumRequest::Store(format!("t{}", self.last_turn)));
    }

    /// Reads the turn that another one continues, mostly one of the newest.
    pub fn read_turn(&mut self) {
        let most = self.last_turn.max(1) as u32;
        let back = if self.random_below(4) == 0 {
            self.random_below(most)
        } else {
            self.random_below(10).min(most - 1)
        };
        let id = format!("t{}", most - back);
        let was_stored = self.stored_turns.contains(&id);
        self.start_request(QuorumRequest::Read(id, was_stored));
    }

    /// Claims budget for a turn of a program.
    pub fn claim_turn(&mut self) {
        self.last_turn += 1;
        let program = format!("p{}", self.last_turn / 60);
        let entry = ClaimEntry {
            request: format!("r{}", self.last_turn),
            max_tokens: 1 + u64::from(self.random_below(100)),
            settled: None,
        };
        self.start_request(QuorumRequest::Claim { program, entry });
    }

    pub(super) fn process_requests(&mut self) {
        for mut pending in std::mem::take(&mut self.pending) {
            if self.advance(&mut pending) && pending.until > self.now() {
                self.pending.push(pending);
            }
        }
    }

    /// Processes the due events of a request. Returns false once the request has ended.
    pub(super) fn advance(&mut self, pending: &mut PendingRequest) -> bool {
        let now = self.now();
        let (due, arriving) = pending.arriving.iter().copied().partition(|(at, _)| *at <= now);
        pending.arriving = arriving;
        let due: Vec<(u64, Ipv4Addr)> = due;
        for (_, ip) in due {
            if !self.is_reachable_by_relays(ip) || self.random_below(30) == 0 {
                // The request is sent again.
                pending.arriving.push((now + 125 + u64::from(self.random_below(8)) * STEP, ip));
            } else if self.refuses_epoch(pending, ip) {
                return false;
            } else {
                let at = now + u64::from(self.random_below(4)) * STEP;
                pending.written.push((at, ip, self.stores[&ip].incarnation()));
            }
        }
        let (due, written) = pending.written.iter().copied().partition(|(at, _, _)| *at <= now);
        pending.written = written;
        let due: Vec<(u64, Ipv4Addr, u64)> = due;
        due.into_iter().all(|(_, ip, incarnation)| self.answer(pending, ip, incarnation))
    }

    /// The record of a request is on a storage machine's disk, and the response is sent. Returns false once the request
    /// has ended.
    pub(super) fn answer(&mut self, pending: &mut PendingRequest, ip: Ipv4Addr, incarnation: u64) -> bool {
        let now = self.now();
        let Some(store) =
            self.stores.get_mut(&ip).filter(|store| store.is_up(now) && store.incarnation() == incarnation)
        else {
            pending.arriving.push((now + 125, ip));
            return true;
        };
        if let Some(record) = pending.request.record() {
            store.write(now, &record);
        }
        let (is_newer, is_dark) = (store.epoch() > pending.epoch, store.isolated_until > now);
        // With an older plan, the turn may be looked up where it was never written.
        let is_complete = store.is_complete() && !is_newer;
        if self.refuses_epoch(pending, ip) {
            return false;
        }
        let store = &self.stores[&ip];
        match &pending.request {
            QuorumRequest::Claim { program, .. } => {
                if !is_complete {
                    pending.arriving.push((now + 125, ip));
                    return true;
                }
                let (summary, claims) = store.claims(program);
                pending.summaries.push(summary);
                merge_claims(&mut pending.claims, claims);
            }
            QuorumRequest::Read(id, was_stored) => {
                if store.holds_turn(id) {
                    return false;
                }
                if !is_complete || is_dark {
                    return true;
                }
                if pending.quorum.count(ip) {
                    if *was_stored {
                        self.violations.push(format!("{now}: {id} was stored and is reported as missing"));
                    }
                    return false;
                }
                return true;
            }
            QuorumRequest::Store(_) | QuorumRequest::Settle { .. } => {}
        }
        if is_dark || self.random_below(30) == 0 {
            pending.arriving.push((now + 125, ip));
            return true;
        }
        if !pending.quorum.count(ip) {
            return true;
        }
        self.complete_request(pending);
        false
    }

    /// Whether a machine refuses a request because it has a newer plan than the relay.
    pub(super) fn refuses_epoch(&mut self, pending: &PendingRequest, ip: Ipv4Addr) -> bool {
        let refuses =
            self.stores[&ip].epoch() > pending.epoch && !matches!(pending.request, QuorumRequest::Read(..));
        if refuses {
            self.count_event("writes with an outdated plan refused");
        }
        refuses
    }

    pub(super) fn complete_request(&mut self, pending: &PendingRequest) {
        match &pending.request {
            QuorumRequest::Store(id) => {
                self.count_event("turns stored");
                self.stored_turns.insert(id.clone());
            }
            QuorumRequest::Claim { program, entry } => {
                let fits = match admit(BUDGET, &entry.request, entry.max_tokens, &pending.summaries) {
                    BudgetDecision::Fits => true,
                    BudgetDecision::Exhausted => false,
                    BudgetDecision::Inconclusive => {
                        fits_budget(BUDGET, &entry.request, entry.max_tokens, &pending.claims)
                    }
                };
                let tokens = if fits { u64::from(self.random_below(entry.max_tokens as u32 + 1)) } else { 0 };
                *self.received.entry(program.clone()).or_default() += tokens;
                let total = self.received[program];
                if total > BUDGET {
                    self.violations
                        .push(format!("{}: {program} received {total} of {BUDGET}", self.control.now));
                }
                self.count_event(if fits { "turns admitted" } else { "turns refused by their budget" });
                // A relay that crashes leaves its claim unsettled.
                if self.random_below(8) > 0 {
                    let entry = ClaimEntry { settled: Some(tokens), ..entry.clone() };
                    let program = program.clone();
                    self.start_request(QuorumRequest::Settle { program, entry });
                }
            }
            QuorumRequest::Read(..) | QuorumRequest::Settle { .. } => {}
        }
    }
}
