//! What comes in: messages, outcomes, lists.

use super::*;

impl Controller {
    pub(super) fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(m) => self.take_message(m),
            Event::Outcome(end) => self.take_outcome(end, actions),
            Event::Withdrawn(id) => self.forget(*id),
            Event::Wake(_) => {}
            // What answers a probe may still answer no call: the probe lets one message try.
            Event::Probed { endpoint, outcome, limit } => match self.endpoints.get_mut(endpoint) {
                Some(e) if e.health == Health::Down && *outcome == Outcome::Success => e.trial = true,
                found => {
                    let sent = found.map_or(self.now, |e| e.last_sent);
                    self.judge(*endpoint, *outcome, sent, *limit, actions);
                }
            },
            Event::ListUpdate(list) => self.take_list(list),
            Event::ListReplaced(list) => {
                for e in self.endpoints.values_mut().filter(|e| e.info.state != ListState::Gone) {
                    (e.info.state, e.listed) = (ListState::Gone, self.now);
                }
                self.take_list(list);
            }
            Event::ListUnavailable => {
                // Pauses double, with a random part, and end within the time by which a sender is told.
                let pause = (T1 * (1 << self.asks_failed.min(10))).min(self.settings.must_ask_within / 2);
                let pause = pause.mul_f64(self.random_spread()).max(self.settings.tick);
                self.ask_at = self.settings.ask_for_list.then_some(self.now + pause);
                self.asks_failed += 1;
            }
        }
    }

    /// The random part of a pause: between half and three halves.
    pub(super) fn random_spread(&mut self) -> f64 {
        0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    pub(super) fn take_list(&mut self, list: &[EndpointInfo]) {
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
            let apart = self.settings.kinds.get(info.kind.0).is_some_and(|k| k.routes_apart);
            let lane = (info.destination, apart.then_some(info.id));
            let free = Lane { pace: PACE_FREE, ..Lane::default() };
            // Added in an outage of its lane it is as cold at its end as the others, with a pause from now
            // on; a sender among many has seen one failure or refusal of it, maybe at one now gone.
            let ids = self.destinations.get(&info.destination).map_or(&[][..], |d| &d.endpoints);
            let sick = |o: &Endpoint| o.health != Health::Well || o.hard_run + o.refused_run > 0;
            let sick = ids.iter().filter_map(|id| self.endpoints.get(id)).any(|o| o.lane == lane && sick(o));
            let wait_until = self.lanes.entry(lane).or_insert(free).wait_until;
            let cold = sick || wait_until > self.now;
            let health = if cold { Health::Warming(self.now.max(wait_until)) } else { Health::Well };
            let spread = self.random_spread();
            let first_sends = Rate { value: self.settings.max_calls as f64 / T1.as_secs_f64(), at: self.now };
            let fresh = || Destination { first_sends, ..Destination::default() };
            self.destinations.entry(info.destination).or_insert_with(fresh).endpoints.push(info.id);
            let (info, last_sent, last_ok, listed) = (info.clone(), self.now, self.now, self.now);
            let known = Endpoint { info, health, lane, last_sent, last_ok, listed, ..Endpoint::default() };
            let known = Endpoint { spread, taste: QUEUE_COST * (spread - 0.5) / 2.0, ..known };
            self.endpoints.insert(known.info.id, known);
        }
        self.forget_gone();
    }

    /// Guards memory where endpoints come and go: one long gone says nothing any more of those that are left.
    pub(super) fn forget_gone(&mut self) {
        let (now, memory) = (self.now, self.settings.cold_time + self.settings.overload_span);
        let told = |e: &Endpoint| self.lanes.get(&e.lane).map_or(Duration::ZERO, |l| l.wait_until);
        let over = |e: &Endpoint| e.calls_out == 0 && now > told(e).max(e.listed + memory);
        let past = |e: &Endpoint| e.info.state == ListState::Gone && over(e);
        let past: Vec<_> = self.endpoints.values().filter(|e| past(e)).map(|e| (e.info.id, e.lane)).collect();
        for (id, lane) in past {
            self.endpoints.remove(&id);
            if lane.1.is_some() {
                self.lanes.remove(&lane);
            }
            if let Some(d) = self.destinations.get_mut(&lane.0) {
                d.endpoints.retain(|e| *e != id);
            }
        }
    }

    pub(super) fn take_message(&mut self, m: &NewMessage) {
        let Some(class) = self.settings.classes.get(m.class.0) else { return };
        let (deadline, mut worth, timer) = (self.now + m.remaining, class.worth, pause(0, class.aim));
        let aim_at = (deadline + class.aim).saturating_sub(class.deadline);
        if let Some((tokens, at)) = m.tenant.and_then(|t| self.tenants.get_mut(t.0)) {
            // Within its share as far as a bucket of one second of this sender's part of the quota goes.
            let quota = &self.settings.tenants[m.tenant.map_or(0, |t| t.0)];
            let rate = quota.quota_per_s / f64::from(self.settings.senders);
            *tokens = (*tokens + (self.now - *at).as_secs_f64() * rate).min(rate.max(1.0));
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            worth *= if within { 1.0 } else { self.settings.over_share_worth };
        }
        let key = m.key.filter(|_| class.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(m.id);
        }
        let fresh =
            Message { class: m.class.0, destination: m.destination, key, worth, ..Message::default() };
        // Sent before a restart: its attempts count on, and what may have run binds it from that first send.
        let (attempts, risk) =
            (m.past.attempts, m.past.risk.map(|(ago, at)| (self.now.saturating_sub(ago), at)));
        // What an earlier process held is no first send: by timer and law, or it fills all slots at once.
        let rest = |c: &mut Self| State::Backoff(c.now + timer.mul_f64(c.random_spread()));
        let state = if m.past.held { rest(self) } else { State::Ready };
        let fresh = Message { aim_at, deadline, attempts, risk, state, ready_since: self.now, ..fresh };
        self.messages.insert(m.id, fresh);
    }

    pub(super) fn take_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, outcome, elapsed, terminal, limit, .. } = *end;
        let Some((number, key)) = self.flights.remove(&(id, attempt)) else { return };
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)).filter(|_| outcome.may_still_run()) {
            k.rest = Some((self.now + self.settings.key_rest, id));
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
            self.proposer.get_mut().iter_mut().for_each(|p| p.busy(endpoint, e.calls_out));
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
            self.doubt_until = self.now + CROWD_MEMORY;
        }
        let refused = matches!(outcome, Outcome::Overloaded { .. });
        // Refused connections are those of a full table only if it answers soon after, and was not down.
        let full = |e: &Endpoint| e.hard_run >= HARD_WEIGHT && e.health == Health::Well;
        let full = ok && self.endpoints.get(&endpoint).is_some_and(full);
        // What breaks at once on a connection that was idle tells of that connection only.
        let stale = outcome == Outcome::Broken && !idle_for.is_zero() && elapsed < BREAKS_AT_ONCE;
        if refused || first && !stale && (!outcome.may_still_run() || idle_for <= self.trusted) {
            self.judge(endpoint, outcome, sent, limit, actions);
        }
        // A refusal on a fresh connection that tells no limit, where answers do, is one of a connection.
        // A kind not known yet is spared at first: a full table stays full for the idle time.
        let mute = outcome == Outcome::Overloaded { wait: None } && limit.is_none() && idle_for.is_zero();
        if let Some(e) = self.endpoints.get(&endpoint) {
            let until = self.refused_connection.entry(e.info.kind);
            let until = until.or_insert(self.now + self.settings.keepalive);
            if full || mute && self.lanes.get(&e.lane).is_some_and(|l| l.told > 0.0) {
                *until = self.now + CROWD_MEMORY;
            }
        }
        if terminal {
            return self.forget(id);
        }
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.risk = m.risk.or((!outcome.never_ran()).then_some((sent, endpoint)));
        m.state = State::Backoff(self.now + pause(m.firings, self.settings.classes[m.class].aim));
    }

    /// Forgets a message that is over. Attempts still out keep their slot and hold their key until they end.
    pub(super) fn forget(&mut self, id: MessageId) {
        let key = self.messages.remove(&id).and_then(|m| m.key);
        if let Some(k) = key.and_then(|key| self.keys.get_mut(&key)) {
            k.queue.retain(|m| *m != id);
        }
        let (now, flights) = (self.now, &self.flights);
        let out = |key| flights.values().any(|f| f.1 == Some(key));
        let rests = |k: &KeyQueue| k.rest.is_some_and(|(until, _)| until > now);
        self.keys.retain(|key, k| !k.queue.is_empty() || rests(k) || out(*key));
    }
}
