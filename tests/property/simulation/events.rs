//! Random events: clients, ends of calls, lists and waits.

use super::*;

impl Simulation {
    pub(super) fn events(&mut self) {
        let now = self.now;
        for _ in 0..self.rng.below(4) {
            let (class, to) = (self.rng.below(3) as usize, self.rng.pick(&ALL));
            let remaining = self.settings.classes[class].deadline;
            let remaining = if self.rng.percent(10) { ms(self.rng.below(30)) } else { remaining };
            if let Some(no) = self.relay.submit(class, to, now + remaining, now) {
                let deadline = now + remaining;
                let (accepted, out, calls, risk, over, survived) = (false, None, 0, None, false, false);
                self.flows.insert(
                    no,
                    TrackedFlow { class, to, deadline, accepted, out, calls, risk, over, survived },
                );
            }
        }
        for _ in 0..self.rng.below(4).min(self.out.len() as u64) {
            let n = self.rng.below(self.out.len() as u64) as usize;
            if let Some(outcome) = self.answer(self.out[n].server) {
                self.end(n, outcome);
            }
        }
        for server in std::mem::take(&mut self.probes) {
            let outcome = self.answer(server).unwrap_or(Outcome::TimedOut);
            // A wait reported to a probe applies like any other.
            let to = self.listed[&server].0;
            self.record_wait(server, to, outcome);
            self.relay.core.probe_ended(server, outcome, None);
        }
        match self.rng.below(16) {
            0 | 1 => {
                let outages = [
                    None,
                    Some((OutageKind::Errors, 0)),
                    Some((OutageKind::Silent, 0)),
                    Some((OutageKind::ConnectionRefused, 0)),
                    Some((OutageKind::Overloaded, 0)),
                    Some((OutageKind::OverloadedWithWait, 700)),
                    Some((OutageKind::OverloadedWithWait, 4000)),
                ];
                let (to, outage) = (self.rng.pick(&ALL), self.rng.pick(&outages));
                self.outages.insert(to, outage);
            }
            2 | 3 => {
                let (server, state) = (
                    1 + self.rng.below(7) as u32,
                    self.rng.pick(&[ListState::Live, ListState::Draining, ListState::Gone]),
                );
                let mut update = vec![self.entry(server, server_destination(server).0, state)];
                if self.rng.percent(20) {
                    // A list with contradictory entries: the last one applies.
                    let other = self.rng.pick(&[ListState::Live, ListState::Draining]);
                    update.push(self.entry(server, server_destination(server).0, other));
                }
                self.list(update, false);
            }
            4 => {
                // A server, alone or one of three, moves to another destination.
                let (server, to) = (self.rng.pick(&[3, 7]), self.rng.pick(&[ALL[0], ALL[2]]));
                let moved = self.entry(server, to, ListState::Live);
                self.list(vec![moved], false);
            }
            5 => {
                let kept: Vec<u32> = (1..=SERVERS).filter(|_| self.rng.percent(80)).collect();
                let complete = kept
                    .into_iter()
                    .map(|s| self.entry(s, server_destination(s).0, ListState::Live))
                    .collect();
                self.list(complete, true);
            }
            6 => {
                let open: Vec<FlowNo> =
                    self.flows.iter().filter(|(_, f)| f.accepted && !f.over).map(|(no, _)| *no).collect();
                if let Some(no) = open.get(self.rng.below(open.len() as u64) as usize).copied() {
                    let flow = self.flows.get_mut(&no).unwrap();
                    flow.over = true;
                    let out = flow.out.is_some();
                    self.observe(if out { "cancelled in flight" } else { "cancelled while held" }, true);
                    self.relay.cancel(no);
                }
            }
            7 | 8 if !self.ended.is_empty() => {
                // Late and duplicate: an end that was already reported arrives again.
                let out = |e: &CallEnd| self.flows.get(&e.flow).is_some_and(|f| f.out.is_some());
                let old: Vec<CallEnd> = self.ended.iter().copied().filter(out).collect();
                let newer = !old.is_empty();
                let again = self.rng.pick(if newer { &old } else { &self.ended });
                self.observe("an old end while another attempt is in flight", newer);
                self.observe("a duplicate end", true);
                self.relay.core.call_ended(again);
            }
            9 => {
                let open = self.flows.iter().filter(|(_, f)| f.accepted && !f.over).map(|(no, _)| no.0);
                let known: Vec<u64> = open.chain([1 << 40]).collect();
                let flow = self.rng.pick(&known);
                let outcome =
                    self.rng.pick(&[Outcome::Failure, Outcome::TimedOut, Outcome::Overloaded { wait: None }]);
                let open = self.flows.get(&FlowNo(flow)).is_some_and(|f| f.accepted && !f.over);
                self.observe("an end of an unknown attempt of an open flow", open);
                self.relay.core.call_ended(cluster::end(FlowNo(flow), 77, ServerNo(99), outcome, ms(1)));
            }
            10 if self.rng.percent(50) => return self.kill(),
            11 => {
                // A ban begins or ends; the list has not changed.
                let any = 1 + self.rng.below(u64::from(SERVERS)) as u32;
                let server = self.banned.first().copied().unwrap_or(any);
                let listed = self.listed.get(&ServerNo(server)).copied();
                let began = self.banned.insert(server) || !self.banned.remove(&server);
                if let Some((to, state)) = listed.filter(|l| l.1 != ListState::Gone) {
                    self.observe(
                        "banned with a call in flight",
                        began && self.out.iter().any(|o| o.server.0 == server),
                    );
                    let state = if state == ListState::Draining && !began { ListState::Live } else { state };
                    let entry = self.entry(server, to, state);
                    self.list(vec![entry], false);
                }
            }
            12 | 13 => {
                self.step(None);
                let upgraded = self.relay.upgrade();
                self.observe("upgraded", upgraded);
                self.observe("upgraded with calls in flight", upgraded && !self.out.is_empty());
                self.observe(
                    "upgraded within a wait",
                    upgraded && self.waits.values().any(|w| *w > self.now),
                );
                let held = self.listed.iter().any(|(s, l)| {
                    self.banned.contains(&s.0)
                        && self.flows.values().any(|f| f.accepted && !f.over && f.to == l.0)
                });
                self.observe("upgraded with messages for a banned server", upgraded && held);
            }
            _ => {}
        }
        self.step(None);
    }

