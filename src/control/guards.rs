//! The checks before every send and refusal.

use super::*;

impl Controller {
    pub(super) fn live(&self, destination: DestinationId) -> impl Iterator<Item = &Endpoint> {
        let ids = self.destinations.get(&destination).map_or(&[][..], |d| &d.endpoints);
        // An endpoint that was moved belongs to its new destination, which has no record of it yet.
        let its = move |e: &&Endpoint| e.info.state == ListState::Live && e.info.destination == destination;
        ids.iter().filter_map(|id| self.endpoints.get(id)).filter(its)
    }

    /// Whether an endpoint accepts calls now: no wait in effect, and not down unless a trial is due.
    pub(super) fn usable(&self, e: &Endpoint) -> bool {
        let waiting = self.limiters.get(&e.limiter_id).is_none_or(|l| l.wait_until > self.now);
        let closed = match e.health {
            Health::Down => !e.trial && self.now < e.last_sent + self.cold_interval(e).max(T1),
            // With jitter: a wait with a stated end is over for all senders at the same moment.
            Health::Warming(since) => self.now < e.last_sent.max(since) + self.cold_interval(e),
            Health::Well => false,
        };
        !waiting && !closed
    }

    /// Whether another attempt is still possible. The key's window is checked again when the call is written.
    pub(super) fn may_retry(&self, m: &Message) -> bool {
        let allowed = match (m.risk, self.settings.classes[m.class].effect) {
            (None, _) | (_, Effect::Repeatable) => true,
            (Some((sent, _)), Effect::Keyed { window, .. }) => {
                self.now + self.settings.tick * 2 < sent + window
            }
            (Some(_), Effect::Once) => false,
        };
        allowed && m.attempts < self.settings.max_attempts
    }

    /// Whether this message may be sent to this endpoint; checked before every send.
    pub(super) fn may_send(&self, id: MessageId, m: &Message, e: &Endpoint) -> bool {
        let s = &self.settings;
        let class = &s.classes[m.class];
        // A trial after a probe: single-attempt messages are used only if no repeatable one is ready.
        let may_try = class.effect != Effect::Once || !self.ready_repeatable.contains(&m.destination);
        let listed = e.info.state == ListState::Live && e.info.destination == m.destination;
        // With probes no message is spent on an endpoint that does not answer; but where trials are rarer
        // than the overload span, a repeatable message is itself the trial.
        let rare = class.effect != Effect::Once && self.cold_interval(e) > s.overload_span;
        let answers =
            !(s.probes && e.refused_run == 0 && e.health == Health::Down) || rare || e.trial && may_try;
        // A keyed message that may have run stays where its key is known.
        let known = match (m.risk, class.effect) {
            (Some((_, at)), Effect::Keyed { group: RepeatGroup::Zone, .. }) => {
                self.endpoints.get(&at).is_some_and(|r| r.info.zone == e.info.zone)
            }
            (Some((_, at)), Effect::Keyed { group: RepeatGroup::Endpoint, .. }) => e.info.id == at,
            _ => true,
        };
        // Single-attempt messages avoid failing endpoints, unless time is nearly up or nothing else can
        // detect a recovery: held until its deadline, the message would fail without an attempt.
        let asked = s.probes || self.now <= e.last_sent + OUTAGE_QUIET || !may_try;
        let cautious = class.effect == Effect::Once && asked && self.now + class.target_latency < m.deadline;
        let avoided = cautious && !e.trial && (e.fail_share > SAFE_FAIL_SHARE || e.health == Health::Down);
        let due = m.state == State::Ready && self.now < m.deadline && self.may_retry(m);
        due && listed && answers && known && !avoided && self.is_next_of_key(id, m)
    }

    /// Key order: the oldest of its key, no attempt of the key in flight, and the key's cooldown over.
    pub(super) fn is_next_of_key(&self, id: MessageId, m: &Message) -> bool {
        let Some(k) = m.key.and_then(|key| self.keys.get(&key)) else { return true };
        k.queue.front() == Some(&id)
            && self.flights.values().all(|f| f.1 != m.key)
            && k.cooldown.is_none_or(|(until, by)| by == id || self.now >= until)
    }

    /// Whether the client may be informed that submitting the message again is harmless.
    pub(super) fn may_refuse(&self, m: &Message) -> bool {
        let harmless = match self.settings.classes[m.class].effect {
            Effect::Repeatable | Effect::Keyed { group: RepeatGroup::All, .. } => true,
            Effect::Keyed { .. } | Effect::Once => m.risk.is_none(),
        };
        harmless && m.state != State::InFlight
    }
}
