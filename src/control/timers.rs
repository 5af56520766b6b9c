//! The retry policy, and what happens to waiting messages.

use super::*;

impl Controller {
    /// Probability of a resend when a timer fires, with this many messages pending at the destination.
    pub(super) fn resend_probability(&self, destination: DestinationId, pending: f64) -> f64 {
        let Some(d) = self.destinations.get(&destination) else { return 1.0 };
        let rate = d.first_sends.get(self.now, self.settings.tick.as_secs_f64() / RATE_WEIGHT);
        let q_min = (rate * T1.as_secs_f64()).max(rate * d.latency).max(Q_MIN_FLOOR);
        // The paper's rule: 1 up to the lower threshold, falling linearly to the minimum at the upper one.
        (1.0 - (1.0 - P_MIN) * (pending - q_min) / (Q_RATIO * q_min - q_min)).clamp(P_MIN, 1.0)
    }

    /// Fires the timers that are due, except where no endpoint of the destination is usable.
    pub(super) fn fire_timers(&mut self, actions: &mut Vec<Action>) {
        let due = |m: &Message| matches!(m.state, State::Backoff(at) if at <= self.now);
        let open = |m: &Message| self.live(m.destination).any(|e| self.usable(e));
        let due = self.messages.iter().filter(|(_, m)| due(m) && open(m));
        let due = due.map(|(id, m)| (*id, m.destination)).collect::<Vec<_>>();
        if due.is_empty() {
            return;
        }
        // Pending from its first send, or from the start if an earlier process held it; counted once for all.
        let mut pending: BTreeMap<DestinationId, f64> = BTreeMap::new();
        for m in self.messages.values().filter(|m| m.attempts > 0 || m.state != State::Ready) {
            *pending.entry(m.destination).or_default() += 1.0;
        }
        for (id, destination) in due {
            let p = self.resend_probability(destination, pending.get(&destination).copied().unwrap_or(0.0));
            let sample = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            if let Some(m) = self.messages.get_mut(&id) {
                (m.firings, m.ready_since) = (m.firings + 1, self.now);
                let next = self.now + backoff(m.firings, self.settings.classes[m.class].target_latency);
                // Untried before a restart, it is no resend: the policy delays it, but not past its deadline.
                let last = m.attempts == 0 && m.deadline <= next + (next - self.now);
                m.state = if last || sample < p { State::Ready } else { State::Backoff(next) };
                actions.push(Action::Note(Note::Timer(id, m.firings, last || sample < p)));
            }
        }
    }

    /// Ends messages that cannot be sent again or are about to expire; refuses those that may be resubmitted.
    pub(super) fn expire(&mut self, actions: &mut Vec<Action>) {
        let (edge, wait) = (self.now + self.settings.tick * 2, self.settings.max_client_wait);
        let over = |m: &Message| m.state != State::InFlight && (m.deadline <= edge || !self.may_retry(m));
        let free = |m: &Message| self.settings.classes[m.class].effect == Effect::Repeatable;
        let again =
            |m: &Message| (m.risk.is_none() || free(m)) && (m.attempts == 0 || m.deadline > edge + wait);
        let over = self.messages.iter().filter(|(_, m)| over(m)).map(|(id, m)| (*id, again(m)));
        for (id, again) in over.collect::<Vec<_>>() {
            actions.push(if again { Action::Refuse { id, wait } } else { Action::Fail(id) });
            self.remove_message(id);
        }
    }

    /// Refuses the messages of lowest utility when capacity runs short; untried ones from a restart go last.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let limit = (self.settings.max_held as f64 * HELD_SHARE) as usize;
        while self.messages.len() > limit {
            let untried = |m: &Message| m.attempts == 0 && (m.firings > 0 || m.state != State::Ready);
            let value = |(_, m): &(_, &Message)| if untried(m) { f64::MAX } else { self.current_utility(m) };
            let all = self.messages.iter().filter(|(_, m)| self.may_refuse(m));
            let Some(&id) = all.min_by(|a, b| value(a).total_cmp(&value(b))).map(|m| m.0) else { return };
            actions.push(Action::Refuse { id, wait: self.settings.max_client_wait });
            self.remove_message(id);
        }
    }

    pub(super) fn current_utility(&self, m: &Message) -> f64 {
        let c = &self.settings.classes[m.class];
        let late = self.now.saturating_sub(m.target_at).as_secs_f64();
        let span = c.deadline.saturating_sub(c.target_latency).as_secs_f64().max(0.001);
        let left = match self.settings.utility_decay {
            UtilityDecay::Linear => 1.0 - (1.0 - c.late_utility) * (late / span).min(1.0),
            UtilityDecay::Halving => 0.5f64.powf((late / c.target_latency.as_secs_f64().max(0.001)).ceil()),
        };
        m.utility * left.max(c.late_utility)
    }
}

/// Time until the next timer: doubling from T1 up to the latency target, at least T1.
pub(super) fn backoff(firings: u32, target_latency: Duration) -> Duration {
    (T1 * (1 << firings.min(10))).min(target_latency.max(T1))
}