    /// The response of a real server at this time, if any.
    pub(super) fn answer(&mut self, server: ServerNo) -> Option<Outcome> {
        let outage = self.listed.get(&server).and_then(|l| self.outages[&l.0]);
        match outage {
            None if self.rng.percent(80) => Some(Outcome::Success),
            None | Some((OutageKind::Errors, _)) => {
                let errors = [Outcome::Failure, Outcome::Broken, Outcome::Overloaded { wait: None }];
                Some(self.rng.pick(&errors))
            }
            Some((kind, wait)) => kind.outcome(ms(wait)),
        }
    }

    pub(super) fn record_wait(&mut self, server: ServerNo, to: DestinationId, outcome: Outcome) {
        let Outcome::Overloaded { wait: Some(wait) } = outcome else { return };
        let until = self.waits.entry(limiter_of(server, to)).or_default();
        *until = (*until).max(self.now + wait);
        let others = self.flows.values().any(|f| f.accepted && !f.over && f.out.is_none() && f.to == to);
        self.observe("a wait reported while others wait", others);
    }

    pub(super) fn end(&mut self, n: usize, outcome: Outcome) {
        let Out { flow, attempt, server, sent, .. } = self.out.remove(n);
        let end = cluster::end(flow, attempt, server, outcome, self.now - sent);
        let f = self.flows.get_mut(&flow).unwrap();
        f.out = None;
        if !outcome.never_ran() {
            f.risk = f.risk.or(Some((sent, server)));
        }
        let to = f.to;
        self.record_wait(server, to, outcome);
        self.ended.push(end);
        self.relay.call_ended(end);
    }
}
