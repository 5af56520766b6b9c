//! Health records of endpoints, rate limits and connections.

use super::*;

impl Controller {
    pub(super) fn record_outcome(
        &mut self, id: EndpointId, outcome: Outcome, sent: Duration, limit: Option<LimitReport>,
        actions: &mut Vec<Action>,
    ) {
        let (now, chance) = (self.now, self.random_jitter());
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let Some(limiter) = self.limiters.get_mut(&e.limiter_id) else { return };
        limiter.refill(now);
        limiter.reported_limit = limit.map_or(limiter.reported_limit, |r| r.rate);
        let part = sender_share(e, limiter, &self.settings);
        let (cold, before) = (Health::Warming(now), e.health);
        limiter.own = part * PACE_REPORTED;
        if !matches!(outcome, Outcome::Void | Outcome::Overloaded { .. }) {
            // Old outcomes say little: if most calls are other senders', a single failure is significant.
            let others = (1.0 - 2.0 / f64::from(self.settings.senders)).max(0.0);
            let age = now.saturating_sub(e.last_answer).as_secs_f64();
            let weight = FAIL_WEIGHT.max(others * (1.0 - (-age / USUAL_TAU).exp()));
            e.fail_share += weight * (f64::from(u8::from(outcome != Outcome::Success)) - e.fail_share);
        }
        if !matches!(outcome, Outcome::Void | Outcome::Withdrawn | Outcome::TimedOut) {
            e.last_answer = now;
        }
        // New health of this endpoint, and of others on its rate limiter: outages mostly affect all of them.
        let (mut own_health, mut shared_health) = (None, None);
        match outcome {
            Outcome::Void | Outcome::Withdrawn => return,
            Outcome::Success => {
                // It recovered some time after its last failure: on average over many senders, halfway.
                let back = Health::Warming(e.last_failed + (now - e.last_failed) / 2);
                let (failed, suspected) = (e.hard_run > 0, e.hard_run == 0 && e.refused_run == 0);
                (e.last_ok, e.hard_run, e.refused_run) = (now, 0, 0);
                limiter.recent.add(now, RECENT_TAU);
                if let Some(report) = limit.filter(|r| r.rate > 0.0) {
                    // The limit is reported: pace at this sender's part, more while others leave capacity.
                    let spare = report.left.clamp(0.0, 1.0);
                    let most = limiter.own + part.max(report.rate * SPARE_SHARE) * spare;
                    let paced = if limiter.pace < PACE_MAX { limiter.pace } else { limiter.own };
                    limiter.pace = (paced + paced).min(most).max(limiter.own + part * spare);
                }
                match e.health {
                    Health::Well => e.usual.add(now, USUAL_TAU),
                    Health::Down if suspected => e.health = Health::Well,
                    // Failures before the recovery do not predict calls made within the cold budget.
                    Health::Down if sent >= e.down_since => {
                        (e.health, e.fail_share) = (back, e.fail_share.min(SAFE_FAIL_SHARE));
                        shared_health = Some((back, true));
                    }
                    Health::Warming(_) if failed && e.fail_share > SAFE_FAIL_SHARE => e.health = back,
                    _ => {}
                }
            }
            Outcome::Overloaded { wait } => {
                (e.refused_run, e.last_failed) = (e.refused_run + 1, now);
                let until = now + wait.unwrap_or_default();
                limiter.wait_until = limiter.wait_until.max(until);
                let quiet = now.saturating_sub(limiter.recent.at) >= OUTAGE_QUIET;
                let long = wait.is_some_and(|w| w >= self.settings.overload_span);
                let shuts = e.refused_run >= OUTAGE_REFUSALS || e.health != Health::Well;
                if long || (wait.is_some() && quiet && shuts) {
                    // Unavailable until the wait ends and cold from then on, whichever endpoint is tried.
                    own_health = Some(Health::Warming(until));
                    shared_health = long.then_some((Health::Warming(until), false));
                } else if quiet && e.refused_run >= OUTAGE_REFUSALS && e.health != Health::Down {
                    own_health = Some(Health::Down);
                } else if e.health == Health::Well {
                    let kept = PACE_CUT * limiter.recent.get(now, RECENT_TAU);
                    limiter.pace = limiter.pace.min(kept.max(part * PACE_MIN));
                    limiter.own *= COLD_SAFETY;
                    limiter.tokens = limiter.tokens.min(1.0 - chance);
                }
            }
            // This call alone was too slow, as others were answered: not an outage.
            Outcome::TimedOut if e.last_ok > sent => return,
            Outcome::Failure | Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => {
                let soft = matches!(outcome, Outcome::Failure | Outcome::Broken);
                (e.hard_run, e.last_failed) = (e.hard_run + if soft { 1 } else { HARD_WEIGHT }, now);
                match e.health {
                    Health::Down => {}
                    _ if e.hard_run >= DOWN_AFTER => e.health = Health::Down,
                    // Some calls succeed: continue within the budget of a cold destination.
                    Health::Well if e.fail_share >= HIGH_FAIL_SHARE => e.health = cold,
                    _ => {}
                }
            }
        }
        e.health = own_health.unwrap_or(e.health);
        if e.health != before {
            e.down_since = now;
            if std::mem::discriminant(&e.health) != std::mem::discriminant(&before) {
                actions.push(Action::Note(Note::Health(id, before, e.health, Some(outcome))));
            }
        }
        let which = e.limiter_id;
        if let Some((health, down)) = shared_health {
            let its = |o: &&mut Endpoint| o.limiter_id == which && (!down || o.health == Health::Down);
            for other in self.endpoints.values_mut().filter(its) {
                (other.health, other.fail_share) = (health, other.fail_share.min(SAFE_FAIL_SHARE));
            }
        }
    }

