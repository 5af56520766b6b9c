//! Clients hand in, relays step, partners answer.

use super::*;

impl Sim {
    pub(super) fn hand(&mut self, relay: usize, class: usize, to: usize, tries: u32, due: Duration) {
        let second = self.second(self.now);
        self.handed[second] += u32::from(tries == 0);
        if self.now >= due {
            return;
        }
        let roll = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let r = &mut self.relays[relay];
        let returning = r.ret.is_some() && r.ramp.is_none();
        let share = r.ramp.as_ref().map_or(1.0, |ramp| ramp.share(class, self.now));
        if !r.up || returning || roll >= share || !r.core.has_capacity(1) {
            let wait = r.ramp.as_ref().map_or(Duration::ZERO, |ramp| ramp.come_back(self.now));
            return self.again(relay, class, to, tries, due, wait);
        }
        let flow = FlowNo(self.next);
        self.next += 1;
        r.retries.insert(flow, tries);
        let remaining = due - self.now;
        let terms = FlowTerms {
            class: ClassId(class),
            tenant: None,
            destination: DestinationId(to as u64),
            remaining,
        };
        r.core.submit(flow, terms, ());
        self.step(relay);
    }

    /// The client comes again, up to thrice, after a wait.
    pub(super) fn again(
        &mut self, relay: usize, class: usize, to: usize, tries: u32, due: Duration, wait: Duration,
    ) {
        if tries < 3 {
            let jitter = Duration::from_millis(400 + u64::from(self.rng.next_u32() % 800));
            self.push(self.now + wait.max(jitter), What::Hand { relay, class, to, tries: tries + 1, due });
        }
    }

    pub(super) fn step(&mut self, i: usize) {
        loop {
            let mut effects = Vec::new();
            self.relays[i].core.step(self.now, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Call { flow, attempt, server, give_up_at, .. } => {
                        let p = &mut self.partners[server.0 as usize];
                        let outcome = p.call(self.now);
                        let told = (p.bears * 1e3) as u64;
                        let jitter = u64::from(self.rng.next_u32()) % LATENCY_MS;
                        let ended = self.now + Duration::from_millis(LATENCY_MS / 2 + jitter);
                        let (at, kind) = match outcome {
                            Outcome::Success => (ended, 0),
                            Outcome::Overloaded { .. } => (self.now + Duration::from_millis(20), 1),
                            _ => (give_up_at, 2),
                        };
                        let sent = self.now;
                        let told = if kind == 2 { 0 } else { told };
                        self.push(
                            at,
                            What::Ended {
                                relay: i,
                                flow,
                                attempt,
                                server: server.0,
                                sent,
                                outcome: kind,
                                told,
                            },
                        );
                        if kind == 0 && ended < BASE + LENGTH {
                            let second = self.second(ended);
                            self.delivered[second] += 1;
                        }
                    }
                    Effect::Wake(after) => {
                        let at = self.now + after;
                        self.relays[i].wakes.add(at);
                        self.wake(i, at);
                    }
                    Effect::Probe(server) => {
                        let outcome = self.partners[server.0 as usize].call(self.now);
                        self.relays[i].core.probe_ended(server, outcome, None);
                    }
                    Effect::Ended(flow, (), end) | Effect::Rejected(flow, (), end) => {
                        self.relays[i].retries.remove(&flow);
                        // Who comes again after this is another message's worth of traffic; it is left out, at all ways.
                        debug_assert!(!matches!(end, End::Over));
                    }
                    _ => {}
                }
            }
            if !self.relays[i].core.has_events() {
                break;
            }
        }
        self.see(i);
    }
}
