use super::*;

impl Controller {
    /// Sends the messages that may be sent now, in descending order of utility.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut ready: Vec<(bool, f64, Duration, MessageId)> = Vec::new();
        // Where calls can be shared, a call waits briefly for more messages: limits count calls.
        let mut waiting: BTreeMap<DestinationId, (usize, bool)> = BTreeMap::new();
        self.ready_repeatable.clear();
        for (id, m) in self.messages.iter().filter(|(_, m)| m.state == State::Ready) {
            if self.settings.classes[m.class].effect != Effect::Once {
                self.ready_repeatable.insert(m.destination);
            }
            ready.push((self.now > m.target_at, -self.current_utility(m), m.target_at, *id));
            let (count, long) = waiting.entry(m.destination).or_default();
            *count += 1;
            *long |= self.now
                >= m.ready_since + self.settings.classes[m.class].target_latency.mul_f64(BATCH_WAIT_SHARE);
        }
        for id in waiting.keys().filter_map(|d| self.destinations.get(d)).flat_map(|d| &d.endpoints) {
            if let Some(l) = self.endpoints.get(id).and_then(|e| self.limiters.get_mut(&e.limiter_id)) {
                l.refill(self.now);
            }
        }
        ready.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then((a.2, a.3).cmp(&(b.2, b.3))));
        let mut open_calls: BTreeMap<EndpointId, u64> = BTreeMap::new();
        for (_, _, _, id) in ready {
            let Some(m) = self.messages.get(&id) else { continue };
            let joins = |x: &(_, _)| self.endpoints.get(&x.0).is_some_and(|e| self.may_join(id, m, e, x.1));
            if let Some((endpoint, call)) = open_calls.iter().map(|(e, c)| (*e, *c)).find(joins) {
                self.send(id, endpoint, call, actions);
                continue;
            }
            let (count, long) = waiting.get(&m.destination).copied().unwrap_or_default();
            let share = self.live(m.destination).map(|e| self.per_call(e.info.id)).max().unwrap_or(1);
            let paced = |e: &Endpoint| self.limiters.get(&e.limiter_id).is_some_and(|l| l.pace < PACE_MAX);
            if share > 1 && count < share && !long && self.live(m.destination).any(paced) {
                continue;
            }
            if self.calls.len() >= self.settings.max_calls || !self.slot_free(m, waiting.len() > 1) {
                continue;
            }
            if let Some(endpoint) = self.choose_endpoint(id, m) {
                let call = self.open_call(endpoint, m.destination, id, actions);
                self.send(id, endpoint, call, actions);
                if self.per_call(endpoint) > 1 {
                    open_calls.insert(endpoint, call);
                }
            }
        }
        self.probe_down(&waiting.into_keys().collect::<Vec<_>>(), actions);
    }

    pub(super) fn per_call(&self, id: EndpointId) -> usize {
        self.endpoints.get(&id).and_then(|e| self.settings.kinds.get(e.info.kind.0)).map_or(1, |k| k.per_call)
    }

    /// A message joins a call of this step only if it may be sent itself; a trial is a single message.
    pub(super) fn may_join(&self, id: MessageId, m: &Message, e: &Endpoint, call: u64) -> bool {
        let sent = self.calls.get(&call).map_or(0, |c| c.messages);
        let light = e.health == Health::Well || !sent.is_multiple_of(BATCHED_PER_CALL);
        e.health != Health::Down && light && sent < self.per_call(e.info.id) && self.may_send(id, m, e)
    }

    /// At most half of the slots while others wait, an endpoint here is unhealthy or a call here is overdue.
    pub(super) fn slot_free(&self, m: &Message, others_wait: bool) -> bool {
        let half = ((self.settings.max_calls as f64 * SLOT_SHARE) as usize).max(1);
        let its = || self.calls.values().filter(|c| c.destination == m.destination);
        let overdue = its().any(|c| self.now > c.sent + c.late_after);
        let unhealthy = self.live(m.destination).any(|e| e.health != Health::Well);
        its().count() < if others_wait || overdue || unhealthy { half } else { self.settings.max_calls }
    }

    /// The cheapest allowed endpoint: cost of a connection, recent failures, and calls already open there.
    pub(super) fn choose_endpoint(&self, id: MessageId, m: &Message) -> Option<EndpointId> {
        let s = &self.settings;
        let cost = |e: &Endpoint| {
            let old = e.idle.first().is_some_and(|since| self.now <= *since + self.trusted);
            let fresh = if old { 0.0 } else { s.handshake_cost };
            let unhealthy = e.fail_share + f64::from(e.hard_run + e.refused_run);
            e.tie_breaker + fresh + unhealthy + QUEUE_COST * (e.calls_out * e.calls_out) as f64
        };
        let paid = |l: &RateLimiter| l.tokens >= 1.0 || l.pace >= PACE_MAX;
        let fits = |e: &Endpoint| {
            self.limiters.get(&e.limiter_id).is_some_and(paid) && self.usable(e) && self.may_send(id, m, e)
        };
        if let Some(proposer) = self.proposer.borrow_mut().as_mut() {
            let mut allowed = |id: EndpointId| self.endpoints.get(&id).is_some_and(fits);
            match proposer.propose(m.destination, id, &mut allowed) {
                Proposed::NoOpinion => {}
                Proposed::NoneAllowed => return None,
                Proposed::Endpoint(id) => return Some(id),
            }
        }
        let fitting = self.live(m.destination).filter(|e| fits(e));
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|e| e.info.id)
    }

    pub(super) fn open_call(
        &mut self, endpoint: EndpointId, destination: DestinationId, id: MessageId, actions: &mut Vec<Action>,
    ) -> u64 {
        self.last_call += 1;
        let late_after = self.late_after(destination, self.messages.get(&id).map_or(0, |m| m.class));
        let (sent, keepalive, trusted) = (self.now, self.settings.keepalive, self.trusted);
        let mut idle_for = Duration::ZERO;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.idle.retain(|since| sent < *since + keepalive);
            if e.idle.first().is_some_and(|since| sent > *since + trusted) {
                e.idle.clear();
                actions.push(Action::Release(endpoint));
            }
            idle_for = e.idle.pop().map_or(Duration::ZERO, |since| sent - since);
            e.calls_out += 1;
            self.proposer.get_mut().iter_mut().for_each(|p| p.set_open_calls(endpoint, e.calls_out));
            if let Some(l) = self.limiters.get_mut(&e.limiter_id) {
                l.tokens = (l.tokens - 1.0).max(-1.0);
            }
        }
        let call = Call { destination, endpoint, sent, idle_for, late_after, ..Call::default() };
        self.calls.insert(self.last_call, call);
        self.record_send(endpoint);
        self.last_call
    }

    /// Counts a call or probe in the cold budget and postpones the next trial.
    pub(super) fn record_send(&mut self, endpoint: EndpointId) {
        let (now, warm) = (self.now, self.settings.cold_time + self.settings.overload_span);
        let jitter = self.random_jitter();
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        (e.last_sent, e.jitter, e.trial) = (now, jitter, false);
        if matches!(e.health, Health::Warming(since) if now >= since + warm) {
            e.health = Health::Well;
        }
    }

    /// Time after which a call to a destination is overdue: well above the observed latency.
    pub(super) fn late_after(&self, destination: DestinationId, class: usize) -> Duration {
        let target_latency = self.settings.classes[class].target_latency;
        let known = self.destinations.contains_key(&destination);
        if known { self.latency_bound(destination).max(target_latency / 2) } else { target_latency }
    }

    pub(super) fn latency_bound(&self, destination: DestinationId) -> Duration {
        let seen = |d: &Destination| Duration::from_secs_f64(d.latency + LATE_DEVIATIONS * d.deviation);
        self.destinations.get(&destination).map_or(Duration::ZERO, seen)
    }

    pub(super) fn send(&mut self, id: MessageId, endpoint: EndpointId, call: u64, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id) else { return };
        let class = &self.settings.classes[m.class];
        // A timeout would use up the only attempt of a message that must not be repeated: no early timeout.
        let give_up_at = if class.effect == Effect::Once {
            m.deadline
        } else {
            // Early enough for another attempt within the latency target.
            let timeout = self.late_after(m.destination, m.class);
            (self.now + timeout * (1 << m.attempts.min(6))).min(m.deadline)
        };
        actions.push(Action::Send { id, endpoint, give_up_at });
        let (attempt, key, destination) = (m.attempts, m.key, m.destination);
        self.flights.insert((id, attempt), (call, key));
        if let Some(c) = self.calls.get_mut(&call) {
            c.messages += 1;
        }
        if let Some(d) = self.destinations.get_mut(&destination).filter(|_| attempt == 0) {
            d.first_sends.add(self.now, self.settings.tick.as_secs_f64() / RATE_WEIGHT);
        }
        if let Some(m) = self.messages.get_mut(&id) {
            m.attempts += 1;
            m.state = State::InFlight;
        }
    }

    /// Probes endpoints that are down while messages wait, and those that failed some calls: single-attempt
    /// messages avoid those, so without other traffic a recovery would never be detected.
    pub(super) fn probe_down(&mut self, waiting: &[DestinationId], actions: &mut Vec<Action>) {
        let down = |e: &&Endpoint| e.health == Health::Down && e.refused_run == 0 && !e.trial;
        let alone = |e: &&Endpoint| self.now > e.last_sent + OUTAGE_QUIET;
        let untested = |e: &&Endpoint| alone(e) && e.health != Health::Down && e.fail_share > SAFE_FAIL_SHARE;
        let due = |e: &&Endpoint| (down(e) || untested(e)) && self.usable(e);
        let due = waiting.iter().flat_map(|d| self.live(*d).filter(due)).map(|e| e.info.id);
        for id in due.filter(|_| self.settings.probes).collect::<Vec<_>>() {
            self.record_send(id);
            actions.push(Action::Probe(id));
        }
    }
}
