use super::*;

impl Controller {
    pub(super) fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(m) => self.add_message(m),
            Event::Outcome(end) => self.handle_outcome(end, actions),
            Event::Withdrawn(id) => self.remove_message(*id),
            Event::Wake(_) => {}
            // An endpoint that answers a probe may still fail calls: the probe admits one message as a trial.
            Event::Probed { endpoint, outcome, limit } => match self.endpoints.get_mut(endpoint) {
                Some(e) if e.health == Health::Down && *outcome == Outcome::Success => e.trial = true,
                found => {
                    let sent = found.map_or(self.now, |e| e.last_sent);
                    self.record_outcome(*endpoint, *outcome, sent, *limit, actions);
                }
            },
            Event::ListUpdate(list) => self.update_list(list),
            Event::ListReplaced(list) => {
                for e in self.endpoints.values_mut().filter(|e| e.info.state != ListState::Gone) {
                    (e.info.state, e.listed) = (ListState::Gone, self.now);
                }
                self.update_list(list);
            }
            Event::ListUnavailable => {
                // Pauses double, with jitter, and stay below the age at which list entries count as received.
                let pause = (T1 * (1 << self.asks_failed.min(10))).min(self.settings.max_list_age / 2);
                let pause = pause.mul_f64(self.random_jitter()).max(self.settings.tick);
                self.ask_at = self.settings.ask_for_list.then_some(self.now + pause);
                self.asks_failed += 1;
            }
        }
    }

    pub(super) fn random_jitter(&mut self) -> f64 {
        0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    pub(super) fn update_list(&mut self, list: &[EndpointInfo]) {
        self.asks_failed = 0;
        for info in list {
            if let Some(e) = self.endpoints.get_mut(&info.id) {
                e.listed = if e.info.state == ListState::Gone { e.listed } else { self.now };
                // Listed again after a drain: most likely it was restarted and is cold.
                let back = e.info.state == ListState::Draining && info.state == ListState::Live;
                e.health = if back { Health::Warming(self.now) } else { e.health };
                e.info = info.clone();
                continue;
            }
            let apart = self.settings.kinds.get(info.kind.0).is_some_and(|k| k.independent_routes);
            let limiter_id = (info.destination, apart.then_some(info.id));
            let free = RateLimiter { pace: PACE_MAX, ..RateLimiter::default() };
            // An endpoint added during an outage of its limiter is as cold as the rest, with a pause from now
            // on: one of many senders has seen a single failure, maybe of an endpoint now gone.
            let ids = self.destinations.get(&info.destination).map_or(&[][..], |d| &d.endpoints);
            let unhealthy = |o: &Endpoint| o.health != Health::Well || o.hard_run + o.refused_run > 0;
            let unhealthy = ids
                .iter()
                .filter_map(|id| self.endpoints.get(id))
                .any(|o| o.limiter_id == limiter_id && unhealthy(o));
            let wait_until = self.limiters.entry(limiter_id).or_insert(free).wait_until;
            let cold = unhealthy || wait_until > self.now;
            let health = if cold { Health::Warming(self.now.max(wait_until)) } else { Health::Well };
            let jitter = self.random_jitter();
            let first_sends = Rate { value: self.settings.max_calls as f64 / T1.as_secs_f64(), at: self.now };
            let fresh = || Destination { first_sends, ..Destination::default() };
            self.destinations.entry(info.destination).or_insert_with(fresh).endpoints.push(info.id);
            let (info, last_sent, last_ok, listed) = (info.clone(), self.now, self.now, self.now);
            let new =
                Endpoint { info, health, limiter_id, last_sent, last_ok, listed, ..Endpoint::default() };
            let new = Endpoint { jitter, tie_breaker: QUEUE_COST * (jitter - 0.5) / 2.0, ..new };
            self.endpoints.insert(new.info.id, new);
        }
        self.remove_gone_endpoints();
    }

    /// Bounds memory where endpoints come and go: long-gone ones carry no information on the remaining ones.
    pub(super) fn remove_gone_endpoints(&mut self) {
        let (now, memory) = (self.now, self.settings.cold_time + self.settings.overload_span);
        let end = |e: &Endpoint| self.limiters.get(&e.limiter_id).map_or(Duration::ZERO, |l| l.wait_until);
        let over = |e: &Endpoint| e.calls_out == 0 && now > end(e).max(e.listed + memory);
        let past = |e: &Endpoint| e.info.state == ListState::Gone && over(e);
        let past: Vec<_> =
            self.endpoints.values().filter(|e| past(e)).map(|e| (e.info.id, e.limiter_id)).collect();
        for (id, limiter_id) in past {
            self.endpoints.remove(&id);
            if limiter_id.1.is_some() {
                self.limiters.remove(&limiter_id);
            }
            if let Some(d) = self.destinations.get_mut(&limiter_id.0) {
                d.endpoints.retain(|e| *e != id);
            }
        }
    }

    pub(super) fn add_message(&mut self, m: &NewMessage) {
        let Some(class) = self.settings.classes.get(m.class.0) else { return };
        let (deadline, mut utility, timer) =
            (self.now + m.remaining, class.utility, backoff(0, class.target_latency));
        let target_at = (deadline + class.target_latency).saturating_sub(class.deadline);
        if let Some((tokens, at)) = m.tenant.and_then(|t| self.tenants.get_mut(t.0)) {
            // The tenant's share is a token bucket of one second of this sender's part of the quota.
            let quota = &self.settings.tenants[m.tenant.map_or(0, |t| t.0)];
            let rate = quota.quota_per_s / f64::from(self.settings.senders);
            *tokens = (*tokens + (self.now - *at).as_secs_f64() * rate).min(rate.max(1.0));
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            utility *= if within { 1.0 } else { self.settings.over_quota_weight };
        }
        let key = m.key.filter(|_| class.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(m.id);
        }
        let fresh =
            Message { class: m.class.0, destination: m.destination, key, utility, ..Message::default() };
        // Sent before a restart: attempts continue, and a possible execution counts from its first send.
        let (attempts, risk) =
            (m.past.attempts, m.past.risk.map(|(ago, at)| (self.now.saturating_sub(ago), at)));
        // Held by an earlier process: by backoff and retry policy, or it would fill all slots at once.
        let first_backoff = |c: &mut Self| State::Backoff(c.now + timer.mul_f64(c.random_jitter()));
        let state = if m.past.held { first_backoff(self) } else { State::Ready };
        let fresh = Message { target_at, deadline, attempts, risk, state, ready_since: self.now, ..fresh };
        self.messages.insert(m.id, fresh);
    }

    pub(super) fn handle_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, outcome, elapsed, terminal, limit, .. } = *end;
        let Some((number, key)) = self.flights.remove(&(id, attempt)) else { return };
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)).filter(|_| outcome.may_still_run()) {
            k.cooldown = Some((self.now + self.settings.key_cooldown, id));
        }
        let Some(call) = self.calls.get_mut(&number) else { return };
        let Call { endpoint, destination, sent, idle_for, .. } = *call;
        call.messages -= 1;
        // A call counts once, by its first outcome, but a wait applies whichever message reports it.
        let first = !std::mem::replace(&mut call.judged, true);
        let (over, ok) = (call.messages == 0, first && outcome == Outcome::Success);
        if over {
            self.calls.remove(&number);
        }
        if let Some(d) = self.destinations.get_mut(&destination).filter(|_| ok) {
            let seen = elapsed.as_secs_f64();
            if d.latency == 0.0 {
                (d.latency, d.deviation) = (seen, seen / 2.0);
            }
            d.deviation += LATENCY_WEIGHT * ((seen - d.latency).abs() - d.deviation);
            d.latency += LATENCY_WEIGHT * (seen - d.latency);
        }
        let answered = matches!(outcome, Outcome::Success | Outcome::Failure | Outcome::Overloaded { .. });
        if let Some(e) = self.endpoints.get_mut(&endpoint).filter(|_| over) {
            e.calls_out -= 1;
            self.proposer.get_mut().iter_mut().for_each(|p| p.set_open_calls(endpoint, e.calls_out));
            if answered {
                e.idle.push(self.now);
            }
        }
        // Suspicion is right if a call is answered while an earlier one on a suspected connection is open,
        // wrong if that is answered too. Unanswered, it is no evidence on the endpoint.
        let suspected = |c: &Call| c.endpoint == endpoint && c.idle_for > self.trusted && c.sent < sent;
        if ok && idle_for > self.trusted {
            (self.trusted, self.doubt_until) = (self.settings.keepalive, self.now);
        } else if ok && self.calls.values().any(suspected) {
            self.doubt_until = self.now + SHORTAGE_MEMORY;
        }
        let refused = matches!(outcome, Outcome::Overloaded { .. });
        // Refused connections mean a full table only if the endpoint answers soon after and was not down.
        let full = |e: &Endpoint| e.hard_run >= HARD_WEIGHT && e.health == Health::Well;
        let full = ok && self.endpoints.get(&endpoint).is_some_and(full);
        // An immediate break of an idle connection is evidence on that connection only.
        let stale = outcome == Outcome::Broken && !idle_for.is_zero() && elapsed < BREAKS_AT_ONCE;
        if refused || first && !stale && (!outcome.may_still_run() || idle_for <= self.trusted) {
            self.record_outcome(endpoint, outcome, sent, limit, actions);
        }
        // If answers report limits, a refusal on a fresh connection without one is a refused connection.
        // Kinds without a record count as short at first: a full table stays full for the idle timeout.
        let no_limit = outcome == Outcome::Overloaded { wait: None } && limit.is_none() && idle_for.is_zero();
        if let Some(e) = self.endpoints.get(&endpoint) {
            let until = self.refused_connection.entry(e.info.kind);
            let until = until.or_insert(self.now + self.settings.keepalive);
            if full || no_limit && self.limiters.get(&e.limiter_id).is_some_and(|l| l.reported_limit > 0.0) {
                *until = self.now + SHORTAGE_MEMORY;
            }
        }
        if terminal {
            return self.remove_message(id);
        }
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.risk = m.risk.or((!outcome.never_ran()).then_some((sent, endpoint)));
        m.state =
            State::Backoff(self.now + backoff(m.firings, self.settings.classes[m.class].target_latency));
    }

    /// Removes a finished message. Attempts in flight keep their slot and their key until they end.
    pub(super) fn remove_message(&mut self, id: MessageId) {
        let key = self.messages.remove(&id).and_then(|m| m.key);
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)) {
            k.queue.retain(|m| *m != id);
        }
        let (now, flights) = (self.now, &self.flights);
        let out = |key| flights.values().any(|f| f.1 == Some(key));
        let cooling = |k: &KeyQueue| k.cooldown.is_some_and(|(until, _)| until > now);
        self.keys.retain(|key, k| !k.queue.is_empty() || cooling(k) || out(*key));
    }
}