    /// Interval between calls to a down or cold endpoint: this sender's even share of what all senders
    /// together may send to a returning destination, with jitter so that they are not synchronised.
    pub(super) fn cold_interval(&self, e: &Endpoint) -> Duration {
        let s = &self.settings;
        let since = if let (Health::Warming(since), 0) = (e.health, e.hard_run) { since } else { self.now };
        let age = self.now.saturating_sub(since).as_secs_f64();
        let warm = (age / s.cold_time.as_secs_f64().max(0.001)).min(1.0);
        let capacity = s.start_capacity + (1.0 - s.start_capacity).max(0.0) * warm;
        let part = self.limiters.get(&e.limiter_id).map_or(0.0, |l| sender_share(e, l, s));
        let well = |o: &&Endpoint| {
            o.limiter_id == e.limiter_id && o.info.id != e.info.id && o.health != Health::Down
        };
        let among = 1 + self.live(e.info.destination).filter(well).count();
        let rate = (COLD_SAFETY * s.overload_factor * capacity * part / among as f64).max(0.001);
        Duration::from_secs_f64(e.jitter / rate)
    }

    /// Closes mostly idle connections of kinds that are short of them, unless a message just used them.
    pub(super) fn release_idle(&mut self, actions: &mut Vec<Action>) {
        for (id, e) in self.endpoints.iter_mut().filter(|(_, e)| e.calls_out == 0 && !e.idle.is_empty()) {
            let latency = self.destinations.get(&e.info.destination).map_or(0.0, |d| d.latency);
            let busy = e.usual.get(self.now, USUAL_TAU) * latency;
            if busy < MIN_USE && self.refused_connection.get(&e.info.kind).is_some_and(|u| *u > self.now) {
                e.idle.clear();
                actions.push(Action::Release(*id));
            }
        }
    }

    /// An overdue call marks an endpoint with no answer since its send as down, well before the timeout; any
    /// answer lifts this without a cold ramp. On an idle connection it is evidence on old connections first:
    /// younger or fresh ones are used from then on, and an outage shows on the next call.
    pub(super) fn detect_overdue_calls(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.trusted = if now < self.doubt_until { self.trusted } else { self.settings.keepalive };
        for c in self.calls.values().filter(|c| now > c.sent + c.late_after) {
            let silent = |e: &&mut Endpoint| e.last_answer <= c.sent;
            let Some(e) = self.endpoints.get_mut(&c.endpoint).filter(silent) else { continue };
            if c.idle_for <= T1 / 2 && e.health == Health::Well {
                (e.health, e.down_since) = (Health::Down, now);
                actions.push(Action::Note(Note::Health(c.endpoint, Health::Well, e.health, None)));
            } else if c.idle_for > T1 / 2 && c.idle_for <= self.trusted {
                self.trusted = c.idle_for.mul_f64(STALE_SHARE).max(T1 / 2);
                self.doubt_until = self.doubt_until.max(now + STALE_SUSPICION);
            }
        }
        // Without free slots the longest silent call is cancelled; on a connection confirmed stale, at once.
        let full = self.calls.len() >= self.settings.max_calls;
        let able = |e: &Endpoint| e.health == Health::Well && self.usable(e);
        let wanted = |m: &Message| m.state == State::Ready && self.live(m.destination).any(able);
        let needed = full && self.messages.values().any(wanted);
        let sure = self.doubt_until > now + STALE_SUSPICION;
        let lost = |c: &Call| sure && c.idle_for > self.trusted && now > c.sent + c.late_after;
        // If answers get lost, slots fill with calls that never end: cancel those far above usual latency.
        let timeout = |c: &Call| self.latency_bound(c.destination).max(T1 / 2);
        let silent = |c: &Call| !c.cancelled && (lost(c) || needed && now > c.sent + timeout(c));
        let found = self.calls.iter().find(|(_, c)| self.settings.cancelling && silent(c)).map(|(n, _)| *n);
        let Some((number, call)) = found.and_then(|n| Some((n, self.calls.get_mut(&n)?))) else { return };
        call.cancelled = true;
        // Cancelled this early, the call must still reveal an endpoint that answers no one.
        let (sent, young) = (call.sent, call.idle_for <= T1 / 2);
        let unanswered = |e: &&mut Endpoint| young && e.last_answer <= sent && e.health == Health::Well;
        if let Some(e) = self.endpoints.get_mut(&call.endpoint).filter(unanswered) {
            (e.health, e.down_since) = (Health::Down, now);
            actions.push(Action::Note(Note::Health(call.endpoint, Health::Well, e.health, None)));
        }
        let its = self.flights.iter().filter(|(_, f)| f.0 == number);
        actions.extend(its.map(|((id, attempt), _)| Action::Cancel { id: *id, attempt: *attempt }));
    }
}

/// A sender's part of a limiter's rate (if unknown, one call per T1), at least one call per longest deadline.
pub(super) fn sender_share(e: &Endpoint, limiter: &RateLimiter, s: &Settings) -> f64 {
    let rate = if s.rate_source == RateSource::Nominal { e.info.rate } else { limiter.reported_limit };
    let rate = if rate > 0.0 { rate } else { 1.0 / T1.as_secs_f64() };
    let longest = s.classes.iter().map(|c| c.deadline).max().unwrap_or(T1).as_secs_f64();
    rate / (rate * longest).max(1.0).min(f64::from(s.senders))
}
