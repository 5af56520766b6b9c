//! What comes in: messages, outcomes, lists.

use super::*;

impl Controller {
    pub(super) fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(m) => self.add_message(m),
            Event::Outcome(end) => self.handle_outcome(end, actions),
            Event::Withdrawn(id) => self.remove_message(*id),
            Event::Wake(_) => {}
            // What answers a probe may still answer no call: the probe lets one message try.
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
                // Pauses double, with a random part, and end within the time by which a sender is told.
                let pause = (T1 * (1 << self.asks_failed.min(10))).min(self.settings.max_list_age / 2);
                let pause = pause.mul_f64(self.random_jitter()).max(self.settings.tick);
                self.ask_at = self.settings.ask_for_list.then_some(self.now + pause);
                self.asks_failed += 1;
            }
        }
    }

    /// The random part of a pause: between half and three halves.
    pub(super) fn random_jitter(&mut self) -> f64 {
        0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    pub(super) fn update_list(&mut self, list: &[EndpointInfo]) {
        self.asks_failed = 0;
        for info in list {
            if let Some(e) = self.endpoints.get_mut(&info.id) {
                e.listed = if e.info.state == ListState::Gone { e.listed } else { self.now };
                // Put back after a drain it was restarted, most likely, and is cold.
                let back = e.info.state == ListState::Draining && info.state == ListState::Live;
                e.health = if back { Health::Warming(self.now) } else { e.health };
                e.info = info.clone();
                continue;
            }
            let apart = self.settings.kinds.get(info.kind.0).is_some_and(|k| k.independent_routes);
            let limiter_id = (info.destination, apart.then_some(info.id));
            let free = RateLimiter { pace: PACE_MAX, ..RateLimiter::default() };
            // Added in an outage of its lane it is as cold at its end as the others, with a pause from now
            // on; a sender among many has seen one failure or refusal of it, maybe at one now gone.
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
            let known =
                Endpoint { info, health, limiter_id, last_sent, last_ok, listed, ..Endpoint::default() };
            let known = Endpoint { jitter, tie_breaker: QUEUE_COST * (jitter - 0.5) / 2.0, ..known };
            self.endpoints.insert(known.info.id, known);
        }
        self.remove_gone_endpoints();
    }

    /// Guards memory where endpoints come and go: one long gone says nothing any more of those that are left.
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
            // Within its share as far as a bucket of one second of this sender's part of the quota goes.
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
        // Sent before a restart: its attempts count on, and what may have run binds it from that first send.
        let (attempts, risk) =
            (m.past.attempts, m.past.risk.map(|(ago, at)| (self.now.saturating_sub(ago), at)));
        // What an earlier process held is no first send: by timer and law, or it fills all slots at once.
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
        // One call, one fate: it counts once. But a wait binds whichever message brings it.
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
        // A doubt is right if a call is answered while an earlier one on a doubted connection is out; wrong
        // if that is answered too. Unanswered, a doubted connection tells nothing of the endpoint.
        let doubted = |c: &Call| c.endpoint == endpoint && c.idle_for > self.trusted && c.sent < sent;
        if ok && idle_for > self.trusted {
            (self.trusted, self.doubt_until) = (self.settings.keepalive, self.now);
        } else if ok && self.calls.values().any(doubted) {
            self.doubt_until = self.now + SHORTAGE_MEMORY;
        }
        let refused = matches!(outcome, Outcome::Overloaded { .. });
        // Refused connections are those of a full table only if it answers soon after, and was not down.
        let full = |e: &Endpoint| e.hard_run >= HARD_WEIGHT && e.health == Health::Well;
        let full = ok && self.endpoints.get(&endpoint).is_some_and(full);
        // What breaks at once on a connection that was idle tells of that connection only.
        let stale = outcome == Outcome::Broken && !idle_for.is_zero() && elapsed < BREAKS_AT_ONCE;
        if refused || first && !stale && (!outcome.may_still_run() || idle_for <= self.trusted) {
            self.record_outcome(endpoint, outcome, sent, limit, actions);
        }
        // A refusal on a fresh connection that tells no limit, where answers do, is one of a connection.
        // A kind not known yet is spared at first: a full table stays full for the idle time.
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

    /// Forgets a message that is over. Attempts still out keep their slot and hold their key until they end.
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
